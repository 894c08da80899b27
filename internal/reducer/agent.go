package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/claimer"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/follower"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/internal/router"
	"github.com/egretwall/egretwall/internal/scheduler"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// AgentConfig configures an Agent.
type AgentConfig struct {
	Upstream    configurator.UpstreamName
	Incarnation Incarnation
	Retention   time.Duration // how long the log keeps records; zero disables refreshing them
	Seed        uint64        // of the jitter between load orders
	Hooks       TestHooks
}

// Agent is the reducer of one agent. All requests and orders to its upstream
// pass through it. It is not safe for concurrent use.
type Agent struct {
	cfg      AgentConfig
	now      time.Duration
	effects  []Effect
	follower *follower.Follower
	router   *router.Router
	upstream configurator.Upstream // zero until it is configured
	liveness livenessTracker
	homes    placer.Placement // runners that must hold each base model
	spares   placer.Placement // optional extra copies; empty unless moves are cheap
	catalog  catalog

	entries     map[EntryID]*entryLink
	attempts    map[AttemptID]*attempt
	queue       *scheduler.Queue
	cold        []*attempt    // wait for a model to load; may contain attempts that have left stateCold
	active      int           // forwarded attempts that have not finished
	serviceTime time.Duration // moving average of the time an attempt occupies a slot
	draining    bool
	stopped     bool

	claimTable *claimer.Table
	keyed      keyedRequests
	lease      engineLease
	ledger     *reserver.Ledger // nil unless the upstream is a runner
	engine     engineView
	refresher  logRefresher

	Counters AgentCounters
}

// AgentCounters counts events of an agent since its start.
type AgentCounters struct {
	Received  int `json:"taken"`    // attempts submitted by entries
	Forwarded int `json:"passed"`   // attempts sent to the upstream
	Completed int `json:"whole"`    // complete responses of the upstream
	NotRun    int `json:"notrun"`   // attempts that ended without being run
	Unknown   int `json:"unknown"`  // attempts that ended without a complete response and may have run
	Replayed  int `json:"replayed"` // duplicates of a key answered with the cached response
	Stale     int `json:"stale"`    // messages of old connections, old connections, attempts submitted twice
	Loads     int `json:"loads"`    // load orders
	Unloads   int `json:"unloads"`  // unload orders
	Appends   int `json:"appends"`  // records appended to the log
}

// NewAgent returns the reducer of an agent without a configuration.
func NewAgent(cfg AgentConfig) *Agent {
	a := &Agent{
		cfg:        cfg,
		follower:   follower.New(),
		router:     router.New(cfg.Seed),
		entries:    map[EntryID]*entryLink{},
		attempts:   map[AttemptID]*attempt{},
		queue:      scheduler.New(scheduler.Config{Capacity: maxQueued}),
		claimTable: claimer.New(0),
		keyed:      keyedRequests{runs: map[claimer.Key]*keyedRun{}, appendTokens: appendBurst},
		engine:     engineView{lastUsed: map[configurator.ModelName]time.Duration{}, running: map[configurator.ModelName]int{}, residentsOf: map[configurator.UpstreamName]runnerResidents{}, copyRequestedUntil: map[configurator.ModelName]time.Duration{}},
	}
	if cfg.Hooks.AcceptOlderVersions {
		a.follower.AllowRollback()
	}
	return a
}

// Reduce applies an event that happened at time now and returns the effects to
// carry out. The slice is valid until the next call.
func (a *Agent) Reduce(now time.Duration, event Event) []Effect {
	a.now = now
	a.effects = a.effects[:0]
	switch ev := event.(type) {
	case Tick:
		a.tick()
	case EntryConnected:
		a.handleEntryConnected(ev)
	case EntryDisconnected:
		a.handleEntryDisconnected(ev)
	case MessageFromEntry:
		a.handleMessage(ev)
	case ResponseStarted:
		a.handleResponseStarted(ev)
	case ResponseChunk:
		a.handleResponseChunk(ev)
	case ResponseFinished:
		a.handleResponseFinished(ev)
	case EngineReported:
		a.handleEngineReported(ev)
	case OrderCompleted:
		a.handleOrderCompleted(ev)
	case ResidentsReceived:
		a.handleResidentsReceived(ev)
	case Appended:
		a.handleAppended(ev)
	case RecordsRead:
		a.handleRecordsRead(ev)
	case ConfigurationReceived:
		a.adoptConfiguration(ev.Document)
	case UpstreamsListed:
		if a.liveness.update(now, a.follower.State().Config.Upstreams, ev) {
			a.placeModels()
		}
	case Drain:
		a.drain()
	}
	a.finishDrain()
	return a.effects
}

func (a *Agent) emit(effect Effect) {
	a.effects = append(a.effects, effect)
}

func (a *Agent) isRunner() bool {
	return a.upstream.Role == configurator.Runner
}

func (a *Agent) drain() {
	if a.draining {
		return
	}
	a.draining = true
	a.emit(LogEvent{Name: "draining"})
	for _, t := range a.cold {
		if t.state == stateCold && t.submit.Key == "" {
			a.refuse(t, classifier.Leaving)
		}
	}
	a.sendLoadSummaries(true)
}

// finishDrain stops the process once every attempt has ended and its response has
// been acknowledged or is no longer wanted.
func (a *Agent) finishDrain() {
	if !a.draining || a.stopped || len(a.attempts) > 0 {
		return
	}
	a.stopped = true
	a.emit(Stop{})
}

func (a *Agent) tick() {
	a.tickEntries()
	a.expireAttempts()
	a.refuseWaiting()
	a.tickClaims()
	if a.isRunner() {
		a.tickLease()
		a.tickEngine()
	}
	a.tickRefresh()
	a.forwardQueued()
}

func (a *Agent) adoptConfiguration(doc *linkpb.Document) {
	changed, err := a.follower.Adopt(a.now, doc.Snapshot, doc.Hash)
	if err != nil {
		a.emit(LogEvent{Name: "document refused", Kind: classifier.Invalid, Text: err.Error()})
		return
	}
	a.applyConfiguration(changed)
}

// applyConfiguration rebuilds the state derived from the configuration.
func (a *Agent) applyConfiguration(changed bool) {
	if !changed {
		return
	}
	cfg := &a.follower.State().Config
	u, ok := cfg.Upstream(a.cfg.Upstream)
	if ok {
		a.upstream = u
		if a.keyed.stream == "" {
			a.followClaims()
		}
		if a.ledger != nil {
			a.ledger.SetCapacity(u.WeightMemory)
		}
		if a.ledger == nil && u.Role == configurator.Runner {
			a.ledger = reserver.New(reserver.Config{
				Capacity: u.WeightMemory, Fenced: u.Fenced, MaxDeliveryDelay: u.MaxDeliveryDelay.Duration(), ForgetLostOrders: a.cfg.Hooks.ForgetLostOrders,
			})
		}
	}
	a.claimTable.SetWindow(cfg.IdempotencyWindow.Duration())
	a.catalog = newCatalog(cfg)
	a.placeModels()
	state := *a.follower.State()
	a.emit(PublishConfiguration{&state})
	a.emit(LogEvent{Name: "configuration in force", Text: cfg.Name})
}

// placeModels assigns copies of the models to this runner and to those that have
// not been missing from the platform's list for departedAfter.
func (a *Agent) placeModels() {
	cfg := &a.follower.State().Config
	live := func(u configurator.UpstreamName) bool { return u == a.cfg.Upstream || a.liveness.placeable(u) }
	a.homes, a.spares = placer.Place(cfg, live), nil
	if cfg.MoveWeight < maxSpareMoveWeight {
		a.spares = placer.PlaceSpares(cfg, a.homes, live)
	}
}

func (a *Agent) handleMessage(ev MessageFromEntry) {
	l := a.entries[ev.Entry]
	if l == nil || l.epoch != ev.Epoch || !l.up {
		a.Counters.Stale++
		return
	}
	l.lastReceived = a.now
	switch m := ev.Message.Kind.(type) {
	case *linkpb.Up_Submit:
		a.handleSubmit(ev.Entry, l, m.Submit)
	case *linkpb.Up_Cancel:
		a.handleCancel(AttemptID(m.Cancel.Attempt), m.Cancel.Queued)
	case *linkpb.Up_Ack:
		a.handleAck(AttemptID(m.Ack.Attempt), m.Ack.Next)
	case *linkpb.Up_Resume:
		a.handleResume(ev.Entry, l, AttemptID(m.Resume.Attempt), m.Resume.Next)
	case *linkpb.Up_Beat:
		a.sendConfigurationIfOlder(ev.Entry, l, configurator.Version(m.Beat.Version))
	case *linkpb.Up_Want:
		a.recordCopyRequest(configurator.ModelName(m.Want.Model))
	case *linkpb.Up_Document:
		a.adoptConfiguration(m.Document)
	}
}

func (a *Agent) handleRecordsRead(ev RecordsRead) {
	if ev.Stream != recorder.MainStream {
		for _, r := range ev.Batch.Records {
			a.applyClaims(r)
		}
		return
	}
	a.applyConfiguration(a.follower.Apply(a.now, ev.Batch))
	for _, r := range ev.Batch.Records {
		a.applyLease(r)
	}
	a.lease.observeBatch(ev.Batch)
}

// followClaims subscribes to the claims of this agent's group: all runners, or
// the instances of one service.
func (a *Agent) followClaims() {
	group := "models"
	if !a.isRunner() {
		group = string(a.upstream.Service)
	}
	a.keyed.stream = recorder.ClaimStream(group)
	a.emit(FollowStream{a.keyed.stream})
}
