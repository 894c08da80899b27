package faker

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newEchoRelay returns a relay whose target is an echo server.
func newEchoRelay(t *testing.T) *Relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r, err := NewRelay("127.0.0.1:0", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	c, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Read timeouts for a byte that must arrive and for one that must not.
const (
	arrivalTimeout = 20 * time.Second
	silenceTimeout = 200 * time.Millisecond
)

// echoes reports whether a byte sent on the connection comes back within the wait.
func echoes(t *testing.T, c net.Conn, wait time.Duration) bool {
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
	_, err = io.ReadFull(c, make([]byte, 1))
	return err == nil
}

func TestRelayDropsBytesInOneDirection(t *testing.T) {
	for _, fault := range []RelayFault{{DropUp: true}, {DropDown: true}} {
		r := newEchoRelay(t)
		c := dial(t, r)
		require.True(t, echoes(t, c, arrivalTimeout))
		r.SetFault(fault)
		require.False(t, echoes(t, c, silenceTimeout))
		r.SetFault(RelayFault{})
		require.False(t, echoes(t, c, silenceTimeout), "the connection forwarded bytes after it had dropped some")
		require.True(t, echoes(t, dial(t, r), arrivalTimeout))
	}
}

func TestRelayResets(t *testing.T) {
	r := newEchoRelay(t)
	c := dial(t, r)
	require.True(t, echoes(t, c, arrivalTimeout))
	r.Reset()
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF)
	require.True(t, echoes(t, dial(t, r), arrivalTimeout))
}
