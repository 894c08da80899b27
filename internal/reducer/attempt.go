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
	stateClaiming  attemptState = "claiming" // its claim is not in the log yet
	stateCold      attemptState = "cold"     // its model is not loaded
	stateQueued    attemptState = "queued"
	stateForwarded attemptState = "passed" // the upstream may have run it
	stateDuplicate attemptState = "waiting"
	stateDone      attemptState = "done"
)

// attempt is one try to run a request, as its agent sees it.
type attempt struct {
	id        AttemptID
	entry     EntryID
	link      *entryLink // nil once the entry is out of reach for good
	submit    *linkpb.Submit
	class     configurator.Class
	state     attemptState
	deadline  time.Duration
	startedAt time.Duration
	run       *keyedRun // of a keyed attempt
	aborted   bool

	unacked    []responseMessage // not acknowledged yet
	nextSeq    uint64            // number of the next message
	ackedBelow uint64
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

func (a *Agent) refusalKind(t *attempt) classifier.Kind {
	switch {
	case a.draining && (t.submit.Key == "" || a.keyed.runs[claimKey(t)] == nil):
		return classifier.Leaving
	case a.upstream.Name == "" || t.submit.Model != "" && a.catalog.sizes[configurator.ModelName(t.submit.Model)] == 0:
		return classifier.Missing
	case a.engineUnavailable():
		return classifier.Busy
	case t.submit.Urgent && a.predictedWait(t) > t.class.First.Duration():
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

// enqueue lets an attempt wait for a slot, and for its model where needed.
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
		ID: string(t.id), Caller: configurator.CallerName(t.submit.Caller), Rank: t.class.Rank, Deadline: a.now + t.class.First.Duration(),
	})
	if !ok {
		a.refuse(t, classifier.Busy)
		return
	}
	a.forwardQueued()
}

// requeueCold queues the attempts whose model has been loaded.
func (a *Agent) requeueCold() {
	cold := a.cold
	a.cold = nil
	for _, t := range cold {
		if t.state == stateCold {
			a.enqueue(t)
		}
	}
}

// forwardQueued hands queued attempts to the upstream while it has free slots.
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
	t.startedAt = a.now
	a.active++
	a.Counters.Forwarded++
	a.engine.addRunning(t, 1)
	if t.run != nil {
		t.run.forwarded = true
	}
	a.emit(Forward{t.id, t.submit, t.class.Rank, responseWindowBytes})
}

// refuse answers an attempt that has not been passed on.
func (a *Agent) refuse(t *attempt, kind classifier.Kind) {
	a.refuseWithHolder(t, kind, classifier.RanNo, "")
}

// refuseWithHolder also names the agent that holds the claim of a repeated key.
func (a *Agent) refuseWithHolder(t *attempt, kind classifier.Kind, ran classifier.Ran, holder string) {
	if ran == classifier.RanNo {
		a.Counters.NotRun++
	} else {
		a.Counters.Unknown++
	}
	a.endAttempt(t, &linkpb.End{Error: string(kind), Ran: string(ran), RetryMs: classifier.ResponseOf(kind).RetryAfter.Milliseconds(), Holder: holder})
}

// updateServiceTime averages the time that an attempt holds a slot.
func (a *Agent) updateServiceTime(d time.Duration) {
	if a.serviceTime == 0 {
		a.serviceTime = d
		return
	}
	a.serviceTime += (d - a.serviceTime) / 16
}

// removeAttempt drops an attempt that has nothing left to send.
func (a *Agent) removeAttempt(t *attempt) {
	delete(a.attempts, t.id)
	if t.link != nil {
		t.link.openAttempts--
		t.link = nil
	}
}

// handleCancel cancels an attempt, with queued only one that waits.
func (a *Agent) handleCancel(id AttemptID, queued bool) {
	t := a.attempts[id]
	if queued && (t == nil || t.state != stateQueued) {
		return
	}
	a.cancelAttempt(id)
}

// cancelAttempt withdraws an attempt.
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

// cancelOrphans withdraws the attempts of an entry that is gone.
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

// attemptIDs lists the attempts that match, in order.
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

// expireAttempts refuses attempts whose deadline passes before they run, and
// aborts those that may be repeated.
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

// refuseWaiting refuses the attempts that wait here while the engine is silent or
// the lease is lost, so that they are tried at another runner.
func (a *Agent) refuseWaiting() {
	if !a.engineUnavailable() {
		return
	}
	waits := func(t *attempt) bool { return t.state == stateCold || t.state == stateQueued }
	for _, id := range a.attemptIDs(waits) {
		t := a.attempts[id]
		a.abandonClaim(t)
		a.refuse(t, classifier.Busy)
	}
}

// abort stops a passed attempt. A run that must not be repeated goes on, so
// that its outcome stays known for a repeated key.
func (a *Agent) abort(t *attempt) {
	if !t.submit.Repeatable || t.aborted {
		return
	}
	t.aborted = true
	a.emit(Abort{t.id})
}

func claimKey(t *attempt) claimer.Key {
	return claimer.Key(t.submit.Caller + "\x00" + t.submit.Key)
}
