package reducer

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/admitter"
	"github.com/egretwall/egretwall/internal/claimer"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/pkg/configurator"
)

type attemptState string

const (
	stateClaiming attemptState = "claiming" // its claim is not in the log yet
	stateCold     attemptState = "cold"     // its model is not loaded
	stateQueued   attemptState = "queued"
	statePassed   attemptState = "passed" // the upstream may have run it
	stateWaiting  attemptState = "waiting"
	stateDone     attemptState = "done"
)

// attempt is one try to run a request, as its agent sees it.
type attempt struct {
	id       AttemptID
	entry    EntryID
	link     *entryLink // nil once the entry is out of reach for good
	submit   *linkpb.Submit
	class    configurator.Class
	state    attemptState
	deadline time.Duration
	started  time.Duration
	run      *keyedRun // of a keyed attempt
	aborted  bool

	tail  []message // not acknowledged yet
	next  uint64    // number of the next message
	acked uint64
}

func (a *Agent) take(entry EntryID, l *entryLink, s *linkpb.Submit) {
	id := AttemptID(s.Attempt)
	if a.attempts[id] != nil {
		a.Counters.Stale++
		return
	}
	a.Counters.Taken++
	t := &attempt{id: id, entry: entry, link: l, submit: s, deadline: a.now + time.Duration(s.BudgetMs)*time.Millisecond}
	t.class, _ = a.follower.State().Config.Class(configurator.ClassName(s.Class))
	a.attempts[id] = t
	l.open++
	if kind := a.refusal(t); kind != classifier.None {
		a.refuse(t, kind)
		return
	}
	if s.Key != "" {
		a.takeKeyed(t)
		return
	}
	a.enqueue(t)
}

func (a *Agent) refusal(t *attempt) classifier.Kind {
	switch {
	case a.draining && (t.submit.Key == "" || a.claim.runs[keyOf(t)] == nil):
		return classifier.Leaving
	case a.upstream.Name == "" || t.submit.Model != "" && a.catalog.sizes[configurator.ModelName(t.submit.Model)] == 0:
		return classifier.Missing
	case a.unfit():
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
	return time.Duration(ahead) * a.service / time.Duration(max(1, a.upstream.Slots))
}

// enqueue lets an attempt wait for a slot, and for its model where needed.
func (a *Agent) enqueue(t *attempt) {
	if t.submit.Model != "" {
		a.balance.used[configurator.ModelName(t.submit.Model)] = a.now
		a.balance.used[a.catalog.bases[configurator.ModelName(t.submit.Model)]] = a.now
		if !a.ready(configurator.ModelName(t.submit.Model)) {
			if len(a.cold) >= queueBound {
				a.refuse(t, classifier.Busy)
				return
			}
			t.state = stateCold
			a.cold = append(a.cold, t)
			return
		}
	}
	t.state = stateQueued
	ok := a.queue.Push(admitter.Item{
		ID: string(t.id), Caller: configurator.CallerName(t.submit.Caller), Rank: t.class.Rank, Due: a.now + t.class.First.Duration(),
	})
	if !ok {
		a.refuse(t, classifier.Busy)
		return
	}
	a.pump()
}

// warm queues the attempts whose model has been loaded.
func (a *Agent) warm() {
	cold := a.cold
	a.cold = nil
	for _, t := range cold {
		if t.state == stateCold {
			a.enqueue(t)
		}
	}
}

// pump hands queued attempts to the upstream while it has free slots.
func (a *Agent) pump() {
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
		a.pass(t)
	}
}

func (a *Agent) pass(t *attempt) {
	t.state = statePassed
	t.started = a.now
	a.active++
	a.Counters.Passed++
	a.balance.pin(t, 1)
	if t.run != nil {
		t.run.passed = true
	}
	a.emit(Pass{t.id, t.submit, t.class.Rank, chunkWindow})
}

// refuse answers an attempt that has not been passed on.
func (a *Agent) refuse(t *attempt, kind classifier.Kind) {
	a.refuseHeld(t, kind, classifier.RanNo, "")
}

// refuseHeld also names the agent that holds the claim of a repeated key.
func (a *Agent) refuseHeld(t *attempt, kind classifier.Kind, ran classifier.Ran, holder string) {
	if ran == classifier.RanNo {
		a.Counters.NotRun++
	} else {
		a.Counters.Unknown++
	}
	a.end(t, &linkpb.End{Error: string(kind), Ran: string(ran), RetryMs: classifier.AnswerOf(kind).RetryAfter.Milliseconds(), Holder: holder})
}

// smooth averages the time that an attempt holds a slot.
func (a *Agent) smooth(d time.Duration) {
	if a.service == 0 {
		a.service = d
		return
	}
	a.service += (d - a.service) / 16
}

// forget drops an attempt that has nothing left to send.
func (a *Agent) forget(t *attempt) {
	delete(a.attempts, t.id)
	if t.link != nil {
		t.link.open--
		t.link = nil
	}
}

// withdrawAttempt cancels an attempt, with queued only one that waits.
func (a *Agent) withdrawAttempt(id AttemptID, queued bool) {
	t := a.attempts[id]
	if queued && (t == nil || t.state != stateQueued) {
		return
	}
	a.cancel(id)
}

// cancel withdraws an attempt.
func (a *Agent) cancel(id AttemptID) {
	t := a.attempts[id]
	if t == nil {
		return
	}
	switch t.state {
	case stateDone:
		a.forget(t)
	case statePassed:
		a.abort(t)
	case stateWaiting:
		a.unfollow(t)
		a.refuse(t, classifier.Cancelled)
	default:
		a.dropClaim(t)
		a.refuse(t, classifier.Cancelled)
	}
}

// orphan withdraws the attempts of an entry that is gone.
func (a *Agent) orphan(l *entryLink) {
	l.swept = true
	for _, id := range a.attemptIDs(func(t *attempt) bool { return t.link == l }) {
		t := a.attempts[id]
		a.cancel(id)
		if t.state == stateDone {
			a.forget(t)
		} else if t.link != nil {
			t.link = nil
			l.open--
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

// expireQueued refuses attempts whose deadline passes before they run, and
// aborts those that may be repeated.
func (a *Agent) expireQueued() {
	for _, id := range a.attemptIDs(func(t *attempt) bool { return a.now >= t.deadline && t.state != stateDone && !t.aborted }) {
		t := a.attempts[id]
		switch t.state {
		case stateClaiming, stateCold, stateQueued:
			a.dropClaim(t)
			a.refuse(t, classifier.Late)
		case statePassed:
			a.abort(t)
		}
	}
}

// releaseStuck refuses the attempts that wait here while the engine is silent or
// the lease is lost, so that they are tried at another runner.
func (a *Agent) releaseStuck() {
	if !a.unfit() {
		return
	}
	waits := func(t *attempt) bool { return t.state == stateCold || t.state == stateQueued }
	for _, id := range a.attemptIDs(waits) {
		t := a.attempts[id]
		a.dropClaim(t)
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

func keyOf(t *attempt) claimer.Key {
	return claimer.Key(t.submit.Caller + "\x00" + t.submit.Key)
}
