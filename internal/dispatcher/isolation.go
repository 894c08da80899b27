package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Timing and limits of what a gateway tells analysts of crashes.
const (
	crashLatency     = 250 * time.Millisecond // from the beginning of an answer until it can't have crashed the upstream any more
	crashConfirmTime = 3 * time.Second        // for an upstream's end to be known after its sends were broken off
	crashProbePeriod = 250 * time.Millisecond // between probes whether the upstream has ended
	crashRepeats     = 3                      // reports of each crash, in case datagrams are lost
	crashRepeatDelay = 100 * time.Millisecond // between them
	answeredMemory   = 30 * time.Second       // for which a trait counts as answered
	maxAnswered      = 50_000                 // traits that are remembered
	maxSuspects      = 20_000                 // traits reported of a crash, in several datagrams
	maxLoggedTraits  = 1000                   // of a crash
	analystCount     = 8                      // stewards that crashes are reported to, some of which may be gone or cut off
	isolatedDelay    = time.Minute            // longest Retry-After of requests with an isolated trait
	trialPeriod      = time.Second            // shortest one, and pause between gateways that send a request on trial
	maxTrialWait     = 30 * time.Second       // for the last gateway to do so
)

// breakage is what this gateway knows of sends to one incarnation of an upstream that were
// broken off, perhaps by a crash.
type breakage struct {
	incarnation int64
	address     string
	since       time.Duration
	suspects    [][]isolator.Trait // of requests
	traits      int                // of these requests
	leftOut     int                // traits of further requests
	probedAt    time.Duration      // when the last probe began
	alive       bool               // a probe has reached the upstream
	reports     int                // since suspects last grew
	reportedAt  time.Duration
	recorded    bool // by recordCrash
	service     registrar.ServiceName
	// What the upstream held of this gateway when the first send was broken off.
	heldBytes    budgeter.Bytes
	heldRequests int
	sentAt       time.Duration // of that send
}

// recordBreakage notes a send that its upstream broke off. Unless the answer had been
// written for a while, the traits of the request are suspects if the upstream has crashed.
func (d *Dispatcher) recordBreakage(r *request, u *upstream) {
	if r.sendBegan && d.now-r.beganAt >= crashLatency {
		return
	}
	b := d.breakages[u.info.ID]
	if b == nil || b.incarnation != u.info.Incarnation {
		b = &breakage{incarnation: u.info.Incarnation, address: u.info.Address, since: d.now, probedAt: d.now - crashProbePeriod, service: u.info.Service, heldBytes: u.heldBytes + r.Size, heldRequests: u.inFlight + 1, sentAt: r.sentAt}
		d.breakages[u.info.ID] = b
	}
	if b.traits+len(r.Traits) > maxSuspects {
		b.leftOut += len(r.Traits)
		return
	}
	b.traits += len(r.Traits)
	b.suspects, b.reports = append(b.suspects, r.Traits), 0
}

// probe asks whether an upstream still listens, since one without a steward may have ended
// without a sign until its entry is removed.
func (d *Dispatcher) probe(id registrar.UpstreamID, b *breakage) {
	b.probedAt = d.now
	d.emit(ProbeUpstream{Upstream: id, Incarnation: b.incarnation, Address: b.address})
}

// handleProbe records whether an upstream still listens.
func (d *Dispatcher) handleProbe(ev UpstreamProbed) {
	if b := d.breakages[ev.Upstream]; b != nil && b.incarnation == ev.Incarnation && !ev.Refused {
		b.alive = true
	}
	if u := d.upstreams[ev.Upstream]; u != nil && u.info.Incarnation == ev.Incarnation && ev.Refused {
		u.refuseConnections()
	}
	d.reportCrashes()
}

// recordAnswered notes that requests with the traits of r are answered.
func (d *Dispatcher) recordAnswered(r *request, completed bool) {
	if !r.sendBegan && !completed || !completed && d.now-r.beganAt < crashLatency {
		return
	}
	for _, t := range r.Traits {
		d.answers.Record(d.now, t)
	}
}

// Answered returns those of the traits to which this gateway has seen an answer lately, and
// which can't be what crashes upstreams.
func (d *Dispatcher) Answered(now time.Duration, traits []isolator.Trait) []isolator.Trait {
	being := map[isolator.Trait]bool{}
	for _, r := range d.requests {
		if r.upstream != nil && r.sendBegan && now-r.beganAt >= crashLatency {
			for _, t := range r.Traits {
				being[t] = true
			}
		}
	}
	var answered []isolator.Trait
	for _, t := range traits {
		if being[t] || d.answers.Recent(now, t) {
			answered = append(answered, t)
		}
	}
	return answered
}

// reportCrashes tells analysts of the upstreams that have ended since their sends were
// broken off.
func (d *Dispatcher) reportCrashes() {
	for _, id := range slices.Sorted(maps.Keys(d.breakages)) {
		b := d.breakages[id]
		if d.now-b.since >= crashConfirmTime {
			delete(d.breakages, id)
			continue
		}
		if !d.hasEnded(id, b) {
			if !b.alive && d.now-b.probedAt >= crashProbePeriod {
				d.probe(id, b)
			}
			continue
		}
		if b.reports >= crashRepeats || b.reports > 0 && d.now-b.reportedAt < crashRepeatDelay {
			continue
		}
		d.reportCrash(id, b)
	}
}

// reportCrash tells analysts of a crash. They are among the stewards of all services, since
// the upstreams of plain ones have none.
func (d *Dispatcher) reportCrash(id registrar.UpstreamID, b *breakage) {
	analysts := firstInRendezvousOrder("crashes", d.allReportingAddresses(), analystCount)
	if !b.recorded {
		b.recorded = true
		d.recordCrash(id, b)
	}
	if b.reports == 0 {
		traits := slices.Concat(b.suspects...)
		logged := min(len(traits), maxLoggedTraits)
		d.emit(Log{Event: UpstreamCrashed, Upstream: id, Traits: traits[:logged], LeftOut: b.leftOut, Analysts: len(analysts), Waiting: d.waitingCount})
	}
	b.reports++
	b.reportedAt = d.now
	if len(analysts) > 0 {
		d.emit(ReportCrash{Addresses: analysts, Crash: isolator.Crash{Upstream: id, Incarnation: b.incarnation, Requests: slices.Clone(b.suspects)}})
	}
}

// hasEnded reports whether an incarnation of an upstream is known to have ended.
func (d *Dispatcher) hasEnded(id registrar.UpstreamID, b *breakage) bool {
	u := d.upstreams[id]
	return u == nil || u.info.Incarnation != b.incarnation || u.connectionRefused || u.replaced || u.reported && u.report.Unreachable
}

// handleVerdicts isolates traits: requests with them that wait, or that an upstream has not
// begun to answer, are ended.
func (d *Dispatcher) handleVerdicts(verdicts []isolator.Verdict) {
	added := d.verdicts.Learn(d.now, verdicts)
	for _, t := range added {
		d.emit(Log{Event: t.IsolationEvent(), Traits: []isolator.Trait{t}, Waiting: d.waitingCount})
	}
	if len(added) == 0 {
		return
	}
	for _, r := range d.requestsByID() {
		if !d.isolates(r) {
			continue
		}
		switch {
		case r.upstream == nil:
			d.refuseIsolated(r)
		case !r.sendBegan:
			r.lastCause = "requests like it crash upstreams"
			d.emit(Abort{r.ID, classifier.Lost})
			d.failAfterRun(r, classifier.Lost)
		}
	}
}

// isolates reports whether a trait of the request is isolated, or the request is on trial
// in another attempt.
func (d *Dispatcher) isolates(r *request) bool {
	if _, ok := d.verdicts.Isolated(d.now, r.Traits); ok {
		return true
	}
	trait, from, ok := d.onTrial(r)
	if !ok || trait.Kind() != isolator.RequestTrait {
		return false
	}
	if d.now < from+d.trialWait() {
		return true
	}
	for _, other := range d.requests {
		if other != r && slices.Contains(other.Traits, trait) {
			return true
		}
	}
	return false
}

// onTrial returns a trait of the request that may crash upstreams and since when it is on
// trial, and false without one.
func (d *Dispatcher) onTrial(r *request) (isolator.Trait, time.Duration, bool) {
	trait, from, ok := d.verdicts.OnTrial(d.now, r.Traits)
	if !ok || len(d.Answered(d.now, []isolator.Trait{trait})) > 0 {
		return "", 0, false
	}
	return trait, from, true
}

// trialWait returns how long this gateway lets others send requests on trial first, so that
// few of them crash upstreams at the same time.
func (d *Dispatcher) trialWait() time.Duration {
	return time.Duration(d.trialTurn * float64(min(time.Duration(d.gatewayCount)*trialPeriod, maxTrialWait)))
}

// refuseIsolated refuses a request that is under way at no upstream.
func (d *Dispatcher) refuseIsolated(r *request) {
	d.Counters.Isolated++
	d.refuse(r, classifier.Isolated, min(isolatedDelay, max(trialPeriod, d.verdicts.Remaining(d.now, r.Traits))))
}
