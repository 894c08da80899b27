package dispatcher

import (
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// shortBudget is the time left up to which a caller can't wait for minRetryAfter, since
// callers wait a third of it at most.
const shortBudget = 3 * minRetryAfter

// retryAfterShare is the share of the time left that a Retry-After may take for a caller
// with a short budget. Callers wait a third, and the refusal takes a while to reach them.
const retryAfterShare = 0.3

// hasShortBudget reports whether the caller of a plain service came with little time.
func (r *request) hasShortBudget() bool {
	return r.Model == "" && r.Deadline-r.arrivedAt <= shortBudget
}

// usableRetryAfter returns the Retry-After of a refusal. It is at least minRetryAfter,
// unless the caller has no time for that.
func (r *request) usableRetryAfter(now, retryAfter time.Duration) time.Duration {
	if !r.hasShortBudget() {
		return max(retryAfter, minRetryAfter)
	}
	if retryAfter == 0 {
		retryAfter = minRetryAfter
	}
	return min(retryAfter, time.Duration(float64(r.Deadline-now)*retryAfterShare))
}

// waitsTooLong reports whether a waiting request should be refused while its caller still
// has time to come back.
func (r *request) waitsTooLong(now time.Duration) bool {
	return r.hasShortBudget() && now-r.arrivedAt > time.Duration(coldWaitShare*float64(r.Deadline-now))
}

// silent reports whether the upstream of a send has answered nothing since, although it
// should have answered this request by now.
func (d *Dispatcher) silent(r *request) bool {
	return !r.sendBegan && d.now-r.sentAt > stallTargets*r.Route.TargetLatency && r.upstream.answeredAt <= r.sentAt
}

// avoidSilent avoids the upstream of a send with a short budget if it is silent, and moves
// the request to another one if it may run again. Others would lose their whole budget
// there.
func (d *Dispatcher) avoidSilent(r *request) {
	if !r.hasShortBudget() || !d.silent(r) {
		return
	}
	u := r.upstream
	if d.now >= u.avoidUntil {
		u.recordFailure(d.now)
		d.emit(d.logEvent("upstream avoided", r, u))
	}
	if r.Route.Kind == registrar.Idempotent && d.mayRunAgain(r) {
		d.failOver(r, "upstream silent")
	}
}

// mayRunAgain reports whether the route and the time left allow a run after the one under
// way.
func (d *Dispatcher) mayRunAgain(r *request) bool {
	return !r.retryPaid && r.Route.Repeatable() && r.release != unknownRelease && r.runs+1 < max(1, r.Route.AttemptLimit) && r.Deadline-d.now >= minRunTime(r)
}

// failOver cancels the send under way if another upstream can take the request now and the
// retry budget allows it.
func (d *Dispatcher) failOver(r *request, cause string) {
	u, previous := r.upstream, r.avoidUpstream
	r.avoidUpstream = u.info.ID
	if other := d.chooseUpstream(r); other == nil || other == u {
		r.avoidUpstream = previous
		return
	}
	b := d.retryBucket(r.Service)
	b.refill(d.now, d.cfg.RetryBudget, d.gatewayCount, 0)
	if !b.take() {
		return
	}
	r.retryPaid = true
	r.lastCause = cause
	d.emit(d.logEvent(cause, r, u))
	d.emit(Failover{r.ID})
}
