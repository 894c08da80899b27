package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Limits of callers' requests and connections. defaultIdleTimeout applies until
// there is a configuration.
const (
	maxHeaderSize      = 16 << 10 // bytes
	headerTimeout      = 3 * time.Second
	bodyTimeout        = 10 * time.Second // to read a body; longer than any pause of a caller that sends one
	defaultIdleTimeout = 15 * time.Second
	shedRetryAfter     = 100 * time.Millisecond // of requests without room here; callers return at any gateway
)

// Causes of refusals by what the gateway holds, for want of processor time, and by its
// configuration.
var (
	errNoRoom   = errors.New("this gateway has no memory or descriptors for it")
	errNoTime   = errors.New("this gateway has no processor time for it")
	errOutdated = errors.New("a newer configuration than that of this gateway exists")
)

// Config configures a Gateway.
type Config struct {
	HeaderCodec HeaderCodec
	Dispatcher  Dispatcher
	Logger      zerolog.Logger
	Budget      budgeter.Config // of what is held for callers and upstreams, that of unknown memory if it is zero
	StopTimeout time.Duration   // for which a caller may read nothing, defaultStopTimeout if it is zero
}

// Gateway is the HTTP server for callers.
type Gateway struct {
	cfg          Config
	pool         *Pool
	server       *http.Server
	draining     atomic.Bool
	openRequests atomic.Int64 // requests without a complete response
	denied       atomic.Int64 // requests without a known key
	overloads    atomic.Int64 // requests that were refused for want of processor time
	denials      denialLimit

	endedCallers atomic.Int64 // that stopped reading
	account      *account

	serving sync.WaitGroup // calls of Serve

	mu       sync.Mutex
	listener net.Listener // of Serve
	conns    map[*callerConn]struct{}
	stopping bool // Shutdown was called
}

// New returns a gateway that accepts no connections before Serve.
func New(cfg Config) *Gateway {
	if cfg.Budget.Total == 0 {
		cfg.Budget = budgeter.ConfigOf(budgeter.Limits{})
	}
	if cfg.StopTimeout == 0 {
		cfg.StopTimeout = defaultStopTimeout
	}
	a := newAccount(cfg.Budget)
	g := &Gateway{cfg: cfg, pool: newPool(a), conns: map[*callerConn]struct{}{}, account: a}
	g.server = &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderSize,
		ConnState: g.trackConn, ConnContext: withCallerConn, ErrorLog: nil, DisableGeneralOptionsHandler: true,
	}
	g.server.ErrorLog = newErrorLog(cfg.Logger)
	return g
}

// Pool returns the pool of connections to upstreams.
func (g *Gateway) Pool() *Pool {
	return g.pool
}

// Open returns the number of requests without a complete response.
func (g *Gateway) Open() int {
	return int(g.openRequests.Load())
}

// Held returns what the gateway holds for callers and upstreams.
func (g *Gateway) Held() budgeter.Holdings {
	return g.account.holdings()
}

// EndedCallers returns the number of callers that were ended since they stopped reading.
func (g *Gateway) EndedCallers() int64 {
	return g.endedCallers.Load()
}

// closeAfterResponse reports whether callers' connections are to be closed after their
// next response.
func (g *Gateway) closeAfterResponse() bool {
	return g.draining.Load() || g.account.crowded()
}

// trackConn keeps the set of callers' connections and starts the idle timeout of
// those that become idle. It is the ConnState hook of the server.
func (g *Gateway) trackConn(c net.Conn, state http.ConnState) {
	conn := c.(*callerConn)
	switch state {
	case http.StateNew:
		g.account.connected(1)
		g.mu.Lock()
		g.conns[conn] = struct{}{}
		g.mu.Unlock()
	case http.StateIdle:
		timeout := g.limits().IdleTimeout
		if g.isStopping() {
			// The caller was not told, since the header of its response was written before the stop.
			timeout = min(timeout, stopIdleTimeout)
		}
		conn.setIdle(timeout)
	case http.StateClosed:
		g.account.connected(-1)
		g.mu.Lock()
		delete(g.conns, conn)
		g.mu.Unlock()
	}
}

// limits returns the limits of the configuration in force, or defaults before the
// first.
func (g *Gateway) limits() registrar.Limits {
	if c := g.cfg.Dispatcher.Configuration(); c != nil {
		return c.Limits
	}
	return registrar.Limits{HeaderLimit: maxHeaderSize, BodyLimit: maxResponseSize, HeaderTimeout: headerTimeout, IdleTimeout: defaultIdleTimeout}
}

// ServeHTTP handles one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.openRequests.Add(1)
	defer g.openRequests.Add(-1)
	conn := callerConnOf(r.Context())
	if conn != nil && !conn.beginRequest() {
		info, err := g.cfg.HeaderCodec.ParseRequest(r.Header)
		g.cfg.Logger.Info().Str("request", info.AttemptID).Str("path", r.RequestURI).AnErr("cause", err).Msg("request dropped, its idle connection had been closed")
		panic(http.ErrAbortHandler)
	}
	out := &callerResponse{w: w, conn: conn, controller: http.NewResponseController(w), lastEventID: -1, closeAfter: g.closeAfterResponse}
	in, kind := g.readHeader(r)
	if kind == classifier.None && g.denyBeforeBody(in, r, out) {
		return
	}
	defer g.releaseRequest(in, out)
	if kind == classifier.None {
		kind = g.readBody(w, r, in, out)
	}
	if kind != classifier.None {
		g.reject(out, in, kind, 0)
		return
	}
	if g.cfg.Dispatcher.Overloaded() {
		g.overloads.Add(1)
		g.sendElsewhere(out, in, classifier.Busy, errNoTime)
		return
	}
	if g.cfg.Dispatcher.Outdated() {
		g.sendElsewhere(out, in, classifier.Stale, errOutdated)
		return
	}
	a := g.admit(in)
	if a.kind != classifier.None {
		g.reject(out, in, a.kind, a.version)
		return
	}
	g.runEffects(r.Context(), in, out, a.route)
}

// reject writes an error response to a request that is not submitted to the dispatcher.
// The version is that of the configuration that decided, zero if none did.
func (g *Gateway) reject(out *callerResponse, in *callerRequest, kind classifier.Kind, version registrar.Version) {
	if kind == classifier.Denied {
		g.logDenial(in, version)
		g.writeError(out, in.info.AttemptID, kind, 0)
		return
	}
	line, retryAfter := g.cfg.Logger.Warn(), time.Duration(0)
	if kind == classifier.Busy {
		held := g.Held()
		line = line.Str("cause", errNoRoom.Error()).Int64("bytes", int64(held.HeldBytes)).Int("callers", held.CallerConnections)
		retryAfter = shedRetryAfter
	}
	if kind == classifier.Missing || kind == classifier.Stale {
		line = line.Int64("age", g.cfg.Dispatcher.ConfigurationAge().Milliseconds())
	}
	line.Str("request", in.info.AttemptID).Str("kind", string(kind)).Str("host", in.host).
		Str("path", in.target).Int64("version", int64(version)).Msg("request rejected")
	g.writeError(out, in.info.AttemptID, kind, retryAfter)
}

// sendElsewhere refuses a request that other gateways can serve. The connection is closed, so
// that its caller opens one to another gateway.
func (g *Gateway) sendElsewhere(out *callerResponse, in *callerRequest, kind classifier.Kind, cause error) {
	g.cfg.Logger.Warn().Str("request", in.info.AttemptID).Str("kind", string(kind)).Str("cause", cause.Error()).Msg("request rejected")
	out.w.Header().Set("Connection", "close")
	g.writeError(out, in.info.AttemptID, kind, shedRetryAfter)
}

// Overloads returns the number of requests that were refused for want of processor time.
func (g *Gateway) Overloads() int64 {
	return g.overloads.Load()
}

// runEffects submits a request and carries out its effects until it has its final
// response. It panics with http.ErrAbortHandler if the caller's connection must be
// closed.
func (g *Gateway) runEffects(ctx context.Context, in *callerRequest, out *callerResponse, route *registrar.Route) {
	now := g.cfg.Dispatcher.Now()
	timeout := route.Timeout
	if in.info.Timeout > 0 && (in.info.Timeout < timeout || timeout <= 0) {
		timeout = in.info.Timeout
	}
	// The request had waited for the processor when it was read.
	timeout = max(0, timeout-g.cfg.Dispatcher.ProcessorDelay())
	mailbox := NewMailbox()
	id := g.cfg.Dispatcher.Submit(dispatcher.Request{
		AttemptID: in.info.AttemptID, Route: route, Model: in.info.Model, Adapter: in.info.Adapter,
		PromptTokens: in.info.PromptTokens, OutputTokens: in.info.OutputTokens, Deadline: now + timeout,
		Resumed: in.info.LastEventID >= 0 || in.info.Resumes != "", Resumes: in.info.Resumes,
		Traits: in.traits(), Workspace: in.workspace, Key: in.info.Key, Size: budgeter.Bytes(len(in.body)),
	}, mailbox)
	out.lastEventID = in.info.LastEventID
	for {
		switch e := mailbox.Next(ctx).(type) {
		case dispatcher.Send:
			lastEventID := out.lastEventID
			outcome, cause := g.send(ctx, e, in, out, mailbox)
			g.cfg.Dispatcher.Reduce(dispatcher.SendEnded{
				ID: id, Try: e.Try, Outcome: outcome, Cause: cause, Events: int(out.lastEventID - lastEventID), LongestPause: out.longestPause,
			})
			if outcome == dispatcher.Completed {
				g.releaseBody(in)
				if err := out.flush(); err != nil {
					g.endCaller(in, out)
				}
				return
			}
			if outcome == dispatcher.CallerClosed {
				g.endCaller(in, out)
			}
		case dispatcher.RelayFailure:
			if out.headerWritten || out.failure == nil {
				g.breakOff(in, out)
			}
			f := out.failure
			if err := out.writeResponse(f.status, f.header, f.body); err != nil {
				out.abort()
			}
			return
		case dispatcher.Fail:
			if out.headerWritten {
				g.breakOff(in, out)
			}
			g.writeError(out, in.info.AttemptID, e.Kind, e.RetryAfter)
			return
		case dispatcher.Abort:
			continue
		case nil:
			g.cfg.Dispatcher.Reduce(dispatcher.CallerDisconnected{ID: id})
			out.abort()
		}
	}
}

// breakOff closes the caller's connection when it has got the events that were held for it.
func (g *Gateway) breakOff(in *callerRequest, out *callerResponse) {
	if err := out.flush(); err != nil {
		g.endCaller(in, out)
	}
	out.abort()
}

// endCaller closes the connection of a caller that gets no more of its response.
func (g *Gateway) endCaller(in *callerRequest, out *callerResponse) {
	if out.stoppedReading() {
		g.endedCallers.Add(1)
		g.cfg.Logger.Warn().Str("request", in.info.AttemptID).Str("cause", errStoppedReading.Error()).
			Int64("last", out.lastEventID).Msg("caller ended")
	}
	out.abort()
}

// hostOf returns the value of a Host header in lower case without the port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return strings.ToLower(name)
	}
	return strings.ToLower(host)
}

// writeError writes an error response of the gateway itself. A retryAfter of zero
// stands for the default of the kind.
func (g *Gateway) writeError(out *callerResponse, attemptID string, kind classifier.Kind, retryAfter time.Duration) {
	resp := classifier.ResponseOf(kind)
	if retryAfter <= 0 {
		retryAfter = resp.RetryAfter
	}
	h := out.w.Header()
	g.cfg.HeaderCodec.SetErrorHeaders(h, attemptID)
	if resp.Retryable {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if kind == classifier.Denied {
		h.Set("WWW-Authenticate", "Bearer")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := string(kind) + ": " + resp.Message + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	out.finishHeader()
	out.headerWritten = true
	out.w.WriteHeader(resp.Status)
	if _, err := io.WriteString(out.w, text); err != nil {
		g.cfg.Logger.Debug().Str("request", attemptID).Err(err).Msg("error response not written")
	}
}
