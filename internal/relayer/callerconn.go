package relayer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
)

// callerConnState is the state of a caller's connection.
type callerConnState string

const (
	stateNew    callerConnState = "fresh"   // no request has been read
	stateActive callerConnState = "active"  // a request has been read and its response is not complete
	stateIdle   callerConnState = "resting" // between two requests
	stateBegun  callerConnState = "begun"   // bytes of the next request have been read
	stateClosed callerConnState = "closed"
)

// callerConn is a caller's connection. Its state decides the race between a new
// request and the closing of the idle connection: the first of them wins, so that
// no request is forwarded whose response can't be delivered. A request comes with its first
// byte, which may long wait here for the processor.
type callerConn struct {
	net.Conn
	writer *backlogWriter

	account *account

	mu        sync.Mutex
	state     callerConnState
	idleTimer *time.Timer // closes the connection, nil unless it is idle
	meter     headMeter   // of the headers of the present request
	head      *intake     // of what they cost, nil for few headers
}

// errHeadMemory ends a connection whose request has many headers while memory is short.
var errHeadMemory = errors.New("no memory for the headers of a request")

// callerListener accepts connections as callerConns.
type callerListener struct {
	net.Listener
	account     *account
	stopTimeout time.Duration // of writes
}

// Accept waits for the next connection and returns it as a *callerConn.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without it, the kernel holds more for slow callers, and tells later that they read.
		_ = tcp.SetWriteBuffer(callerWriteBuffer)
	}
	return &callerConn{Conn: c, writer: newBacklogWriter(c, l.account, l.stopTimeout), account: l.account, state: stateNew}, nil
}

// Read reads from the caller. After its first byte, a request keeps the connection from being
// closed as idle.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.state == stateIdle {
			c.stopTimer()
			c.state = stateBegun
		}
		if !c.takeHead(p[:n]) {
			return n, errHeadMemory
		}
	}
	return n, err
}

// takeHead takes what the headers in p cost, unless the request has begun, and reports whether
// there is room; c.mu is held.
func (c *callerConn) takeHead(p []byte) bool {
	if c.state != stateNew && c.state != stateBegun {
		return true
	}
	c.meter.observe(p)
	cost := c.meter.cost()
	if cost == 0 {
		return true
	}
	if c.head == nil {
		c.head = c.account.newIntake(budgeter.Request, sender(hostOf(c.RemoteAddr().String())), func() { _ = c.Close() })
	}
	return c.head.tryTake(cost - c.head.size)
}

// giveHead gives back what the headers of a request have cost; c.mu is held.
func (c *callerConn) giveHead() {
	if c.head != nil {
		c.head.close()
	}
	c.meter, c.head = headMeter{}, nil
}

// Write writes to the caller; see backlogWriter.
func (c *callerConn) Write(p []byte) (int, error) {
	return c.writer.Write(p)
}

// waiting reports whether a write waits for the caller. A nil connection never waits.
func (c *callerConn) waiting() bool {
	return c != nil && c.writer.waiting.Load()
}

// left reports whether the caller has closed the connection. It tells so before net/http
// does, which cancels the context of a request once a goroutine of it has run. A nil
// connection is never left.
func (c *callerConn) left() bool {
	return c != nil && peekInput(c.Conn) == inputEnd
}

// beginRequest marks the connection as active and stops the idle timeout. It
// returns false if the connection is closed.
func (c *callerConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosed {
		return false
	}
	c.stopTimer()
	c.state = stateActive
	return c.head == nil || c.head.protect()
}

// setIdle marks the connection as idle and closes it after timeout unless a
// request begins before.
func (c *callerConn) setIdle(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosed {
		return
	}
	c.stopTimer()
	c.giveHead()
	c.state = stateIdle
	c.idleTimer = time.AfterFunc(timeout, c.closeIfIdle)
}

// closeIfIdle closes the connection if it is idle and no request has come.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateIdle && peekInput(c.Conn) != inputData {
		// The caller may have closed the connection already.
		_ = c.close()
	}
}

// open reports whether the connection has not been closed here.
func (c *callerConn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != stateClosed
}

// Close closes the connection in any state.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.close()
}

// close closes the connection; c.mu is held.
func (c *callerConn) close() error {
	c.stopTimer()
	c.giveHead()
	c.state = stateClosed
	return c.Conn.Close()
}

// stopTimer ends the idle timeout; c.mu is held.
func (c *callerConn) stopTimer() {
	if c.idleTimer != nil {
		c.idleTimer.Stop()
		c.idleTimer = nil
	}
}

type callerConnKey struct{}

// withCallerConn stores the connection in the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection that withCallerConn stored in the context of a
// request, nil without one.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}
