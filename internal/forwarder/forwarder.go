// Package forwarder passes attempts and orders on to an upstream over HTTP.
//
// Usage:
//
//	f := forwarder.New(forwarder.Config{Address: "127.0.0.1:8000", Post: loop.post})
//	f.Pass(pass)
//	f.Abort(id)
//
// Model engines are spoken to in the OpenAI shapes, with two fields added to
// the body: "priority" and, for a resumed stream, "resume". A plain service
// gets the caller's request as it is. The client of net/http is used because
// that of fasthttp can't cancel a request in flight; a call that must not run
// twice has a new connection, on which net/http never repeats a request.
package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/reducer"
)

// Limits of calls to an upstream.
const (
	dialTimeout  = 500 * time.Millisecond
	streamSilent = 750 * time.Millisecond // an engine beats more often on a stream
	pieceBytes   = 32 << 10
	maxLine      = 1 << 20
)

// ranHeader is set by an upstream that refuses a request without running it.
const ranHeader = "Egretwall-Ran"

// Config describes the upstream.
type Config struct {
	Address string // IP number and port
	Post    func(reducer.Event)
}

// Forwarder owns the connections to one upstream.
type Forwarder struct {
	cfg   Config
	keep  *http.Transport // reuses connections
	fresh *http.Transport // one connection for each call

	mu    sync.Mutex
	calls map[reducer.AttemptID]*call
}

// call is an attempt at the upstream.
type call struct {
	f      *Forwarder
	pass   reducer.Forward
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	credit int
	wake   chan struct{}
}

// New returns a forwarder to one upstream.
func New(cfg Config) *Forwarder {
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}).DialContext,
			MaxIdleConnsPerHost: 64,
			DisableCompression:  true,
		}
	}
	f := &Forwarder{cfg: cfg, keep: transport(), fresh: transport(), calls: map[reducer.AttemptID]*call{}}
	f.fresh.DisableKeepAlives = true
	return f
}

// Close cuts all calls, as the end of the process would.
func (f *Forwarder) Close() {
	f.mu.Lock()
	for _, c := range f.calls {
		c.cancel(nil)
	}
	f.mu.Unlock()
	f.keep.CloseIdleConnections()
}

// Forward starts an attempt; Began, Piece and Finished report on it.
func (f *Forwarder) Forward(p reducer.Forward) {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &call{f: f, pass: p, cancel: cancel, credit: p.Window, wake: make(chan struct{}, 1)}
	f.mu.Lock()
	f.calls[p.Attempt] = c
	f.mu.Unlock()
	go c.run(ctx)
}

// Abort closes an attempt at the upstream.
func (f *Forwarder) Abort(id reducer.AttemptID) {
	if c := f.call(id); c != nil {
		c.cancel(nil)
	}
}

// Credit lets an attempt deliver more of its answer.
func (f *Forwarder) Credit(id reducer.AttemptID, n int) {
	c := f.call(id)
	if c == nil {
		return
	}
	c.mu.Lock()
	c.credit += n
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (f *Forwarder) call(id reducer.AttemptID) *call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[id]
}

func (c *call) run(ctx context.Context) {
	kind, ran := c.exchange(ctx)
	if ctx.Err() != nil && kind == classifier.Lost && !errors.Is(context.Cause(ctx), errSilent) {
		kind = classifier.Cancelled
	}
	c.cancel(nil)
	c.f.mu.Lock()
	delete(c.f.calls, c.pass.Attempt)
	c.f.mu.Unlock()
	c.f.cfg.Post(reducer.ResponseFinished{Attempt: c.pass.Attempt, Kind: kind, Ran: ran})
}

// exchange sends the request and delivers the answer.
func (c *call) exchange(ctx context.Context) (classifier.Kind, classifier.Ran) {
	req, err := c.request(ctx)
	if err != nil {
		return classifier.Invalid, classifier.RanNo
	}
	transport := c.f.keep
	if !c.pass.Submit.Repeatable {
		transport = c.f.fresh
	}
	answered := c.watchHead()
	res, err := transport.RoundTrip(req)
	answered()
	if err != nil {
		return classifier.Lost, ranAfter(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(ranHeader) == string(classifier.RanNo) {
		return classifier.Leaving, classifier.RanNo
	}
	if res.StatusCode == http.StatusNotFound && c.pass.Submit.Model != "" {
		return classifier.Loading, classifier.RanNo // unloaded since the agent looked
	}
	c.f.cfg.Post(reducer.ResponseStarted{Attempt: c.pass.Attempt, Status: res.StatusCode, Headers: headersOf(res.Header)})
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") && c.pass.Submit.Model != "" {
		err = c.events(ctx, res.Body)
	} else {
		err = c.bytes(ctx, res.Body)
	}
	if err != nil {
		return classifier.Lost, classifier.RanUnknown
	}
	return classifier.None, classifier.RanYes
}

// watchHead cancels a stream whose engine does not start to answer; the
// returned function ends the watch.
func (c *call) watchHead() func() {
	if c.pass.Submit.Model == "" || !c.pass.Submit.Stream {
		return func() {}
	}
	timer := time.AfterFunc(streamSilent, func() { c.cancel(errSilent) })
	return func() { timer.Stop() }
}

// ranAfter tells whether a request may have run after err: it can't have when
// no connection was made.
func ranAfter(err error) classifier.Ran {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return classifier.RanNo
	}
	return classifier.RanUnknown
}

func (c *call) request(ctx context.Context) (*http.Request, error) {
	s := c.pass.Submit
	body := s.Body
	if s.Model != "" {
		var err error
		if body, err = engineBody(s, c.pass.Rank); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+c.f.cfg.Address+s.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // the transport must not send the body again by itself
	for _, h := range s.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set("Egretwall-Id", s.Request)
	if s.Key != "" {
		req.Header.Set("Idempotency-Key", s.Key)
	}
	return req, nil
}

// ResumePoint tells an engine which tokens of a stream the caller already has.
type ResumePoint struct {
	Tokens uint32 `json:"tokens"`
	Text   string `json:"text"`
}

// engineBody adds the priority and the point of resumption to a caller's body.
func engineBody(s *linkpb.Submit, rank int) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(s.Body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, classifier.New(classifier.Invalid, "the body is no JSON object")
	}
	fields["priority"] = json.RawMessage(strconv.Itoa(rank))
	if s.Tokens > 0 {
		resume, err := json.Marshal(ResumePoint{s.Tokens, s.Prefix})
		if err != nil {
			return nil, err
		}
		fields["resume"] = resume
	}
	return json.Marshal(fields)
}

// hopHeaders are not passed on: they belong to one connection.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Trailer": true, "Upgrade": true,
	"Proxy-Connection": true, "Content-Length": true, "Date": true,
}

func headersOf(h http.Header) []*linkpb.Header {
	var list []*linkpb.Header
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			list = append(list, &linkpb.Header{Name: name, Value: v})
		}
	}
	return list
}

// bytes delivers a body as it comes.
func (c *call) bytes(ctx context.Context, body io.Reader) error {
	for {
		buf := make([]byte, pieceBytes)
		n, err := body.Read(buf)
		if n > 0 {
			if err := c.deliver(ctx, reducer.ResponseChunk{Attempt: c.pass.Attempt, Data: buf[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// deliver posts a piece once there is credit for it.
func (c *call) deliver(ctx context.Context, p reducer.ResponseChunk) error {
	for {
		c.mu.Lock()
		ok := c.credit > 0
		if ok {
			c.credit -= len(p.Data)
		}
		c.mu.Unlock()
		if ok {
			c.f.cfg.Post(p)
			return nil
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
