package dispatcher

import (
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
)

// returned handles the end of a send.
func (d *Dispatcher) returned(ev SendEnded) {
	r := d.requests[ev.ID]
	if r == nil || r.try != ev.Try || r.server == nil {
		return
	}
	s := r.server
	r.lastCause = ev.Cause
	d.detach(r)
	if ev.Outcome != Completed && ev.Outcome != CallerClosed {
		n := d.note("send failed", r, s)
		n.Cause = string(ev.Outcome) + ": " + ev.Cause
		d.emit(n)
	}
	switch ev.Outcome {
	case Completed:
		d.Counters.Completed++
		n := d.note("request served", r, s)
		n.TimeToSend, n.Elapsed = r.sent-r.arrived, d.now-r.arrived
		d.emit(n)
		s.failures = 0
		s.result(d.now, false)
		delete(d.requests, r.ID)
	case CallerClosed:
		d.Counters.Disconnected++
		delete(d.requests, r.ID)
	case NotRun:
		s.full = d.now + fullPause
		d.again(r, s, classifier.Busy)
	case WrongInstance:
		s.gone = true
		d.again(r, s, classifier.Busy)
	case ModelMissing:
		s.lacks(r.Model, r.Adapter)
		d.again(r, s, classifier.Loading)
	case Unsent:
		s.fail(d.now)
		d.elsewhere(r, s)
	case ConnectionRefused:
		s.absent, s.lastBeat = true, s.info.Heartbeat
		d.elsewhere(r, s)
	case Failed:
		s.result(d.now, true)
		r.kept, r.maybe = true, true
		r.runs++
		d.repeat(r, s, classifier.Lost)
	case Unknown:
		s.fail(d.now)
		r.maybe = true
		r.runs++
		d.repeat(r, s, classifier.Lost)
	case Interrupted:
		s.fail(d.now)
		r.maybe = true
		r.runs++
		d.repeat(r, s, classifier.Broken)
	}
}

// again sends a request that an upstream has not run to another one, as far as
// the budget allows, and lets it wait otherwise.
func (d *Dispatcher) again(r *request, s *server, kind classifier.Kind) {
	r.avoid = s.info.ID
	r.refusals++
	b := d.budget(r.Service)
	b.earn(d.now, d.cfg.RetryBudget, d.gateways, 0)
	if r.refusals >= refusalTries || d.now >= r.Deadline-timeoutSlack || !b.spend() {
		if r.began {
			d.lose(r, classifier.Broken)
			return
		}
		d.refuse(r, kind, d.drainTime(r))
		return
	}
	d.Counters.Retried++
	d.enqueue(r)
}

// elsewhere sends a request that has not reached an upstream to another one.
// That is no repeat: no upstream has seen it.
func (d *Dispatcher) elsewhere(r *request, s *server) {
	r.avoid = s.info.ID
	r.unsent++
	if r.unsent >= unsentTries || d.now >= r.Deadline-timeoutSlack {
		if r.began {
			d.lose(r, classifier.Broken)
			return
		}
		d.refuse(r, classifier.Busy, d.drainTime(r))
		return
	}
	d.enqueue(r)
}

// repeat runs a request that may have run once more where that is allowed.
func (d *Dispatcher) repeat(r *request, s *server, kind classifier.Kind) {
	r.avoid = s.info.ID
	b := d.budget(r.Service)
	b.earn(d.now, d.cfg.RetryBudget, d.gateways, 0)
	left := r.Deadline - d.now
	if !r.Route.Repeatable() || r.runs >= max(1, r.Route.AttemptLimit) || left < minimumRun(r) || !r.switched && !b.spend() {
		d.lose(r, kind)
		return
	}
	r.switched = false
	d.Counters.Retried++
	if r.began {
		d.Counters.Resumed++
	}
	d.enqueue(r)
}

// stalled moves a stream to another upstream if the one that has it has room
// and yet is silent, or is not heard of any more. Without another upstream to go
// on, silence is no reason to end an answer.
func (d *Dispatcher) stalled(ev SendStalled) {
	r := d.requests[ev.ID]
	if r == nil || r.try != ev.Try || r.server == nil || r.switched {
		return
	}
	s := r.server
	if !r.Route.Repeatable() || r.runs+1 >= max(1, r.Route.AttemptLimit) || r.Deadline-d.now < minimumRun(r) || !r.began && !d.idle(s) {
		return
	}
	avoid := r.avoid
	r.avoid = s.info.ID
	other := d.choose(r)
	if other == nil || other == s {
		r.avoid = avoid
		return
	}
	b := d.budget(r.Service)
	b.earn(d.now, d.cfg.RetryBudget, d.gateways, 0)
	if !b.spend() {
		return
	}
	r.switched = true
	r.lastCause = "silent upstream"
	d.emit(d.note("upstream silent", r, s))
	d.emit(Failover{r.ID})
}

// idle tells whether a request at the upstream should have begun by now.
func (d *Dispatcher) idle(s *server) bool {
	if s.silent(d.now) {
		return true
	}
	all, waiting := s.load(d.now, d.gateways)
	return all < float64(d.slots(s))*idleFill && waiting <= idleWaiting
}

// minimumRun is the time below which a further run has no chance.
func minimumRun(r *request) time.Duration {
	return min(r.Route.TargetLatency, retryFloor) / 2
}

// tick lets time-outs pass.
func (d *Dispatcher) tick() {
	d.survey()
	for _, r := range d.sorted() {
		limit := r.Deadline
		if r.server == nil && !r.began {
			limit = d.patience(r)
		}
		if d.now < limit-timeoutSlack {
			if r.server == nil {
				d.reconsider(r)
			}
			continue
		}
		switch {
		case r.server == nil && r.began:
			d.lose(r, classifier.Broken)
		case r.server == nil && limit == d.end:
			d.refuse(r, classifier.Leaving, 0)
		case r.server == nil:
			d.refuse(r, classifier.Late, d.drainTime(r))
		default:
			r.lastCause = "time limit"
			d.emit(Abort{r.ID, classifier.Expired})
			d.lose(r, classifier.Expired)
		}
	}
	d.pump()
}

// reconsider refuses a waiting request as soon as it has no chance.
func (d *Dispatcher) reconsider(r *request) {
	if r.began || r.maybe {
		return
	}
	if kind, after := d.hopeless(r); kind != classifier.None {
		d.refuse(r, kind, after)
	}
}
