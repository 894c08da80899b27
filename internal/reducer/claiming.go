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

// keyedRequests is an agent's state about requests with an idempotency key.
type keyedRequests struct {
	stream           recorder.Stream // of the claims; empty until the upstream is configured
	runs             map[claimer.Key]*keyedRun
	pendingClaims    []*attempt // whose claims are to be appended
	appendTokens     float64    // token bucket of appends
	tokensRefilledAt time.Duration
	serial           int           // of the last claims record, for its ID
	cachedBytes      int           // body bytes of all cached responses
	finishedKeys     []claimer.Key // keys of finished runs, oldest first
}

// keyedRun is the single run of an idempotency key at this agent.
type keyedRun struct {
	key             claimer.Key
	digest          uint64   // of the request, to detect another request with the same key
	attempt         *attempt // nil if the claim is held but no attempt is under way
	forwarded       bool
	finished        bool
	response        []responseMessage // cached for duplicates
	responseBytes   int               // body bytes in response
	responseDropped bool              // the response is not cached
	duplicates      []*attempt        // wait for this run to finish
	claimAppendedAt time.Duration     // when the claim was last appended; zero while an append is pending
	claimStartedAt  time.Duration     // when the run was created; claimTimeout counts from here
}

// acceptKeyed starts a run for the first attempt of a key and joins later attempts
// to it.
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
	owned := held && a.ownsClaim(holder)
	if held && !owned {
		a.refuseClaimed(t, holder)
		return
	}
	run = &keyedRun{key: key, digest: t.submit.Digest, attempt: t, claimStartedAt: a.now}
	a.keyed.runs[key] = run
	t.run = run
	if owned || a.cfg.Hooks.SkipClaims {
		a.enqueue(t) // this agent holds the claim and nothing has run under it
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

// refuseClaimed refuses an attempt whose key is claimed by another agent or by an
// earlier incarnation of this one. The refusal names the holder only if that is
// another agent, so that the entry retries there.
func (a *Agent) refuseClaimed(t *attempt, holder claimer.Claim) {
	name := holder.Agent
	if name == string(a.cfg.Upstream) {
		name = ""
	}
	a.refuseWithHolder(t, classifier.Claimed, classifier.RanUnknown, name)
}

// joinRun handles an attempt whose key has a run at this agent: it replays the
// response, takes over a run without an attempt, or waits for the run to finish.
func (a *Agent) joinRun(t *attempt, run *keyedRun) {
	switch {
	case run.digest != t.submit.Digest:
		a.refuse(t, classifier.Conflict)
	case run.finished && run.responseDropped:
		a.refuseWithHolder(t, classifier.Claimed, classifier.RanUnknown, "")
	case run.finished:
		a.replayResponse(t, run)
	case run.attempt == nil: // claimed, but never forwarded
		run.attempt = t
		t.run = run
		a.enqueue(t)
	default:
		t.state = stateDuplicate
		run.duplicates = append(run.duplicates, t)
	}
}

// replayResponse answers an attempt with the cached response of its key.
func (a *Agent) replayResponse(t *attempt, run *keyedRun) {
	a.Counters.Replayed++
	t.state = stateDone
	for _, m := range run.response {
		a.deliver(t, m)
	}
}

// cacheMessage adds a message to the cached response of a keyed run. A response
// that outgrows maxCachedResponseBytes is dropped.
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

func (k *keyedRequests) dropResponse(run *keyedRun) {
	k.cachedBytes -= run.responseBytes
	run.responseBytes, run.response, run.responseDropped = 0, nil, true
}

// finishRun records the outcome of a keyed run and answers its duplicates. It does
// nothing for an attempt without a key.
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
	a.keyed.finishedKeys = append(a.keyed.finishedKeys, run.key)
	duplicates := run.duplicates
	run.duplicates = nil
	for _, d := range duplicates {
		a.joinRun(d, run)
	}
	for a.keyed.cachedBytes > maxCachedBytes {
		a.evictResponse()
	}
}

// evictResponse drops the oldest cached response of a finished run.
func (a *Agent) evictResponse() {
	for _, key := range a.keyed.finishedKeys {
		if run := a.keyed.runs[key]; run != nil && !run.responseDropped {
			a.keyed.dropResponse(run)
			return
		}
	}
	a.keyed.cachedBytes = 0
}

// resetRun marks a key as not run and refuses the duplicates that wait for it. The
// run is forgotten unless the log holds a claim on the key.
func (a *Agent) resetRun(run *keyedRun, kind classifier.Kind) {
	run.attempt = nil
	run.forwarded = false
	a.keyed.dropResponse(run)
	run.responseDropped = false
	duplicates := run.duplicates
	run.duplicates = nil
	for _, d := range duplicates {
		a.refuse(d, kind)
	}
	if _, held := a.claimTable.Holder(run.key); !held {
		delete(a.keyed.runs, run.key)
	}
}

// abandonClaim detaches an attempt that has not been forwarded from the run of its
// key. Its claim may still reach the log; nothing runs under that claim unless the
// key is sent again.
func (a *Agent) abandonClaim(t *attempt) {
	if t.run == nil || t.run.attempt != t {
		return
	}
	a.keyed.pendingClaims = slices.DeleteFunc(a.keyed.pendingClaims, func(o *attempt) bool { return o == t })
	a.resetRun(t.run, classifier.Unclaimed)
}

// leaveRun removes a duplicate from the run that it waits for.
func (a *Agent) leaveRun(t *attempt) {
	run := a.keyed.runs[claimKey(t)]
	if run != nil {
		run.duplicates = slices.DeleteFunc(run.duplicates, func(o *attempt) bool { return o == t })
	}
}

// applyClaims applies the claims of a log record in order. An attempt whose claim
// is the first one on its key is queued.
func (a *Agent) applyClaims(r recorder.Record) {
	for _, c := range r.Claims {
		first := a.claimTable.Apply(c, time.Duration(r.LogTimeMs)*time.Millisecond)
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

// resolveLostClaim handles a run whose attempt waits for its claim while another
// claim, holder, came first in the log.
func (a *Agent) resolveLostClaim(run *keyedRun, holder claimer.Claim) {
	t := run.attempt
	a.keyed.pendingClaims = slices.DeleteFunc(a.keyed.pendingClaims, func(o *attempt) bool { return o == t })
	if holder.Digest == t.submit.Digest && a.ownsClaim(holder) {
		a.enqueue(t) // the holder is an abandoned attempt of this agent
		return
	}
	delete(a.keyed.runs, run.key)
	for _, waiter := range append([]*attempt{t}, run.duplicates...) {
		waiter.run = nil
		if holder.Digest != waiter.submit.Digest {
			a.refuse(waiter, classifier.Conflict)
			continue
		}
		a.refuseClaimed(waiter, holder)
	}
}

// tickClaims appends pending claims, appends those again that have not shown up in
// the log, and refuses attempts after claimTimeout.
func (a *Agent) tickClaims() {
	for _, run := range a.claimingRuns() {
		t := run.attempt
		if a.now-run.claimStartedAt > claimTimeout {
			a.abandonClaim(t)
			a.refuse(t, classifier.Unclaimed)
			continue
		}
		if run.claimAppendedAt > 0 && a.now-run.claimAppendedAt > claimRetryInterval {
			run.claimAppendedAt = 0
			a.keyed.pendingClaims = append(a.keyed.pendingClaims, t)
		}
	}
	a.appendClaims()
	a.expireRuns()
}

// claimingRuns lists the runs that wait for their claim to appear in the log,
// sorted by attempt ID.
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

// appendClaims appends all pending claims in one record if the token bucket allows.
// The bucket fills at this agent's share of appendsPerSecond, which is divided equally
// among all upstreams.
func (a *Agent) appendClaims() {
	rate := appendsPerSecond / float64(max(1, len(a.follower.State().Config.Upstreams)))
	a.keyed.appendTokens = min(appendBurst, a.keyed.appendTokens+(a.now-a.keyed.tokensRefilledAt).Seconds()*rate)
	a.keyed.tokensRefilledAt = a.now
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
		t.run.claimAppendedAt = a.now
		claims = append(claims, claimer.Claim{
			AttemptID: string(t.id), Key: t.run.key, Digest: t.run.digest, Agent: string(a.cfg.Upstream), Incarnation: uint64(a.cfg.Incarnation),
		})
	}
	a.keyed.pendingClaims = slices.Clone(a.keyed.pendingClaims[len(batch):])
	id := fmt.Sprintf("%s/%d/%d", a.cfg.Upstream, a.cfg.Incarnation, a.keyed.serial)
	a.emit(Append{a.keyed.stream, recorder.Record{ID: id, Kind: recorder.KindClaims, Claims: claims}})
}

// handleAppended handles the result of an append. Only leases need it: claims take
// effect when they are read back from the log, whatever the append returned.
func (a *Agent) handleAppended(ev Appended) {
	a.lease.handleAppended(ev)
}

// expireRuns forgets finished runs whose claim has expired.
func (a *Agent) expireRuns() {
	for len(a.keyed.finishedKeys) > 0 {
		key := a.keyed.finishedKeys[0]
		run := a.keyed.runs[key]
		if run == nil {
			a.keyed.finishedKeys = a.keyed.finishedKeys[1:]
			continue
		}
		if _, held := a.claimTable.Holder(key); held {
			return
		}
		a.keyed.cachedBytes -= run.responseBytes
		delete(a.keyed.runs, key)
		a.keyed.finishedKeys = a.keyed.finishedKeys[1:]
	}
}
