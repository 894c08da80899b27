package verifier

import "fmt"

// statusPrefix begins the status line of a response, before its status.
const statusPrefix = "HTTP/1.1 "

// statusDigits is the number of digits of a status.
const statusDigits = 3

// BrokenError says that the head of a response is not valid.
type BrokenError struct {
	Line   int // from 1 on, of all heads of the response
	Reason string
}

// Error returns the message.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("broken response: line %d: %s", e.Line, e.Reason)
}

// Head checks the head of a response while its bytes come, with those of interim responses
// before it. The zero value is ready for use.
type Head struct {
	Bytes, Lines int // of the heads so far

	inFields bool // the status line is over
	column   int  // number of bytes of the line so far
	afterCR  bool
	interim  bool // another response follows
	done     bool
	err      error
}

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
			h.column++
		default:
			h.observeStatus(b)
			h.column++
		}
	}
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
	}
}

// endLine ends the present line. An empty one ends the head.
func (h *Head) endLine() {
	switch {
	case !h.inFields && h.column < len(statusPrefix)+statusDigits:
		h.fail("malformed status line")
		return
	case h.column > 0:
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
