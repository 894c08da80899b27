// Package observer provides the log of a process and its admin server, which shows
// health, metrics and a dump of the process's state.
//
// Usage:
//
//	logger, err := observer.NewLogger(os.Stderr, "info")
//	admin, err := observer.NewAdminServer(observer.AdminConfig{Name: "entry-1", Address: "10.0.0.1:7001", ...})
//	err = admin.Run(ctx)
package observer

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/prometheus/common/expfmt"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/reducer"
)

// NewLogger returns a logger that writes one line of key=value pairs per event. The
// error is of kind Invalid if the level is unknown.
func NewLogger(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), classifier.Wrap(classifier.Invalid, err, "log level %q, expected debug, info, warn or error", level)
	}
	console := zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339, PartsOrder: []string{"time", "level", "message"}}
	console.FormatTimestamp = func(v any) string { return "time=" + toString(v) }
	console.FormatLevel = func(v any) string { return "level=" + toString(v) }
	console.FormatMessage = func(v any) string {
		quoted, err := json.Marshal(toString(v))
		if err != nil {
			return "event=?"
		}
		return "event=" + string(quoted)
	}
	return zerolog.New(console).Level(l).With().Timestamp().Logger(), nil
}

// toString returns v if it is a string and an empty string otherwise.
func toString(v any) string {
	s, ok := v.(string)
	if !ok {
		return ""
	}
	return s
}

// Log writes a log event of a reducer. It is a warning if its Kind is set.
func Log(logger zerolog.Logger, e reducer.LogEvent) {
	line := logger.Info()
	if e.Kind != classifier.None {
		line = logger.Warn().Str("kind", string(e.Kind))
	}
	if e.Request != "" {
		line = line.Str("request", string(e.Request))
	}
	if e.Attempt != "" {
		line = line.Str("attempt", string(e.Attempt))
	}
	if e.Peer != "" {
		line = line.Str("peer", e.Peer)
	}
	if e.Text != "" {
		line = line.Str("text", e.Text)
	}
	line.Msg(e.Name)
}

// AdminConfig configures an AdminServer.
type AdminConfig struct {
	Name    string      // of the process, in the metrics
	Address string      // to listen on, as host:port
	Healthy func() bool // false while the process drains
	Dump    func() any  // returns the state of the process, nil when it has stopped
	Metrics func() any  // returns the metrics of the process, a struct as WriteMetrics takes it
}

// metrics holds the metrics of all processes in this program by name. Only the demo and
// tests run more than one.
var metrics = expvar.NewMap("egretwall")

// AdminServer is the HTTP server for operators: /healthz, /metrics, /debug/vars and
// /dump.
type AdminServer struct {
	cfg      AdminConfig
	listener net.Listener
	server   *fasthttp.Server
}

// NewAdminServer returns an admin server that listens on cfg.Address; Run serves it. If
// it can't listen, the error is of kind Invalid.
func NewAdminServer(cfg AdminConfig) (*AdminServer, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen on admin address %s", cfg.Address)
	}
	a := &AdminServer{cfg: cfg, listener: listener}
	metrics.Set(cfg.Name, expvar.Func(cfg.Metrics))
	r := router.New()
	r.GET("/healthz", a.health)
	r.GET("/debug/vars", expvarhandler.ExpvarHandler)
	r.GET(MetricsPath, a.metrics)
	r.GET("/dump", a.dump)
	a.server = &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true, CloseOnShutdown: true, IdleTimeout: 10 * time.Second}
	return a, nil
}

// Address returns the address that the server listens on, as host:port.
func (a *AdminServer) Address() string {
	return a.listener.Addr().String()
}

// Run serves requests until ctx ends.
func (a *AdminServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = a.server.Shutdown() })
	defer stop()
	return a.server.Serve(a.listener)
}

func (a *AdminServer) health(ctx *fasthttp.RequestCtx) {
	if !a.cfg.Healthy() {
		ctx.Error("draining", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

// MetricsPath is the route of the metrics of one process, in the Prometheus text format.
// /debug/vars shows those of all processes in the program as JSON.
const MetricsPath = "/metrics"

func (a *AdminServer) metrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	if err := WriteMetrics(ctx, a.cfg.Metrics()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

func (a *AdminServer) dump(ctx *fasthttp.RequestCtx) {
	state := a.cfg.Dump()
	data, err := json.MarshalIndent(state, "", "  ")
	if state == nil || err != nil {
		ctx.Error("the process has stopped", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}
