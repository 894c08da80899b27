package relayer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/budgeter"
)

// Callers and upstreams share the descriptors of a process, and a caller that can't connect
// waits for seconds.
func TestConnectionsAreGivenUpWhileSocketsAreShort(t *testing.T) {
	address := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _ := readRequest(r)
			if req == nil {
				return
			}
			_, _ = io.WriteString(c, okResponse(req.Header.Get("Try"), "fine"))
		}
	})
	g, gateway := startBudgetedGateway(t, newFakeDispatcher(address), budgeter.Config{Total: 1 << 20, Sockets: 5})
	ask := func(c net.Conn) *http.Response {
		_, err := io.WriteString(c, getRequest)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", gateway)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	first := dial()
	require.False(t, ask(first).Close)
	require.EqualValues(t, 1, g.Held().UpstreamConnections, "it is kept")
	second, third := dial(), dial()
	require.Eventually(t, func() bool { return g.Held().CallerConnections == 3 }, time.Second, time.Millisecond)
	require.False(t, ask(second).Close)
	require.Zero(t, g.Held().UpstreamConnections, "it was closed first")
	dial()
	require.Eventually(t, func() bool { return g.Held().CallerConnections == 4 }, time.Second, time.Millisecond)
	resp := ask(third)
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	require.Eventually(t, func() bool { return g.Held().CallerConnections == 3 }, time.Second, time.Millisecond)

	dial()
	dial()
	require.Eventually(t, func() bool { return g.Held().CallerConnections == 5 }, time.Second, time.Millisecond)
	require.Equal(t, 503, ask(first).StatusCode)
}
