package dispatcher

import (
	"math"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// requestsByID returns the requests without a final answer in the order of their ids.
func (d *Dispatcher) requestsByID() []*request {
	all := make([]*request, 0, len(d.requests))
	for _, r := range d.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return int(a.ID) - int(b.ID) })
	return all
}

// chooseUpstream returns the upstream for the next send of a request, nil when none
// can take it now. It asks for permits for an upstream with a limit that would be better,
// and for the request's adapter if no upstream that holds it has room.
func (d *Dispatcher) chooseUpstream(r *request) *upstream {
	if r.Model == "" {
		group := d.upstreamsByService[r.Service]
		u := d.leastLoaded(r, group, func(u *upstream) bool { return d.hasRoom(r, u) })
		d.requestPermits(r, group, u)
		return u
	}
	group := d.holders(modelKeyOf(r))
	holds := func(u *upstream) bool {
		model, adapter := u.holds(d.now, r.Model, r.Adapter)
		return model && adapter && d.hasRoom(r, u)
	}
	u := d.leastLoaded(r, group, holds)
	d.requestPermits(r, group, u)
	if u == nil && r.Adapter != "" {
		d.requestAdapter(r, group)
	}
	return u
}

// holders returns the upstreams that hold a model according to their last report or
// to UpstreamsListed.
func (d *Dispatcher) holders(key modelKey) []*upstream {
	if d.holdersByModel == nil {
		d.holdersByModel = map[modelKey][]*upstream{}
		for service, group := range d.upstreamsByService {
			for _, u := range group {
				d.addHolder(service, u)
			}
		}
	}
	return d.holdersByModel[key]
}

// addHolder adds an upstream to holdersByModel under each model that it holds.
func (d *Dispatcher) addHolder(service registrar.ServiceName, u *upstream) {
	for _, residents := range [][]registrar.ResidentModel{u.info.Residents, u.report.Residents} {
		for _, resident := range residents {
			key := modelKey{service, resident.Model}
			if listed := d.holdersByModel[key]; len(listed) == 0 || listed[len(listed)-1] != u {
				d.holdersByModel[key] = append(listed, u)
			}
		}
	}
}

// hasRoom reports whether the upstream would start the request soon and its limit allows
// it.
func (d *Dispatcher) hasRoom(r *request, u *upstream) bool {
	return d.permitted(u) && d.hasCapacity(r, u)
}

// hasCapacity reports whether the upstream would start the request soon.
func (d *Dispatcher) hasCapacity(r *request, u *upstream) bool {
	if d.now < u.fullUntil || d.now < u.pausedUntil || !d.bears(r, u) {
		return false
	}
	if r.Model != "" && d.backlogged(r, u) {
		return false
	}
	if u.hasFreshReport(d.now) {
		return d.quotaAllows(r, u)
	}
	return u.inFlight < max(minInFlight, int(math.Ceil(float64(d.slots(u))*inFlightPerSlot/float64(max(1, d.gatewayCount)))))
}

// leastLoaded returns the allowed upstream with the lowest cost, a random one of
// equals. Upstreams that failed lately or are unresponsive are used only if there is
// no other.
func (d *Dispatcher) leastLoaded(r *request, group []*upstream, allowed func(*upstream) bool) *upstream {
	var best *upstream
	var lowestCost float64
	for _, avoidedPass := range []bool{false, true} {
		ties := 0
		for _, u := range group {
			avoid := d.now < u.avoidUntil || u.info.ID == r.avoidUpstream || u.unresponsive(d.now)
			if !u.accepting() || !r.eligible(u) || avoid != avoidedPass || !allowed(u) {
				continue
			}
			cost := d.cost(u)
			switch {
			case best == nil || cost < lowestCost:
				best, lowestCost, ties = u, cost, 1
			case cost == lowestCost:
				ties++
				if d.rng.IntN(ties) == 0 {
					best = u
				}
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// cost ranks an upstream by its load, failure rate and failure domain, in requests of
// load. Lower is better.
func (d *Dispatcher) cost(u *upstream) float64 {
	all, waiting := u.estimateLoad(d.now, d.gatewayCount)
	// A further request waits for those before it, as long as the runner is slow.
	slowness := u.slowness(d.now)
	cost := (all+waitingCost*waiting)*slowness + (slowness - 1) + failureCost*u.currentFailureRate(d.now)
	if u.info.Domain != d.cfg.Domain {
		cost += remoteDomainCost
	}
	return cost
}

// requestAdapter asks the steward of one runner that holds the model to load the
// request's adapter. If runners that hold the adapter are full, it asks only a runner
// with free slots, since at a full one the adapter would only displace others.
func (d *Dispatcher) requestAdapter(r *request, group []*upstream) {
	var idle, busy, withRoom []configurator.UpstreamName
	adapterHeld, key := false, queueKeyOf(r)
	for _, u := range group {
		model, adapter := u.holds(d.now, r.Model, r.Adapter)
		if !model || !u.accepting() || !r.eligible(u) || d.now < u.avoidUntil {
			continue
		}
		name := configurator.UpstreamName(u.info.ID)
		switch {
		case adapter:
			adapterHeld = true
			continue
		case !d.permitsAdapter(u, key):
			continue
		case u.hasFreshReport(d.now) && u.report.Busy:
			busy = append(busy, name)
			continue
		}
		idle = append(idle, name)
		if u.hasFreshReport(d.now) && u.report.Running+u.report.Waiting < d.slots(u) {
			withRoom = append(withRoom, name)
		}
	}
	names := idle
	if adapterHeld {
		names = withRoom
	} else if len(idle) == 0 {
		names = busy // they accept no other order until their load has ended
	}
	if len(names) == 0 {
		return
	}
	// All gateways ask the same runner, the first in rendezvous order.
	first := placer.Rank(string(r.Model)+"/"+string(r.Adapter), names)[0]
	u := d.upstreams[registrar.UpstreamID(first)]
	if requestedAt, ok := u.adapterRequestedAt[key]; ok && d.now < requestedAt+adapterRetryPeriod {
		return
	}
	u.adapterRequestedAt[key] = d.now
	u.permits.reserve(key)
	d.emit(LoadAdapter{Address: u.info.Address, Adapter: registrar.AdapterID{Model: r.Model, Name: r.Adapter}})
}

// waitDeadline returns the time by which a waiting request must be sent or refused,
// since its caller then gives up or this gateway shuts down.
func (d *Dispatcher) waitDeadline(r *request) time.Duration {
	deadline := r.Deadline
	if d.refuseAt > 0 {
		deadline = min(deadline, d.refuseAt)
	}
	if r.Route.Kind == registrar.Streaming {
		deadline = min(deadline, r.arrivedAt+max(minCallerTimeout, callerTimeoutTargets*r.Route.TargetLatency, callerTimeoutGaps*r.Route.TargetGap))
	}
	return deadline
}

// unservable returns the kind of refusal for a waiting request that can't be served
// before its waitDeadline, and after which time its caller should retry. The kind is
// None if the request should go on waiting.
func (d *Dispatcher) unservable(r *request) (classifier.Kind, time.Duration) {
	timeLeft := d.waitDeadline(r) - d.now
	holders, accepting, loadRemaining, pause := 0, 0, time.Duration(-1), maxDuration
	for _, u := range d.upstreamsByService[r.Service] {
		if !u.accepting() || !r.eligible(u) {
			continue
		}
		accepting++
		if model, _ := u.holds(d.now, r.Model, ""); r.Model == "" || model {
			holders++
			pause = min(pause, u.pausedUntil-d.now)
		}
		if r.Model != "" && u.hasFreshReport(d.now) && u.report.Loading == r.Model && !u.report.LoadQueued {
			remaining := max(0, u.report.LoadRemaining-(d.now-u.reportedAt))
			if loadRemaining < 0 || remaining < loadRemaining {
				loadRemaining = remaining
			}
		}
	}
	switch {
	case r.waitsTooLong(d.now):
		return classifier.Busy, d.retryDelay(r)
	case holders > 0 && pause > minRetryAfter && loadRemaining < 0:
		return classifier.Busy, d.spread(pause, r.Route.TargetLatency)
	case holders > 0 && (loadRemaining < 0 || loadRemaining > timeLeft):
		if wait := d.estimateWait(r); wait > timeLeft {
			return classifier.Busy, max(min(wait, r.Route.Timeout), loadRemaining)
		}
	case accepting == 0:
		if wait := d.estimateWait(r); wait > timeLeft || d.now-r.arrivedAt > time.Duration(coldWaitShare*float64(timeLeft)) {
			return classifier.Busy, max(wait, d.retryDelay(r))
		}
	case holders == 0 && loadRemaining > timeLeft:
		return classifier.Loading, loadRemaining
	case holders == 0 && loadRemaining < 0 && d.now-r.arrivedAt > time.Duration(coldWaitShare*float64(timeLeft)):
		return classifier.Loading, d.loadTime(r)
	}
	return classifier.None, 0
}

// loadTime returns the time that a load of the request's model from the weight store
// takes.
func (d *Dispatcher) loadTime(r *request) time.Duration {
	if d.configuration == nil {
		return time.Second
	}
	if e := d.configuration.Services[r.Service].Engine; e != nil {
		return e.Models[r.Model].StoreLoadTime
	}
	return time.Second
}

// retryDelay estimates how long it takes until there is room again, with jitter so
// that callers don't retry at the same time.
func (d *Dispatcher) retryDelay(r *request) time.Duration {
	base := r.Route.TargetLatency + time.Duration(d.waitingCount)*5*time.Millisecond
	return d.spread(base/2, base)
}

// spread returns a random time from base on, by at most width more, so that callers don't
// retry at the same time.
func (d *Dispatcher) spread(base, width time.Duration) time.Duration {
	return base + time.Duration(d.rng.Int64N(int64(width)+1))
}
