package relayer

import (
	"context"
	"net"
	"sync"
	"time"
)

// phase tells what a caller's connection is used for.
type phase string

const (
	fresh   phase = "fresh"   // no request has been read
	active  phase = "active"  // a request has been read and is not answered whole
	resting phase = "resting" // between two requests
	closed  phase = "closed"
)

// callerConn is a caller's connection. A request on it and its closing for
// idleness exclude each other: whichever comes first keeps the other from
// happening, so that no request is passed on whose answer can't be delivered.
type callerConn struct {
	net.Conn

	mu    sync.Mutex
	phase phase
	idle  *time.Timer // closes the connection while it rests
}

// callerListener accepts callerConns.
type callerListener struct {
	net.Listener
}

// Accept waits for the next caller.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, phase: fresh}, nil
}

// begin takes up a request; it returns false when the connection is closed.
func (c *callerConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == closed {
		return false
	}
	c.stopTimer()
	c.phase = active
	return true
}

// rest closes the connection after timeout unless a request begins before.
func (c *callerConn) rest(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == closed {
		return
	}
	c.stopTimer()
	c.phase = resting
	c.idle = time.AfterFunc(timeout, c.retire)
}

// retire closes the connection if it rests.
func (c *callerConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == resting {
		// The caller may have closed it already.
		_ = c.close()
	}
}

// Close ends the connection whatever it is used for.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.close()
}

func (c *callerConn) close() error {
	c.stopTimer()
	c.phase = closed
	return c.Conn.Close()
}

func (c *callerConn) stopTimer() {
	if c.idle != nil {
		c.idle.Stop()
		c.idle = nil
	}
}

type callerConnKey struct{}

// withCallerConn puts the connection into the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// beginOn takes up a request on the connection of its context; it returns false
// when the connection has been closed.
func beginOn(ctx context.Context) bool {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	return !ok || c.begin()
}
