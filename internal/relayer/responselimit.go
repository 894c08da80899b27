package relayer

import (
	"errors"
	"io"
	"net"

	"github.com/egretwall/egretwall/internal/verifier"
)

// Limits of what an upstream may send. A faulty one may send bytes without end.
const (
	maxResponseHeader = 64 << 10 // bytes of the headers of a response, with those of informational responses before it
	maxResponseLines  = 1 << 10  // of these headers
	maxResponseSize   = 16 << 20 // bytes of a response body that is buffered until it is complete
	maxDiscarded      = 1 << 20  // bytes of a body that is read only to use the connection again
	minBodyBuffer     = 1 << 10  // bytes; most plain answers are smaller
)

var (
	errResponseHeader = errors.New("headers of the response exceed the size limit")
	errResponseSize   = errors.New("response exceeds the size limit")
	errResponseMemory = errors.New("no memory for a further response")
)

// readBody reads the body of a response up to its end.
func readBody(in *intake, r io.Reader) (body []byte, err error) {
	for {
		if len(body) == cap(body) {
			if body, err = in.grow(body, max(minBodyBuffer, 2*cap(body)), in.take); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, in.cause(err)
		case len(body) > maxResponseSize:
			return nil, errResponseSize
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

// headerLimiter reads from a connection. While it is limited, it checks and counts headers of
// responses, and fails after too many.
type headerLimiter struct {
	conn    net.Conn
	limited bool
	head    verifier.Head
	intake  *intake // takes what the headers cost
	cost    int     // of the headers so far
}

// limit begins to check and count the headers of a response, whose first bytes have been read.
func (l *headerLimiter) limit(in *intake, begin []byte) {
	l.limited, l.head, l.intake, l.cost = true, verifier.Head{}, in, 0
	l.head.Observe(begin)
}

// unlimit allows any number of bytes.
func (l *headerLimiter) unlimit() {
	l.limited, l.intake = false, nil
}

func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if err := l.head.Err(); err != nil {
		return 0, err
	}
	if l.head.Bytes >= maxResponseHeader || l.head.Lines >= maxResponseLines {
		return 0, errResponseHeader
	}
	n, err := l.conn.Read(p[:min(len(p), maxResponseHeader-l.head.Bytes)])
	l.head.Observe(p[:n])
	if cost := headCost(l.head.Bytes, l.head.Lines); cost > l.cost {
		if takeErr := l.intake.take(cost - l.cost); takeErr != nil {
			return n, takeErr
		}
		l.cost = cost
	}
	return n, err
}
