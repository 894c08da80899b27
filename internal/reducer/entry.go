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

// EntryConfig identifies an entry and seeds its random choices.
type EntryConfig struct {
	ID     EntryID
	Domain configurator.DomainName // failure domain; upstreams in it are preferred
	Seed   uint64                  // of routing choices and jitter
	Hooks  TestHooks
}

// TestHooks inject faults into single decisions, so that tests can show that
// their checks detect them. The zero value injects none.
type TestHooks struct {
	SkipClaims            bool // requests with an idempotency key run without a claim
	RunBeforeClaim        bool // requests with an idempotency key run before their claim is in the log
	ReportUnknownAsNotRun bool // callers are told "not run" where it is unknown
	AcceptStaleChunks     bool // chunks of an abandoned attempt are accepted
	ForgetLostOrders      bool // the memory ledger drops orders whose response was lost
	RetryNonRepeatable    bool // requests that must run at most once are retried
	AcceptOlderVersions   bool // older configurations replace newer ones
	OneClaimPerAppend     bool // claims are not batched; a baseline for benchmarks
}

// Entry is the state machine of one entry. No other process keeps the open
// requests of its callers. It is not safe for concurrent use.
type Entry struct {
	cfg      EntryConfig
	now      time.Duration
	effects  []Effect
	follower *follower.Follower
	router   *router.Router
	currency follower.Currency // of the configuration in force

	peers            map[configurator.UpstreamName]*peer
	peerNames        []configurator.UpstreamName // keys of peers, sorted
	serviceUpstreams map[configurator.ServiceName][]configurator.UpstreamName
	runners          []configurator.UpstreamName
	holders          map[configurator.ModelName][]*peer // runners that have reported a model as resident
	catalog          catalog
	homes            placer.Placement                       // runners assigned to hold each base model
	copyRequests     map[configurator.ModelName]copyRequest // by base model
	liveness         livenessTracker
	requests         map[RequestID]*request
	waiting          []*request                      // requests in a retry backoff
	openByCaller     map[configurator.CallerName]int // open requests
	callerLimits     map[configurator.CallerName]int // open requests allowed
	retryBudget      float64                         // retries allowed now
	draining         bool
	stopped          bool

	candidates     []router.Candidate // reused by pickPeer
	candidatePeers []*peer            // the peers of candidates
	holderScratch  []*peer            // reused by likelyHolders

	Counters EntryCounters
}

// EntryCounters counts events of an entry since it started.
type EntryCounters struct {
	Arrived         int `json:"arrived"`   // requests received
	Completed       int `json:"whole"`     // requests with a complete response
	NotRun          int `json:"notrun"`    // failed requests that certainly did not run
	Unknown         int `json:"unknown"`   // failed requests that may have run
	Retried         int `json:"retried"`   // attempts paid from the retry budget
	Resumed         int `json:"resumed"`   // attempts resumed over a new connection
	Moved           int `json:"moved"`     // attempts retried elsewhere or failed because their agent was unreachable or restarted
	Stale           int `json:"stale"`     // messages of abandoned attempts or connections
	Redialled       int `json:"redialled"` // dials to a disconnected agent that still has work open
	CopiesRequested int `json:"wanted"`    // requests to load a further copy of a model
}

// NewEntry returns an entry without a configuration; it refuses requests until
// one arrives.
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

// Reduce applies an event that happened at time now and returns the effects to
// carry out, in order. They are valid until the next call.
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
	case ConfigurationConfirmed:
		e.confirmConfiguration(ev.At)
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

func (e *Entry) logEvent(ev LogEvent) {
	e.emit(ev)
}

// finishDrain stops the process once it is draining and no request is open.
func (e *Entry) finishDrain() {
	if !e.draining || e.stopped || len(e.requests) > 0 {
		return
	}
	e.stopped = true
	e.emit(Stop{})
}

// adoptConfiguration applies the configuration of another process if it is newer.
func (e *Entry) adoptConfiguration(doc *linkpb.Document) {
	changed, err := e.follower.Adopt(e.now, doc.Snapshot, doc.Hash)
	if err != nil {
		e.logEvent(LogEvent{Name: "document refused", Kind: classifier.Invalid, Text: err.Error()})
		return
	}
	e.applyConfiguration(changed)
}

// confirmConfiguration records that the configuration in force was the newest one at a time. One
// that misses records of the log may not be.
func (e *Entry) confirmConfiguration(at time.Duration) {
	if !e.follower.Synced() {
		return
	}
	e.currency.Confirm(at)
	e.emit(PublishConfirmation{at})
}

// applyConfiguration rebuilds the state that depends on the configuration, if
// that has changed.
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
		e.callerLimits[c.Name] = c.MaxOpenRequests
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

// removePeer stops the use of an upstream that is not configured any more. While
// attempts are open there, its state is kept until the configuration changes again.
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

// placeModels assigns the home copies of all models to runners.
func (e *Entry) placeModels() {
	e.homes = placer.Place(&e.follower.State().Config, e.liveness.placeable)
}

// tick acts on the timeouts of peers and sends requests whose backoff has passed.
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
