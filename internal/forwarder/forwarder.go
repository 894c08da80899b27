// Package forwarder sends attempts and orders to an upstream over HTTP.
//
// Usage:
//
//	f := forwarder.New(forwarder.Config{Address: "127.0.0.1:8000", Post: loop.post})
//	f.Forward(effect)
//	f.Abort(id)
//
// Model engines receive requests of the OpenAI API with two more fields in the body:
// "priority" and, for a resumed stream, "resume". A plain service receives the caller's
// body unchanged. The client of net/http is used because that of fasthttp can't cancel a
// request in flight. A request that must not run twice is sent over a new connection, on
// which net/http never retries.
package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/internal/verifier"
)

// Limits of requests to an upstream.
const (
	dialTimeout          = 500 * time.Millisecond
	streamSilenceTimeout = 750 * time.Millisecond // engines send heartbeats on a stream more often than this
	chunkBytes           = 32 << 10
	maxLineBytes         = 1 << 20
	maxBodyBytes         = 1 << 20 // of a response that is not forwarded
)

var errBodySize = errors.New("body of the response exceeds the size limit")

// ranHeader is set to "no" by an upstream that refuses a request without running it.
const ranHeader = "Egretwall-Ran"

// Config configures a Forwarder.
type Config struct {
	Address string              // of the upstream, as IP:port
	Post    func(reducer.Event) // passes an event to the agent's reducer
}

// Forwarder is the HTTP client of one upstream.
type Forwarder struct {
	cfg      Config
	pooled   *verifier.Transport // keeps connections alive and reuses them
	unpooled *verifier.Transport // opens a connection for each request

	mu       sync.Mutex
	attempts map[reducer.AttemptID]*attempt
}

// attempt is an attempt in flight at the upstream.
type attempt struct {
	forwarder   *Forwarder
	forward     reducer.Forward
	cancel      context.CancelCauseFunc
	mu          sync.Mutex
	credit      int           // bytes of the response that may be posted before more are acknowledged
	creditAdded chan struct{} // has an element when credit may have grown
}

// New returns a forwarder to the upstream at cfg.Address.
func New(cfg Config) *Forwarder {
	transport := func() *verifier.Transport {
		return verifier.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}).DialContext,
			MaxIdleConnsPerHost: 64,
			DisableCompression:  true,
		})
	}
	f := &Forwarder{cfg: cfg, pooled: transport(), unpooled: transport(), attempts: map[reducer.AttemptID]*attempt{}}
	f.unpooled.DisableKeepAlives = true
	return f
}

// Close cancels all attempts and closes the idle connections, as the end of the process
// would.
func (f *Forwarder) Close() {
	f.mu.Lock()
	for _, a := range f.attempts {
		a.cancel(nil)
	}
	f.mu.Unlock()
	f.pooled.CloseIdleConnections()
}

// Forward starts an attempt. It posts ResponseStarted, a ResponseChunk for each part of
// the body, and ResponseFinished.
func (f *Forwarder) Forward(fwd reducer.Forward) {
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &attempt{forwarder: f, forward: fwd, cancel: cancel, credit: fwd.Window, creditAdded: make(chan struct{}, 1)}
	f.mu.Lock()
	f.attempts[fwd.Attempt] = a
	f.mu.Unlock()
	go a.run(ctx)
}

// Abort cancels an attempt.
func (f *Forwarder) Abort(id reducer.AttemptID) {
	if a := f.attempt(id); a != nil {
		a.cancel(nil)
	}
}

// Credit extends the flow control window of an attempt's response by size bytes.
func (f *Forwarder) Credit(id reducer.AttemptID, size int) {
	a := f.attempt(id)
	if a == nil {
		return
	}
	a.mu.Lock()
	a.credit += size
	a.mu.Unlock()
	select {
	case a.creditAdded <- struct{}{}:
	default:
	}
}

func (f *Forwarder) attempt(id reducer.AttemptID) *attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts[id]
}

func (a *attempt) run(ctx context.Context) {
	kind, ran := a.exchange(ctx)
	if ctx.Err() != nil && kind == classifier.Lost && !errors.Is(context.Cause(ctx), errSilence) {
		kind = classifier.Cancelled
	}
	a.cancel(nil)
	a.forwarder.mu.Lock()
	delete(a.forwarder.attempts, a.forward.Attempt)
	a.forwarder.mu.Unlock()
	a.forwarder.cfg.Post(reducer.ResponseFinished{Attempt: a.forward.Attempt, Kind: kind, Ran: ran})
}

// exchange sends the request and posts the response. It returns the error kind, None if
// the response is complete, and whether the upstream may have run the request.
func (a *attempt) exchange(ctx context.Context) (classifier.Kind, classifier.Ran) {
	req, err := a.newRequest(ctx)
	if err != nil {
		return classifier.Invalid, classifier.RanNo
	}
	transport := a.forwarder.pooled
	if !a.forward.Submit.Repeatable {
		transport = a.forwarder.unpooled
	}
	stopTimer := a.startHeaderTimer()
	res, err := transport.RoundTrip(req)
	stopTimer()
	if err != nil {
		return classifier.Lost, ranAfterError(err)
	}
	defer func() { _ = res.Body.Close() }()
	if kind := a.refusalKind(res); kind != classifier.None {
		if _, err := readBody(res); err != nil {
			return classifier.Lost, classifier.RanUnknown
		}
		return kind, classifier.RanNo
	}
	hasEvents := a.forward.Submit.Model != "" && isEventStream(res.Header)
	if a.forward.Submit.Tokens > 0 && (res.StatusCode != http.StatusOK || !hasEvents) {
		return classifier.Broken, classifier.RanUnknown // it does not go on with the caller's stream
	}
	a.forwarder.cfg.Post(reducer.ResponseStarted{Attempt: a.forward.Attempt, Status: res.StatusCode, Headers: linkHeaders(res.Header)})
	if hasEvents {
		err = a.relayEvents(ctx, res.Body)
	} else {
		err = a.relayBody(ctx, res.Body)
	}
	if err != nil {
		return classifier.Lost, classifier.RanUnknown
	}
	return classifier.None, classifier.RanYes
}

// refusalKind returns the error kind of a response by which the upstream refuses to run the
// request, None for others.
func (a *attempt) refusalKind(res *http.Response) classifier.Kind {
	switch {
	case res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(ranHeader) == string(classifier.RanNo):
		return classifier.Leaving
	case res.StatusCode == http.StatusNotFound && a.forward.Submit.Model != "":
		return classifier.Loading // unloaded since the agent checked
	}
	return classifier.None
}

// readBody returns the whole body of a response that is not forwarded.
func readBody(res *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errBodySize
	}
	return body, err
}

// isEventStream reports whether h belongs to a stream of server-sent events.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)) && mediaType == "text/event-stream"
}

// startHeaderTimer cancels a stream if the engine doesn't send the headers of the
// response within streamSilenceTimeout. The returned function stops the timer.
func (a *attempt) startHeaderTimer() func() {
	if a.forward.Submit.Model == "" || !a.forward.Submit.Stream {
		return func() {}
	}
	timer := time.AfterFunc(streamSilenceTimeout, func() { a.cancel(errSilence) })
	return func() { timer.Stop() }
}

// ranAfterError reports whether a request that failed with err may have run, which is
// impossible if no connection was established.
func ranAfterError(err error) classifier.Ran {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return classifier.RanNo
	}
	return classifier.RanUnknown
}

func (a *attempt) newRequest(ctx context.Context) (*http.Request, error) {
	s := a.forward.Submit
	body := s.Body
	if s.Model != "" {
		var err error
		if body, err = engineBody(s, a.forward.Rank); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+a.forwarder.cfg.Address+s.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // without GetBody the transport can't send the body again on its own
	for _, h := range s.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set("Egretwall-Id", s.Request)
	if s.Key != "" {
		req.Header.Set("Idempotency-Key", s.Key)
	}
	return req, nil
}

// ResumePoint tells an engine where to resume a stream: after the tokens that the caller
// already has.
type ResumePoint struct {
	Tokens uint32 `json:"tokens"` // number of tokens that the caller has
	Text   string `json:"text"`   // text of these tokens
}

// engineBody returns a caller's JSON body with the fields "priority" and, for a resumed
// stream, "resume".
func engineBody(s *linkpb.Submit, rank int) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(s.Body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, classifier.New(classifier.Invalid, "request body is not a JSON object")
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

// droppedHeaders lists the headers of an upstream's response that are not forwarded,
// because they apply to one connection or message only.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Trailer": true, "Upgrade": true,
	"Proxy-Connection": true, "Content-Length": true, "Date": true,
}

// linkHeaders converts the headers of a response to those of the link, without
// droppedHeaders.
func linkHeaders(h http.Header) []*linkpb.Header {
	var list []*linkpb.Header
	for name, values := range h {
		if droppedHeaders[name] {
			continue
		}
		for _, v := range values {
			list = append(list, &linkpb.Header{Name: name, Value: v})
		}
	}
	return list
}

// relayBody posts a body in chunks as they are read.
func (a *attempt) relayBody(ctx context.Context, body io.Reader) error {
	for {
		buf := make([]byte, chunkBytes)
		n, err := body.Read(buf)
		if n > 0 {
			if err := a.deliver(ctx, reducer.ResponseChunk{Attempt: a.forward.Attempt, Data: buf[:n]}); err != nil {
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

// deliver posts a chunk once the flow control window is open. The chunk may be larger
// than what is left of the window.
func (a *attempt) deliver(ctx context.Context, chunk reducer.ResponseChunk) error {
	for {
		a.mu.Lock()
		allowed := a.credit > 0
		if allowed {
			a.credit -= len(chunk.Data)
		}
		a.mu.Unlock()
		if allowed {
			a.forwarder.cfg.Post(chunk)
			return nil
		}
		select {
		case <-a.creditAdded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
