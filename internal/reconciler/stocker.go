package reconciler

import (
	"fmt"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/allocator"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Config configures a Stocker.
type Config struct {
	Address string // of the runner
	Holder  string // who gives the orders
	// Window is the span over which loads from the weight store are counted.
	Window time.Duration
}

// Reconciler decides for one runner. It is not safe for concurrent use.
type Reconciler struct {
	cfg     Config
	now     time.Duration
	out     []Effect
	current *registrar.Configuration
	self    *registrar.Upstream // the runner's own entry in the list
	peers   []*registrar.Upstream
	state   State
	settled bool // the state is newer than the last order's answer
	lost    bool // the runner doesn't answer
	fence   int64

	sending   bool                // an order has no answer yet
	pause     time.Duration       // no order before it
	leaving   registrar.ModelName // makes way
	left      time.Duration       // since when gateways and stewards know it
	loading   registrar.ModelName
	loaded    time.Duration // when loading should have finished
	stored    time.Duration // the last load from the weight store began
	storing   bool          // there was one
	born      time.Duration // of this stocker
	claim     claim
	open      []unanswered // orders that may still be carried out
	plan      *allocator.Plan
	planned   time.Duration    // when the plan was made
	others    map[string]*peer // by the runner's address
	toldAt    time.Duration    // the last report
	toldWhole time.Duration    // the last report that was not partial
	toldKey   string           // what it said, but for the load
	started   bool
	demands   map[string]demand
	wants     []want
	streak    int                                   // adapter orders in a row
	used      map[registrar.AdapterID]time.Duration // when an adapter was last wanted
	Counters  Counters
}

type demand struct {
	at  time.Duration
	all []dispatcher.Demand
}

// claim announces a load from the weight store to the other stewards.
type claim struct {
	model registrar.ModelName // empty without a claim
	at    time.Duration
}

// peer is another runner as its steward describes it.
type peer struct {
	report  dispatcher.Report
	at      time.Duration
	stored  time.Duration // its last load from the weight store began
	storing bool
}

// unanswered is an order whose answer was lost.
type unanswered struct {
	order Order
	born  int64 // of the runner's run that it was meant for
	at    time.Duration
}

type want struct {
	adapter registrar.AdapterID
	at      time.Duration
}

// Counters counts what a stocker has done since it started.
type Counters struct {
	Loads         int `json:"loads"`
	Unloads       int `json:"unloads"`
	AdapterOrders int `json:"adapters"`
	Refused       int `json:"refused"`
	Unknown       int `json:"unknown"`
}

// New returns a stocker that knows nothing of its runner.
func New(cfg Config) *Reconciler {
	return &Reconciler{
		cfg: cfg, demands: map[string]demand{}, used: map[registrar.AdapterID]time.Duration{},
		others: map[string]*peer{},
	}
}

// Reduce applies an event that happened at time now.
func (s *Reconciler) Reduce(now time.Duration, event Event) []Effect {
	s.now = now
	s.out = s.out[:0]
	if !s.started {
		s.started, s.born = true, now
	}
	switch ev := event.(type) {
	case Tick:
		s.decide()
	case ConfigurationChanged:
		s.current = ev.Configuration
	case RunnersListed:
		s.list(ev.Upstreams)
	case StateReported:
		s.observe(ev.State)
		s.decide()
		s.tell()
	case RunnerLost:
		s.lost, s.settled = true, false
		s.tell()
	case DemandReported:
		s.demands[ev.Gateway] = demand{now, ev.Demands}
	case PeerReported:
		s.hear(ev.Report)
	case AdapterRequested:
		s.want(ev.Adapter)
		s.decide()
	case FenceAcquired:
		s.fence = ev.Fence
	case OrderAnswered:
		s.ordered(ev)
	}
	return s.out
}

func (s *Reconciler) list(all []*registrar.Upstream) {
	s.peers, s.self = all, nil
	for _, u := range all {
		if u.Address == s.cfg.Address && (s.self == nil || u.Incarnation > s.self.Incarnation) {
			s.self = u
		}
	}
}

func (s *Reconciler) observe(st State) {
	s.open = slices.DeleteFunc(s.open, func(u unanswered) bool { return s.now-u.at > orderFlight })
	if st.Incarnation != s.state.Incarnation {
		s.leaving, s.loading = "", ""
	}
	s.state, s.settled, s.lost = st, true, false
	if !s.holds(s.leaving) {
		s.leaving = ""
	}
	if !st.Busy && !s.sending {
		if s.now >= s.loaded || s.holds(s.loading) {
			s.loading = ""
		}
	}
}

// holds tells whether the runner has the model in memory.
func (s *Reconciler) holds(m registrar.ModelName) bool {
	return slices.ContainsFunc(s.state.Residents, func(h registrar.ResidentModel) bool { return h.Model == m })
}

// GatewayCount counts the gateways that have been heard lately.
func (s *Reconciler) GatewayCount() int {
	n := 0
	for _, d := range s.demands {
		if s.now-d.at < demandLife {
			n++
		}
	}
	return n
}

func (s *Reconciler) hear(rep dispatcher.Report) {
	if rep.Address == s.cfg.Address {
		return
	}
	p := s.others[rep.Address]
	if p == nil {
		p = &peer{}
		s.others[rep.Address] = p
	}
	p.report, p.at = rep, s.now
	if rep.SinceStoreLoad >= 0 {
		p.stored, p.storing = max(p.stored, s.now-rep.SinceStoreLoad), true
	}
}

// tell describes the runner to gateways and, when it has changed or was not
// told whole for a while, to the other stewards.
func (s *Reconciler) tell() {
	rep := dispatcher.Report{
		Address: s.cfg.Address, Incarnation: s.state.Incarnation, Sequence: s.state.Sequence, Loading: s.loading,
		LoadRemaining: max(0, s.loaded-s.now), Running: s.state.Running, Waiting: s.state.Waiting, SinceStoreLoad: -1,
		KVUsed: s.state.KVUsed, KVTotal: s.state.KVTotal, Draining: s.state.Draining, Busy: s.state.Busy, Unreachable: s.lost, Gateways: s.GatewayCount(),
	}
	if s.storing {
		rep.SinceStoreLoad = s.now - s.stored
	}
	if rep.Loading == "" && s.claim.model != "" {
		rep.Loading, rep.LoadQueued = s.claim.model, true
	}
	for _, h := range s.state.Residents {
		if h.Model != s.leaving {
			rep.Residents = append(rep.Residents, h)
		}
	}
	key := fmt.Sprint(rep.Loading, rep.LoadQueued, s.stored, rep.Unreachable, rep.Draining, rep.Residents)
	pause := min(longestPause, time.Duration(rep.Gateways)*gatewayPause)
	switch {
	case key != s.toldKey || s.now-s.toldWhole >= wholePeriod:
		s.toldKey, s.toldWhole = key, s.now
	case s.now-s.toldAt < pause:
		return
	default:
		rep.Partial, rep.Residents = true, nil
	}
	s.toldAt = s.now
	s.out = append(s.out, BroadcastReport{rep})
}

func (s *Reconciler) want(a registrar.AdapterID) {
	s.used[a] = s.now
	for i := range s.wants {
		if s.wants[i].adapter == a {
			s.wants[i].at = s.now
			return
		}
	}
	s.wants = append(s.wants, want{a, s.now})
}

// send gives an order unless one is under way.
func (s *Reconciler) send(op Op, m registrar.ModelName, a registrar.AdapterName, reason string) {
	o := Order{Op: op, Model: m, Adapter: a, ExpectedSequence: s.state.Sequence, Holder: s.cfg.Holder, Fence: s.fence, Reason: reason}
	if s.self != nil && s.self.Incarnation == s.state.Incarnation {
		o.Upstream = s.self.ID
	}
	s.sending = true
	s.out = append(s.out, SendOrder{o})
}

func (s *Reconciler) ordered(ev OrderAnswered) {
	s.sending, s.settled = false, false
	switch ev.Result {
	case Accepted, Done:
		s.count(ev.Order)
		s.took(ev.Order, ev.Result)
	case Refused:
		s.Counters.Refused++
		s.pause = s.now + refusedPause
	case Unknown:
		s.Counters.Unknown++
		s.open = append(s.open, unanswered{ev.Order, s.state.Incarnation, s.now})
		s.pause = s.now + unsettledPause
	}
}

// took remembers an accepted order until the next state shows it.
func (s *Reconciler) took(o Order, result Result) {
	switch {
	case o.Adapter != "":
		s.wants = slices.DeleteFunc(s.wants, func(w want) bool { return w.adapter == registrar.AdapterID{Model: o.Model, Name: o.Adapter} })
	case o.Op == OpLoad && result == Accepted:
		s.loading, s.loaded = o.Model, s.now+s.loadTime(o.Model)
	}
}

func (s *Reconciler) count(o Order) {
	switch {
	case o.Adapter != "":
		s.Counters.AdapterOrders++
	case o.Op == OpLoad:
		s.Counters.Loads++
	default:
		s.Counters.Unloads++
	}
}
