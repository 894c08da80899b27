package reducer

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/follower"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/router"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// EntryConfig describes an entry.
type EntryConfig struct {
	ID     EntryID
	Domain configurator.DomainName
	Seed   uint64
	Hooks  TestHooks
}

// TestHooks break single decisions on purpose, so that tests can show that a check
// notices. The zero value breaks nothing.
type TestHooks struct {
	SkipClaims            bool // keyed requests run without a claim
	RunBeforeClaim        bool // keyed requests run before their claim is in the log
	ReportUnknownAsNotRun bool // "unknown" is answered as "not run"
	AcceptStaleChunks     bool // chunks of an abandoned attempt are accepted
	ForgetLostOrders      bool // the ledger forgets orders whose answer was lost
	RetryNonRepeatable    bool // requests that must not repeat are retried
	AcceptOlderVersions   bool // older configurations replace newer ones
	OneClaimPerAppend     bool // each claim takes an append of its own; a baseline
}

// Entry decides for one entry. It is the only owner of its callers' open
// requests. It is not safe for concurrent use.
type Entry struct {
	cfg      EntryConfig
	now      time.Duration
	effects  []Effect
	follower *follower.Follower
	router   *router.Router

	peers            map[configurator.UpstreamName]*peer
	peerNames        []configurator.UpstreamName // of peers, sorted
	serviceUpstreams map[configurator.ServiceName][]configurator.UpstreamName
	runners          []configurator.UpstreamName
	holders          map[configurator.ModelName][]*peer
	catalog          catalog
	homes            placer.Placement
	copyRequests     map[configurator.ModelName]copyRequest // by base model
	liveness         livenessTracker
	requests         map[RequestID]*request
	waiting          []*request // without an attempt, by arrival
	openByCaller     map[configurator.CallerName]int
	callerLimits     map[configurator.CallerName]int
	retryBudget      float64
	draining         bool
	stopped          bool

	candidates     []router.Candidate // scratch space of pick
	candidatePeers []*peer
	holderScratch  []*peer // scratch space of holding

	Counters EntryCounters
}

// EntryCounters counts what an entry has done since it started.
type EntryCounters struct {
	Arrived         int `json:"arrived"`
	Completed       int `json:"whole"`
	NotRun          int `json:"notrun"`
	Unknown         int `json:"unknown"`
	Retried         int `json:"retried"`
	Resumed         int `json:"resumed"`
	Moved           int `json:"moved"`
	Stale           int `json:"stale"` // messages of abandoned attempts or connections
	Redialled       int `json:"redialled"`
	CopiesRequested int `json:"wanted"` // further copies asked for
}

// NewEntry returns the reducer of an entry without a configuration.
func NewEntry(cfg EntryConfig) *Entry {
	e := &Entry{
		cfg:          cfg,
		follower:     follower.New(),
		router:       router.New(cfg.Seed),
		peers:        map[configurator.UpstreamName]*peer{},
		requests:     map[RequestID]*request{},
		openByCaller: map[configurator.CallerName]int{},
		holders:      map[configurator.ModelName][]*peer{},
		copyRequests: map[configurator.ModelName]copyRequest{},
		retryBudget:  maxRetryBudget,
	}
	if cfg.Hooks.AcceptOlderVersions {
		e.follower.AllowRollback()
	}
	return e
}

// Reduce applies an event that happened at time now.
func (e *Entry) Reduce(now time.Duration, event Event) []Effect {
	e.now = now
	e.effects = e.effects[:0]
	switch ev := event.(type) {
	case Tick:
		e.tick()
	case RequestArrived:
		e.handleRequest(ev.Request)
	case CallerGone:
		e.handleCallerGone(ev.ID)
	case BodyConsumed:
		e.handleBodyConsumed(ev)
	case AgentConnected:
		e.handleAgentConnected(ev)
	case AgentDisconnected:
		e.handleAgentDisconnected(ev)
	case MessageFromAgent:
		e.handleMessage(ev)
	case RecordsRead:
		e.applyConfiguration(e.follower.Apply(now, ev.Batch))
	case ConfigurationReceived:
		e.adoptConfiguration(ev.Document)
	case UpstreamsListed:
		if e.liveness.update(now, e.follower.State().Config.Upstreams, ev) {
			e.placeModels()
		}
	case Drain:
		e.draining = true
		e.logEvent(LogEvent{Name: "draining"})
	}
	e.finishDrain()
	return e.effects
}

func (e *Entry) emit(effect Effect) {
	e.effects = append(e.effects, effect)
}

func (e *Entry) logEvent(n LogEvent) {
	e.emit(n)
}

func (e *Entry) finishDrain() {
	if !e.draining || e.stopped || len(e.requests) > 0 {
		return
	}
	e.stopped = true
	e.emit(Stop{})
}

func (e *Entry) adoptConfiguration(doc *linkpb.Document) {
	changed, err := e.follower.Adopt(e.now, doc.Snapshot, doc.Hash)
	if err != nil {
		e.logEvent(LogEvent{Name: "document refused", Kind: classifier.Invalid, Text: err.Error()})
		return
	}
	e.applyConfiguration(changed)
}

// applyConfiguration rebuilds what depends on the configuration.
func (e *Entry) applyConfiguration(changed bool) {
	if !changed {
		return
	}
	cfg := &e.follower.State().Config
	e.serviceUpstreams = map[configurator.ServiceName][]configurator.UpstreamName{}
	e.runners = nil
	current := map[configurator.UpstreamName]bool{}
	for _, u := range cfg.Upstreams {
		current[u.Name] = true
		e.addPeer(u)
		if u.Role == configurator.Service {
			e.serviceUpstreams[u.Service] = append(e.serviceUpstreams[u.Service], u.Name)
		} else {
			e.runners = append(e.runners, u.Name)
		}
	}
	for _, name := range slices.Clone(e.peerNames) {
		if !current[name] {
			e.removePeer(name)
		}
	}
	e.catalog = newCatalog(cfg)
	e.callerLimits = map[configurator.CallerName]int{}
	for _, c := range cfg.Callers {
		e.callerLimits[c.Name] = c.Limit
	}
	e.placeModels()
	state := *e.follower.State()
	e.emit(PublishConfiguration{&state})
	e.logEvent(LogEvent{Name: "configuration in force", Text: cfg.Name})
}

func (e *Entry) addPeer(u configurator.Upstream) {
	if p, ok := e.peers[u.Name]; ok {
		p.upstream = u
		p.removed = false
		return
	}
	e.peers[u.Name] = &peer{
		upstream: u, state: linkDown, openAttempts: map[AttemptID]*request{}, residents: map[configurator.ModelName]bool{},
	}
	at, _ := slices.BinarySearch(e.peerNames, u.Name)
	e.peerNames = slices.Insert(e.peerNames, at, u.Name)
}

// removePeer forgets an upstream that is not configured any more, once its
// attempts have finished.
func (e *Entry) removePeer(name configurator.UpstreamName) {
	p := e.peers[name]
	p.removed = true
	if len(p.openAttempts) > 0 {
		return
	}
	if p.state != linkDown {
		e.emit(CloseConnection{name, p.epoch})
	}
	e.setResidents(p, nil)
	delete(e.peers, name)
	e.peerNames = slices.DeleteFunc(e.peerNames, func(n configurator.UpstreamName) bool { return n == name })
}

// placeModels places the models on the runners that are not gone.
func (e *Entry) placeModels() {
	e.homes = placer.Place(&e.follower.State().Config, e.liveness.placeable)
}

// tick lets time-outs pass.
func (e *Entry) tick() {
	for _, name := range e.peerNames {
		e.tickPeer(e.peers[name])
	}
	waiting := e.waiting
	e.waiting = nil
	for _, r := range waiting {
		if r.closed || r.attemptID != "" || r.pendingPeer != nil {
			continue
		}
		if e.now < r.notBefore && e.now < r.deadline {
			e.waiting = append(e.waiting, r)
			continue
		}
		e.dispatch(r)
	}
}
