package verifier

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	interimHead = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	finalHead   = "HTTP/1.1 200 OK\r\nTry: n1\r\n\r\n"
)

// observe returns the Head of a response that comes at once. It requires that parts of it make
// no difference.
func observe(t *testing.T, response string) Head {
	var whole, parts Head
	whole.Observe([]byte(response))
	for i := range response {
		parts.Observe([]byte(response[i : i+1]))
	}
	require.Equal(t, whole, parts)
	return whole
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
