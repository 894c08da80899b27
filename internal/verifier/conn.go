package verifier

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is the client's side of a connection. Its Read returns io.EOF only if the server has
// closed the connection in order, so that a response without a length is whole.
//
// A socket reports its failure once. If a write takes the report, reads return what has come
// and then io.EOF, as they do at the end of a whole response.
type Conn struct {
	net.Conn

	mu       sync.Mutex // held while writing
	writeErr error      // of the first write that failed
}

// NewConn returns a Conn on a socket.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// NetConn returns the socket.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Write writes to the server.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the server.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF if the server has closed the connection in order, and otherwise the
// failure that a write has taken. It ends a write that is under way, as the server has sent
// all of its response.
func (c *Conn) endError() error {
	// Fails only if the connection is closed, which ends writes as well.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(c.writeErr, syscall.EPIPE): // reported after the server has closed its side
		return io.EOF
	}
	return fmt.Errorf("connection failed while the request was written: %w", c.writeErr)
}
