package relayer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// testHeaderCodec uses header names of its own, so that the tests don't depend on
// those of the platform.
type testHeaderCodec struct{}

func (testHeaderCodec) ParseRequest(h http.Header) (RequestInfo, error) {
	info := RequestInfo{AttemptID: h.Get("Try"), LastEventID: -1}
	if info.AttemptID == "" {
		return info, errors.New("header Try is missing")
	}
	if len(h["Key"]) == 1 {
		info.Key = registrar.DigestKey(h.Get("Key"))
	}
	if v := h.Get("After"); v != "" {
		info.LastEventID, _ = strconv.ParseInt(v, 10, 64)
	}
	return info, nil
}

func (testHeaderCodec) Reserved(name string) bool { return name == "Inner" }

func (testHeaderCodec) Identifies(name string) bool { return name == "Key" || name == "Workspace" }

func (testHeaderCodec) SetForwardHeaders(h http.Header, info ForwardInfo) {
	h.Set("Inner", string(info.Upstream))
	h.Set("Left", info.Timeout.String())
	if info.Workspace != "" {
		h.Set("Workspace", string(info.Workspace))
	}
	if info.LastEventID >= 0 {
		h.Set("After", strconv.FormatInt(info.LastEventID, 10))
	}
}

func (testHeaderCodec) ParseResponse(h http.Header) ResponseInfo {
	info := ResponseInfo{AttemptID: h.Get("Try"), HasSeal: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", Leaving: h.Get("Leaving") != ""}
	info.Ambiguous = len(slices.Compact(slices.Clone(h["Try"]))) > 1
	info.RequestLimit, _ = strconv.ParseFloat(h.Get("Limit"), 64)
	info.RetryAfter, _ = time.ParseDuration(h.Get("Retry-After"))
	return info
}

func (testHeaderCodec) SetErrorHeaders(h http.Header, attemptID string) { h.Set("Try", attemptID) }

// fakeDispatcher tries each request at its addresses in order and fails it after
// the last.
type fakeDispatcher struct {
	mu          sync.Mutex
	cfg         *registrar.Configuration
	addresses   []string
	mailboxes   map[dispatcher.RequestID]*Mailbox
	tries       map[dispatcher.RequestID]dispatcher.Try
	endedSends  []dispatcher.SendEnded
	notices     []dispatcher.UpstreamNotice
	withhold    bool          // the first send is not sendable
	unconfirmed bool          // keys are
	deadline    time.Duration // of the last request
	delay       time.Duration // of the processor
	outdated    bool
	overloaded  bool                                    // there is no processor time
	lags        bool                                    // the configuration may not be the newest one
	confirm     func()                                  // called by each question whether it may, before the answer; nil without one
	now         time.Duration                           // all sends are decided at zero
	timeout     time.Duration                           // of sends
	stalls      int                                     // of sends, which ended them
	stall       time.Duration                           // FirstTimeout and GapTimeout of sends, whose stalls end them
	upstreamOf  func(attemptID string) (address string) // the only one of each request, nil for addresses
	chosen      map[dispatcher.RequestID]string         // by upstreamOf
}

func newFakeDispatcher(addresses ...string) *fakeDispatcher {
	cfg := &registrar.Configuration{
		Version: 1, Limits: registrar.Limits{HeaderLimit: 16 << 10, BodyLimit: 1 << 20, IdleTimeout: 5 * time.Second},
		Routes: []registrar.Route{{Host: "dues.example", Prefix: "/a/", Timeout: 5 * time.Second, Kind: registrar.Idempotent, Service: "s"}},
	}
	registrar.New(registrar.Config{}).Install(cfg)
	return &fakeDispatcher{cfg: cfg, addresses: addresses, timeout: 3 * time.Second, mailboxes: map[dispatcher.RequestID]*Mailbox{}, tries: map[dispatcher.RequestID]dispatcher.Try{}, chosen: map[dispatcher.RequestID]string{}}
}

func (d *fakeDispatcher) Configuration() *registrar.Configuration { return d.cfg }
func (d *fakeDispatcher) KeysConfirmed() bool                     { return !d.unconfirmed }
func (d *fakeDispatcher) ConfigurationAge() time.Duration         { return 1500 * time.Millisecond }
func (d *fakeDispatcher) Outdated() bool                          { return d.outdated }
func (d *fakeDispatcher) Overloaded() bool                        { return d.overloaded }
func (d *fakeDispatcher) ProcessorDelay() time.Duration           { return d.delay }
func (d *fakeDispatcher) Now() time.Duration                      { return d.now }

func (d *fakeDispatcher) MayLag() bool {
	if d.confirm != nil {
		d.confirm()
	}
	return d.lags
}

func (d *fakeDispatcher) Submit(req dispatcher.Request, mailbox *Mailbox) dispatcher.RequestID {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = req.Deadline
	id := dispatcher.RequestID(len(d.mailboxes) + 1)
	d.mailboxes[id] = mailbox
	if d.upstreamOf != nil {
		d.chosen[id] = d.upstreamOf(req.AttemptID)
	}
	d.sendNext(id)
	return id
}

func (d *fakeDispatcher) Sendable(_ dispatcher.RequestID, try dispatcher.Try) bool {
	return !d.withhold || try > 1
}

// receivedNotices lists the notices so far.
func (d *fakeDispatcher) receivedNotices() []dispatcher.UpstreamNotice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.notices)
}

// sendNext sends a request to the next address; d.mu is held.
func (d *fakeDispatcher) sendNext(id dispatcher.RequestID) {
	try := d.tries[id]
	d.tries[id]++
	if address := d.chosen[id]; address != "" && try == 0 {
		d.mailboxes[id].Put(dispatcher.Send{ID: id, Try: try + 1, Upstream: registrar.UpstreamID(address), Address: address, Timeout: d.timeout})
		return
	}
	if int(try) >= len(d.addresses) {
		d.mailboxes[id].Put(dispatcher.Fail{ID: id, Kind: classifier.Lost})
		return
	}
	d.mailboxes[id].Put(dispatcher.Send{ID: id, Try: try + 1, Upstream: "u", Address: d.addresses[try], Timeout: d.timeout, FirstTimeout: d.stall, GapTimeout: d.stall})
}

func (d *fakeDispatcher) Reduce(e dispatcher.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n, ok := e.(dispatcher.UpstreamNotice); ok {
		d.notices = append(d.notices, n)
	}
	if stalled, ok := e.(dispatcher.SendStalled); ok && stalled.Try == d.tries[stalled.ID] {
		d.stalls++
		d.mailboxes[stalled.ID].Put(dispatcher.Failover{ID: stalled.ID})
	}
	ev, ok := e.(dispatcher.SendEnded)
	if !ok {
		return
	}
	d.endedSends = append(d.endedSends, ev)
	if ev.Outcome != dispatcher.Completed && ev.Outcome != dispatcher.CallerClosed {
		d.sendNext(ev.ID)
	}
}

// outcomes lists the outcomes of the ended sends.
func (d *fakeDispatcher) outcomes() []dispatcher.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []dispatcher.Outcome
	for _, ended := range d.endedSends {
		all = append(all, ended.Outcome)
	}
	return all
}

// startGateway starts a gateway and returns it with its address.
func startGateway(t *testing.T, d *fakeDispatcher) (*Gateway, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := New(Config{HeaderCodec: testHeaderCodec{}, Dispatcher: d, Logger: zerolog.Nop()})
	go func() { _ = g.Serve(l) }()
	t.Cleanup(func() { _ = g.server.Close() })
	return g, l.Addr().String()
}

// startUpstream starts a server that runs script for each connection, and returns
// its address.
func startUpstream(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request and its body. It returns nil at the end of the
// connection.
func readRequest(r *bufio.Reader) (*http.Request, string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(req.Body)
	return req, string(body)
}

// okResponse returns a response with status 200 from an upstream's application.
func okResponse(attemptID, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTry: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", attemptID, len(body), body)
}

// post sends one request and returns the status and the body of the response. It
// returns an error if the response is incomplete.
func post(t *testing.T, address, attemptID, body string) (int, string, error) {
	t.Helper()
	return request(address, http.MethodPost, attemptID, body)
}

// request is post with a method.
func request(address, method, attemptID, body string) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+address+"/a/x?y=%2f", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "dues.example"
	req.Header.Set("Try", attemptID)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func TestRequestArrivesUnchanged(t *testing.T) {
	var got *http.Request
	var body string
	address := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		got, body = readRequest(r)
		_, _ = io.WriteString(c, okResponse("n1", "fine"))
	})
	_, gateway := startGateway(t, newFakeDispatcher(address))
	status, respBody, err := post(t, gateway, "n1", strings.Repeat("b", 9000))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "fine", respBody)
	require.Equal(t, "/a/x?y=%2f", got.RequestURI)
	require.Equal(t, "dues.example", got.Host)
	require.Equal(t, "u", got.Header.Get("Inner"))
	require.Len(t, body, 9000)
}

func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	address := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, okResponse("old", "wrong")+okResponse("n1", "right"))
	})
	_, gateway := startGateway(t, newFakeDispatcher(address))
	_, body, err := post(t, gateway, "n1", "")
	require.NoError(t, err)
	require.Equal(t, "right", body)
}

// A response without the seal may come from something else at the upstream's address, so
// it must not count as a success.
func TestAnswerWithoutReceiptIsNoSuccess(t *testing.T) {
	address := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTry: n1\r\nContent-Length: 2\r\n\r\nok")
	})
	d := newFakeDispatcher(address)
	_, gateway := startGateway(t, d)
	status, _, err := post(t, gateway, "n1", "")
	require.NoError(t, err)
	require.Equal(t, 502, status)
	require.Equal(t, []dispatcher.Outcome{dispatcher.Unknown}, d.outcomes())
}

func TestTruncatedResponseIsRetriedElsewhere(t *testing.T) {
	truncated := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf")
	})
	complete := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, okResponse("n1", "whole"))
	})
	d := newFakeDispatcher(truncated, complete)
	_, gateway := startGateway(t, d)
	_, body, err := post(t, gateway, "n1", "")
	require.NoError(t, err)
	require.Equal(t, "whole", body)
	require.Equal(t, []dispatcher.Outcome{dispatcher.Unknown, dispatcher.Completed}, d.outcomes())
}

func TestTimeToConnectIsTakenFromTheTimeout(t *testing.T) {
	timeouts := make(chan string, 1)
	address := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		timeouts <- req.Header.Get("Left")
		_, _ = io.WriteString(c, okResponse("n1", "x"))
	})
	d := newFakeDispatcher(address)
	d.now = time.Second
	_, gateway := startGateway(t, d)
	_, _, err := post(t, gateway, "n1", "")
	require.NoError(t, err)
	require.Equal(t, (d.timeout - d.now).String(), <-timeouts)
}

func TestStreamGoesOnAtAnotherUpstream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"
	first := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, strings.Replace(head, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1)+
			"1a\r\nid: 1\ndata: a\n\nid: 2\ndata: \r\n")
	})
	second := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		if req.Header.Get("After") == "1" {
			_, _ = io.WriteString(c, head+"id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
		}
	})
	d := newFakeDispatcher(first, second)
	_, gateway := startGateway(t, d)
	_, body, err := post(t, gateway, "n1", "")
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", body)
	require.Equal(t, []dispatcher.Outcome{dispatcher.Interrupted, dispatcher.Completed}, d.outcomes())
}

// streamHead begins a stream that ends with its connection.
const streamHead = "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"

// trickle writes s a byte at a time.
func trickle(c net.Conn, s string, pause time.Duration) {
	for _, b := range []byte(s) {
		if _, err := c.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

func TestStreamThatSendsAByteNowAndThenIsStalled(t *testing.T) {
	first := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, streamHead+"id: 1\ndata: a\n\nid: 2\ndata: ")
		trickle(c, strings.Repeat("x", 200), 50*time.Millisecond)
	})
	second := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, streamHead+"id: 2\ndata: b\n\n")
	})
	d := newFakeDispatcher(first, second)
	d.stall = 300 * time.Millisecond
	_, gateway := startGateway(t, d)
	_, body, err := post(t, gateway, "n1", "")
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
	require.Equal(t, 1, d.stalls)
}

func TestSlowStreamIsNotCut(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	d := newFakeDispatcher(startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		trickle(c, streamHead+events, 5*time.Millisecond)
	}))
	d.stall = 2 * time.Second
	_, gateway := startGateway(t, d)
	_, body, err := post(t, gateway, "n1", "")
	require.NoError(t, err)
	require.Equal(t, events, body)
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	address := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"10\r\nid: 1\ndata: ab\n\n\r\n")
	})
	_, gateway := startGateway(t, newFakeDispatcher(address))
	status, _, err := post(t, gateway, "n1", "")
	require.Equal(t, 200, status)
	require.Error(t, err)
}

func TestUpstreamConnectionIsReused(t *testing.T) {
	var connections atomic.Int32
	address := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for {
			req, _ := readRequest(r)
			if req == nil {
				return
			}
			_, _ = io.WriteString(c, okResponse(req.Header.Get("Try"), "x"))
		}
	})
	_, gateway := startGateway(t, newFakeDispatcher(address))
	for i := range 5 {
		_, _, err := post(t, gateway, fmt.Sprint("n", i), "body")
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, connections.Load())
}

func TestExtraAnswerEndsTheConnection(t *testing.T) {
	var connections atomic.Int32
	address := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		req, _ := readRequest(r)
		_, _ = io.WriteString(c, okResponse(req.Header.Get("Try"), "x")+okResponse(req.Header.Get("Try"), "again"))
		_, _ = r.ReadByte()
	})
	_, gateway := startGateway(t, newFakeDispatcher(address))
	for i := range 2 {
		_, body, err := post(t, gateway, fmt.Sprint("n", i), "")
		require.NoError(t, err)
		require.Equal(t, "x", body)
	}
	require.EqualValues(t, 2, connections.Load())
}

// A request that is still buffered on its way to a frozen upstream must not reach
// it after the caller has closed its connection. Only a reset of the upstream
// connection discards it.
func TestAbortedRequestIsReset(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	address := startUpstream(t, func(c net.Conn, _ *bufio.Reader) {
		accepted <- c
		select {}
	})
	d := newFakeDispatcher(address)
	_, gateway := startGateway(t, d)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway+"/a/x", nil)
	require.NoError(t, err)
	req.Host = "dues.example"
	req.Header.Set("Try", "n1")
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req)
		done <- err
	}()
	c := <-accepted
	waitReadable(t, c)
	cancel()
	require.Error(t, <-done)
	require.Eventually(t, func() bool { return len(d.outcomes()) == 1 }, 5*time.Second, time.Millisecond)
	_, err = io.ReadAll(c)
	require.ErrorIs(t, err, syscall.ECONNRESET, "a connection that is closed without a reset still delivers buffered data")
}

// waitReadable waits until c has data to read, and does not consume it.
func waitReadable(t *testing.T, c net.Conn) {
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Read(func(fd uintptr) bool {
		n, _, rerr := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return rerr == nil && n > 0
	}))
}

// Requests that are rejected before they reach the dispatcher must leave a log line
// with their attempt id.
func TestRejectedRequestsAreLogged(t *testing.T) {
	var logs bytes.Buffer
	g := New(Config{HeaderCodec: testHeaderCodec{}, Dispatcher: newFakeDispatcher(), Logger: zerolog.New(&logs)})
	for attemptID, path := range map[string]string{"n1": "/nowhere/x", "n2": "/a/x"} {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
		r.Host = "dues.example"
		r.Header.Set("Try", attemptID)
		if attemptID == "n2" {
			r.ContentLength = 2 << 20
		}
		g.ServeHTTP(httptest.NewRecorder(), r)
	}
	require.Contains(t, logs.String(), `"age":1500,"request":"n1","kind":"missing"`)
	require.Contains(t, logs.String(), `"request":"n2","kind":"large"`)
}

func TestReservedAndMalformedHeaders(t *testing.T) {
	seen := make(chan string, 1)
	address := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		seen <- strings.Join(req.Header.Values("Inner"), ",")
		_, _ = io.WriteString(c, okResponse("n1", "x"))
	})
	_, gateway := startGateway(t, newFakeDispatcher(address))
	for raw, status := range map[string]int{
		"POST /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\nInner: forged\r\nContent-Length: 1\r\n\r\nb":      200,
		"POST /a/x HTTP/1.1\r\nHost: dues.example\r\nContent-Length: 1\r\n\r\nb":                                  400,
		"GET /b/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\n\r\n":                                              404,
		"POST /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nbb": 400,
		"POST /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\nContent-Length: 9999999\r\n\r\n":                  413,
		"GARBAGE\r\n\r\n": 400,
		"GET /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\nBig: " + strings.Repeat("x", 40<<10) + "\r\n\r\n": 431,
	} {
		c, err := net.Dial("tcp", gateway)
		require.NoError(t, err)
		_, err = io.WriteString(c, raw)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "%.20q", raw)
		require.Equal(t, status, resp.StatusCode, "%.20q", raw)
		_ = c.Close()
	}
	require.Equal(t, "u", <-seen)
}

// What an upstream says of new requests counts from the headers of its response on, also
// of a stream that goes on, an error, or a response to another request.
func TestResponsesAskForNoNewRequests(t *testing.T) {
	for name, response := range map[string]string{
		"stream":  "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: x\n\n",
		"failure": "HTTP/1.1 500 Error\r\nTry: n1\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"refusal": "HTTP/1.1 503 Busy\r\nTry: n1\r\nNot-Run: 1\r\nRetry-After: 2s\r\nContent-Length: 0\r\n\r\n",
		"other":   "HTTP/1.1 503 Busy\r\nTry: n0\r\nNot-Run: 1\r\nRetry-After: 2s\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			d := newFakeDispatcher(startUpstream(t, func(c net.Conn, r *bufio.Reader) {
				if _, body := readRequest(r); body != "" {
					_, _ = io.WriteString(c, response)
				}
				<-release
			}))
			_, address := startGateway(t, d)
			go func() { _, _, _ = post(t, address, "n1", "{}") }()
			require.Eventually(t, func() bool { return len(d.receivedNotices()) == 1 }, 10*time.Second, time.Millisecond)
			n := d.receivedNotices()[0]
			require.EqualValues(t, "u", n.Upstream)
			require.Equal(t, d.addresses[0], n.Address)
			require.Equal(t, name == "stream" || name == "failure", n.Leaving)
			require.Equal(t, n.Leaving, n.Pause == 0)
		})
	}
}

// Only the response to the request itself can end a limit, since a late one to another
// request may have been made before the limit was named.
func TestResponsesTellTheLimitOfTheirUpstream(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nTry: n0\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
	for name, tc := range map[string]struct {
		response  string
		limit     float64
		unlimited bool
	}{
		"named":          {late + "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nLimit: 2.4\r\nContent-Length: 0\r\n\r\n", 2.4, false},
		"named, refused": {"HTTP/1.1 503 Busy\r\nTry: n1\r\nNot-Run: 1\r\nLimit: 2.4\r\nContent-Length: 0\r\n\r\n", 2.4, false},
		"not named":      {"HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newFakeDispatcher(startUpstream(t, func(c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, tc.response)
			}))
			_, address := startGateway(t, d)
			_, _, err := post(t, address, "n1", "{}")
			require.NoError(t, err)
			notices := d.receivedNotices()
			require.Len(t, notices, 1)
			require.InDelta(t, tc.limit, notices[0].Limit, 0)
			require.Equal(t, tc.unlimited, notices[0].Unlimited)
		})
	}
}

// A request whose upstream asked for none while the connection was opened is not written.
func TestRequestThatIsNotSendableIsNotWritten(t *testing.T) {
	written := make(chan string, 2)
	upstream := func(name string) string {
		return startUpstream(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := r.Peek(1); err != nil {
				return
			}
			written <- name
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, okResponse("n1", "ok"))
		})
	}
	d := newFakeDispatcher(upstream("first"), upstream("second"))
	d.withhold = true
	_, address := startGateway(t, d)
	status, _, err := post(t, address, "n1", "{}")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, []dispatcher.Outcome{dispatcher.Withheld, dispatcher.Completed}, d.outcomes())
	require.Equal(t, "second", <-written)
	require.Empty(t, written)
}

func TestWarmTellsWhetherAnUpstreamListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := newPool(newAccount(budgeter.ConfigOf(budgeter.Limits{})))
	require.NoError(t, p.Warm(t.Context(), l.Addr().String()))
	require.NotNil(t, p.pop(l.Addr().String(), nil), "the connection is kept for a request")
	require.NoError(t, l.Close())
	require.ErrorIs(t, p.Warm(t.Context(), l.Addr().String()), syscall.ECONNREFUSED)
}
