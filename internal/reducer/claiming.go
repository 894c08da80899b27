package reducer

import (
	"fmt"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/claimer"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/recorder"
)

// claiming is an agent's state about idempotency keys.
type claiming struct {
	stream  recorder.Stream // empty until the upstream is configured
	runs    map[claimer.Key]*keyedRun
	pending []*attempt // claims to append
	tokens  float64    // appends that may be sent now
	filled  time.Duration
	serial  int
	kept    int           // bytes of kept answers
	done    []claimer.Key // finished runs, oldest first
}

// keyedRun is the one run of an idempotency key at this agent.
type keyedRun struct {
	key       claimer.Key
	digest    uint64
	attempt   *attempt // nil when its claim is held but nothing was passed on
	passed    bool
	finished  bool
	answer    []message // kept for repeated keys
	bytes     int
	lost      bool       // the answer is not kept
	followers []*attempt // repeated keys that wait for the answer
	appended  time.Duration
	claimedAt time.Duration
}

// takeKeyed lets the first attempt of a key claim it and gives later ones the
// first one's answer.
func (a *Agent) takeKeyed(t *attempt) {
	key := keyOf(t)
	run := a.claim.runs[key]
	if run != nil {
		a.repeat(t, run)
		return
	}
	holder, held := a.claims.Holder(key)
	if held && holder.Digest != t.submit.Digest {
		a.refuse(t, classifier.Conflict)
		return
	}
	mine := held && a.owns(holder)
	if held && !mine {
		a.refuseClaimed(t, holder)
		return
	}
	run = &keyedRun{key: key, digest: t.submit.Digest, attempt: t, claimedAt: a.now}
	a.claim.runs[key] = run
	t.run = run
	if mine || a.cfg.Hooks.NoClaim {
		a.enqueue(t) // the claim is held and nothing has run under it
		return
	}
	t.state = stateClaiming
	a.claim.pending = append(a.claim.pending, t)
	if a.cfg.Hooks.LateClaim {
		a.enqueue(t)
	}
	a.flushClaims()
}

func (a *Agent) owns(c claimer.Claim) bool {
	return c.Agent == string(a.cfg.Upstream) && c.Term == uint64(a.cfg.Incarnation)
}

// refuseClaimed answers a key that another agent, or an earlier incarnation of
// this one, has claimed.
func (a *Agent) refuseClaimed(t *attempt, holder claimer.Claim) {
	name := holder.Agent
	if name == string(a.cfg.Upstream) {
		name = ""
	}
	a.refuseHeld(t, classifier.Claimed, classifier.RanUnknown, name)
}

// repeat handles a key that this agent knows.
func (a *Agent) repeat(t *attempt, run *keyedRun) {
	switch {
	case run.digest != t.submit.Digest:
		a.refuse(t, classifier.Conflict)
	case run.finished && run.lost:
		a.refuseHeld(t, classifier.Claimed, classifier.RanUnknown, "")
	case run.finished:
		a.replay(t, run)
	case run.attempt == nil: // claimed, but never passed on
		run.attempt = t
		t.run = run
		a.enqueue(t)
	default:
		t.state = stateWaiting
		run.followers = append(run.followers, t)
	}
}

// replay answers an attempt with the kept answer of its key.
func (a *Agent) replay(t *attempt, run *keyedRun) {
	a.Counters.Replayed++
	t.state = stateDone
	for _, m := range run.answer {
		a.add(t, m)
	}
}

// record keeps a message of a keyed run.
func (a *Agent) record(t *attempt, m message) {
	run := t.run
	if run == nil || run.lost {
		return
	}
	if m.body != nil {
		run.bytes += len(m.body.Data)
		a.claim.kept += len(m.body.Data)
	}
	run.answer = append(run.answer, m)
	if run.bytes > answerBound {
		a.claim.forgetAnswer(run)
	}
}

func (c *claiming) forgetAnswer(run *keyedRun) {
	c.kept -= run.bytes
	run.bytes, run.answer, run.lost = 0, nil, true
}

// finishRun keeps the outcome of a keyed run and answers its followers.
func (a *Agent) finishRun(t *attempt, end *linkpb.End, ev Finished) {
	run := t.run
	if run == nil {
		return
	}
	if ev.Ran == classifier.RanNo {
		a.withdraw(run, ev.Kind)
		return
	}
	run.finished = true
	if ev.Kind != classifier.None {
		a.claim.forgetAnswer(run)
	} else {
		a.record(t, message{end: end})
	}
	a.claim.done = append(a.claim.done, run.key)
	followers := run.followers
	run.followers = nil
	for _, f := range followers {
		a.repeat(f, run)
	}
	for a.claim.kept > answerBytes {
		a.evictAnswer()
	}
}

// evictAnswer drops the oldest kept answer.
func (a *Agent) evictAnswer() {
	for _, key := range a.claim.done {
		if run := a.claim.runs[key]; run != nil && !run.lost {
			a.claim.forgetAnswer(run)
			return
		}
	}
	a.claim.kept = 0
}

// withdraw marks a key as claimed but not run and refuses its followers.
func (a *Agent) withdraw(run *keyedRun, kind classifier.Kind) {
	run.attempt = nil
	run.passed = false
	a.claim.forgetAnswer(run)
	run.lost = false
	followers := run.followers
	run.followers = nil
	for _, f := range followers {
		a.refuse(f, kind)
	}
	if _, held := a.claims.Holder(run.key); !held {
		delete(a.claim.runs, run.key)
	}
}

// dropClaim gives up a keyed attempt that has not been passed on. Its claim may
// still reach the log; nothing runs under it unless the key is sent again.
func (a *Agent) dropClaim(t *attempt) {
	if t.run == nil || t.run.attempt != t {
		return
	}
	a.claim.pending = slices.DeleteFunc(a.claim.pending, func(o *attempt) bool { return o == t })
	a.withdraw(t.run, classifier.Unclaimed)
}

func (a *Agent) unfollow(t *attempt) {
	run := a.claim.runs[keyOf(t)]
	if run != nil {
		run.followers = slices.DeleteFunc(run.followers, func(o *attempt) bool { return o == t })
	}
}

// readClaims applies the claims of a log record in their order.
func (a *Agent) readClaims(r recorder.Record) {
	for _, c := range r.Claims {
		first := a.claims.Apply(c, time.Duration(r.Time)*time.Millisecond)
		run := a.claim.runs[c.Key]
		if run == nil || run.attempt == nil || run.attempt.state != stateClaiming {
			continue
		}
		t := run.attempt
		if first && a.owns(c) && c.ID == string(t.id) {
			a.claim.pending = slices.DeleteFunc(a.claim.pending, func(o *attempt) bool { return o == t })
			a.enqueue(t)
			continue
		}
		if holder, held := a.claims.Holder(c.Key); held {
			a.outclaimed(run, holder)
		}
	}
}

// outclaimed handles a key whose first claim in the log is not that of the
// waiting attempt.
func (a *Agent) outclaimed(run *keyedRun, holder claimer.Claim) {
	t := run.attempt
	a.claim.pending = slices.DeleteFunc(a.claim.pending, func(o *attempt) bool { return o == t })
	if holder.Digest == t.submit.Digest && a.owns(holder) {
		a.enqueue(t) // an attempt that was given up holds the claim
		return
	}
	delete(a.claim.runs, run.key)
	for _, w := range append([]*attempt{t}, run.followers...) {
		w.run = nil
		if holder.Digest != w.submit.Digest {
			a.refuse(w, classifier.Conflict)
			continue
		}
		a.refuseClaimed(w, holder)
	}
}

// tickClaims appends waiting claims and gives up those that take too long.
func (a *Agent) tickClaims() {
	for _, run := range a.claimingRuns() {
		t := run.attempt
		if a.now-run.claimedAt > claimWait {
			a.dropClaim(t)
			a.refuse(t, classifier.Unclaimed)
			continue
		}
		if run.appended > 0 && a.now-run.appended > claimRetry {
			run.appended = 0
			a.claim.pending = append(a.claim.pending, t)
		}
	}
	a.flushClaims()
	a.expireRuns()
}

// claimingRuns lists the runs whose claim is not in the log yet, by attempt.
func (a *Agent) claimingRuns() []*keyedRun {
	var runs []*keyedRun
	for _, run := range a.claim.runs {
		if run.attempt != nil && run.attempt.state == stateClaiming {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(x, y *keyedRun) int {
		if x.attempt.id < y.attempt.id {
			return -1
		}
		return 1
	})
	return runs
}

// flushClaims appends all waiting claims in one record, within this process's
// share of the append rate.
func (a *Agent) flushClaims() {
	share := appendRate / float64(max(1, len(a.follower.State().Config.Upstreams)))
	a.claim.tokens = min(appendBurst, a.claim.tokens+(a.now-a.claim.filled).Seconds()*share)
	a.claim.filled = a.now
	if len(a.claim.pending) == 0 || a.claim.tokens < 1 {
		return
	}
	a.claim.tokens--
	a.claim.serial++
	a.Counters.Appends++
	batch := a.claim.pending
	if a.cfg.Hooks.SingleClaims {
		batch = batch[:1]
	}
	claims := make([]claimer.Claim, 0, len(batch))
	for _, t := range batch {
		t.run.appended = a.now
		claims = append(claims, claimer.Claim{
			ID: string(t.id), Key: t.run.key, Digest: t.run.digest, Agent: string(a.cfg.Upstream), Term: uint64(a.cfg.Incarnation),
		})
	}
	a.claim.pending = slices.Clone(a.claim.pending[len(batch):])
	id := fmt.Sprintf("%s/%d/%d", a.cfg.Upstream, a.cfg.Incarnation, a.claim.serial)
	a.emit(Append{a.claim.stream, recorder.Record{ID: id, Kind: recorder.Claims, Claims: claims}})
}

// appended handles the answer to an append. Claims count when they are read
// back, so that a lost answer needs no special case.
func (a *Agent) appended(ev Appended) {
	a.lease.appended(ev)
}

// expireRuns forgets finished runs whose window has closed.
func (a *Agent) expireRuns() {
	for len(a.claim.done) > 0 {
		key := a.claim.done[0]
		run := a.claim.runs[key]
		if run == nil {
			a.claim.done = a.claim.done[1:]
			continue
		}
		if _, held := a.claims.Holder(key); held {
			return
		}
		a.claim.kept -= run.bytes
		delete(a.claim.runs, key)
		a.claim.done = a.claim.done[1:]
	}
}
