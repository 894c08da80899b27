package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Config configures a Dispatcher.
type Config struct {
	Domain      registrar.DomainName
	Seed        uint64
	RetryBudget RetryBudget
}

// Dispatcher decides for one gateway. It is not safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	now      time.Duration
	out      []Effect
	rnd      *rand.Rand
	current  *registrar.Configuration
	servers  map[registrar.UpstreamID]*server
	groups   map[registrar.ServiceName][]*server // by id
	index    map[flow][]*server                  // by what they hold; nil when it must be made anew
	requests map[RequestID]*request
	lanes    map[lane][]*request // waiting, the first to go first
	order    []lane              // of lanes, for a fixed order of decisions
	waiting  int
	budgets  map[registrar.ServiceName]*budget
	demand   map[registrar.ModelName]*trend
	flows    map[flow]*flowStats
	gateways int
	end      time.Duration // what waits then is refused, zero while this gateway does not stop

	Counters Counters
}

// Counters counts what a dispatcher has done since it started.
type Counters struct {
	Arrived      int `json:"arrived"`
	Sent         int `json:"sent"`
	Completed    int `json:"whole"`
	Refused      int `json:"refused"` // not run
	Lost         int `json:"lost"`    // may have run
	Retried      int `json:"repeated"`
	Resumed      int `json:"resumed"`
	Disconnected int `json:"left"`
}

type request struct {
	Request
	arrived  time.Duration
	server   *server // of the send under way
	try      Try
	runs     int // sends that may have run
	refusals int // sends that upstreams refused
	unsent   int // sends that reached no upstream
	place    int // among the waiting requests of its flow when it began to wait
	// sentBefore counts the flow's sends when it began to wait.
	sentBefore int
	switched   bool // the budget has been spent for the next send
	began      bool
	kept       bool // a failure of an upstream is kept as the answer
	maybe      bool // an earlier send may have run
	avoid      registrar.UpstreamID
	sent       time.Duration
	lastCause  string
}

// New returns a dispatcher without a configuration.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)),
		servers:  map[registrar.UpstreamID]*server{},
		groups:   map[registrar.ServiceName][]*server{},
		requests: map[RequestID]*request{},
		lanes:    map[lane][]*request{},
		budgets:  map[registrar.ServiceName]*budget{},
		demand:   map[registrar.ModelName]*trend{},
		flows:    map[flow]*flowStats{},
		gateways: assumedGateways,
	}
}

// Reduce applies an event that happened at time now.
func (d *Dispatcher) Reduce(now time.Duration, event Event) []Effect {
	d.now = now
	d.out = d.out[:0]
	switch ev := event.(type) {
	case Tick:
		d.tick()
	case Configured:
		d.current = ev.Configuration
	case UpstreamsListed:
		d.list(ev.Upstreams)
		d.pump()
	case Reported:
		d.report(ev.Report)
		d.pump()
	case Stopping:
		d.end = ev.RefuseAt
	case Arrived:
		d.arrive(ev.Request)
	case CallerDisconnected:
		d.leave(ev.ID)
	case AnswerBegan:
		d.begin(ev)
	case SendStalled:
		d.stalled(ev)
	case SendEnded:
		d.returned(ev)
		d.pump()
	}
	return d.out
}

// SetRetryBudget replaces the retry budget.
func (d *Dispatcher) SetRetryBudget(a RetryBudget) {
	d.cfg.RetryBudget = a
}

// Open counts the requests that have no final answer yet.
func (d *Dispatcher) Open() int {
	return len(d.requests)
}

// Waiting counts the requests that no upstream has.
func (d *Dispatcher) Waiting() int {
	return d.waiting
}

func (d *Dispatcher) emit(e Effect) {
	d.out = append(d.out, e)
}

func (d *Dispatcher) budget(s registrar.ServiceName) *budget {
	b := d.budgets[s]
	if b == nil {
		b = newBudget(d.now, d.cfg.RetryBudget, d.gateways)
		d.budgets[s] = b
	}
	return b
}

func (d *Dispatcher) arrive(req Request) {
	d.Counters.Arrived++
	d.budget(req.Service).earn(d.now, d.cfg.RetryBudget, d.gateways, 1)
	r := &request{Request: req, arrived: d.now}
	d.requests[r.ID] = r
	d.observe(r)
	if d.waiting >= waitingBound {
		d.refuse(r, classifier.Busy, d.drainTime(r))
		return
	}
	d.enqueue(r)
	d.pumpLane(laneOf(r))
	if r.server == nil && d.requests[r.ID] != nil {
		d.reconsider(r)
	}
}

func (d *Dispatcher) send(r *request, s *server) {
	r.try++
	r.server = s
	r.sent = d.now
	s.open++
	s.allotment.left--
	if !r.onTime(d.now) {
		s.allotment.late--
	}
	d.Counters.Sent++
	f := d.stats(r)
	f.rate.add(d.now, 1)
	if !r.onTime(d.now) {
		f.tardy.add(d.now, 1)
	}
	f.sent++
	e := Send{
		ID: r.ID, Try: r.try, Upstream: s.info.ID, Address: s.info.Address,
		Timeout: r.Deadline - d.now, Priority: d.priority(r),
	}
	if r.Route.Kind == registrar.Streaming && r.Route.Repeatable() {
		e.FirstTimeout, e.GapTimeout = max(stallTargets*r.Route.TargetLatency, stallFloor), max(stallPauses*r.Route.TargetGap, stallFloor)
	}
	d.emit(e)
}

func (d *Dispatcher) priority(r *request) int {
	if !r.onTime(d.now) {
		return latePriority
	}
	return min(r.Route.Priority, priorityRange)
}

func (d *Dispatcher) begin(ev AnswerBegan) {
	r := d.requests[ev.ID]
	if r == nil || r.try != ev.Try {
		return
	}
	r.began = true
	r.server.failures = 0
}

func (d *Dispatcher) leave(id RequestID) {
	r := d.requests[id]
	if r == nil {
		return
	}
	d.Counters.Disconnected++
	d.emit(d.note("caller left", r, r.server))
	d.forget(r)
}

// note describes a decision on a request; s is the upstream concerned, nil
// without one.
func (d *Dispatcher) note(name string, r *request, s *server) Log {
	n := Log{Event: name, AttemptID: r.AttemptID, Model: string(r.Model), Try: r.try, Waiting: d.waiting, ReportAge: d.reportAge(s)}
	if r.Adapter != "" {
		n.Model += "/" + string(r.Adapter)
	}
	if s != nil {
		n.Upstream = s.info.ID
	}
	return n
}

// forget drops a request that has its final answer.
func (d *Dispatcher) forget(r *request) {
	if r.server == nil {
		d.dequeue(r)
	}
	d.detach(r)
	delete(d.requests, r.ID)
}

func (d *Dispatcher) detach(r *request) {
	if r.server != nil {
		r.server.open--
		r.server.allotment.left++
		r.server = nil
	}
}

// refuse answers a request that has not run.
func (d *Dispatcher) refuse(r *request, kind classifier.Kind, after time.Duration) {
	if r.maybe {
		d.lose(r, classifier.Lost)
		return
	}
	d.Counters.Refused++
	d.finish(r, kind, max(after, retryFloor))
}

// lose answers a request that may have run.
func (d *Dispatcher) lose(r *request, kind classifier.Kind) {
	if r.kept {
		d.forget(r)
		d.emit(RelayFailure{r.ID})
		return
	}
	d.Counters.Lost++
	d.finish(r, kind, 0)
}

// held is the time from the arrival to the last send, or to now without one.
func (r *request) held(now time.Duration) time.Duration {
	if r.try == 0 {
		return now - r.arrived
	}
	return r.sent - r.arrived
}

func (d *Dispatcher) finish(r *request, kind classifier.Kind, after time.Duration) {
	n := d.note("request failed", r, r.server)
	n.Kind, n.Cause, n.TimeToSend, n.Elapsed = kind, r.lastCause, r.held(d.now), d.now-r.arrived
	d.emit(n)
	d.emit(Fail{ID: r.ID, Kind: kind, RetryAfter: after})
	d.forget(r)
}
