package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Bounds on callers that hold before a configuration says otherwise.
const (
	headerBound   = 16 << 10 // bytes
	headerTimeout = 3 * time.Second
	bodyTimeout   = 10 * time.Second // reading a body; longer than any caller's pause
	idleTimeout   = 15 * time.Second
)

// Config connects a gateway with its parts.
type Config struct {
	HeaderCodec HeaderCodec
	Dispatcher  Dispatcher
	Logger      zerolog.Logger
}

// Gateway answers callers.
type Gateway struct {
	cfg      Config
	pool     *Pool
	server   *http.Server
	draining atomic.Bool
	open     atomic.Int64 // requests without their whole answer

	mu       sync.Mutex
	conns    map[*callerConn]struct{}
	retiring bool // connections end when they become idle
}

// New returns a gateway that does not serve yet.
func New(cfg Config) *Gateway {
	g := &Gateway{cfg: cfg, pool: NewPool(), conns: map[*callerConn]struct{}{}}
	g.server = &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBound,
		ConnState: g.connState, ConnContext: withCallerConn, ErrorLog: nil, DisableGeneralOptionsHandler: true,
	}
	g.server.ErrorLog = newErrorLog(cfg.Logger)
	return g
}

// Pool returns the connections to upstreams.
func (g *Gateway) Pool() *Pool {
	return g.pool
}

// Open counts the requests that have no whole answer yet.
func (g *Gateway) Open() int {
	return int(g.open.Load())
}

// Serve answers callers until Close.
func (g *Gateway) Serve(l net.Listener) error {
	if err := g.server.Serve(callerListener{l}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Drain lets each connection end with its next answer.
func (g *Gateway) Drain() {
	g.draining.Store(true)
}

// Draining tells whether Drain was called.
func (g *Gateway) Draining() bool {
	return g.draining.Load()
}

// Shutdown closes idle connections and waits for open answers until ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.mu.Lock()
	g.retiring = true
	conns := slices.Collect(maps.Keys(g.conns))
	g.mu.Unlock()
	for _, c := range conns {
		c.retire()
	}
	return g.server.Shutdown(ctx)
}

// connState follows the callers' connections and closes those that stay idle
// longer than the configuration allows.
func (g *Gateway) connState(c net.Conn, state http.ConnState) {
	conn := c.(*callerConn)
	switch state {
	case http.StateNew:
		g.mu.Lock()
		g.conns[conn] = struct{}{}
		g.mu.Unlock()
	case http.StateIdle:
		conn.rest(g.limits().IdleTimeout)
		g.mu.Lock()
		retiring := g.retiring
		g.mu.Unlock()
		if retiring {
			conn.retire()
		}
	case http.StateClosed:
		g.mu.Lock()
		delete(g.conns, conn)
		g.mu.Unlock()
	}
}

func (g *Gateway) limits() registrar.Limits {
	if c := g.cfg.Dispatcher.Configuration(); c != nil {
		return c.Limits
	}
	return registrar.Limits{HeaderLimit: headerBound, BodyLimit: answerBound, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	if !beginOn(r.Context()) {
		call, err := g.cfg.HeaderCodec.ParseRequest(r.Header)
		g.cfg.Logger.Info().Str("request", call.AttemptID).Str("path", r.RequestURI).AnErr("cause", err).Msg("request dropped, its idle connection had been closed")
		panic(http.ErrAbortHandler)
	}
	out := &outgoing{w: w, control: http.NewResponseController(w), last: -1, closing: g.draining.Load}
	in, kind := g.read(w, r, out)
	if kind != classifier.None {
		g.reject(out, in, kind, 0)
		return
	}
	cfg := g.cfg.Dispatcher.Configuration()
	if cfg == nil {
		g.reject(out, in, classifier.Leaving, 0)
		return
	}
	path, _, _ := strings.Cut(in.target, "?")
	route, ok := cfg.Route(registrar.HostName(hostOf(in.host)), path)
	if !ok {
		g.reject(out, in, classifier.Missing, cfg.Version)
		return
	}
	g.serve(r.Context(), in, out, route)
}

// reject refuses a request that never reaches the decider. Version is that of
// the configuration that decided, zero when none did.
func (g *Gateway) reject(out *outgoing, in *incoming, kind classifier.Kind, version registrar.Version) {
	g.cfg.Logger.Warn().Str("request", in.call.AttemptID).Str("kind", string(kind)).Str("host", in.host).
		Str("path", in.target).Int64("version", int64(version)).Msg("request rejected")
	g.refuse(out, in.call.AttemptID, kind, 0)
}

// serve carries out the effects of one request until its end.
func (g *Gateway) serve(ctx context.Context, in *incoming, out *outgoing, route *registrar.Route) {
	now := g.cfg.Dispatcher.Now()
	budget := route.Timeout
	if in.call.Timeout > 0 && (in.call.Timeout < budget || budget <= 0) {
		budget = in.call.Timeout
	}
	box := NewMailbox()
	id := g.cfg.Dispatcher.Submit(dispatcher.Request{
		AttemptID: in.call.AttemptID, Route: route, Model: in.call.Model, Adapter: in.call.Adapter,
		PromptTokens: in.call.PromptTokens, OutputTokens: in.call.OutputTokens, Deadline: now + budget,
	}, box)
	out.last = in.call.LastEventID
	for {
		switch e := box.Next(ctx).(type) {
		case dispatcher.Send:
			outcome, cause := g.send(ctx, e, in, out, box)
			g.cfg.Dispatcher.Reduce(dispatcher.SendEnded{ID: id, Try: e.Try, Outcome: outcome, Cause: cause})
			if outcome == dispatcher.Completed {
				return
			}
			if outcome == dispatcher.CallerClosed {
				out.abandon()
			}
		case dispatcher.RelayFailure:
			if out.started || out.failure == nil {
				out.abandon()
			}
			f := out.failure
			if err := out.whole(f.status, f.header, f.body); err != nil {
				out.abandon()
			}
			return
		case dispatcher.Fail:
			if out.started {
				out.abandon()
			}
			g.refuse(out, in.call.AttemptID, e.Kind, e.RetryAfter)
			return
		case dispatcher.Abort:
			continue
		case nil:
			g.cfg.Dispatcher.Reduce(dispatcher.CallerDisconnected{ID: id})
			out.abandon()
		}
	}
}

// read takes in a caller's request.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request, out *outgoing) (*incoming, classifier.Kind) {
	in := &incoming{method: r.Method, target: r.RequestURI, host: r.Host, header: http.Header{}}
	call, err := g.cfg.HeaderCodec.ParseRequest(r.Header)
	in.call = call
	if err != nil || !strings.HasPrefix(r.RequestURI, "/") {
		g.cfg.Logger.Warn().Str("request", call.AttemptID).Str("path", r.RequestURI).AnErr("cause", err).Msg("request is malformed")
		return in, classifier.Invalid
	}
	for name, values := range r.Header {
		if !hopByHop[name] && !g.cfg.HeaderCodec.Reserved(name) {
			in.header[name] = values
		}
	}
	for _, name := range strings.Split(strings.Join(r.Header.Values("Connection"), ","), ",") {
		in.header.Del(strings.TrimSpace(name))
	}
	in.header.Del("Content-Length")
	if r.ContentLength == 0 {
		return in, classifier.None
	}
	limit := int64(g.limits().BodyLimit)
	if r.ContentLength > limit {
		return in, classifier.Large
	}
	// Not all readers have deadlines; those of tests don't.
	_ = out.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	in.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = out.control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return in, classifier.Large
	case isTimeout(err):
		return in, classifier.Stalled
	case err != nil:
		return in, classifier.Invalid
	}
	return in, classifier.None
}

// hostOf returns a Host header without its port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return strings.ToLower(name)
	}
	return strings.ToLower(host)
}

// refuse writes an answer of the system itself.
func (g *Gateway) refuse(out *outgoing, name string, kind classifier.Kind, after time.Duration) {
	a := classifier.ResponseOf(kind)
	if after <= 0 {
		after = a.RetryAfter
	}
	h := out.w.Header()
	g.cfg.HeaderCodec.SetErrorHeaders(h, name)
	if a.Retryable {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	out.finishHeader()
	out.deadline()
	out.started = true
	out.w.WriteHeader(a.Status)
	if _, err := io.WriteString(out.w, string(kind)+": "+a.Message+"\n"); err != nil {
		g.cfg.Logger.Debug().Str("request", name).Err(err).Msg("caller left before its answer")
	}
}
