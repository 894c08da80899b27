package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/admitter"
	"github.com/egretwall/egretwall/internal/claimer"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/follower"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/internal/router"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// AgentConfig describes an agent.
type AgentConfig struct {
	Upstream    configurator.UpstreamName
	Incarnation Incarnation
	Retention   time.Duration // for which the log keeps records
	Seed        uint64
	Hooks       Hooks
}

// Agent decides for one agent. Every request and every order to its upstream
// passes through it. It is not safe for concurrent use.
type Agent struct {
	cfg      AgentConfig
	now      time.Duration
	out      []Effect
	follower *follower.Follower
	router   *router.Router
	upstream configurator.Upstream // zero until it is configured
	roster   roster
	homes    placer.Placement
	spares   placer.Placement // further copies, where moves weigh little
	catalog  catalog

	entries  map[EntryID]*entryLink
	attempts map[AttemptID]*attempt
	queue    *admitter.Queue
	cold     []*attempt // wait for a model to load
	active   int
	service  time.Duration // smoothed time that an attempt holds a slot
	draining bool
	stopped  bool

	claims  *claimer.Table
	claim   claiming
	lease   leasing
	ledger  *reserver.Ledger
	balance balancing
	keeper  keeping

	Counters AgentCounters
}

// AgentCounters counts what an agent has done since it started.
type AgentCounters struct {
	Taken    int `json:"taken"`
	Passed   int `json:"passed"`
	Whole    int `json:"whole"`
	NotRun   int `json:"notrun"`
	Unknown  int `json:"unknown"`
	Replayed int `json:"replayed"` // repeated keys that got the first answer
	Stale    int `json:"stale"`
	Loads    int `json:"loads"`
	Unloads  int `json:"unloads"`
	Appends  int `json:"appends"`
}

// NewAgent returns the reducer of an agent without a configuration.
func NewAgent(cfg AgentConfig) *Agent {
	a := &Agent{
		cfg:      cfg,
		follower: follower.New(),
		router:   router.New(cfg.Seed),
		entries:  map[EntryID]*entryLink{},
		attempts: map[AttemptID]*attempt{},
		queue:    admitter.New(admitter.Config{Bound: queueBound}),
		claims:   claimer.New(0),
		claim:    claiming{runs: map[claimer.Key]*keyedRun{}, tokens: appendBurst},
		balance:  balancing{used: map[configurator.ModelName]time.Duration{}, busy: map[configurator.ModelName]int{}, looks: map[configurator.UpstreamName]look{}, wants: map[configurator.ModelName]time.Duration{}},
	}
	if cfg.Hooks.RevertVersion {
		a.follower.Revert()
	}
	return a
}

// Reduce applies an event that happened at time now.
func (a *Agent) Reduce(now time.Duration, event Event) []Effect {
	a.now = now
	a.out = a.out[:0]
	switch ev := event.(type) {
	case Tick:
		a.tick()
	case Opened:
		a.opened(ev)
	case Closed:
		a.closed(ev)
	case Told:
		a.told(ev)
	case Began:
		a.began(ev)
	case Piece:
		a.piece(ev)
	case Finished:
		a.finished(ev)
	case Reported:
		a.reported(ev)
	case Ordered:
		a.ordered(ev)
	case Looked:
		a.looked(ev)
	case Appended:
		a.appended(ev)
	case Read:
		a.read(ev)
	case Learned:
		a.learn(ev.Document)
	case Listed:
		if a.roster.update(now, a.follower.State().Config.Upstreams, ev) {
			a.survey()
		}
	case Drain:
		a.drain()
	}
	a.finishDrain()
	return a.out
}

func (a *Agent) emit(effect Effect) {
	a.out = append(a.out, effect)
}

func (a *Agent) isRunner() bool {
	return a.upstream.Role == configurator.Runner
}

func (a *Agent) drain() {
	if a.draining {
		return
	}
	a.draining = true
	a.emit(Note{Name: "draining"})
	for _, t := range a.cold {
		if t.state == stateCold && t.submit.Key == "" {
			a.refuse(t, classifier.Leaving)
		}
	}
	a.sendLoads(true)
}

// finishDrain stops the process once all attempts have been handed over.
func (a *Agent) finishDrain() {
	if !a.draining || a.stopped || len(a.attempts) > 0 {
		return
	}
	a.stopped = true
	a.emit(Stop{})
}

func (a *Agent) tick() {
	a.tickEntries()
	a.expireQueued()
	a.releaseStuck()
	a.tickClaims()
	if a.isRunner() {
		a.tickLease()
		a.tickBalance()
	}
	a.tickKeeper()
	a.pump()
}

func (a *Agent) learn(doc *linkpb.Document) {
	changed, err := a.follower.Adopt(a.now, doc.Snapshot, doc.Hash)
	if err != nil {
		a.emit(Note{Name: "document refused", Kind: classifier.Invalid, Text: err.Error()})
		return
	}
	a.install(changed)
}

// install rebuilds what depends on the configuration.
func (a *Agent) install(changed bool) {
	if !changed {
		return
	}
	cfg := &a.follower.State().Config
	u, ok := cfg.Upstream(a.cfg.Upstream)
	if ok {
		a.upstream = u
		if a.claim.stream == "" {
			a.followClaims()
		}
		if a.ledger != nil {
			a.ledger.Resize(u.Memory)
		}
		if a.ledger == nil && u.Role == configurator.Runner {
			a.ledger = reserver.New(reserver.Config{
				Capacity: u.Memory, Fenced: u.Fenced, Flight: u.Flight.Duration(), Forget: a.cfg.Hooks.ForgetOrders,
			})
		}
	}
	a.claims.SetWindow(cfg.Window.Duration())
	a.catalog = newCatalog(cfg)
	a.survey()
	state := *a.follower.State()
	a.emit(Install{&state})
	a.emit(Note{Name: "configuration in force", Text: cfg.Name})
}

// survey places the models on the runners that are not gone.
func (a *Agent) survey() {
	cfg := &a.follower.State().Config
	live := func(u configurator.UpstreamName) bool { return u == a.cfg.Upstream || a.roster.placeable(u) }
	a.homes, a.spares = placer.Place(cfg, live), nil
	if cfg.Moves < spareMoves {
		a.spares = placer.Spares(cfg, a.homes, live)
	}
}

func (a *Agent) told(ev Told) {
	l := a.entries[ev.Entry]
	if l == nil || l.epoch != ev.Epoch || !l.up {
		a.Counters.Stale++
		return
	}
	l.heard = a.now
	switch m := ev.Up.Kind.(type) {
	case *linkpb.Up_Submit:
		a.take(ev.Entry, l, m.Submit)
	case *linkpb.Up_Cancel:
		a.withdrawAttempt(AttemptID(m.Cancel.Attempt), m.Cancel.Queued)
	case *linkpb.Up_Ack:
		a.acked(AttemptID(m.Ack.Attempt), m.Ack.Next)
	case *linkpb.Up_Resume:
		a.resume(ev.Entry, l, AttemptID(m.Resume.Attempt), m.Resume.Next)
	case *linkpb.Up_Beat:
		a.compareVersions(ev.Entry, l, configurator.Version(m.Beat.Version))
	case *linkpb.Up_Want:
		a.noteWant(configurator.ModelName(m.Want.Model))
	case *linkpb.Up_Document:
		a.learn(m.Document)
	}
}

func (a *Agent) read(ev Read) {
	if ev.Stream != recorder.Main {
		for _, r := range ev.Batch.Records {
			a.readClaims(r)
		}
		return
	}
	a.install(a.follower.Apply(a.now, ev.Batch))
	for _, r := range ev.Batch.Records {
		a.readLease(r)
	}
	a.lease.sawLog(ev.Batch)
}

// followClaims starts to read the claims on calls to this agent's group.
func (a *Agent) followClaims() {
	group := "models"
	if !a.isRunner() {
		group = string(a.upstream.Service)
	}
	a.claim.stream = recorder.ClaimsOf(group)
	a.emit(Follow{a.claim.stream})
}
