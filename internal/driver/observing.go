package driver

import (
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/reconciler"
	"github.com/egretwall/egretwall/internal/registrar"
)

// GatewayMetrics is what a gateway counts; times are milliseconds.
type GatewayMetrics struct {
	dispatcher.Counters
	OpenRequests      int                     `json:"open"`
	WaitingRequests   int                     `json:"waiting"`
	ConnectionsOpened int64                   `json:"connections"` // opened to upstreams
	DroppedLogLines   int64                   `json:"dropped"`     // log lines
	TimeToSend        observer.LatencySummary `json:"held"`        // from arrival to the last send
	TimeToFirstByte   observer.LatencySummary `json:"first"`       // from arrival to the first part of the answer
	TimeToLastByte    observer.LatencySummary `json:"whole"`       // from arrival to the whole answer
}

// ProcessDump is the part of a dump that all processes on the platform have.
type ProcessDump struct {
	Role      string            `json:"role"`
	Name      string            `json:"name"`
	Draining  bool              `json:"draining"`
	Version   registrar.Version `json:"version"` // in force, zero before the first
	StoreDown bool              `json:"outage"`  // the store does not answer
}

// GatewayDump is the state of a gateway, for people.
type GatewayDump struct {
	ProcessDump
	dispatcher.Dump
}

// StewardDump is the state of a steward, for people.
type StewardDump struct {
	ProcessDump
	reconciler.Dump
}

// dump describes the process; mu is held.
func (d *directory) dump(role, name string) ProcessDump {
	return ProcessDump{Role: role, Name: name, Version: d.version(), StoreDown: d.registrar.StoreDown()}
}

func (g *Gateway) dump() any {
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	p := g.dir.dump("gateway", g.cfg.Name)
	p.Draining = g.relayer.Draining()
	return GatewayDump{p, g.dispatcher.Dump()}
}

func (g *Gateway) metrics() any {
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	return GatewayMetrics{
		Counters: g.dispatcher.Counters, OpenRequests: g.dispatcher.Open(), WaitingRequests: g.dispatcher.Waiting(),
		ConnectionsOpened: g.connections.Load(), DroppedLogLines: g.cfg.Log.Limiter.Dropped(),
		TimeToSend: g.held.Summary(), TimeToFirstByte: g.first.Summary(), TimeToLastByte: g.whole.Summary(),
	}
}

// note logs a decision and records its times.
func (g *Gateway) note(n dispatcher.Log) {
	ev := g.cfg.Log.Info()
	if n.Kind != classifier.None {
		ev = g.cfg.Log.Warn().Str("kind", string(n.Kind))
	}
	if n.AttemptID != "" {
		ev = ev.Str("request", n.AttemptID)
	}
	if n.Model != "" {
		ev = ev.Str("model", n.Model)
	}
	if n.Upstream != "" {
		ev = ev.Str("upstream", string(n.Upstream))
	}
	if n.Cause != "" {
		ev = ev.Str("cause", n.Cause)
	}
	if n.ReportAge > 0 {
		ev = ev.Int64("age", n.ReportAge.Milliseconds())
	}
	if n.Elapsed > 0 {
		ev = ev.Int64("held", n.TimeToSend.Milliseconds()).Int64("took", n.Elapsed.Milliseconds())
		g.held.Record(n.TimeToSend)
	}
	if n.Elapsed > 0 && n.Kind == classifier.None {
		g.whole.Record(n.Elapsed)
	}
	ev.Int("try", int(n.Try)).Int("waiting", n.Waiting).Int64("version", g.version()).Msg(n.Event)
}

// version is that of the configuration in force, zero without one.
func (g *Gateway) version() int64 {
	if c := g.current.Load(); c != nil {
		return int64(c.Version)
	}
	return 0
}
