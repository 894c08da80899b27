package verifier

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http/httpguts"
)

const (
	interimHead = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	finalHead   = "HTTP/1.1 200 OK\r\nTry: n1\r\n\r\n"
)

// observe returns the Head of a response that comes at once. It requires that parts of it make
// no difference.
func observe(t *testing.T, response string) *Head {
	var whole, parts Head
	whole.Observe([]byte(response))
	for i := range len(response) {
		parts.Observe([]byte(response[i : i+1]))
	}
	require.Equal(t, whole, parts)
	return &whole
}

func TestHeadEndsBeforeTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		response     string
		bytes, lines int
	}{
		"final":            {finalHead + "body\n\n\n", len(finalHead), 3},
		"interim":          {interimHead + interimHead + finalHead + "\n\n", 2*len(interimHead) + len(finalHead), 9},
		"lines without CR": {"HTTP/1.1 200 OK\nA: b\n\n\n\n", 22, 3},
		"no reason":        {"HTTP/1.1 200\r\n\r\n", 16, 2},
		"folded":           {"HTTP/1.1 200 OK\r\nNote: a\r\n b \t c\r\n \r\n\r\nx", 39, 5},
		"values":           {"HTTP/1.1 200 \xe9\r\nA-1!#$%&'*+.^_`|~:\r\nb:\t \xff:;\r\n\r\n", 47, 4},
		"no fields":        {"HTTP/1.1 599 Odd\r\n\r\nbody", 20, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := observe(t, c.response)
			require.NoError(t, h.Err())
			require.True(t, h.Done())
			require.Equal(t, c.bytes, h.Bytes)
			require.Equal(t, c.lines, h.Lines)
		})
	}
}

func TestBrokenStatusLines(t *testing.T) {
	for line, reason := range map[string]string{
		"HTTP/1.1 000 Oops":   "status 0xx",
		"HTTP/1.1 000":        "status 0xx",
		"HTTP/1.1 099 Oops":   "status 0xx",
		"HTTP/1.1 600 Oops":   "status 6xx",
		"HTTP/1.1 999 Oops":   "status 9xx",
		"HTTP/1.1 20 OK":      "malformed status",
		"HTTP/1.1 20":         "malformed status line",
		"HTTP/1.1 2000 OK":    "malformed status",
		"HTTP/1.1 200OK":      "malformed status",
		"HTTP/1.1 +20 OK":     "malformed status",
		"HTTP/1.1 -20 OK":     "malformed status",
		"HTTP/1.1  200 OK":    "malformed status",
		"HTTP/1.1 2\x000 OK":  "malformed status",
		"HTTP/1.1 OK":         "malformed status",
		"HTTP/1.1":            "malformed status line",
		"HTTP/1.0 200 OK":     "not of HTTP/1.1",
		"HTTP/2.0 200 OK":     "not of HTTP/1.1",
		"http/1.1 200 OK":     "not of HTTP/1.1",
		" HTTP/1.1 200 OK":    "not of HTTP/1.1",
		"SIP/2.0 200 OK":      "not of HTTP/1.1",
		"HTTP/1.1\t200 OK":    "not of HTTP/1.1",
		"":                    "malformed status line",
		"HTTP/1.1 200 O\x00K": `reason holds '\x00'`,
		"HTTP/1.1 200 O\rK":   "bare CR",
		"HTTP/1.1 200 OK\r\r": "bare CR",
	} {
		t.Run(line, func(t *testing.T) {
			for lines, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
				h := observe(t, before+line+"\r\nA: b\r\n\r\n")
				require.Equal(t, &BrokenError{Line: 2*lines + 1, Reason: reason}, h.Err())
				require.False(t, h.Done())
			}
		})
	}
}

func TestBrokenFieldLines(t *testing.T) {
	for line, reason := range map[string]string{
		"Content-Length : 4":       `name of a field holds ' '`,
		"Content-Length\t: 4":      `name of a field holds '\t'`,
		"Content Length: 4":        `name of a field holds ' '`,
		"Content-\x00Length: 4":    `name of a field holds '\x00'`,
		"\x01Content-Length: 4":    `name of a field holds '\x01'`,
		"Content-Length\x7f: 4":    `name of a field holds '\x7f'`,
		"C\xc3\xb6ntent-Length: 4": `name of a field holds 'Ã'`,
		"Content(Length): 4":       `name of a field holds '('`,
		": 4":                      `name of a field holds ':'`,
		"Content-Length":           "field line without a colon",
		"Content-\rLength: 4":      "bare CR",
		"Note: a\x00b":             `value of a field holds '\x00'`,
		"Note: a\x1bb":             `value of a field holds '\x1b'`,
		"Note: a\x7f":              `value of a field holds '\x7f'`,
		"Note: a\rb":               "bare CR",
	} {
		t.Run(line, func(t *testing.T) {
			for lines, before := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n", interimHead + "HTTP/1.1 200 OK\r\n"} {
				h := observe(t, before+line+"\r\n\r\n")
				require.Equal(t, &BrokenError{Line: lines + 2, Reason: reason}, h.Err())
				require.False(t, h.Done())
			}
		})
	}
}

// A name with a blank before it reads as the rest of the value before.
func TestBlankBeforeAFieldLine(t *testing.T) {
	for _, line := range []string{" Content-Length: 4", "\tContent-Length: 4", "  Content-Length : 4", " Content Length: 4", " : 4"} {
		t.Run(line, func(t *testing.T) {
			require.Equal(t, &BrokenError{2, fmt.Sprintf("name of a field holds %q", line[0])}, observe(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n").Err())
			require.Equal(t, &BrokenError{3, "continued value holds a colon"}, observe(t, "HTTP/1.1 200 OK\r\nSeal: s\r\n"+line+"\r\n\r\n").Err())
		})
	}
}

// Head and net/http must agree on where a head ends, or the rest of it would go unchecked.
func FuzzHead(f *testing.F) {
	for _, response := range []string{
		finalHead + "body", interimHead + interimHead + finalHead, "HTTP/1.1 200 OK\nA: b\n\n\n", "HTTP/1.1 200 OK\r\nNote: a\r\n b\r\n \r\n\r\n",
		"HTTP/1.1 000 Oops\r\n\r\n" + finalHead, "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", "HTTP/1.1 204\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		f.Add([]byte(response))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		h := observe(t, string(response))
		source := bytes.NewReader(response)
		reader := bufio.NewReader(source)
		for {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil || h.Err() != nil {
				return
			}
			if resp.StatusCode >= http.StatusOK {
				require.LessOrEqual(t, resp.StatusCode, 599)
				for name := range resp.Header {
					require.True(t, httpguts.ValidHeaderFieldName(name), name)
				}
				require.True(t, h.Done())
				require.Equal(t, len(response)-source.Len()-reader.Buffered(), h.Bytes)
				return
			}
		}
	})
}
