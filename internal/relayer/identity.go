package relayer

import (
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

// maxDenialLines is the number of log lines a second about requests without a known key.
// They must not use up the lines that other failures need.
const maxDenialLines = 10

// maxDeniedBody is the size of bodies that are read of requests without a known key, in
// bytes, so that their connections can be used again.
const maxDeniedBody = 256 << 10

// admission is the decision whether a request may use its route.
type admission struct {
	kind    classifier.Kind // None if it may
	route   *registrar.Route
	version registrar.Version // of the configuration that decided, zero without one
}

// admit finds the route of a request and the workspace of its caller. What is unknown is
// refused for good only by a configuration that the store has confirmed lately.
func (g *Gateway) admit(in *callerRequest) admission {
	for {
		cfg := g.cfg.Dispatcher.Configuration()
		if cfg == nil {
			return admission{kind: classifier.Leaving}
		}
		a := g.admitBy(cfg, in)
		if a.kind != classifier.Missing && a.kind != classifier.Denied {
			return a
		}
		if g.cfg.Dispatcher.MayLag() {
			a.kind = classifier.Stale
			return a
		}
		// The confirmation is that of the configuration in force by now.
		if g.cfg.Dispatcher.Configuration() == cfg {
			return a
		}
	}
}

// admitBy decides by a configuration.
func (g *Gateway) admitBy(cfg *registrar.Configuration, in *callerRequest) admission {
	path, _, _ := strings.Cut(in.target, "?")
	route, ok := cfg.Route(registrar.HostName(hostOf(in.host)), path)
	if !ok {
		return admission{kind: classifier.Missing, version: cfg.Version}
	}
	return admission{g.identify(in, cfg, route), route, cfg.Version}
}

// identify sets the workspace of a request by its key. It returns None if the request may
// use the route.
func (g *Gateway) identify(in *callerRequest, cfg *registrar.Configuration, route *registrar.Route) classifier.Kind {
	if !cfg.HasWorkspaces() {
		return classifier.None
	}
	in.withKey = true
	w, ok := cfg.Workspace(in.info.Key)
	in.workspace = w
	switch {
	case ok || route.Public:
		return classifier.None
	case !g.cfg.Dispatcher.KeysConfirmed():
		return classifier.Stale
	}
	return classifier.Denied
}

// denyBeforeBody answers a request without a known key without waiting for its body. It
// reports whether it did.
func (g *Gateway) denyBeforeBody(in *callerRequest, r *http.Request, out *callerResponse) bool {
	if r.ContentLength == 0 {
		return false
	}
	a := g.admit(in)
	if a.kind != classifier.Denied && a.kind != classifier.Stale {
		return false
	}
	// The server would read the body first. The response writers of tests support neither.
	_ = out.controller.EnableFullDuplex()
	_ = out.controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	readBody := r.ContentLength <= maxDeniedBody && r.Header.Get("Expect") == ""
	if !readBody {
		out.w.Header().Set("Connection", "close")
	}
	g.reject(out, in, a.kind, a.version)
	_ = out.controller.Flush()
	if !readBody {
		return true
	}
	// What is left of the body must not be taken for the next request of the connection.
	if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDeniedBody)); err != nil || n == maxDeniedBody {
		out.abort()
	}
	return true
}

// forwardHeader returns the headers of a request to an upstream.
func (g *Gateway) forwardHeader(in *callerRequest, info ForwardInfo) http.Header {
	// The first configuration with workspaces may have come while the request waited.
	if cfg := g.cfg.Dispatcher.Configuration(); !in.withKey && cfg.HasWorkspaces() {
		in.withKey = true
		in.workspace, _ = cfg.Workspace(in.info.Key)
	}
	header := in.header.Clone()
	if in.withKey {
		maps.DeleteFunc(header, func(name string, _ []string) bool { return g.cfg.HeaderCodec.Identifies(name) })
	}
	if in.workspace != nil {
		info.Workspace = in.workspace.Name
	}
	g.cfg.HeaderCodec.SetForwardHeaders(header, info)
	return header
}

// Denied returns the number of requests that were rejected for want of a known key.
func (g *Gateway) Denied() int64 {
	return g.denied.Load()
}

// logDenial logs a request without a known key, unless there are too many.
func (g *Gateway) logDenial(in *callerRequest, version registrar.Version) {
	g.denied.Add(1)
	omitted, ok := g.denials.admit(time.Now())
	if !ok {
		return
	}
	cause := "unknown key"
	if in.info.Key == (registrar.KeyDigest{}) {
		cause = "no key, or several"
	}
	g.cfg.Logger.Warn().Str("request", in.info.AttemptID).Str("kind", string(classifier.Denied)).Str("cause", cause).Str("host", in.host).
		Str("path", in.target).Str("caller", in.caller).Int64("version", int64(version)).
		Int64("age", g.cfg.Dispatcher.ConfigurationAge().Milliseconds()).Int("omitted", omitted).Msg("request rejected")
}

// denialLimit limits log lines to maxDenialLines a second. It is safe for concurrent use.
type denialLimit struct {
	mu      sync.Mutex
	from    time.Time // of the present second
	lines   int       // in it
	omitted int       // since the last line
}

// admit reports whether a line may be written, and how many were omitted before it.
func (l *denialLimit) admit(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.from) >= time.Second {
		l.from, l.lines = now, 0
	}
	if l.lines >= maxDenialLines {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
