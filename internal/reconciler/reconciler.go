package reconciler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/allocator"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/estimator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Config configures a Reconciler.
type Config struct {
	Address string // of the runner, as host:port
	Holder  string // name of the steward, sent with each order
	// Window is the sliding window of the rate limit on loads from the weight
	// store.
	Window time.Duration
}

// Reconciler decides which models and adapters one runner loads and unloads.
// It is not safe for concurrent use.
type Reconciler struct {
	cfg                      Config
	now                      time.Duration
	effects                  []Effect
	configuration            *registrar.Configuration
	self                     *registrar.Upstream // newest list entry at the runner's address, nil without one
	runners                  []*registrar.Upstream
	state                    State
	stateFresh               bool                // state was read after the last order was answered
	unreachable              bool                // the runner's state could not be read
	fence                    int64               // fencing token that orders carry, zero before it is acquired
	orderPending             bool                // the last order has not been answered
	nextOrderAt              time.Duration       // earliest time of the next order
	evicting                 registrar.ModelName // model chosen for eviction, empty without one
	evictionAnnouncedAt      time.Duration       // when the report without evicting was sent
	loading                  registrar.ModelName
	loadDoneAt               time.Duration // when loading is expected to finish
	unloading                condition     // this runner is busy with the unload of a model
	storeLoadAt              time.Duration // start of this runner's last load from the weight store
	storeLoaded              bool          // storeLoadAt is set
	startedAt                time.Duration // time of the first event
	queuedLoad               queuedLoad
	unresolved               []unresolvedOrder // orders that the runner may still execute
	plan                     *allocator.Plan
	plannedAt                time.Duration    // when plan was computed
	peers                    map[string]*peer // by address of their runner
	reportedAt               time.Duration    // time of the last report
	fullReportedAt           time.Duration    // time of the last report that was not partial
	fullReportKey            string           // fields of that report whose change requires a full report
	started                  bool             // startedAt is set
	demandByGateway          map[string]gatewayDemand
	adapterRequests          []adapterRequest
	consecutiveAdapterOrders int                                   // reset by a decision that orders none
	adapterUsedAt            map[registrar.AdapterID]time.Duration // last request for each adapter, for LRU eviction
	slowness                 estimator.Slowness
	startMeter               estimator.StartMeter
	Counters                 Counters
}

// gatewayDemand is the latest demand that a gateway reported.
type gatewayDemand struct {
	receivedAt time.Duration
	demands    []dispatcher.Demand
}

// queuedLoad is an announced load from the weight store that waits for its turn
// under the rate limit.
type queuedLoad struct {
	model       registrar.ModelName // empty without such a load
	announcedAt time.Duration
}

// peer is the latest report about another runner of the service.
type peer struct {
	report      dispatcher.Report
	receivedAt  time.Duration
	storeLoadAt time.Duration // start of its last load from the weight store
	storeLoaded bool          // storeLoadAt is set
	unloading   condition     // it is busy with the unload of a model, which waits for the model's runs to end
}

// condition tracks for how long something has been true of a runner.
type condition struct {
	since time.Duration
	holds bool // since is set
}

// observe records whether the condition holds now.
func (c *condition) observe(now time.Duration, holds bool) {
	if holds && !c.holds {
		c.since = now
	}
	c.holds = holds
}

// longerThan reports whether the condition has held longer than d.
func (c *condition) longerThan(d, now time.Duration) bool {
	return c.holds && now-c.since > d
}

// unresolvedOrder is an order of unknown outcome.
type unresolvedOrder struct {
	order       Order
	incarnation int64 // of the runner in the state known when the result arrived
	since       time.Duration
}

// adapterRequest is an adapter that gateways have requests for.
type adapterRequest struct {
	adapter     registrar.AdapterID
	requestedAt time.Duration
}

// Counters counts orders by their result since the start of the process. Loads,
// Unloads and AdapterOrders count those accepted or already done.
type Counters struct {
	Loads         int `json:"loads"`    // of models
	Unloads       int `json:"unloads"`  // of models
	AdapterOrders int `json:"adapters"` // loads and unloads of adapters
	Refused       int `json:"refused"`
	Unknown       int `json:"unknown"`
}

// New returns a reconciler that gives no orders before it has received a
// configuration, the list of runners, a fencing token and the runner's state.
func New(cfg Config) *Reconciler {
	return &Reconciler{
		cfg: cfg, demandByGateway: map[string]gatewayDemand{}, adapterUsedAt: map[registrar.AdapterID]time.Duration{},
		peers: map[string]*peer{},
	}
}

// Reduce applies an event that happened at time now and returns the effects to
// carry out. The slice is valid until the next call.
func (r *Reconciler) Reduce(now time.Duration, event Event) []Effect {
	if now-r.now >= maxEventGap {
		r.queuedLoad, r.evicting = queuedLoad{}, "" // others may have acted since these were announced
	}
	r.now = now
	r.effects = r.effects[:0]
	if !r.started {
		r.started, r.startedAt = true, now
	}
	switch ev := event.(type) {
	case Tick:
		r.decide()
	case ConfigurationChanged:
		r.configuration = ev.Configuration
	case RunnersListed:
		r.setRunners(ev.Upstreams)
	case StateReported:
		r.applyState(ev.State)
		r.decide()
		r.broadcastReport()
	case RunnerLost:
		r.unreachable, r.stateFresh = true, false
		r.broadcastReport()
	case DemandReported:
		r.demandByGateway[ev.Gateway] = gatewayDemand{now, ev.Demands}
	case PeerReported:
		r.applyPeerReport(ev.Report)
	case AdapterRequested:
		r.requestAdapter(ev.Adapter)
		r.decide()
	case PaceObserved:
		for _, ratio := range ev.Ratios {
			r.slowness.Add(now, ratio)
		}
	case FenceAcquired:
		r.fence = ev.Fence
	case OrderAnswered:
		r.applyOrderResult(ev)
	}
	return r.effects
}

// setRunners replaces the live runners of the service. Of several instances at the
// configured address, the newest is the reconciler's own runner.
func (r *Reconciler) setRunners(runners []*registrar.Upstream) {
	r.runners, r.self = runners, nil
	for _, u := range runners {
		if u.Address == r.cfg.Address && (r.self == nil || u.Incarnation > r.self.Incarnation) {
			r.self = u
		}
	}
}

// applyState applies the reported state of the runner. A new incarnation no longer
// executes the load or the eviction under way.
func (r *Reconciler) applyState(st State) {
	r.unresolved = slices.DeleteFunc(r.unresolved, func(u unresolvedOrder) bool { return r.now-u.since > maxOrderDelay })
	if st.Incarnation != r.state.Incarnation {
		r.evicting, r.loading = "", ""
		r.slowness.Reset()
		r.startMeter = estimator.StartMeter{}
	}
	r.startMeter.Observe(r.now, st.Runs, st.Waiting)
	r.state, r.stateFresh, r.unreachable = st, true, false
	if !r.holds(r.evicting) {
		r.evicting = ""
	}
	r.unloading.observe(r.now, st.Busy && r.loading == "")
	if !st.Busy && !r.orderPending {
		if r.now >= r.loadDoneAt || r.holds(r.loading) {
			r.loading = ""
		}
	}
}

// holds reports whether the model is resident at the runner.
func (r *Reconciler) holds(m registrar.ModelName) bool {
	return slices.ContainsFunc(r.state.Residents, func(resident registrar.ResidentModel) bool { return resident.Model == m })
}

// GatewayCount returns the number of gateways whose last demand report has not
// expired.
func (r *Reconciler) GatewayCount() int {
	n := 0
	for _, d := range r.demandByGateway {
		if r.now-d.receivedAt < demandTTL {
			n++
		}
	}
	return n
}

// applyPeerReport stores the report of another runner and when its last load
// from the weight store began.
func (r *Reconciler) applyPeerReport(report dispatcher.Report) {
	if report.Address == r.cfg.Address {
		return
	}
	p := r.peers[report.Address]
	if p == nil {
		p = &peer{}
		r.peers[report.Address] = p
	}
	p.report, p.receivedAt = report, r.now
	p.unloading.observe(r.now, report.Busy && (report.Loading == "" || report.LoadQueued))
	if report.SinceStoreLoad >= 0 {
		p.storeLoadAt, p.storeLoaded = max(p.storeLoadAt, r.now-report.SinceStoreLoad), true
	}
}

// broadcastReport reports the runner's state. The report is full, and so goes to
// the other stewards too, when a field of fullReportKey has changed or the last
// full one is fullReportPeriod old; partial ones are rate-limited.
func (r *Reconciler) broadcastReport() {
	report := dispatcher.Report{
		Address: r.cfg.Address, Incarnation: r.state.Incarnation, Sequence: r.state.Sequence, Loading: r.loading,
		LoadRemaining: max(0, r.loadDoneAt-r.now), Running: r.state.Running, Waiting: r.state.Waiting, SinceStoreLoad: -1,
		KVUsed: r.state.KVUsed, KVTotal: r.state.KVTotal, Draining: r.state.Draining, Busy: r.state.Busy, Unreachable: r.unreachable, Gateways: r.GatewayCount(),
		Slowness: r.slowness.Value(r.now), StartRate: math.Round(10*r.startMeter.StartRate()) / 10,
	}
	if r.storeLoaded {
		report.SinceStoreLoad = r.now - r.storeLoadAt
	}
	if report.Loading == "" && r.queuedLoad.model != "" {
		report.Loading, report.LoadQueued = r.queuedLoad.model, true
	}
	for _, resident := range r.state.Residents {
		if resident.Model != r.evicting {
			report.Residents = append(report.Residents, resident)
		}
	}
	key := fmt.Sprint(report.Loading, report.LoadQueued, r.storeLoadAt, report.Unreachable, report.Draining, report.Residents)
	interval := min(maxReportInterval, time.Duration(report.Gateways)*reportIntervalPerGateway)
	switch {
	case key != r.fullReportKey || r.now-r.fullReportedAt >= fullReportPeriod:
		r.fullReportKey, r.fullReportedAt = key, r.now
	case r.now-r.reportedAt < interval:
		return
	default:
		report.Partial, report.Residents = true, nil
	}
	r.reportedAt = r.now
	r.effects = append(r.effects, BroadcastReport{report})
}

// requestAdapter adds an adapter to those to load or renews its request.
func (r *Reconciler) requestAdapter(a registrar.AdapterID) {
	r.adapterUsedAt[a] = r.now
	for i := range r.adapterRequests {
		if r.adapterRequests[i].adapter == a {
			r.adapterRequests[i].requestedAt = r.now
			return
		}
	}
	r.adapterRequests = append(r.adapterRequests, adapterRequest{a, r.now})
}

// sendOrder emits an order; none may be pending. The instance ID is set only when
// the list shows the runner's current incarnation.
func (r *Reconciler) sendOrder(op Op, m registrar.ModelName, a registrar.AdapterName, reason string) {
	o := Order{Op: op, Model: m, Adapter: a, ExpectedSequence: r.state.Sequence, Holder: r.cfg.Holder, Fence: r.fence, Reason: reason}
	if r.self != nil && r.self.Incarnation == r.state.Incarnation {
		o.Upstream = r.self.ID
	}
	r.orderPending = true
	r.effects = append(r.effects, SendOrder{o})
}

// applyOrderResult applies the result of the pending order. The next order
// waits for a newer state, and after a failure for a backoff.
func (r *Reconciler) applyOrderResult(ev OrderAnswered) {
	r.orderPending, r.stateFresh = false, false
	switch ev.Result {
	case Accepted, Done:
		r.countOrder(ev.Order)
		r.recordAccepted(ev.Order, ev.Result)
	case Refused:
		r.Counters.Refused++
		r.nextOrderAt = r.now + refusedBackoff
	case Unknown:
		r.Counters.Unknown++
		r.unresolved = append(r.unresolved, unresolvedOrder{ev.Order, r.state.Incarnation, r.now})
		r.nextOrderAt = r.now + unknownResultBackoff
	}
}

// recordAccepted drops the request that an accepted adapter order serves, and
// records the load that an accepted model order began.
func (r *Reconciler) recordAccepted(o Order, result Result) {
	switch {
	case o.Adapter != "":
		r.adapterRequests = slices.DeleteFunc(r.adapterRequests, func(request adapterRequest) bool {
			return request.adapter == registrar.AdapterID{Model: o.Model, Name: o.Adapter}
		})
	case o.Op == OpLoad && result == Accepted:
		r.loading, r.loadDoneAt = o.Model, r.now+r.loadTime(o.Model)
	}
}

func (r *Reconciler) countOrder(o Order) {
	switch {
	case o.Adapter != "":
		r.Counters.AdapterOrders++
	case o.Op == OpLoad:
		r.Counters.Loads++
	default:
		r.Counters.Unloads++
	}
}
