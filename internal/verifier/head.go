package verifier

import (
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// statusPrefix begins the status line of a response, before its status.
const statusPrefix = "HTTP/1.1 "

// statusDigits is the number of digits of a status.
const statusDigits = 3

// BrokenError says that the head or the trailer of a response is not valid.
type BrokenError struct {
	Line   int // from 1 on, of all heads of the response; zero for the trailer
	Reason string
}

// Error returns the message.
func (e *BrokenError) Error() string {
	if e.Line == 0 {
		return "broken response: " + e.Reason
	}
	return fmt.Sprintf("broken response: line %d: %s", e.Line, e.Reason)
}

// Head checks the head of a response while its bytes come, with those of interim responses
// before it. The zero value is ready for use.
type Head struct {
	Bytes, Lines int // of the heads so far

	inFields bool     // the status line is over
	part     linePart // of a field line
	folds    bool     // a field line came before, which the present line may continue
	column   int      // number of bytes of the line so far
	afterCR  bool
	interim  bool // another response follows
	done     bool
	err      error
}

// linePart is a part of the field lines of a head.
type linePart string

const (
	partName  linePart = "name"
	partValue linePart = "value"
	partFold  linePart = "fold" // a line that begins with a blank and continues a value
)

// Done reports whether the final head is complete.
func (h *Head) Done() bool { return h.done }

// Err returns the *BrokenError of the first bytes that are not valid, nil without such.
func (h *Head) Err() error { return h.err }

// Observe reads on in the bytes of a response, up to the end of its head or to the first byte
// that is not valid.
func (h *Head) Observe(p []byte) {
	for _, b := range p {
		if h.done || h.err != nil {
			return
		}
		h.Bytes++
		switch {
		case b == '\n':
			h.endLine()
		case h.afterCR:
			h.fail("bare CR")
		case b == '\r':
			h.afterCR = true
		case h.inFields:
			h.observeField(b)
			h.column++
		default:
			h.observeStatus(b)
			h.column++
		}
	}
}

// observeField checks the next byte of a field line. A colon in a continued value would make
// the line a field whose name begins with a blank.
func (h *Head) observeField(b byte) {
	if h.column == 0 {
		h.part = partName
		if h.folds && (b == ' ' || b == '\t') {
			h.part = partFold
		}
	}
	switch {
	case h.part == partName && b == ':' && h.column > 0:
		h.part = partValue
	case h.part == partName && !httpguts.IsTokenRune(rune(b)):
		h.fail(fmt.Sprintf("name of a field holds %q", b))
	case h.part == partFold && b == ':':
		h.fail("continued value holds a colon")
	case !isTextByte(b):
		h.fail(fmt.Sprintf("value of a field holds %q", b))
	}
}

// isTextByte reports whether b may stand in a value or a reason.
func isTextByte(b byte) bool {
	return b >= ' ' && b != 0x7f || b == '\t'
}

// observeStatus checks the next byte of a status line.
func (h *Head) observeStatus(b byte) {
	digit := h.column - len(statusPrefix)
	switch {
	case digit < 0 && b != statusPrefix[h.column]:
		h.fail("not of HTTP/1.1")
	case digit < 0:
	case digit < statusDigits && (b < '0' || b > '9'):
		h.fail("malformed status")
	case digit == 0 && (b < '1' || b > '5'):
		h.fail(fmt.Sprintf("status %cxx", b))
	case digit == 0:
		h.interim = b == '1'
	case digit == statusDigits && b != ' ':
		h.fail("malformed status")
	case !isTextByte(b):
		h.fail(fmt.Sprintf("reason holds %q", b))
	}
}

// endLine ends the present line. An empty one ends the head.
func (h *Head) endLine() {
	switch {
	case !h.inFields && h.column < len(statusPrefix)+statusDigits:
		h.fail("malformed status line")
		return
	case h.inFields && h.column > 0 && h.part == partName:
		h.fail("field line without a colon")
		return
	case h.column > 0:
		h.folds = h.inFields
		h.inFields = true
	case h.interim:
		h.inFields = false
	default:
		h.done = true
	}
	h.Lines++
	h.column, h.afterCR = 0, false
}

func (h *Head) fail(reason string) {
	h.err = &BrokenError{Line: h.Lines + 1, Reason: reason}
}
