package reducer

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/claimer"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/scheduler"
	"github.com/egretwall/egretwall/pkg/configurator"
)

type attemptState string

const (
	stateClaiming  attemptState = "claiming" // waits for its claim to appear in the log
	stateCold      attemptState = "cold"     // waits for its model to load
	stateQueued    attemptState = "queued"   // waits for a slot
	stateForwarded attemptState = "passed"   // sent to the upstream, which may have run it
	stateDuplicate attemptState = "waiting"  // waits for the run of another attempt with its key
	stateDone      attemptState = "done"     // ended; parts of its response may be unacknowledged
)

// attempt is an agent's state of one try to run a request.
type attempt struct {
	id          AttemptID
	entry       EntryID
	link        *entryLink // nil once the entry is given up as unreachable
	submit      *linkpb.Submit
	class       configurator.Class
	state       attemptState
	deadline    time.Duration
	forwardedAt time.Duration
	run         *keyedRun // the run of its key, if this attempt carries it out
	aborted     bool

	unacked    []responseMessage
	nextSeq    uint64 // sequence number of the next message
	ackedBelow uint64 // the entry has acknowledged the messages below this one
}

func (a *Agent) handleSubmit(entry EntryID, l *entryLink, s *linkpb.Submit) {
	id := AttemptID(s.Attempt)
	if a.attempts[id] != nil {
		a.Counters.Stale++
		return
	}
	a.Counters.Received++
	t := &attempt{id: id, entry: entry, link: l, submit: s, deadline: a.now + time.Duration(s.BudgetMs)*time.Millisecond}
	t.class, _ = a.follower.State().Config.Class(configurator.ClassName(s.Class))
	a.attempts[id] = t
	l.openAttempts++
	if kind := a.refusalKind(t); kind != classifier.None {
		a.refuse(t, kind)
		return
	}
	if s.Key != "" {
		a.acceptKeyed(t)
		return
	}
	a.enqueue(t)
}

// refusalKind returns the error with which a new attempt is refused, or
// classifier.None if it is accepted.
func (a *Agent) refusalKind(t *attempt) classifier.Kind {
	switch {
	case a.draining && (t.submit.Key == "" || a.keyed.runs[claimKey(t)] == nil):
		return classifier.Leaving
	case a.upstream.Name == "" || t.submit.Model != "" && a.catalog.sizes[configurator.ModelName(t.submit.Model)] == 0:
		return classifier.Missing
	case a.engineUnavailable():
		return classifier.Busy
	case t.submit.Urgent && a.predictedWait(t) > t.class.TargetFirstToken.Duration():
		return classifier.Late
	}
	return classifier.None
}

// predictedWait estimates how long an attempt waits for a slot.
func (a *Agent) predictedWait(t *attempt) time.Duration {
	ahead := a.queue.Ahead(t.class.Rank) + a.active - a.upstream.Slots + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * a.serviceTime / time.Duration(max(1, a.upstream.Slots))
}

// enqueue queues an attempt for a slot, or sets it aside until its model is
// loaded.
func (a *Agent) enqueue(t *attempt) {
	if t.submit.Model != "" {
		a.engine.lastUsed[configurator.ModelName(t.submit.Model)] = a.now
		a.engine.lastUsed[a.catalog.baseOf[configurator.ModelName(t.submit.Model)]] = a.now
		if !a.ready(configurator.ModelName(t.submit.Model)) {
			if len(a.cold) >= maxQueued {
				a.refuse(t, classifier.Busy)
				return
			}
			t.state = stateCold
			a.cold = append(a.cold, t)
			return
		}
	}
	t.state = stateQueued
	ok := a.queue.Push(scheduler.Item{
		ID: string(t.id), Caller: configurator.CallerName(t.submit.Caller), Rank: t.class.Rank, Deadline: a.now + t.class.TargetFirstToken.Duration(),
	})
	if !ok {
		a.refuse(t, classifier.Busy)
		return
	}
	a.forwardQueued()
}

// requeueCold queues the attempts whose model has been loaded; the others go
// back to a.cold.
func (a *Agent) requeueCold() {
	cold := a.cold
	a.cold = nil
	for _, t := range cold {
		if t.state == stateCold {
			a.enqueue(t)
		}
	}
}

// forwardQueued sends queued attempts to the upstream while it has free slots.
func (a *Agent) forwardQueued() {
	for a.active < a.upstream.Slots {
		item, ok := a.queue.Pop()
		if !ok {
			return
		}
		t := a.attempts[AttemptID(item.ID)]
		model := configurator.ModelName(t.submit.Model)
		if model != "" && !a.ready(model) {
			t.state = stateCold
			a.cold = append(a.cold, t)
			continue
		}
		a.forward(t)
	}
}

func (a *Agent) forward(t *attempt) {
	t.state = stateForwarded
	t.forwardedAt = a.now
	a.active++
	a.Counters.Forwarded++
	a.engine.addRunning(t, 1)
	if t.run != nil {
		t.run.forwarded = true
	}
	a.emit(Forward{t.id, t.submit, t.class.Rank, responseWindowBytes})
}

// refuse ends an attempt that has not been forwarded with an error.
func (a *Agent) refuse(t *attempt, kind classifier.Kind) {
	a.refuseWithHolder(t, kind, classifier.RanNo, "")
}

// refuseWithHolder ends an attempt with an error. A nonempty holder is the agent
// that holds the claim on the attempt's key; the entry retries there.
func (a *Agent) refuseWithHolder(t *attempt, kind classifier.Kind, ran classifier.Ran, holder string) {
	if ran == classifier.RanNo {
		a.Counters.NotRun++
	} else {
		a.Counters.Unknown++
	}
	a.endAttempt(t, &linkpb.End{Error: string(kind), Ran: string(ran), RetryMs: classifier.ResponseOf(kind).RetryAfter.Milliseconds(), Holder: holder})
}

// updateServiceTime adds the time for which an attempt held a slot to the
// exponential moving average.
func (a *Agent) updateServiceTime(held time.Duration) {
	if a.serviceTime == 0 {
		a.serviceTime = held
		return
	}
	a.serviceTime += (held - a.serviceTime) / 16
}

// removeAttempt forgets an attempt whose response needs no further delivery.
func (a *Agent) removeAttempt(t *attempt) {
	delete(a.attempts, t.id)
	if t.link != nil {
		t.link.openAttempts--
		t.link = nil
	}
}

// handleCancel cancels an attempt. With queuedOnly it does so only if the attempt is
// in the queue.
func (a *Agent) handleCancel(id AttemptID, queuedOnly bool) {
	t := a.attempts[id]
	if queuedOnly && (t == nil || t.state != stateQueued) {
		return
	}
	a.cancelAttempt(id)
}

// cancelAttempt refuses an attempt that waits, aborts one that is forwarded and
// forgets one that has ended.
func (a *Agent) cancelAttempt(id AttemptID) {
	t := a.attempts[id]
	if t == nil {
		return
	}
	switch t.state {
	case stateDone:
		a.removeAttempt(t)
	case stateForwarded:
		a.abort(t)
	case stateDuplicate:
		a.leaveRun(t)
		a.refuse(t, classifier.Cancelled)
	default:
		a.abandonClaim(t)
		a.refuse(t, classifier.Cancelled)
	}
}

// cancelOrphans cancels the attempts of an entry that has restarted or has been
// unreachable for orphanTimeout.
func (a *Agent) cancelOrphans(l *entryLink) {
	l.attemptsDropped = true
	for _, id := range a.attemptIDs(func(t *attempt) bool { return t.link == l }) {
		t := a.attempts[id]
		a.cancelAttempt(id)
		if t.state == stateDone {
			a.removeAttempt(t)
		} else if t.link != nil {
			t.link = nil
			l.openAttempts--
		}
	}
}

// attemptIDs returns the sorted IDs of the attempts that match.
func (a *Agent) attemptIDs(match func(*attempt) bool) []AttemptID {
	var ids []AttemptID
	for id, t := range a.attempts {
		if match(t) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// expireAttempts refuses waiting attempts whose deadline has passed, and aborts
// forwarded ones that are repeatable. A duplicate ends with the run that it waits for.
func (a *Agent) expireAttempts() {
	for _, id := range a.attemptIDs(func(t *attempt) bool { return a.now >= t.deadline && t.state != stateDone && !t.aborted }) {
		t := a.attempts[id]
		switch t.state {
		case stateClaiming, stateCold, stateQueued:
			a.abandonClaim(t)
			a.refuse(t, classifier.Late)
		case stateForwarded:
			a.abort(t)
		}
	}
}

// refuseWaiting refuses the waiting attempts while the engine does not report or
// the lease is superseded, so that their entries retry them at another runner.
func (a *Agent) refuseWaiting() {
	if !a.engineUnavailable() {
		return
	}
	isWaiting := func(t *attempt) bool { return t.state == stateCold || t.state == stateQueued }
	for _, id := range a.attemptIDs(isWaiting) {
		t := a.attempts[id]
		a.abandonClaim(t)
		a.refuse(t, classifier.Busy)
	}
}

// abort stops a forwarded attempt if it is repeatable. Other attempts run to their
// end, so that the outcome is known when their key is sent again.
func (a *Agent) abort(t *attempt) {
	if !t.submit.Repeatable || t.aborted {
		return
	}
	t.aborted = true
	a.emit(Abort{t.id})
}

// claimKey returns the key that claims are made on; idempotency keys of different
// callers are independent.
func claimKey(t *attempt) claimer.Key {
	return claimer.Key(t.submit.Caller + "\x00" + t.submit.Key)
}
