package relayer

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
)

// Limits of writes to callers.
const (
	defaultStopTimeout = 10 * time.Second // without progress, until a caller counts as one that has stopped reading
	callerWriteBuffer  = 64 << 10         // bytes in the socket; the kernel tells of progress in parts of it
	maxBacklogWrite    = 32 << 10         // bytes of a backlog that are written at once
	minBacklog         = 4 << 10          // bytes of the smallest buffer for a backlog
)

// errStoppedReading ends a caller that reads nothing for a time.
var errStoppedReading = errors.New("caller stopped reading")

// backlogWriter writes to a caller's connection. While it holds a backlog, it takes in what
// the caller does not read at once, so that an upstream need not wait for a slow caller;
// without room for more, Write blocks. Write is called by one goroutine at a time.
type backlogWriter struct {
	conn        net.Conn
	raw         syscall.RawConn // nil if the connection can't be written without blocking
	account     *account
	stopTimeout time.Duration // without progress, until the caller is given up

	// Of tryWrite; one function for the connection, as each further one would be allocated.
	tryData []byte
	tried   int
	tryFunc func(fd uintptr) bool

	holding bool        // between hold and flush
	waiting atomic.Bool // Write blocks

	mu      sync.Mutex
	changed *sync.Cond // writeBacklog has ended
	backlog []byte
	writing bool // writeBacklog runs
	err     error
}

func newBacklogWriter(c net.Conn, a *account, stopTimeout time.Duration) *backlogWriter {
	w := &backlogWriter{conn: c, account: a, stopTimeout: stopTimeout}
	w.changed = sync.NewCond(&w.mu)
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			w.raw, w.tryFunc = raw, w.tryOnce
		}
	}
	return w
}

// hold allows a backlog until flush.
func (w *backlogWriter) hold() { w.holding = true }

// Write writes p or adds what the caller does not read to the backlog.
func (w *backlogWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	n := 0
	if len(w.backlog) == 0 && !w.writing {
		n = w.tryWrite(p)
		if n == len(p) {
			return n, nil
		}
	}
	rest := p[n:]
	if w.holding && w.grow(len(rest)) {
		w.backlog = append(w.backlog, rest...)
		if !w.writing {
			w.writing = true
			go w.writeBacklog()
		}
		return len(p), nil
	}
	w.waiting.Store(true)
	defer w.waiting.Store(false)
	w.wait()
	if w.err != nil {
		return n, w.err
	}
	w.mu.Unlock()
	written, err := w.writeAll(rest)
	w.mu.Lock()
	w.err = err
	return n + written, err
}

// grow makes room for n further bytes of the backlog and reports whether there is any;
// w.mu is held. The account counts the capacity of the backlog.
func (w *backlogWriter) grow(n int) bool {
	limit, needed := w.account.perCaller(), len(w.backlog)+n
	if needed <= cap(w.backlog) {
		return true
	}
	size := min(limit, max(needed, 2*cap(w.backlog), minBacklog))
	if needed > limit || !w.account.take(budgeter.Stream, size-cap(w.backlog)) {
		return false
	}
	w.backlog = append(make([]byte, 0, size), w.backlog...)
	return true
}

// flush waits until the caller has got the backlog. Afterwards, Write blocks again.
func (w *backlogWriter) flush() error {
	w.holding = false
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wait()
	return w.err
}

// failure returns the error that ended the connection, nil without one.
func (w *backlogWriter) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// wait waits until the backlog has been written; w.mu is held.
func (w *backlogWriter) wait() {
	for w.writing {
		w.changed.Wait()
	}
}

// writeBacklog writes the backlog until it is empty or the caller is gone.
func (w *backlogWriter) writeBacklog() {
	var chunk []byte
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.backlog) > 0 && w.err == nil {
		chunk = append(chunk[:0], w.backlog[:min(len(w.backlog), maxBacklogWrite)]...)
		w.mu.Unlock()
		n, err := w.writeAll(chunk)
		w.mu.Lock()
		w.err = err
		w.backlog = append(w.backlog[:0], w.backlog[n:]...)
	}
	w.account.release(budgeter.Stream, cap(w.backlog))
	w.backlog, w.writing = nil, false
	w.changed.Broadcast()
}

// writeAll writes p, however slowly the caller reads, unless it stops.
func (w *backlogWriter) writeAll(p []byte) (int, error) {
	written := 0
	for {
		if err := w.conn.SetWriteDeadline(time.Now().Add(w.stopTimeout)); err != nil {
			return written, err
		}
		n, err := w.conn.Write(p[written:])
		written += n
		switch {
		case err == nil:
			return written, w.conn.SetWriteDeadline(time.Time{})
		case !isTimeout(err):
			return written, err
		case n == 0:
			return written, errStoppedReading
		}
	}
}

// tryWrite writes as much of p as the socket takes without blocking and returns its size.
// Errors show at the next write.
func (w *backlogWriter) tryWrite(p []byte) int {
	if w.raw == nil {
		return 0
	}
	w.tryData, w.tried = p, 0
	// Fails only if the connection is closed.
	_ = w.raw.Write(w.tryFunc)
	w.tryData = nil
	return w.tried
}

// tryOnce writes tryData to a socket once.
func (w *backlogWriter) tryOnce(fd uintptr) bool {
	if n, err := syscall.Write(int(fd), w.tryData); err == nil {
		w.tried = n
	}
	return true // don't wait until the socket is writable
}
