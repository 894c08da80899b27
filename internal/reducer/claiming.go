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

// keyedRequests is an agent's state about idempotency keys.
type keyedRequests struct {
	stream        recorder.Stream // empty until the upstream is configured
	runs          map[claimer.Key]*keyedRun
	pendingClaims []*attempt // claims to append
	appendTokens  float64    // appends that may be sent now
	refilledAt    time.Duration
	serial        int
	cachedBytes   int           // bytes of kept answers
	finished      []claimer.Key // finished runs, oldest first
}

// keyedRun is the one run of an idempotency key at this agent.
type keyedRun struct {
	key             claimer.Key
	digest          uint64
	attempt         *attempt // nil when its claim is held but nothing was passed on
	forwarded       bool
	finished        bool
	response        []responseMessage // kept for repeated keys
	responseBytes   int
	responseDropped bool       // the answer is not kept
	duplicates      []*attempt // repeated keys that wait for the answer
	appendedAt      time.Duration
	claimedAt       time.Duration
}

// acceptKeyed lets the first attempt of a key claim it and gives later ones the
// first one's answer.
func (a *Agent) acceptKeyed(t *attempt) {
	key := claimKey(t)
	run := a.keyed.runs[key]
	if run != nil {
		a.joinRun(t, run)
		return
	}
	holder, held := a.claimTable.Holder(key)
	if held && holder.Digest != t.submit.Digest {
		a.refuse(t, classifier.Conflict)
		return
	}
	mine := held && a.ownsClaim(holder)
	if held && !mine {
		a.refuseClaimed(t, holder)
		return
	}
	run = &keyedRun{key: key, digest: t.submit.Digest, attempt: t, claimedAt: a.now}
	a.keyed.runs[key] = run
	t.run = run
	if mine || a.cfg.Hooks.SkipClaims {
		a.enqueue(t) // the claim is held and nothing has run under it
		return
	}
	t.state = stateClaiming
	a.keyed.pendingClaims = append(a.keyed.pendingClaims, t)
	if a.cfg.Hooks.RunBeforeClaim {
		a.enqueue(t)
	}
	a.appendClaims()
}

func (a *Agent) ownsClaim(c claimer.Claim) bool {
	return c.Agent == string(a.cfg.Upstream) && c.Incarnation == uint64(a.cfg.Incarnation)
}

// refuseClaimed answers a key that another agent, or an earlier incarnation of
// this one, has claimed.
func (a *Agent) refuseClaimed(t *attempt, holder claimer.Claim) {
	name := holder.Agent
	if name == string(a.cfg.Upstream) {
		name = ""
	}
	a.refuseWithHolder(t, classifier.Claimed, classifier.RanUnknown, name)
}

// joinRun handles a key that this agent knows.
func (a *Agent) joinRun(t *attempt, run *keyedRun) {
	switch {
	case run.digest != t.submit.Digest:
		a.refuse(t, classifier.Conflict)
	case run.finished && run.responseDropped:
		a.refuseWithHolder(t, classifier.Claimed, classifier.RanUnknown, "")
	case run.finished:
		a.replayResponse(t, run)
	case run.attempt == nil: // claimed, but never passed on
		run.attempt = t
		t.run = run
		a.enqueue(t)
	default:
		t.state = stateDuplicate
		run.duplicates = append(run.duplicates, t)
	}
}

// replayResponse answers an attempt with the kept answer of its key.
func (a *Agent) replayResponse(t *attempt, run *keyedRun) {
	a.Counters.Replayed++
	t.state = stateDone
	for _, m := range run.response {
		a.deliver(t, m)
	}
}

// cacheMessage keeps a message of a keyed run.
func (a *Agent) cacheMessage(t *attempt, m responseMessage) {
	run := t.run
	if run == nil || run.responseDropped {
		return
	}
	if m.chunk != nil {
		run.responseBytes += len(m.chunk.Data)
		a.keyed.cachedBytes += len(m.chunk.Data)
	}
	run.response = append(run.response, m)
	if run.responseBytes > maxCachedResponseBytes {
		a.keyed.dropResponse(run)
	}
}

func (c *keyedRequests) dropResponse(run *keyedRun) {
	c.cachedBytes -= run.responseBytes
	run.responseBytes, run.response, run.responseDropped = 0, nil, true
}

// finishRun keeps the outcome of a keyed run and answers its followers.
func (a *Agent) finishRun(t *attempt, end *linkpb.End, ev ResponseFinished) {
	run := t.run
	if run == nil {
		return
	}
	if ev.Ran == classifier.RanNo {
		a.resetRun(run, ev.Kind)
		return
	}
	run.finished = true
	if ev.Kind != classifier.None {
		a.keyed.dropResponse(run)
	} else {
		a.cacheMessage(t, responseMessage{end: end})
	}
	a.keyed.finished = append(a.keyed.finished, run.key)
	followers := run.duplicates
	run.duplicates = nil
	for _, f := range followers {
		a.joinRun(f, run)
	}
	for a.keyed.cachedBytes > maxCachedBytes {
		a.evictResponse()
	}
}

// evictResponse drops the oldest kept answer.
func (a *Agent) evictResponse() {
	for _, key := range a.keyed.finished {
		if run := a.keyed.runs[key]; run != nil && !run.responseDropped {
			a.keyed.dropResponse(run)
			return
		}
	}
	a.keyed.cachedBytes = 0
}

// resetRun marks a key as claimed but not run and refuses its followers.
func (a *Agent) resetRun(run *keyedRun, kind classifier.Kind) {
	run.attempt = nil
	run.forwarded = false
	a.keyed.dropResponse(run)
	run.responseDropped = false
	followers := run.duplicates
	run.duplicates = nil
	for _, f := range followers {
		a.refuse(f, kind)
	}
	if _, held := a.claimTable.Holder(run.key); !held {
		delete(a.keyed.runs, run.key)
	}
}

// abandonClaim gives up a keyed attempt that has not been passed on. Its claim may
// still reach the log; nothing runs under it unless the key is sent again.
func (a *Agent) abandonClaim(t *attempt) {
	if t.run == nil || t.run.attempt != t {
		return
	}
	a.keyed.pendingClaims = slices.DeleteFunc(a.keyed.pendingClaims, func(o *attempt) bool { return o == t })
	a.resetRun(t.run, classifier.Unclaimed)
}

func (a *Agent) leaveRun(t *attempt) {
	run := a.keyed.runs[claimKey(t)]
	if run != nil {
		run.duplicates = slices.DeleteFunc(run.duplicates, func(o *attempt) bool { return o == t })
	}
}

// applyClaims applies the claims of a log record in their order.
func (a *Agent) applyClaims(r recorder.Record) {
	for _, c := range r.Claims {
		first := a.claimTable.Apply(c, time.Duration(r.Time)*time.Millisecond)
		run := a.keyed.runs[c.Key]
		if run == nil || run.attempt == nil || run.attempt.state != stateClaiming {
			continue
		}
		t := run.attempt
		if first && a.ownsClaim(c) && c.AttemptID == string(t.id) {
			a.keyed.pendingClaims = slices.DeleteFunc(a.keyed.pendingClaims, func(o *attempt) bool { return o == t })
			a.enqueue(t)
			continue
		}
		if holder, held := a.claimTable.Holder(c.Key); held {
			a.resolveLostClaim(run, holder)
		}
	}
}

// resolveLostClaim handles a key whose first claim in the log is not that of the
// waiting attempt.
func (a *Agent) resolveLostClaim(run *keyedRun, holder claimer.Claim) {
	t := run.attempt
	a.keyed.pendingClaims = slices.DeleteFunc(a.keyed.pendingClaims, func(o *attempt) bool { return o == t })
	if holder.Digest == t.submit.Digest && a.ownsClaim(holder) {
		a.enqueue(t) // an attempt that was given up holds the claim
		return
	}
	delete(a.keyed.runs, run.key)
	for _, w := range append([]*attempt{t}, run.duplicates...) {
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
		if a.now-run.claimedAt > claimTimeout {
			a.abandonClaim(t)
			a.refuse(t, classifier.Unclaimed)
			continue
		}
		if run.appendedAt > 0 && a.now-run.appendedAt > claimRetryInterval {
			run.appendedAt = 0
			a.keyed.pendingClaims = append(a.keyed.pendingClaims, t)
		}
	}
	a.appendClaims()
	a.expireRuns()
}

// claimingRuns lists the runs whose claim is not in the log yet, by attempt.
func (a *Agent) claimingRuns() []*keyedRun {
	var runs []*keyedRun
	for _, run := range a.keyed.runs {
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

// appendClaims appends all waiting claims in one record, within this process's
// share of the append rate.
func (a *Agent) appendClaims() {
	share := appendsPerSecond / float64(max(1, len(a.follower.State().Config.Upstreams)))
	a.keyed.appendTokens = min(appendBurst, a.keyed.appendTokens+(a.now-a.keyed.refilledAt).Seconds()*share)
	a.keyed.refilledAt = a.now
	if len(a.keyed.pendingClaims) == 0 || a.keyed.appendTokens < 1 {
		return
	}
	a.keyed.appendTokens--
	a.keyed.serial++
	a.Counters.Appends++
	batch := a.keyed.pendingClaims
	if a.cfg.Hooks.OneClaimPerAppend {
		batch = batch[:1]
	}
	claims := make([]claimer.Claim, 0, len(batch))
	for _, t := range batch {
		t.run.appendedAt = a.now
		claims = append(claims, claimer.Claim{
			AttemptID: string(t.id), Key: t.run.key, Digest: t.run.digest, Agent: string(a.cfg.Upstream), Incarnation: uint64(a.cfg.Incarnation),
		})
	}
	a.keyed.pendingClaims = slices.Clone(a.keyed.pendingClaims[len(batch):])
	id := fmt.Sprintf("%s/%d/%d", a.cfg.Upstream, a.cfg.Incarnation, a.keyed.serial)
	a.emit(Append{a.keyed.stream, recorder.Record{ID: id, Kind: recorder.Claims, Claims: claims}})
}

// handleAppended handles the answer to an append. Claims count when they are read
// back, so that a lost answer needs no special case.
func (a *Agent) handleAppended(ev Appended) {
	a.lease.handleAppended(ev)
}

// expireRuns forgets finished runs whose window has closed.
func (a *Agent) expireRuns() {
	for len(a.keyed.finished) > 0 {
		key := a.keyed.finished[0]
		run := a.keyed.runs[key]
		if run == nil {
			a.keyed.finished = a.keyed.finished[1:]
			continue
		}
		if _, held := a.claimTable.Holder(key); held {
			return
		}
		a.keyed.cachedBytes -= run.responseBytes
		delete(a.keyed.runs, key)
		a.keyed.finished = a.keyed.finished[1:]
	}
}
