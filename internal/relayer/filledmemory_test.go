package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/budgeter"
)

const fillingMemory = 144 << 20 // bytes, of the smallest gateway

// manyFields are small header fields with different names.
func manyFields(lines int) string {
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, "a%x:\r\n", i)
	}
	return b.String()
}

// endlessResponse is a response that an upstream begins with head, goes on with so many
// bytes, as repetitions of a part, and never ends.
type endlessResponse struct {
	head, part string
	size       int
}

// endlessResponses are responses of all shapes, each as long as a gateway bears or longer.
// "TRY" stands for the attempt.
func endlessResponses() map[string]endlessResponse {
	const (
		sealed  = "HTTP/1.1 200 OK\r\nTry: TRY\r\nSeal: s\r\n"
		chunked = sealed + "Transfer-Encoding: chunked\r\n\r\n"
	)
	return map[string]endlessResponse{
		"no answer":            {"", "x", maxResponseHeader - 1},
		"many header fields":   {sealed + manyFields(maxResponseLines-8), "", 0},
		"one header field":     {sealed + "Field: ", "v", maxResponseHeader - 100},
		"interim answers":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 28 * (maxResponseLines/2 - 1)},
		"fields of interim":    {"HTTP/1.1 103 Early Hints\r\n" + manyFields(maxResponseLines-8), "", 0},
		"body with a length":   {sealed + "Content-Length: 16000000\r\n\r\n", "body", 4 << 20},
		"body without length":  {sealed + "\r\n", "body", 2 << 20},
		"large chunks":         {chunked, "1000\r\n" + strings.Repeat("body", 1<<10) + "\r\n", 2 << 20},
		"small chunks":         {chunked, "10\r\n0123456789abcdef\r\n", 1 << 20},
		"chunk extension":      {chunked + "4;", "x", readBufferSize - 8},
		"trailers":             {chunked + "4\r\nbody\r\n0\r\n" + manyFields(560), "", 0},
		"event":                {sealed + "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: ", "x", maxEventSize - 100},
		"event after events":   {sealed + "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: a\n\nid: 1\ndata: ", "x", maxEventSize - 100},
		"failure":              {"HTTP/1.1 500 Oops\r\nTry: TRY\r\nSeal: s\r\n\r\n", "body", 2 << 20},
		"refusal":              {"HTTP/1.1 503 Full\r\nTry: TRY\r\nNot-Run: 1\r\n\r\n", "body", maxDiscarded - 1},
		"answer to another":    {"HTTP/1.1 200 OK\r\nTry: old\r\nSeal: s\r\nContent-Length: 9999999\r\n\r\n", "body", maxDiscarded - 1},
		"answer before a body": {"HTTP/1.1 200 OK\r\nTry: TRY\r\nSeal: s\r\nContent-Length: 16000000\r\n\r\n", "early", 2 << 20},
	}
}

// serve writes the response and waits until the gateway closes the connection.
func (e endlessResponse) serve(written *atomic.Int32) func(c net.Conn, r *bufio.Reader) {
	var block []byte // one for all connections
	if e.part != "" {
		block = []byte(strings.Repeat(e.part, 1+(64<<10)/len(e.part)))
	}
	return func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r) // without the body
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(e.head, "TRY", req.Header.Get("Try")))
		for left := e.size; left > 0; {
			n, err := c.Write(block[:min(left, len(block))])
			if left -= n; err != nil {
				return
			}
		}
		written.Add(1)
		_, _ = io.Copy(io.Discard, r)
	}
}

// fillingRequest is a request with a body that an upstream may leave unread.
func fillingRequest(attemptID string, body int) string {
	return fmt.Sprintf("POST /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: %s\r\nContent-Length: %d\r\n\r\n", attemptID, body)
}

// filler sends requests to a gateway until it is stopped, each again when it has ended.
type filler struct {
	t       *testing.T
	address string
	stopped chan struct{}
	clients sync.WaitGroup
}

func newFiller(t *testing.T, address string) *filler {
	f := &filler{t: t, address: address, stopped: make(chan struct{})}
	t.Cleanup(f.stop)
	return f
}

func (f *filler) stop() {
	select {
	case <-f.stopped:
	default:
		close(f.stopped)
	}
	f.clients.Wait()
}

// fill keeps n connections on which the head of a request comes, and a body that is the same
// for all. What the gateway writes is read if reads is set.
func (f *filler) fill(n int, reads bool, body []byte, head func(i int) string) {
	for i := range n {
		f.clients.Go(func() {
			for {
				c, err := net.Dial("tcp", f.address)
				if err != nil {
					return
				}
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_, _ = io.WriteString(c, head(i))
					_, _ = c.Write(body)
					if reads {
						_, _ = io.Copy(io.Discard, c)
						return
					}
					<-f.stopped
				}()
				select {
				case <-f.stopped:
					_ = c.Close()
					<-ended
					return
				case <-ended:
					_ = c.Close()
				}
			}
		})
	}
}

// startEndlessUpstreams starts an upstream for each endless response. Attempts that begin with
// the name of a response go to its upstream.
func startEndlessUpstreams(t *testing.T, d *fakeDispatcher, names map[string]endlessResponse) *atomic.Int32 {
	written, addresses := &atomic.Int32{}, map[string]string{}
	for name, e := range names {
		addresses[strings.ReplaceAll(name, " ", "-")] = startUpstream(t, e.serve(written))
	}
	addresses["sound"] = startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _ := readRequest(r)
			if req == nil {
				return
			}
			_, _ = io.WriteString(c, okResponse(req.Header.Get("Try"), "answer"))
		}
	})
	d.upstreamOf = func(attemptID string) string {
		name, _, _ := strings.Cut(attemptID, ".")
		return addresses[name]
	}
	return written
}

// What an upstream can make a gateway hold was not counted for headers and events, so that
// many of them exceeded the memory.
func TestWhatUpstreamsSendStandsOnTheAccount(t *testing.T) {
	const (
		sends     = 48
		allowance = int64(budgeter.RequestSize + budgeter.ConnectionSize + budgeter.UpstreamSize) // of each send
		ownSize   = 24 << 10                                                                      // of a caller and an upstream of this process
	)
	for name, e := range endlessResponses() {
		t.Run(name, func(t *testing.T) {
			d := newFakeDispatcher()
			d.timeout = time.Minute
			written := startEndlessUpstreams(t, d, map[string]endlessResponse{name: e})
			g, address := startBudgetedGateway(t, d, budgeter.ConfigOf(budgeter.Limits{Memory: 2 << 30}))
			before := goMemory()
			f := newFiller(t, address)
			f.fill(sends, true, nil, func(i int) string {
				return fillingRequest(fmt.Sprintf("%s.%d", strings.ReplaceAll(name, " ", "-"), i), 0)
			})
			require.Eventually(t, func() bool { return written.Load() >= sends }, 30*time.Second, time.Millisecond)
			held := int64(0)
			require.Eventually(t, func() bool { // the gateway has read it
				now := int64(g.Held().HeldBytes)
				settled := now == held
				held = now
				return settled
			}, 10*time.Second, 200*time.Millisecond)
			memory := goMemory() - before
			require.Less(t, memory, held+sends*(allowance+ownSize), "held %d", held)
			f.stop()
			require.Eventually(t, func() bool { return g.Held().HeldBytes == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

// Callers and upstreams that fill the memory kept the requests of other services from being
// served.
func TestOthersAreServedWhilePeersFillTheMemory(t *testing.T) {
	const (
		sends   = 16 // of each kind
		callers = 48 // of each kind
		sound   = 400
	)
	d := newFakeDispatcher()
	d.timeout = time.Minute
	all := endlessResponses()
	all["slow"] = endlessResponse{"HTTP/1.1 200 OK\r\nTry: TRY\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n", "data: " + strings.Repeat("e", 1<<10) + "\n\n", 64 << 20}
	written := startEndlessUpstreams(t, d, all)
	budget := budgeter.ConfigOf(budgeter.Limits{Memory: fillingMemory})
	g, address := startBudgetedGateway(t, d, budget)
	before := goMemory()
	f := newFiller(t, address)
	for name := range endlessResponses() {
		f.fill(sends, true, nil, func(i int) string {
			return fillingRequest(fmt.Sprintf("%s.%d", strings.ReplaceAll(name, " ", "-"), i), 0)
		})
	}
	f.fill(callers, false, nil, func(i int) string { return fillingRequest(fmt.Sprintf("slow.%d", i), 0) })
	f.fill(callers, true, make([]byte, 512<<10), func(i int) string { return fillingRequest(fmt.Sprintf("slow.b%d", i), 1<<20) })
	f.fill(callers, true, []byte(manyFields(2000)), func(int) string { return "GET /a/x HTTP/1.1\r\nHost: dues.example\r\n" })
	peers := newPeerCaller(t, g)
	for range 2 {
		peers.fill(t, 4)
	}
	require.Eventually(t, func() bool { return g.Held().HeldBytes > budget.Total/4 && written.Load() > sends }, 30*time.Second, time.Millisecond, "it is filled")

	var clients sync.WaitGroup
	var served, refused atomic.Int32
	var failures sync.Map
	for i := range 4 {
		clients.Go(func() {
			for n := range sound / 4 {
				status, body, err := 0, "", error(nil)
				// A caller that is refused as not run returns, within the time that it has.
				for end := time.Now().Add(d.cfg.Routes[0].Timeout); time.Now().Before(end); time.Sleep(shedRetryAfter) {
					if status, body, err = post(t, address, fmt.Sprintf("sound.%d-%d", i, n), "body"); err != nil || status != http.StatusServiceUnavailable {
						break
					}
					refused.Add(1)
				}
				if err == nil && status == http.StatusOK && body == "answer" {
					served.Add(1)
				} else {
					failures.Store(fmt.Sprint(status, body, err), true)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	measured := int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		clients.Wait()
	}()
	for finished := false; !finished; {
		select {
		case <-done:
			finished = true
		case <-time.After(100 * time.Millisecond):
		}
		measured = max(measured, goMemory()-before)
	}
	t.Logf("%d MiB at most, %d MiB held at most, %d refusals", measured>>20, g.Held().PeakBytes>>20, refused.Load())
	failures.Range(func(cause, _ any) bool {
		t.Log(cause)
		return true
	})
	require.EqualValues(t, sound, served.Load())
	require.Less(t, measured, int64(fillingMemory), "callers and upstreams of this process included")
	require.LessOrEqual(t, g.Held().PeakBytes, budget.Total)
	f.stop()
	peers.stop()
	require.Eventually(t, func() bool { return g.Held().HeldBytes == 0 }, 20*time.Second, time.Millisecond)
}
