package relayer

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
)

// Waits for room for an answer.
const (
	answerPatience   = time.Second // an upstream may wait no longer for its answer to be read
	answerPollPeriod = 10 * time.Millisecond
)

// Limits of what an upstream may send. A faulty one may send bytes without end.
const (
	maxResponseHeader = 64 << 10 // bytes of the headers of a response, with those of informational responses before it
	maxResponseSize   = 16 << 20 // bytes of a response body that is buffered until it is complete
	maxDiscarded      = 1 << 20  // bytes of a body that is read only to use the connection again
	minBodyBuffer     = 1 << 10  // bytes; most plain answers are smaller
)

var (
	errResponseHeader = errors.New("headers of the response exceed the size limit")
	errResponseSize   = errors.New("response exceeds the size limit")
	errResponseMemory = errors.New("no memory for a further response")
)

// readBody reads a body up to its end. Without room for more it lets the upstream wait, but
// not longer than answerPatience in all. The caller releases the capacity of the body when it
// has been forwarded, also after an error.
func (a *account) readBody(r io.Reader) (body []byte, err error) {
	var waited time.Duration
	for {
		if len(body) == cap(body) {
			size := max(minBodyBuffer, 2*cap(body))
			for ; !a.take(budgeter.Answer, size-cap(body)); waited += answerPollPeriod {
				if waited >= answerPatience {
					return body, errResponseMemory
				}
				time.Sleep(answerPollPeriod)
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		case len(body) > maxResponseSize:
			return body, errResponseSize
		}
	}
}

// discardBody reads a body up to its end.
func discardBody(r io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxDiscarded))
	if err == nil && n == maxDiscarded {
		return errResponseSize
	}
	return err
}

// headerLimiter reads from a connection and, while it is limited, fails after so many bytes.
type headerLimiter struct {
	conn      net.Conn
	limited   bool
	remaining int
}

// limit allows n further bytes.
func (l *headerLimiter) limit(n int) {
	l.limited, l.remaining = true, n
}

// unlimit allows any number of bytes.
func (l *headerLimiter) unlimit() {
	l.limited = false
}

func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errResponseHeader
	}
	n, err := l.conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
