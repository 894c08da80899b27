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

const maxPeerBody = 16 << 20 // bytes

// peerCaller calls peers as a gateway does.
type peerCaller struct {
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup // without end
}

func newPeerCaller(t *testing.T, g *Gateway) *peerCaller {
	p := &peerCaller{}
	p.ctx, p.cancel = context.WithCancel(puller.WithAccount(t.Context(), g.PeerAccount()))
	t.Cleanup(p.stop)
	return p
}

func (p *peerCaller) stop() {
	p.cancel()
	p.calls.Wait()
}

// pull returns the body of a response of a peer.
func (p *peerCaller) pull(peer string) ([]byte, error) {
	req, err := http.NewRequestWithContext(p.ctx, http.MethodGet, "http://"+peer+"/", nil)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := puller.New(puller.Config{Client: client, Timeout: 2 * time.Second, MaxBytes: maxPeerBody}).Pull(req, puller.Options{})
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}

// fill keeps n calls to a peer, each of which it answers with a body that does not end.
func (p *peerCaller) fill(t *testing.T, n int) {
	peer := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req == nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		block := bytes.Repeat([]byte("x"), 64<<10)
		for range maxPeerBody/len(block) - 1 {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, r) // until the caller closes
	})
	for range n {
		p.calls.Go(func() {
			for p.ctx.Err() == nil {
				_, _ = p.pull(peer)
			}
		})
	}
}

// startPeer starts a peer that answers with a body of a size and returns its address.
func startPeer(t *testing.T, size int) string {
	return startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req != nil {
			_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size))
			_, _ = c.Write(make([]byte, size))
		}
	})
}

// Bodies without end from the store or other processes stood on no account, and filled the memory
// of a gateway.
func TestBodiesOfPeersStandOnTheAccount(t *testing.T) {
	const size = 1 << 20 // bytes of a sound answer
	d := newFakeDispatcher(startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); req != nil {
			_, _ = io.WriteString(c, okResponse(req.Header.Get("Try"), "answer"))
		}
	}))
	budget := budgeter.ConfigOf(budgeter.Limits{Memory: fillingMemory})
	g, address := startBudgetedGateway(t, d, budget)
	before := goMemory()
	p := newPeerCaller(t, g)
	for range 2 {
		p.fill(t, 4)
	}
	require.Eventually(t, func() bool { return g.Held().HeldBytes > budget.Total/8 }, 30*time.Second, time.Millisecond, "it is filled")
	store, measured := startPeer(t, size), int64(0)
	for i := range 10 {
		body, err := p.pull(store)
		require.NoError(t, err)
		require.Len(t, body, size)
		status, _, err := post(t, address, fmt.Sprint("n", i), "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		measured = max(measured, goMemory()-before)
	}
	t.Logf("%d MiB at most, %d MiB held at most", measured>>20, g.Held().PeakBytes>>20)
	require.Less(t, measured, int64(fillingMemory)/2)
	require.LessOrEqual(t, g.Held().PeakBytes, budget.Total)
	p.stop()
	require.Eventually(t, func() bool { return g.Held().HeldBytes == 0 }, 10*time.Second, time.Millisecond)
}
