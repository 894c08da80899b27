// Package observer shows what a process does: its log, its metrics and a dump
// of its state.
//
// Usage:
//
//	log := observer.NewLogger(os.Stderr, "info")
//	admin := observer.NewAdmin(observer.AdminConfig{Name: "entry-1", Address: "10.0.0.1:7001", ...})
//	err := admin.Run(ctx)
package observer

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/reducer"
)

// NewLogger returns a logger that writes one line of key=value pairs per event.
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

func toString(v any) string {
	s, ok := v.(string)
	if !ok {
		return ""
	}
	return s
}

// Log writes a reducer's note.
func Log(log zerolog.Logger, n reducer.LogEvent) {
	ev := log.Info()
	if n.Kind != classifier.None {
		ev = log.Warn().Str("kind", string(n.Kind))
	}
	if n.Request != "" {
		ev = ev.Str("request", string(n.Request))
	}
	if n.Attempt != "" {
		ev = ev.Str("attempt", string(n.Attempt))
	}
	if n.Peer != "" {
		ev = ev.Str("peer", n.Peer)
	}
	if n.Text != "" {
		ev = ev.Str("text", n.Text)
	}
	ev.Msg(n.Name)
}

// AdminConfig connects the admin address with its process.
type AdminConfig struct {
	Name    string // of the process, in the metrics
	Address string
	Healthy func() bool // false while draining
	Dump    func() any  // the state of the process, nil when it has stopped
	Metrics func() any  // what the process has counted
}

// metrics holds the counters of the processes that run in this program: one,
// but for the demo.
var metrics = expvar.NewMap("egretwall")

// AdminServer serves health, metrics and dumps.
type AdminServer struct {
	cfg      AdminConfig
	listener net.Listener
	server   *fasthttp.Server
}

// NewAdminServer listens on the admin address.
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

// Address returns where the admin server listens.
func (a *AdminServer) Address() string {
	return a.listener.Addr().String()
}

// Run serves until ctx ends.
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

// MetricsPath is where an admin server shows the metrics of its own process.
const MetricsPath = "/metrics"

func (a *AdminServer) metrics(ctx *fasthttp.RequestCtx) {
	data, err := json.MarshalIndent(a.cfg.Metrics(), "", " ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
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
