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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// plainDialect uses header names of its own, so that nothing of a platform is
// assumed.
type plainDialect struct{}

func (plainDialect) ParseRequest(h http.Header) (RequestInfo, error) {
	c := RequestInfo{AttemptID: h.Get("Try"), LastEventID: -1}
	if c.AttemptID == "" {
		return c, errors.New("header Try is missing")
	}
	if v := h.Get("After"); v != "" {
		c.LastEventID, _ = strconv.ParseInt(v, 10, 64)
	}
	return c, nil
}

func (plainDialect) Reserved(name string) bool { return name == "Inner" }

func (plainDialect) SetForwardHeaders(h http.Header, o ForwardInfo) {
	h.Set("Inner", string(o.Upstream))
	if o.LastEventID >= 0 {
		h.Set("After", strconv.FormatInt(o.LastEventID, 10))
	}
}

func (plainDialect) ParseResponse(h http.Header) ResponseInfo {
	return ResponseInfo{AttemptID: h.Get("Try"), FromApplication: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != ""}
}

func (plainDialect) SetErrorHeaders(h http.Header, name string) { h.Set("Try", name) }

// plainDecider sends each request to its addresses in turn and refuses it when
// there are no more.
type plainDecider struct {
	mu        sync.Mutex
	cfg       *registrar.Configuration
	addresses []string
	boxes     map[dispatcher.RequestID]*Mailbox
	tries     map[dispatcher.RequestID]dispatcher.Try
	returned  []dispatcher.SendEnded
}

func newDecider(addresses ...string) *plainDecider {
	cfg := &registrar.Configuration{
		Version: 1, Limits: registrar.Limits{HeaderLimit: 16 << 10, BodyLimit: 1 << 20, IdleTimeout: 5 * time.Second},
		Routes: []registrar.Route{{Host: "dues.example", Prefix: "/a/", Timeout: 5 * time.Second, Kind: registrar.Idempotent, Service: "s"}},
	}
	registrar.New(registrar.Config{}).Install(cfg)
	return &plainDecider{cfg: cfg, addresses: addresses, boxes: map[dispatcher.RequestID]*Mailbox{}, tries: map[dispatcher.RequestID]dispatcher.Try{}}
}

func (d *plainDecider) Configuration() *registrar.Configuration { return d.cfg }
func (d *plainDecider) Now() time.Duration                      { return 0 }

func (d *plainDecider) Submit(_ dispatcher.Request, box *Mailbox) dispatcher.RequestID {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := dispatcher.RequestID(len(d.boxes) + 1)
	d.boxes[id] = box
	d.next(id)
	return id
}

func (d *plainDecider) next(id dispatcher.RequestID) {
	try := d.tries[id]
	d.tries[id]++
	if int(try) >= len(d.addresses) {
		d.boxes[id].Put(dispatcher.Fail{ID: id, Kind: classifier.Lost})
		return
	}
	d.boxes[id].Put(dispatcher.Send{ID: id, Try: try + 1, Upstream: "u", Address: d.addresses[try], Timeout: 3 * time.Second})
}

func (d *plainDecider) Reduce(e dispatcher.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ev, ok := e.(dispatcher.SendEnded)
	if !ok {
		return
	}
	d.returned = append(d.returned, ev)
	if ev.Outcome != dispatcher.Completed && ev.Outcome != dispatcher.CallerClosed {
		d.next(ev.ID)
	}
}

// outcomes lists how the sends ended so far.
func (d *plainDecider) outcomes() []dispatcher.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []dispatcher.Outcome
	for _, r := range d.returned {
		all = append(all, r.Outcome)
	}
	return all
}

// gatewayWith serves in front of upstreams and returns its address.
func gatewayWith(t *testing.T, d *plainDecider) (*Gateway, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := New(Config{HeaderCodec: plainDialect{}, Dispatcher: d, Logger: zerolog.Nop()})
	go func() { _ = g.Serve(l) }()
	t.Cleanup(func() { _ = g.server.Close() })
	return g, l.Addr().String()
}

// upstream answers each connection with a script.
func upstream(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
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

// readRequest reads a request and its body.
func readRequest(r *bufio.Reader) (*http.Request, string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(req.Body)
	return req, string(body)
}

func sealed(name, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTry: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", name, len(body), body)
}

// call sends one request and returns the status and body, or an error when the
// answer is not complete.
func call(t *testing.T, address, name, body string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/a/x?y=%2f", strings.NewReader(body))
	require.NoError(t, err)
	req.Host = "dues.example"
	req.Header.Set("Try", name)
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
	address := upstream(t, func(c net.Conn, r *bufio.Reader) {
		got, body = readRequest(r)
		_, _ = io.WriteString(c, sealed("n1", "fine"))
	})
	_, front := gatewayWith(t, newDecider(address))
	status, answer, err := call(t, front, "n1", strings.Repeat("b", 9000))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "fine", answer)
	require.Equal(t, "/a/x?y=%2f", got.RequestURI)
	require.Equal(t, "dues.example", got.Host)
	require.Equal(t, "u", got.Header.Get("Inner"))
	require.Len(t, body, 9000)
}

func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	address := upstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, sealed("old", "wrong")+sealed("n1", "right"))
	})
	_, front := gatewayWith(t, newDecider(address))
	_, answer, err := call(t, front, "n1", "")
	require.NoError(t, err)
	require.Equal(t, "right", answer)
}

func TestAnswerWithoutReceiptIsNoSuccess(t *testing.T) {
	address := upstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTry: n1\r\nContent-Length: 2\r\n\r\nok")
	})
	d := newDecider(address)
	_, front := gatewayWith(t, d)
	status, _, err := call(t, front, "n1", "")
	require.NoError(t, err)
	require.Equal(t, 502, status)
	require.Equal(t, []dispatcher.Outcome{dispatcher.Unknown}, d.outcomes())
}

func TestTornAnswerIsSentElsewhere(t *testing.T) {
	torn := upstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf")
	})
	whole := upstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, sealed("n1", "whole"))
	})
	d := newDecider(torn, whole)
	_, front := gatewayWith(t, d)
	_, answer, err := call(t, front, "n1", "")
	require.NoError(t, err)
	require.Equal(t, "whole", answer)
	require.Equal(t, []dispatcher.Outcome{dispatcher.Unknown, dispatcher.Completed}, d.outcomes())
}

func TestStreamGoesOnAtAnotherUpstream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"
	first := upstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, strings.Replace(head, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1)+
			"1a\r\nid: 1\ndata: a\n\nid: 2\ndata: \r\n")
	})
	second := upstream(t, func(c net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		if req.Header.Get("After") == "1" {
			_, _ = io.WriteString(c, head+"id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
		}
	})
	d := newDecider(first, second)
	_, front := gatewayWith(t, d)
	_, answer, err := call(t, front, "n1", "")
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", answer)
	require.Equal(t, []dispatcher.Outcome{dispatcher.Interrupted, dispatcher.Completed}, d.outcomes())
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	address := upstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"10\r\nid: 1\ndata: ab\n\n\r\n")
	})
	_, front := gatewayWith(t, newDecider(address))
	status, _, err := call(t, front, "n1", "")
	require.Equal(t, 200, status)
	require.Error(t, err)
}

func TestConnectionIsKeptForTheNextRequest(t *testing.T) {
	var connections atomic.Int32
	address := upstream(t, func(c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for {
			req, _ := readRequest(r)
			if req == nil {
				return
			}
			_, _ = io.WriteString(c, sealed(req.Header.Get("Try"), "x"))
		}
	})
	_, front := gatewayWith(t, newDecider(address))
	for i := range 5 {
		_, _, err := call(t, front, fmt.Sprint("n", i), "body")
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, connections.Load())
}

func TestExtraAnswerEndsTheConnection(t *testing.T) {
	var connections atomic.Int32
	address := upstream(t, func(c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		req, _ := readRequest(r)
		_, _ = io.WriteString(c, sealed(req.Header.Get("Try"), "x")+sealed(req.Header.Get("Try"), "again"))
		_, _ = r.ReadByte()
	})
	_, front := gatewayWith(t, newDecider(address))
	for i := range 2 {
		_, answer, err := call(t, front, fmt.Sprint("n", i), "")
		require.NoError(t, err)
		require.Equal(t, "x", answer)
	}
	require.EqualValues(t, 2, connections.Load())
}

// A request that is held up on its way to a frozen upstream must not reach it
// after its caller has left: only a reset discards it.
func TestAbortedRequestIsReset(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	address := upstream(t, func(c net.Conn, _ *bufio.Reader) {
		accepted <- c
		select {}
	})
	d := newDecider(address)
	_, front := gatewayWith(t, d)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front+"/a/x", nil)
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
	require.ErrorIs(t, err, syscall.ECONNRESET, "a closed connection would still deliver what is held up on the way")
}

// waitReadable returns once something can be read, and leaves it there.
func waitReadable(t *testing.T, c net.Conn) {
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Read(func(fd uintptr) bool {
		n, _, rerr := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return rerr == nil && n > 0
	}))
}

// What is refused before any decision leaves a line with the request's id.
func TestRejectedRequestsAreLogged(t *testing.T) {
	var out bytes.Buffer
	g := New(Config{HeaderCodec: plainDialect{}, Dispatcher: newDecider(), Logger: zerolog.New(&out)})
	for name, path := range map[string]string{"n1": "/nowhere/x", "n2": "/a/x"} {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
		r.Host = "dues.example"
		r.Header.Set("Try", name)
		if name == "n2" {
			r.ContentLength = 2 << 20
		}
		g.ServeHTTP(httptest.NewRecorder(), r)
	}
	require.Contains(t, out.String(), `"request":"n1","kind":"missing"`)
	require.Contains(t, out.String(), `"request":"n2","kind":"large"`)
}

func TestReservedAndMalformedHeaders(t *testing.T) {
	seen := make(chan string, 1)
	address := upstream(t, func(c net.Conn, r *bufio.Reader) {
		req, _ := readRequest(r)
		seen <- strings.Join(req.Header.Values("Inner"), ",")
		_, _ = io.WriteString(c, sealed("n1", "x"))
	})
	_, front := gatewayWith(t, newDecider(address))
	for raw, status := range map[string]int{
		"POST /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\nInner: forged\r\nContent-Length: 1\r\n\r\nb":      200,
		"POST /a/x HTTP/1.1\r\nHost: dues.example\r\nContent-Length: 1\r\n\r\nb":                                  400,
		"GET /b/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\n\r\n":                                              404,
		"POST /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nbb": 400,
		"POST /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\nContent-Length: 9999999\r\n\r\n":                  413,
		"GARBAGE\r\n\r\n": 400,
		"GET /a/x HTTP/1.1\r\nHost: dues.example\r\nTry: n1\r\nBig: " + strings.Repeat("x", 40<<10) + "\r\n\r\n": 431,
	} {
		c, err := net.Dial("tcp", front)
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
