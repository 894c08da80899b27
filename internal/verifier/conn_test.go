package verifier

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failingSocket reports a failure to writes only. Reads return io.EOF.
type failingSocket struct {
	net.Conn
	failure error
	blocked chan struct{} // closed by the deadline of writes, which wait for it; nil if they don't
}

func (s *failingSocket) Read([]byte) (int, error) { return 0, io.EOF }

func (s *failingSocket) Write([]byte) (int, error) {
	if s.blocked != nil {
		<-s.blocked
	}
	return 0, s.failure
}

func (s *failingSocket) SetWriteDeadline(time.Time) error {
	if s.blocked != nil {
		close(s.blocked)
	}
	return nil
}

func writeError(err error) error {
	return &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", err)}
}

// Reads returned a plain end after a write had taken the report of a reset.
func TestEndAfterAFailedWriteIsNoEnd(t *testing.T) {
	for name, c := range map[string]struct {
		failure error
		inOrder bool
	}{
		"reset":               {writeError(syscall.ECONNRESET), false},
		"timeout of TCP":      {writeError(syscall.ETIMEDOUT), false},
		"host unreachable":    {writeError(syscall.EHOSTUNREACH), false},
		"closed by the peer":  {writeError(syscall.EPIPE), true},
		"deadline of a write": {os.ErrDeadlineExceeded, true},
		"none":                {nil, true},
	} {
		for _, blocked := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				socket := &failingSocket{failure: c.failure}
				conn := NewConn(socket)
				if blocked {
					socket.blocked = make(chan struct{})
					writing := make(chan struct{})
					go func() {
						conn.mu.Lock() // as Write does
						close(writing)
						_, conn.writeErr = socket.Write(nil)
						conn.mu.Unlock()
					}()
					<-writing
				} else {
					_, err := conn.Write([]byte("request"))
					require.ErrorIs(t, err, c.failure)
				}
				_, err := conn.Read(make([]byte, 1))
				if c.inOrder {
					require.Equal(t, io.EOF, err)
					return
				}
				require.ErrorIs(t, err, errors.Unwrap(c.failure))
				require.NotErrorIs(t, err, io.EOF)
			})
		}
	}
}
