package relayer

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync/atomic"
)

// Limits of what an upstream may send. A faulty one may send bytes without end.
const (
	maxResponseHeader    = 64 << 10 // bytes of the headers of a response, with those of informational responses before it
	maxResponseSize      = 16 << 20 // bytes of a response body that is buffered until it is complete
	maxBufferedResponses = 32 << 20 // bytes of all such bodies together; a third of the memory of a small gateway, as buffers grow by doubling
	maxDiscarded         = 1 << 20  // bytes of a body that is read only to use the connection again
	minBodyBuffer        = 1 << 10  // bytes; most plain answers are smaller
)

var (
	errResponseHeader = errors.New("headers of the response exceed the size limit")
	errResponseSize   = errors.New("response exceeds the size limit")
	errResponseMemory = errors.New("no memory for a further response")
)

// memoryBudget limits the bytes of response bodies in memory. It is safe for concurrent use.
type memoryBudget struct {
	used atomic.Int64
}

// take reserves n bytes and reports whether there was room.
func (m *memoryBudget) take(n int) bool {
	if m.used.Add(int64(n)) <= maxBufferedResponses {
		return true
	}
	m.release(n)
	return false
}

func (m *memoryBudget) release(n int) {
	m.used.Add(-int64(n))
}

// readBody reads a body up to its end. The caller releases the bytes of the body when it has
// been forwarded, also after an error.
func (m *memoryBudget) readBody(r io.Reader) (body []byte, err error) {
	body = make([]byte, 0, minBodyBuffer)
	for {
		body = slices.Grow(body, 1)
		n, err := r.Read(body[len(body):cap(body)])
		if !m.take(n) {
			return body, errResponseMemory
		}
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
