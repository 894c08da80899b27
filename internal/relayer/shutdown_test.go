package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callerOf returns a caller's new connection to a gateway, once the gateway knows it.
func callerOf(t *testing.T, g *Gateway, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	before := len(g.callerConns())
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.Eventually(t, func() bool { return len(g.callerConns()) > before }, time.Minute, time.Millisecond)
	return conn, bufio.NewReader(conn)
}

// shutDown calls Shutdown and returns its result once the gateway is stopping.
func shutDown(ctx context.Context, t *testing.T, g *Gateway) <-chan error {
	t.Helper()
	g.Drain()
	done := make(chan error, 1)
	go func() { done <- g.Shutdown(ctx) }()
	require.Eventually(t, g.isStopping, time.Minute, time.Millisecond)
	return done
}

// requireLastAnswer requires that a request gets an answer which says that the connection ends.
func requireLastAnswer(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.True(t, resp.Close)
	require.NoError(t, resp.Body.Close())
}

func TestRequestThatIsReadAfterShutdownIsAnswered(t *testing.T) {
	for name, sent := range map[string]int{"none of it before": 0, "a part of it before": len(getRequest) / 2} {
		t.Run(name, func(t *testing.T) {
			g, address := startGateway(t, newFakeDispatcher())
			conn, reader := callerOf(t, g, address)
			_, err := io.WriteString(conn, getRequest[:sent])
			require.NoError(t, err)
			done := shutDown(t.Context(), t, g)
			_, err = io.WriteString(conn, getRequest[sent:])
			require.NoError(t, err)
			requireLastAnswer(t, reader)
			require.NoError(t, <-done)
			_, err = net.Dial("tcp", address)
			require.Error(t, err)
		})
	}
}

// A stream whose header was written before a stop doesn't say that its connection ends.
func TestRequestAfterAStreamThatOutlastsShutdownIsAnswered(t *testing.T) {
	end := make(chan struct{})
	d := newFakeDispatcher(startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req == nil {
			return
		}
		_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", sealedStream, len(streamBegin), streamBegin)
		<-end
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(streamRest), streamRest)
	}))
	g, address := startGateway(t, d)
	conn, reader := callerOf(t, g, address)
	_, err := io.WriteString(conn, getRequest)
	require.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.False(t, resp.Close)
	done := shutDown(t.Context(), t, g)
	_, err = io.WriteString(conn, getRequest)
	require.NoError(t, err)
	close(end)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	requireLastAnswer(t, reader)
	require.NoError(t, <-done)
}

func TestShutdownEndsWithItsContextOnlyForOpenRequests(t *testing.T) {
	for name, open := range map[string]bool{"open request": true, "connection without a request": false} {
		t.Run(name, func(t *testing.T) {
			answer := make(chan struct{})
			d := newFakeDispatcher(startUpstream(t, func(_ net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				<-answer
			}))
			g, address := startGateway(t, d)
			conn, _ := callerOf(t, g, address)
			if open {
				_, err := io.WriteString(conn, getRequest)
				require.NoError(t, err)
				require.Eventually(t, func() bool { return g.Open() == 1 }, time.Minute, time.Millisecond)
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := shutDown(ctx, t, g)
			cancel()
			if open {
				require.ErrorIs(t, <-done, context.Canceled)
			} else {
				require.NoError(t, <-done)
			}
			close(answer)
		})
	}
}

func TestGatewayDoesNotServeAfterShutdown(t *testing.T) {
	g := New(Config{HeaderCodec: testHeaderCodec{}, Dispatcher: newFakeDispatcher()})
	require.NoError(t, g.Shutdown(t.Context()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, g.Serve(l))
	_, err = net.Dial("tcp", l.Addr().String())
	require.Error(t, err)
}
