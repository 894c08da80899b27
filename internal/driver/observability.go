package driver

import (
	"github.com/egretwall/egretwall/internal/apportioner"
	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/reconciler"
	"github.com/egretwall/egretwall/internal/registrar"
)

// GatewayMetrics holds the counters and latencies of a gateway; latencies are in
// milliseconds and measured from the arrival of a request.
type GatewayMetrics struct {
	dispatcher.Counters
	Denied int64 `json:"denied"` // requests without a known key
	apportioner.AccountCounters
	budgeter.Holdings
	EndedCallers      int64                   `json:"ended"` // callers that were ended since they stopped reading
	OpenRequests      int                     `json:"open" metric:"gauge"`
	WaitingRequests   int                     `json:"waiting" metric:"gauge"`
	Overloads         int64                   `json:"overloads"`             // requests refused for want of processor time
	TickDelay         int64                   `json:"delay" metric:"gauge"`  // of the last tick in ms, for which each step of all work waits
	ConfigurationAge  int64                   `json:"age" metric:"gauge"`    // ms since the store confirmed the configuration in force, -1 if it never did
	Lag               int64                   `json:"behind" metric:"gauge"` // ms since a peer first announced a newer configuration, zero if none has
	ConnectionsOpened int64                   `json:"connections"`           // to upstreams, since the start
	DroppedLogLines   int64                   `json:"dropped"`               // because of the rate limit or a slow reader
	TimeToSend        observer.LatencySummary `json:"held"`                  // until its last send to an upstream
	TimeToFirstByte   observer.LatencySummary `json:"first"`                 // until the first part of the answer was written to the caller
	TimeToLastByte    observer.LatencySummary `json:"whole"`                 // until the answer was complete
}

// ProcessDump is the part of a dump that gateways and stewards have in common.
type ProcessDump struct {
	Role      string            `json:"role"` // gateway or steward
	Name      string            `json:"name"`
	Draining  bool              `json:"draining"`
	Version   registrar.Version `json:"version"` // of the configuration in force, zero before the first
	StoreDown bool              `json:"outage"`  // the store does not answer
}

// GatewayDump is the state of a gateway as its admin server shows it.
type GatewayDump struct {
	ProcessDump
	KeysConfirmed bool            `json:"confirmed"` // the keys are known to be current
	Workspaces    []WorkspaceDump `json:"workspaces,omitempty"`
	dispatcher.Dump
}

// WorkspaceDump is a workspace of the configuration in force.
type WorkspaceDump struct {
	Name registrar.WorkspaceName `json:"name"`
	Keys int                     `json:"keys"` // number of keys
}

// StewardDump is the state of a steward as its admin server shows it.
type StewardDump struct {
	ProcessDump
	reconciler.Dump
	Quotas *apportioner.LedgerDump `json:"quotas,omitempty"` // nil unless gateways ask this steward
}

// dump returns the common part of a dump. The caller holds mu.
func (s *syncer) dump(role, name string) ProcessDump {
	return ProcessDump{Role: role, Name: name, Version: s.version(), StoreDown: s.registrar.StoreDown()}
}

func (g *Gateway) dump() any {
	g.syncer.mu.Lock()
	defer g.syncer.mu.Unlock()
	p := g.syncer.dump("gateway", g.cfg.Name)
	p.Draining = g.relayer.Draining()
	return GatewayDump{p, g.syncer.confirmations.current(), dumpWorkspaces(g.configuration.Load()), g.dispatcher.Dump()}
}

// dumpWorkspaces lists the workspaces of a configuration, which may be nil.
func dumpWorkspaces(c *registrar.Configuration) []WorkspaceDump {
	if c == nil {
		return nil
	}
	rows := make([]WorkspaceDump, 0, len(c.Workspaces))
	for _, w := range c.Workspaces {
		rows = append(rows, WorkspaceDump{w.Name, len(w.Keys)})
	}
	return rows
}

func (g *Gateway) metrics() any {
	g.syncer.mu.Lock()
	defer g.syncer.mu.Unlock()
	return GatewayMetrics{
		Counters: g.dispatcher.Counters, AccountCounters: g.dispatcher.QuotaCounters(), Denied: g.relayer.Denied(),
		OpenRequests: g.dispatcher.Open(), WaitingRequests: g.dispatcher.Waiting(),
		Holdings: g.relayer.Held(), EndedCallers: g.relayer.EndedCallers(),
		Overloads: g.relayer.Overloads(), TickDelay: g.processor.Delay().Milliseconds(), ConfigurationAge: g.syncer.confirmations.age().Milliseconds(), Lag: g.syncer.lag().Milliseconds(), ConnectionsOpened: g.connectionsOpened.Load(), DroppedLogLines: g.cfg.Log.Limiter.Dropped(),
		TimeToSend: g.timeToSend.Summary(), TimeToFirstByte: g.timeToFirstByte.Summary(), TimeToLastByte: g.timeToLastByte.Summary(),
	}
}

// logRequest writes a dispatcher's log line and records the latencies in it.
func (g *Gateway) logRequest(entry dispatcher.Log) {
	ev := g.cfg.Log.Info()
	if entry.Kind != classifier.None {
		ev = g.cfg.Log.Warn().Str("kind", string(entry.Kind))
	}
	if entry.AttemptID != "" {
		ev = ev.Str("request", entry.AttemptID)
	}
	if entry.Model != "" {
		ev = ev.Str("model", entry.Model)
	}
	if entry.Upstream != "" {
		ev = ev.Str("upstream", string(entry.Upstream))
	}
	if entry.Release != "" {
		ev = ev.Str("release", string(entry.Release))
	}
	if entry.Resumes != "" {
		ev = ev.Str("resumes", entry.Resumes)
	}
	if entry.Workspace != "" {
		ev = ev.Str("workspace", string(entry.Workspace))
	}
	if entry.YieldedTo != "" {
		ev = ev.Str("yielded", string(entry.YieldedTo))
	}
	if entry.Cause != "" {
		ev = ev.Str("cause", entry.Cause)
	}
	if len(entry.Traits) > 0 {
		ev = ev.Strs("traits", names(entry.Traits))
	}
	if entry.Event == dispatcher.UpstreamCrashed {
		ev = ev.Int("analysts", entry.Analysts).Int("left_out", entry.LeftOut)
	}
	if entry.Event == dispatcher.BeyondQuota {
		ev = addQuota(ev, entry)
	}
	if entry.Pause > 0 {
		ev = ev.Int64("pause", entry.Pause.Milliseconds())
	}
	if entry.Limit > 0 {
		ev = ev.Float64("limit", entry.Limit)
	}
	if entry.Bytes > 0 {
		ev = ev.Int64("bytes", int64(entry.Bytes))
	}
	if entry.ReportAge > 0 {
		ev = ev.Int64("age", entry.ReportAge.Milliseconds())
	}
	if entry.Elapsed > 0 {
		ev = ev.Int64("held", entry.TimeToSend.Milliseconds()).Int64("took", entry.Elapsed.Milliseconds())
		g.timeToSend.Record(entry.TimeToSend)
	}
	if entry.StartDelay > 0 {
		ev = ev.Int64("first", entry.StartDelay.Milliseconds())
	}
	if entry.LongestPause > 0 {
		ev = ev.Int64("gap", entry.LongestPause.Milliseconds())
	}
	if entry.Pace > 0 {
		ev = ev.Int64("pace", entry.Pace.Milliseconds())
	}
	if entry.Elapsed > 0 && entry.Kind == classifier.None {
		g.timeToLastByte.Record(entry.Elapsed)
	}
	ev.Int("try", int(entry.Try)).Int("waiting", entry.Waiting).Int64("version", g.version()).Msg(entry.Event)
}

// names returns traits as strings.
func names(traits []isolator.Trait) []string {
	all := make([]string, 0, len(traits))
	for _, t := range traits {
		all = append(all, string(t))
	}
	return all
}

// version returns the version of the configuration in force, zero before the first.
func (g *Gateway) version() int64 {
	if c := g.configuration.Load(); c != nil {
		return int64(c.Version)
	}
	return 0
}
