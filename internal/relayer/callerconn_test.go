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

// pipeListener hands out the server ends of pipes.
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

// slowReader hands over what it has read only after a while, like a process
// that waits for a processor.
type slowReader struct {
	net.Conn
	wait func(read []byte)
}

func (r *slowReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		r.wait(b[:n])
	}
	return n, err
}

const plainGet = "GET /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\n\r\n"

// A request that has been read when its idle connection is closed must not be
// passed on: its answer could not be delivered.
func TestRequestOnAClosedIdleConnectionIsNotPassedOn(t *testing.T) {
	for name, closing := range map[string]func(g *Gateway){
		"timeout":  func(*Gateway) { time.Sleep(6 * time.Second) }, // longer than the idle timeout of plainDecider
		"shutdown": func(g *Gateway) { _ = g.Shutdown(context.Background()) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDecider()
				l := newPipeListener()
				g := New(Config{HeaderCodec: plainDialect{}, Dispatcher: d, Logger: zerolog.Nop()})
				go func() { _ = g.Serve(l) }()
				caller, server := net.Pipe()
				requests := 0
				l.conns <- &slowReader{Conn: server, wait: func(read []byte) {
					if requests++; requests == 2 {
						closing(g)
					}
				}}
				reader := bufio.NewReader(caller)
				_, err := io.WriteString(caller, plainGet)
				require.NoError(t, err)
				resp, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				synctest.Wait()
				require.Len(t, d.boxes, 1)

				_, err = io.WriteString(caller, plainGet)
				require.NoError(t, err)
				_, err = reader.ReadByte()
				require.Error(t, err)
				time.Sleep(10 * time.Second) // until the request has been handed over
				synctest.Wait()
				require.Len(t, d.boxes, 1, "the request was passed on")
				require.NoError(t, g.server.Close())
				synctest.Wait()
			})
		})
	}
}
