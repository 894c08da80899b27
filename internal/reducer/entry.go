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
	Hooks  Hooks
}

// Hooks break single decisions on purpose, so that tests can show that a check
// notices. The zero value breaks nothing.
type Hooks struct {
	NoClaim       bool // keyed requests run without a claim
	LateClaim     bool // keyed requests run before their claim is in the log
	DenyUnknown   bool // "unknown" is answered as "not run"
	OldChunks     bool // chunks of an abandoned attempt are accepted
	ForgetOrders  bool // the ledger forgets orders whose answer was lost
	RepeatAlways  bool // requests that must not repeat are retried
	RevertVersion bool // older configurations replace newer ones
	SingleClaims  bool // each claim takes an append of its own; a baseline
}

// Entry decides for one entry. It is the only owner of its callers' open
// requests. It is not safe for concurrent use.
type Entry struct {
	cfg      EntryConfig
	now      time.Duration
	out      []Effect
	follower *follower.Follower
	router   *router.Router

	peers    map[configurator.UpstreamName]*peer
	order    []configurator.UpstreamName // of peers, sorted
	groups   map[configurator.ServiceName][]configurator.UpstreamName
	runners  []configurator.UpstreamName
	holders  map[configurator.ModelName][]*peer
	catalog  catalog
	homes    placer.Placement
	wants    map[configurator.ModelName]want // by base model
	roster   roster
	requests map[RequestID]*request
	waiting  []*request // without an attempt, by arrival
	callers  map[configurator.CallerName]int
	limits   map[configurator.CallerName]int
	budget   float64
	draining bool
	stopped  bool

	candidates []router.Candidate // scratch space of pick
	picked     []*peer
	likely     []*peer // scratch space of holding

	Counters Counters
}

// Counters counts what an entry has done since it started.
type Counters struct {
	Arrived   int `json:"arrived"`
	Whole     int `json:"whole"`
	NotRun    int `json:"notrun"`
	Unknown   int `json:"unknown"`
	Retried   int `json:"retried"`
	Resumed   int `json:"resumed"`
	Moved     int `json:"moved"`
	Stale     int `json:"stale"` // messages of abandoned attempts or connections
	Redialled int `json:"redialled"`
	Wanted    int `json:"wanted"` // further copies asked for
}

// NewEntry returns the reducer of an entry without a configuration.
func NewEntry(cfg EntryConfig) *Entry {
	e := &Entry{
		cfg:      cfg,
		follower: follower.New(),
		router:   router.New(cfg.Seed),
		peers:    map[configurator.UpstreamName]*peer{},
		requests: map[RequestID]*request{},
		callers:  map[configurator.CallerName]int{},
		holders:  map[configurator.ModelName][]*peer{},
		wants:    map[configurator.ModelName]want{},
		budget:   retryReserve,
	}
	if cfg.Hooks.RevertVersion {
		e.follower.Revert()
	}
	return e
}

// Reduce applies an event that happened at time now.
func (e *Entry) Reduce(now time.Duration, event Event) []Effect {
	e.now = now
	e.out = e.out[:0]
	switch ev := event.(type) {
	case Tick:
		e.tick()
	case Arrived:
		e.arrive(ev.Request)
	case Gone:
		e.gone(ev.ID)
	case Consumed:
		e.consumed(ev)
	case Linked:
		e.linked(ev)
	case Unlinked:
		e.unlinked(ev)
	case Heard:
		e.heard(ev)
	case Read:
		e.install(e.follower.Apply(now, ev.Batch))
	case Learned:
		e.learn(ev.Document)
	case Listed:
		if e.roster.update(now, e.follower.State().Config.Upstreams, ev) {
			e.survey()
		}
	case Drain:
		e.draining = true
		e.note(Note{Name: "draining"})
	}
	e.finishDrain()
	return e.out
}

func (e *Entry) emit(effect Effect) {
	e.out = append(e.out, effect)
}

func (e *Entry) note(n Note) {
	e.emit(n)
}

func (e *Entry) finishDrain() {
	if !e.draining || e.stopped || len(e.requests) > 0 {
		return
	}
	e.stopped = true
	e.emit(Stop{})
}

func (e *Entry) learn(doc *linkpb.Document) {
	changed, err := e.follower.Adopt(e.now, doc.Snapshot, doc.Hash)
	if err != nil {
		e.note(Note{Name: "document refused", Kind: classifier.Invalid, Text: err.Error()})
		return
	}
	e.install(changed)
}

// install rebuilds what depends on the configuration.
func (e *Entry) install(changed bool) {
	if !changed {
		return
	}
	cfg := &e.follower.State().Config
	e.groups = map[configurator.ServiceName][]configurator.UpstreamName{}
	e.runners = nil
	current := map[configurator.UpstreamName]bool{}
	for _, u := range cfg.Upstreams {
		current[u.Name] = true
		e.addPeer(u)
		if u.Role == configurator.Service {
			e.groups[u.Service] = append(e.groups[u.Service], u.Name)
		} else {
			e.runners = append(e.runners, u.Name)
		}
	}
	for _, name := range slices.Clone(e.order) {
		if !current[name] {
			e.removePeer(name)
		}
	}
	e.catalog = newCatalog(cfg)
	e.limits = map[configurator.CallerName]int{}
	for _, c := range cfg.Callers {
		e.limits[c.Name] = c.Limit
	}
	e.survey()
	state := *e.follower.State()
	e.emit(Install{&state})
	e.note(Note{Name: "configuration in force", Text: cfg.Name})
}

func (e *Entry) addPeer(u configurator.Upstream) {
	if p, ok := e.peers[u.Name]; ok {
		p.upstream = u
		p.removed = false
		return
	}
	e.peers[u.Name] = &peer{
		upstream: u, state: linkDown, open: map[AttemptID]*request{}, holds: map[configurator.ModelName]bool{},
	}
	at, _ := slices.BinarySearch(e.order, u.Name)
	e.order = slices.Insert(e.order, at, u.Name)
}

// removePeer forgets an upstream that is not configured any more, once its
// attempts have finished.
func (e *Entry) removePeer(name configurator.UpstreamName) {
	p := e.peers[name]
	p.removed = true
	if len(p.open) > 0 {
		return
	}
	if p.state != linkDown {
		e.emit(Hangup{name, p.epoch})
	}
	e.setHolds(p, nil)
	delete(e.peers, name)
	e.order = slices.DeleteFunc(e.order, func(n configurator.UpstreamName) bool { return n == name })
}

// survey places the models on the runners that are not gone.
func (e *Entry) survey() {
	e.homes = placer.Place(&e.follower.State().Config, e.roster.placeable)
}

// tick lets time-outs pass.
func (e *Entry) tick() {
	for _, name := range e.order {
		e.tickPeer(e.peers[name])
	}
	waiting := e.waiting
	e.waiting = nil
	for _, r := range waiting {
		if r.closed || r.attempt != "" || r.target != nil {
			continue
		}
		if e.now < r.notBefore && e.now < r.deadline {
			e.waiting = append(e.waiting, r)
			continue
		}
		e.dispatch(r)
	}
}
