package relayer

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/dispatcher"
)

func TestUpstreamThatDoesNotReadARequestIsGivenUp(t *testing.T) {
	const size = 8 << 20
	hung := startUpstream(t, func(c net.Conn, _ *bufio.Reader) {
		_ = c.(*net.TCPConn).SetReadBuffer(slowSocketBuffer)
		<-t.Context().Done()
	})
	answering := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		_, _ = io.WriteString(c, okResponse(req.Header.Get("Try"), "fine"))
	})
	d := newFakeDispatcher(hung, answering)
	d.cfg.Limits.BodyLimit = size
	g, address := startBudgetedGateway(t, d, budgeter.ConfigOf(budgeter.Limits{Memory: 536 << 20}))
	d.timeout = time.Second
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, body, err := post(t, address, "large", strings.Repeat("b", size))
		require.NoError(t, err)
		require.Equal(t, "fine", body)
	}()
	require.Eventually(t, func() bool { return g.Held().HeldBytes >= size }, 10*time.Second, time.Millisecond)
	<-done
	require.Equal(t, []dispatcher.Outcome{dispatcher.Unknown, dispatcher.Completed}, d.outcomes())
	g.pool.mu.Lock()
	require.Empty(t, g.pool.idle[hung], "a connection with half a request carries no other")
	g.pool.mu.Unlock()
	require.Eventually(t, func() bool { return g.Held().HeldBytes == 0 }, time.Second, time.Millisecond)
}

func TestUpstreamThatReadsARequestSlowlyGetsAll(t *testing.T) {
	const size = 1 << 20
	var got string
	address := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		_ = c.(*net.TCPConn).SetReadBuffer(slowSocketBuffer)
		req, body := readRequest(r)
		got = body
		_, _ = io.WriteString(c, okResponse(req.Header.Get("Try"), "fine"))
	})
	g, gateway := startBudgetedGateway(t, newFakeDispatcher(address), budgeter.ConfigOf(budgeter.Limits{Memory: 144 << 20}))
	want := strings.Repeat("0123456789abcdef", size/16)
	_, body, err := post(t, gateway, "n1", want)
	require.NoError(t, err)
	require.Equal(t, "fine", body)
	require.Equal(t, want, got)
	require.Eventually(t, func() bool { return g.Held().HeldBytes == 0 }, time.Second, time.Millisecond)
}
