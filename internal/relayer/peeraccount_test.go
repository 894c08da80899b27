package relayer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/puller"
)

// Bodies without end from the store or other processes stood on no account, and filled the memory
// of a gateway.
func TestBodiesOfPeersStandOnTheAccount(t *testing.T) {
	const (
		calls    = 4 // at a time to each of two peers
		maxBytes = 16 << 20
		sound    = 1 << 20 // bytes of a sound answer
	)
	endless := func(c net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req == nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		block := bytes.Repeat([]byte("x"), 64<<10)
		for range maxBytes/len(block) - 1 {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, r) // until the caller closes
	}
	d := newFakeDispatcher(startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req != nil {
			_, _ = io.WriteString(c, okResponse(req.Header.Get("Try"), "answer"))
		}
	}))
	budget := budgeter.ConfigOf(budgeter.Limits{Memory: fillingMemory})
	g, address := startBudgetedGateway(t, d, budget)
	ctx, cancel := context.WithCancel(puller.WithAccount(t.Context(), g.PeerAccount()))
	pull := func(peer string) ([]byte, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+"/", nil)
		if err != nil {
			return nil, err
		}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := puller.New(puller.Config{Client: client, Timeout: 2 * time.Second, MaxBytes: maxBytes}).Pull(req, puller.Options{})
		if err != nil {
			return nil, err
		}
		return resp.Body, nil
	}
	before := goMemory()
	var fillers sync.WaitGroup
	for range 2 {
		peer := startUpstream(t, endless)
		for range calls {
			fillers.Go(func() {
				for ctx.Err() == nil {
					_, _ = pull(peer)
				}
			})
		}
	}
	require.Eventually(t, func() bool { return g.Held().HeldBytes > budget.Total/8 }, 30*time.Second, time.Millisecond, "it is filled")
	store := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req != nil {
			_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", sound))
			_, _ = c.Write(make([]byte, sound))
		}
	})
	measured := int64(0)
	for i := range 10 {
		body, err := pull(store)
		require.NoError(t, err)
		require.Len(t, body, sound)
		status, _, err := post(t, address, fmt.Sprint("n", i), "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		measured = max(measured, goMemory()-before)
	}
	t.Logf("%d MiB at most, %d MiB held at most", measured>>20, g.Held().PeakBytes>>20)
	require.Less(t, measured, int64(fillingMemory)/2)
	require.LessOrEqual(t, g.Held().PeakBytes, budget.Total/2)
	cancel()
	fillers.Wait()
	require.Eventually(t, func() bool { return g.Held().HeldBytes == 0 }, 10*time.Second, time.Millisecond)
}
