package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/egretwall/egretwall/internal/apportioner"
	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/estimator"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/tracker"
)

// Config configures a Dispatcher.
type Config struct {
	Domain      registrar.DomainName // failure domain of the gateway
	Seed        uint64               // seed of the random choices
	RetryBudget RetryBudget
	Epoch       int64 // of the gateway's process, higher than those of earlier ones
}

// Dispatcher decides on the requests of one gateway. It is not safe for concurrent
// use.
type Dispatcher struct {
	cfg                Config
	now                time.Duration
	effects            []Effect
	rng                *rand.Rand
	configuration      *registrar.Configuration
	keysUnconfirmed    bool // the keys in it may not be current
	upstreams          map[registrar.UpstreamID]*upstream
	upstreamsByService map[registrar.ServiceName][]*upstream // in the order of UpstreamsListed
	holdersByModel     map[modelKey][]*upstream              // from reports and UpstreamsListed; nil when it must be rebuilt
	requests           map[RequestID]*request
	queues             map[queueKey][]*request // waiting requests, the next to be sent first
	queueOrder         []queueKey              // keys of queues by creation, since map order would not be deterministic
	waitingCount       int                     // requests in all queues
	retryBuckets       map[registrar.ServiceName]*tokenBucket
	demandByModel      map[registrar.ModelName]*demandRate
	paces              *estimator.Paces
	runnerPaces        []RunnerPace // since the last TakeRunnerPaces
	statsByModel       map[modelKey]*modelStats
	restrictions       map[registrar.UpstreamID]restriction
	limits             *limiter.Table
	streams            *tracker.Tracker
	releases           tracker.Services
	listConfirmedAt    time.Duration // as of which the list is known
	streamsReadAt      time.Duration // as of which the origins of streams in the store are known
	verdicts           *isolator.Verdicts
	breakages          map[registrar.UpstreamID]*breakage
	bearings           map[registrar.ServiceName]*budgeter.Bearing // what is known of the memory of upstreams
	answers            *isolator.Answers
	trialTurn          float64              // of this gateway among all, from 0 to 1
	gatewayCount       int                  // in the last report
	gatewaysCountedAt  time.Duration        // when the account was last told the largest number
	account            *apportioner.Account // of workspaces' quotas
	quotas             quotaState
	refuseAt, endAt    time.Duration // of Stopping, zero before it
	shares             shares

	Counters Counters
}

// New returns a dispatcher without a configuration.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		upstreams:          map[registrar.UpstreamID]*upstream{},
		upstreamsByService: map[registrar.ServiceName][]*upstream{},
		requests:           map[RequestID]*request{},
		queues:             map[queueKey][]*request{},
		retryBuckets:       map[registrar.ServiceName]*tokenBucket{},
		demandByModel:      map[registrar.ModelName]*demandRate{},
		paces:              estimator.NewPaces(),
		statsByModel:       map[modelKey]*modelStats{},
		restrictions:       map[registrar.UpstreamID]restriction{},
		limits:             limiter.NewTable(),
		streams:            tracker.New(),
		releases:           tracker.Services{},
		streamsReadAt:      -1,
		verdicts:           isolator.NewVerdicts(),
		breakages:          map[registrar.UpstreamID]*breakage{},
		bearings:           map[registrar.ServiceName]*budgeter.Bearing{},
		answers:            isolator.NewAnswers(answeredMemory, maxAnswered),
		trialTurn:          rand.New(rand.NewPCG(cfg.Seed, 2)).Float64(),
		gatewayCount:       defaultGatewayCount,
		account:            apportioner.NewAccount(apportioner.Config{Epoch: cfg.Epoch, Seed: cfg.Seed}),
		quotas:             quotaState{refusals: map[registrar.WorkspaceName]*refusalLog{}},
	}
}

// Reduce applies an event that happened at time now, counted from any fixed start,
// and returns the effects for the driver to carry out in order. The slice is
// valid until the next call.
func (d *Dispatcher) Reduce(now time.Duration, event Event) []Effect {
	d.now = now
	d.effects = d.effects[:0]
	switch ev := event.(type) {
	case Tick:
		d.handleTick()
	case Configured:
		d.shares.configure(ev.Configuration)
		d.handleConfigured(ev.Configuration)
		d.account.Configure(ev.Configuration.Version, ev.Configuration.Workspaces)
		d.settleQuotas()
	case KeysConfirmed:
		d.handleKeysConfirmed(ev.Confirmed)
	case UpstreamsListed:
		d.handleUpstreamsListed(ev.Upstreams)
		d.sendWaiting()
	case ListConfirmed:
		d.handleListConfirmed(ev.At)
	case Reported:
		d.handleReport(ev.Report)
		d.sendWaiting()
	case Stopping:
		d.refuseAt, d.endAt = ev.RefuseAt, ev.EndAt
	case Arrived:
		d.handleArrival(ev.Request)
	case CallerDisconnected:
		d.handleCallerDisconnected(ev.ID)
	case AnswerBegan:
		d.handleAnswerBegan(ev)
	case SendStalled:
		d.handleStall(ev)
	case SendEnded:
		d.handleSendEnd(ev)
		d.sendWaiting()
	case UpstreamNotice:
		d.handleNotice(ev)
	case LimitsReported:
		d.handleLimits(ev)
		d.sendWaiting()
	case PermitsIssued:
		d.handlePermits(ev.Permits)
		d.sendWaiting()
	case StreamFound:
		d.handleStreamFound(ev.Origin)
	case StreamUnknown:
		d.handleStreamUnknown(ev.Absence)
	case StreamsRead:
		d.handleStreamsRead(ev)
	case UpstreamProbed:
		d.handleProbe(ev)
	case VerdictsReported:
		d.handleVerdicts(ev.Verdicts)
	case QuotaAnswered:
		d.account.Receive(d.now, ev.Answer)
		d.settleQuotas()
	}
	return d.effects
}

// SetRetryBudget replaces the retry budget of Config.
func (d *Dispatcher) SetRetryBudget(budget RetryBudget) {
	d.cfg.RetryBudget = budget
}

// Open returns the number of requests without a final answer.
func (d *Dispatcher) Open() int {
	return len(d.requests)
}

// Waiting returns the number of requests that are queued at this gateway.
func (d *Dispatcher) Waiting() int {
	return d.waitingCount
}

func (d *Dispatcher) emit(e Effect) {
	d.effects = append(d.effects, e)
}

// retryBucket returns the token bucket for retries of a service's requests.
func (d *Dispatcher) retryBucket(service registrar.ServiceName) *tokenBucket {
	b := d.retryBuckets[service]
	if b == nil {
		b = newTokenBucket(d.now, d.cfg.RetryBudget, d.gatewayCount)
		d.retryBuckets[service] = b
	}
	return b
}

// handleArrival takes a new request in. If it resumes a stream of unknown origin, the
// request is admitted only after the search for it.
func (d *Dispatcher) handleArrival(req Request) {
	d.Counters.Arrived++
	d.retryBucket(req.Service).refill(d.now, d.cfg.RetryBudget, d.gatewayCount, 1)
	r := &request{Request: req, arrivedAt: d.now}
	r.stats = d.statsOf(r)
	d.requests[r.ID] = r
	if d.refuseAt > 0 && d.now >= d.refuseAt {
		d.refuse(r, classifier.Leaving, 0)
		return
	}
	if d.refuseForKey(r) {
		return
	}
	if d.isolates(r) {
		d.refuseIsolated(r)
		return
	}
	if !r.resumesStream() && d.refuseIfTooLarge(r) {
		return
	}
	if d.passesQuota(r) {
		d.takeIn(r)
	}
}

// takeIn takes in a request that its workspace's quota has room for.
func (d *Dispatcher) takeIn(r *request) {
	d.recordDemand(r)
	if d.waitingCount >= maxWaiting && !d.makeRoom(r) {
		d.refuse(r, classifier.Busy, d.retryDelay(r))
		return
	}
	if r.resumesStream() {
		d.resume(r)
		return
	}
	d.admit(r)
}

// admit sends a new request, queues it or refuses it.
func (d *Dispatcher) admit(r *request) {
	d.enqueue(r)
	d.sendFromQueue(queueKeyOf(r))
	if r.upstream == nil && d.requests[r.ID] != nil {
		d.refuseIfUnservable(r)
	}
}

// send forwards a request that is in no queue to an upstream.
func (d *Dispatcher) send(r *request, u *upstream) {
	r.try++
	r.upstream = u
	r.sentAt = d.now
	r.sendBegan = false
	u.inFlight++
	u.heldBytes += r.Size
	r.heldWhenSent = u.heldBytes
	u.quota.remaining--
	if r.takesLeftovers(d.now) {
		u.quota.remainingLate--
	}
	d.Counters.Sent++
	r.permitted = d.usePermit(u, queueKeyOf(r))
	if r.permitted {
		d.Counters.SentLimited++
	}
	if r.Model != "" {
		u.backlog.add(pendingStart{r.ID, d.now, d.priority(r)})
	}
	d.shares.serve(r)
	if r.share.beyond {
		d.Counters.Beyond++
	}
	stats := d.statsOf(r)
	stats.sendRate.add(d.now, 1)
	if !r.onTime(d.now) {
		stats.lateSendRate.add(d.now, 1)
	}
	stats.sends++
	e := Send{
		ID: r.ID, Try: r.try, Upstream: u.info.ID, Incarnation: u.info.Incarnation, Address: u.info.Address,
		At: d.now, Timeout: r.Deadline - d.now, Priority: d.priority(r),
	}
	if r.Route.Kind == registrar.Streaming && r.Route.Repeatable() {
		e.FirstTimeout, e.GapTimeout = max(stallTargets*r.Route.TargetLatency, minStallTimeout), max(stallGaps*r.Route.TargetGap, minStallTimeout)
	}
	d.emit(e)
}

// priority returns the admission priority at the upstream, 0 for the most urgent.
func (d *Dispatcher) priority(r *request) int {
	if !r.onTime(d.now) {
		return latePriority
	}
	p := min(max(0, r.urgency()), maxOnTimePriority)
	if r.share.beyond && !r.share.promoted {
		p++ // upstreams know nothing of shares
	}
	return p
}

func (d *Dispatcher) handleAnswerBegan(ev AnswerBegan) {
	r := d.requests[ev.ID]
	if r == nil || r.try != ev.Try {
		return
	}
	if !r.answerBegan {
		d.recordOrigin(r)
		d.shares.begin(d.now, r)
	}
	if !r.sendBegan {
		r.sendBegan, r.beganAt = true, d.now
	}
	if r.Route.Kind == registrar.Streaming {
		d.recordCarried(r) // its end may be far
	}
	r.answerBegan = true
	if !ev.Resumed {
		d.recordStart(r)
	}
	r.upstream.consecutiveFailures = 0
}

func (d *Dispatcher) handleCallerDisconnected(id RequestID) {
	r := d.requests[id]
	if r == nil {
		return
	}
	d.Counters.Disconnected++
	d.emit(d.logEvent("caller left", r, r.upstream))
	d.forget(r)
}

// logEvent returns a log line about a request; u is the upstream concerned, nil
// without one.
func (d *Dispatcher) logEvent(event string, r *request, u *upstream) Log {
	entry := Log{Event: event, AttemptID: r.AttemptID, Model: string(r.Model), Try: r.try, Waiting: d.waitingCount, ReportAge: d.reportAge(u), Resumes: r.Resumes}
	if r.Adapter != "" {
		entry.Model += "/" + string(r.Adapter)
	}
	if u != nil {
		entry.Upstream, entry.Release = u.info.ID, u.info.Release
	}
	return entry
}

// forget removes a request that has its final answer.
func (d *Dispatcher) forget(r *request) {
	if r.upstream == nil {
		d.dequeue(r)
	}
	d.returnCost(r)
	d.shares.end(r)
	d.endSend(r)
	delete(d.requests, r.ID)
}

// endSend ends the send under way, if any, and returns its place to the quota.
func (d *Dispatcher) endSend(r *request) {
	if r.upstream != nil {
		r.upstream.inFlight--
		r.upstream.heldBytes -= r.Size
		r.upstream.backlog.end(r.ID, d.now, r.startLimit())
		r.upstream.quota.remaining++
		r.upstream = nil
	}
}

// refuse answers a waiting request with an error that says that it has not run,
// or, if an earlier send may have run it, with one that says so.
func (d *Dispatcher) refuse(r *request, kind classifier.Kind, retryAfter time.Duration) {
	if r.mayHaveRun {
		d.failAfterRun(r, classifier.Lost)
		return
	}
	d.Counters.Refused++
	if kind == classifier.Busy || kind == classifier.Late {
		d.recordNoRoom(r, retryAfter)
	}
	d.fail(r, kind, r.usableRetryAfter(d.now, retryAfter))
}

// failAfterRun answers a request that may have run, with the kept answer of an
// upstream if there is one.
func (d *Dispatcher) failAfterRun(r *request, kind classifier.Kind) {
	if r.failureKept {
		d.forget(r)
		d.emit(RelayFailure{r.ID})
		return
	}
	d.Counters.Lost++
	d.fail(r, kind, 0)
}

// timeToSend returns the time from the arrival to the last send, or to now before
// the first send.
func (r *request) timeToSend(now time.Duration) time.Duration {
	if r.try == 0 {
		return now - r.arrivedAt
	}
	return r.sentAt - r.arrivedAt
}

// fail answers a request with an error and logs it.
func (d *Dispatcher) fail(r *request, kind classifier.Kind, retryAfter time.Duration) {
	entry := d.logEvent("request failed", r, r.upstream)
	entry.Kind, entry.Cause, entry.TimeToSend, entry.Elapsed = kind, r.lastCause, r.timeToSend(d.now), d.now-r.arrivedAt
	entry.StartDelay = r.timeToStart()
	entry.Workspace, entry.YieldedTo = r.workspaceName(), r.share.yieldedTo
	d.emit(entry)
	d.emit(Fail{ID: r.ID, Kind: kind, RetryAfter: retryAfter})
	d.forget(r)
}
