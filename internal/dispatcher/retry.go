package dispatcher

import (
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
)

// handleSendEnd records the result of a send at its upstream, and answers the request
// or retries it.
func (d *Dispatcher) handleSendEnd(ev SendEnded) {
	r := d.requests[ev.ID]
	if r == nil || r.try != ev.Try || r.upstream == nil {
		return
	}
	u := r.upstream
	r.lastCause = ev.Cause
	d.endSend(r)
	d.recordAnswered(r, ev.Outcome == Completed)
	if ev.Outcome == Completed || ev.Outcome == Failed {
		d.recordCarried(r)
	}
	if ev.Outcome == Completed || ev.Outcome == Failed || ev.Outcome == NotRun {
		u.answeredAt = d.now
	}
	if ev.Outcome != Completed && ev.Outcome != CallerClosed {
		entry := d.logEvent("send failed", r, u)
		entry.Cause = string(ev.Outcome) + ": " + ev.Cause
		if ev.Outcome == Unknown || ev.Outcome == Interrupted {
			entry.Traits = r.Traits
		}
		d.emit(entry)
	}
	switch ev.Outcome {
	case Completed:
		d.Counters.Completed++
		if !r.answerBegan {
			d.shares.begin(d.now, r)
		}
		entry := d.logEvent("request served", r, u)
		entry.TimeToSend, entry.Elapsed = r.sentAt-r.arrivedAt, d.now-r.arrivedAt
		entry.StartDelay, entry.Pace = r.timeToStart(), d.recordPace(r, u, ev.Events)
		entry.LongestPause = ev.LongestPause
		d.emit(entry)
		u.consecutiveFailures = 0
		u.recordResult(d.now, false)
		delete(d.requests, r.ID)
	case CallerClosed:
		d.Counters.Disconnected++
		d.emit(d.logEvent("caller left", r, u))
		delete(d.requests, r.ID)
	case NotRun:
		u.fullUntil = d.now + fullBackoff
		d.retryRefused(r, u, classifier.Busy)
	case WrongInstance:
		u.replaced = true
		d.retryRefused(r, u, classifier.Busy)
	case ModelMissing:
		u.removeResident(r.Model, r.Adapter)
		d.retryRefused(r, u, classifier.Loading)
	case Unsent:
		u.recordFailure(d.now)
		d.retryUnsent(r, u)
	case Withheld:
		d.retryUnsent(r, u)
	case ConnectionRefused:
		u.refuseConnections()
		d.retryUnsent(r, u)
	case Failed:
		u.recordResult(d.now, true)
		r.failureKept, r.mayHaveRun = true, true
		r.runs++
		d.retryAfterRun(r, u, classifier.Lost)
	case Unknown:
		d.recordBreakage(r, u)
		u.recordFailure(d.now)
		r.mayHaveRun = true
		r.runs++
		d.retryAfterRun(r, u, classifier.Lost)
	case Interrupted:
		d.recordBreakage(r, u)
		u.recordFailure(d.now)
		r.mayHaveRun = true
		r.runs++
		d.retryAfterRun(r, u, classifier.Broken)
	}
}

// retryRefused queues a request that an upstream received but did not run for
// another upstream. It refuses the request with kind if it was refused too often,
// its deadline is near or the retry budget is spent.
func (d *Dispatcher) retryRefused(r *request, u *upstream, kind classifier.Kind) {
	if d.refuseForKey(r) {
		return
	}
	if d.isolates(r) {
		d.refuseIsolated(r)
		return
	}
	r.avoidUpstream = u.info.ID
	r.refusals++
	b := d.retryBucket(r.Service)
	b.refill(d.now, d.cfg.RetryBudget, d.gatewayCount, 0)
	if r.refusals >= maxRefusals || d.now >= r.Deadline-answerMargin || !b.take() {
		if r.answerBegan {
			d.failAfterRun(r, classifier.Broken)
			return
		}
		d.refuse(r, kind, d.retryDelay(r))
		return
	}
	d.Counters.Retried++
	d.enqueue(r)
}

// retryUnsent queues a request that did not reach its upstream for another one. The
// retry budget does not apply since no upstream has received the request.
func (d *Dispatcher) retryUnsent(r *request, u *upstream) {
	if d.refuseForKey(r) {
		return
	}
	if d.isolates(r) {
		d.refuseIsolated(r)
		return
	}
	r.avoidUpstream = u.info.ID
	r.unsent++
	if r.unsent >= maxUnsent || d.now >= r.Deadline-answerMargin {
		if r.answerBegan {
			d.failAfterRun(r, classifier.Broken)
			return
		}
		d.refuse(r, classifier.Busy, d.retryDelay(r))
		return
	}
	d.enqueue(r)
}

// retryAfterRun queues a request that may have run for another run. It answers it
// with kind if its route or the retry budget allows no further run or too little
// time is left.
func (d *Dispatcher) retryAfterRun(r *request, u *upstream, kind classifier.Kind) {
	r.avoidUpstream = u.info.ID
	b := d.retryBucket(r.Service)
	b.refill(d.now, d.cfg.RetryBudget, d.gatewayCount, 0)
	timeLeft := r.Deadline - d.now
	_, _, onTrial := d.onTrial(r)
	if !r.Route.Repeatable() || r.release == unknownRelease || r.runs >= max(1, r.Route.AttemptLimit) || timeLeft < minRunTime(r) || onTrial || d.isolates(r) || d.keyRefusal(r) != classifier.None || !r.retryPaid && !b.take() {
		d.failAfterRun(r, kind)
		return
	}
	r.retryPaid = false
	d.Counters.Retried++
	if r.answerBegan {
		d.Counters.Resumed++
	}
	d.enqueue(r)
}

// handleStall moves a stalled stream to another upstream. A stream that has not begun
// is moved only if its upstream is unresponsive or has room for it. Without another
// upstream that can take the stream now, the send under way continues, since silence
// alone is no reason to end an answer.
func (d *Dispatcher) handleStall(ev SendStalled) {
	r := d.requests[ev.ID]
	if r == nil || r.try != ev.Try || r.upstream == nil || r.retryPaid {
		return
	}
	u := r.upstream
	if !d.mayRunAgain(r) || !r.answerBegan && !d.answerOverdue(u) {
		return
	}
	d.failOver(r, "upstream stalled")
}

// answerOverdue reports whether a request at the upstream should have begun by now:
// the upstream is unresponsive, or has free slots and a short queue.
func (d *Dispatcher) answerOverdue(u *upstream) bool {
	if u.unresponsive(d.now) {
		return true
	}
	all, waiting := u.estimateLoad(d.now, d.gatewayCount)
	return all < float64(d.slots(u))*overdueLoadShare && waiting <= overdueMaxWaiting
}

// minRunTime returns the time that must be left for a further run to be of use.
func minRunTime(r *request) time.Duration {
	return min(r.Route.TargetLatency, minRetryAfter) / 2
}

// handleTick answers requests whose time is over, refuses waiting requests that
// can't be served and sends those that upstreams can take.
func (d *Dispatcher) handleTick() {
	d.countGateways()
	d.claimLimits()
	d.settleQuotas()
	d.reportCrashes()
	d.recordQueueLengths()
	d.updateShares()
	d.sortQueues()
	d.rankWaiting()
	for _, r := range d.requestsByID() {
		if r.quotaPending {
			continue
		}
		if r.search.until > 0 {
			d.continueSearch(r)
			continue
		}
		limit := r.Deadline
		if r.upstream == nil && !r.answerBegan {
			limit = d.waitDeadline(r)
		}
		if r.upstream != nil {
			d.avoidSilent(r)
			if d.endAt > 0 && d.now >= d.endAt && !r.answerBegan {
				r.lastCause = "this gateway stops"
				d.emit(Abort{r.ID, classifier.Lost})
				d.failAfterRun(r, classifier.Lost)
				continue
			}
		}
		if d.now < limit-answerMargin {
			if r.upstream == nil {
				d.refuseIfUnservable(r)
			}
			continue
		}
		switch {
		case r.upstream == nil && r.answerBegan:
			d.failAfterRun(r, classifier.Broken)
		case r.upstream == nil && limit == d.refuseAt:
			d.refuse(r, classifier.Leaving, 0)
		case r.upstream == nil:
			d.refuse(r, classifier.Late, d.retryDelay(r))
		default:
			r.lastCause = "deadline exceeded"
			d.emit(Abort{r.ID, classifier.Expired})
			d.failAfterRun(r, classifier.Expired)
		}
	}
	d.sendWaiting()
}

// refuseIfUnservable refuses a waiting request that can't be served in time, unless an
// earlier send may have run it.
func (d *Dispatcher) refuseIfUnservable(r *request) {
	if r.answerBegan || r.mayHaveRun {
		return
	}
	if kind, retryAfter := d.unservable(r); kind != classifier.None {
		d.refuse(r, kind, d.spreadShared(r, retryAfter))
	}
}
