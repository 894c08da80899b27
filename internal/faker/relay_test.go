package faker

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoRelay returns a relay in front of a server that sends back what it gets.
func echoRelay(t *testing.T) *Relay {
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

// How long a test waits for a byte that comes, and for one that must not.
const (
	patience = 20 * time.Second
	moment   = 200 * time.Millisecond
)

// echoes tells whether the connection sends back a byte within a time.
func echoes(t *testing.T, c net.Conn, wait time.Duration) bool {
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
	_, err = io.ReadFull(c, make([]byte, 1))
	return err == nil
}

func TestRelayLosesBytesOneWay(t *testing.T) {
	for _, d := range []RelayFault{{DropUp: true}, {DropDown: true}} {
		r := echoRelay(t)
		c := dial(t, r)
		require.True(t, echoes(t, c, patience))
		r.SetFault(d)
		require.False(t, echoes(t, c, moment))
		r.SetFault(RelayFault{})
		require.False(t, echoes(t, c, moment), "bytes were lost, none may follow")
		require.True(t, echoes(t, dial(t, r), patience))
	}
}

func TestRelayResets(t *testing.T) {
	r := echoRelay(t)
	c := dial(t, r)
	require.True(t, echoes(t, c, patience))
	r.Reset()
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF)
	require.True(t, echoes(t, dial(t, r), patience))
}
