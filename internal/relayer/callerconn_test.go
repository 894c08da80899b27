package relayer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// pipeListener accepts the connections that are sent to conns.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// delayedConn delays data after it has been read, as in a process that is waiting
// for CPU time.
type delayedConn struct {
	net.Conn
	delay func(read []byte)
}

func (c *delayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.delay(b[:n])
	}
	return n, err
}

const getRequest = "GET /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\n\r\n"

// A request may be read just before its idle connection is closed, by the idle
// timeout or by Shutdown. It must not be forwarded, since its response could not be
// delivered.
func TestRequestOnAClosedIdleConnectionIsNotPassedOn(t *testing.T) {
	for name, closeConn := range map[string]func(g *Gateway){
		"timeout":  func(*Gateway) { time.Sleep(6 * time.Second) }, // longer than the idle timeout of fakeDispatcher
		"shutdown": func(g *Gateway) { _ = g.Shutdown(context.Background()) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newFakeDispatcher()
				l := newPipeListener()
				g := New(Config{HeaderCodec: testHeaderCodec{}, Dispatcher: d, Logger: zerolog.Nop()})
				go func() { _ = g.Serve(l) }()
				caller, server := net.Pipe()
				reads := 0
				l.conns <- &delayedConn{Conn: server, delay: func(read []byte) {
					if reads++; reads == 2 {
						closeConn(g)
					}
				}}
				reader := bufio.NewReader(caller)
				_, err := io.WriteString(caller, getRequest)
				require.NoError(t, err)
				resp, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				synctest.Wait()
				require.Len(t, d.mailboxes, 1)

				_, err = io.WriteString(caller, getRequest)
				require.NoError(t, err)
				_, err = reader.ReadByte()
				require.Error(t, err)
				time.Sleep(10 * time.Second) // until delayedConn has returned the request
				synctest.Wait()
				require.Len(t, d.mailboxes, 1, "the request was submitted")
				require.NoError(t, g.server.Close())
				synctest.Wait()
			})
		})
	}
}

// A process that waits for the processor reads what has come only later.
func TestIdleConnectionIsNotClosedWhenARequestHasCome(t *testing.T) {
	for _, read := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		caller, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = caller.Close() }()
		server, err := callerListener{Listener: l}.Accept()
		require.NoError(t, err)
		c := server.(*callerConn)
		c.setIdle(time.Hour)
		_, err = io.WriteString(caller, "G")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return peekInput(c.Conn) == inputData }, time.Minute, time.Millisecond)
		if read {
			_, err = c.Read(make([]byte, 1))
			require.NoError(t, err)
		}
		c.closeIfIdle()
		require.True(t, c.beginRequest(), "read %v", read)

		c.setIdle(time.Hour)
		if !read {
			_, err = c.Conn.Read(make([]byte, 1))
			require.NoError(t, err)
		}
		c.closeIfIdle()
		require.False(t, c.beginRequest(), "nothing has come")
	}
}
