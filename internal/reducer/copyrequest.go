package reducer

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Limits of copies that are loaded on demand, besides the home copies.
const (
	copyRequestInterval   = 500 * time.Millisecond // between two requests of an entry for one model
	copyRequestTTL        = 3 * time.Second        // an agent drops a request after this time
	evictIdleAfter        = 30 * time.Second       // a copy unused for so long may be unloaded for a requested one
	overloadPerMoveWeight = 0.5                    // excess load, relative to the slots, that justifies loading a copy at move weight 1
	maxSpareMoveWeight    = 0.5                    // spare copies are loaded only below this move weight
)

// copyRequest records an entry's requests for further copies of a base model.
type copyRequest struct {
	sentAt       time.Duration
	runnersAsked int
}

// requestCopy asks another runner to load a model if p, the runner chosen for r, is
// overloaded. The higher the configured weight of moves, the longer the queue of p
// must be.
func (e *Entry) requestCopy(r *request, p *peer) {
	load := float64(len(p.openAttempts)+len(p.pendingRequests)+p.otherAttempts) / float64(max(1, p.upstream.Slots))
	if load < 1+overloadPerMoveWeight*e.follower.State().Config.MoveWeight {
		return
	}
	base := e.catalog.baseOf[r.Model]
	last := e.copyRequests[base]
	if last.runnersAsked > 0 && e.now-last.sentAt < copyRequestInterval {
		return
	}
	target := e.copyTarget(r.Model, base, last.runnersAsked)
	e.copyRequests[base] = copyRequest{e.now, last.runnersAsked + 1}
	if target == nil {
		return
	}
	if target.state != linkUp {
		if target.state == linkDown && e.now >= target.nextDial {
			e.dial(target)
		}
		return
	}
	e.Counters.CopiesRequested++
	e.emit(SendToAgent{target.upstream.Name, target.epoch, &linkpb.Up{Kind: &linkpb.Up_Want{Want: &linkpb.Want{Model: string(r.Model)}}}})
}

// copyTarget returns the n-th runner, modulo their number, that is usable, has a
// free slot and does not hold the model, and nil without any. Runners are taken in
// the base model's rendezvous order, so that all entries ask them in the same order.
func (e *Entry) copyTarget(m, base configurator.ModelName, n int) *peer {
	var eligible []*peer
	for _, name := range placer.Rank(string(base), e.runners) {
		p := e.peers[name]
		busy := len(p.openAttempts)+p.otherAttempts >= p.upstream.Slots
		if !p.usable(e.now, e.liveness.listed(name)) || p.residents[m] || busy {
			continue
		}
		eligible = append(eligible, p)
	}
	if len(eligible) == 0 {
		return nil
	}
	return eligible[n%len(eligible)]
}

// recallQueued cancels attempts that wait in the queues of overloaded runners when
// p has loaded their models, as many as p has free slots. A request is dispatched
// again once its agent confirms that the attempt was still queued.
func (e *Entry) recallQueued(p *peer, gained []configurator.ModelName) {
	freeSlots := p.upstream.Slots - len(p.openAttempts) - p.otherAttempts
	for _, name := range e.peerNames {
		overloaded := e.peers[name]
		if overloaded == p || overloaded.state != linkUp || len(overloaded.openAttempts)+overloaded.otherAttempts <= overloaded.upstream.Slots {
			continue
		}
		for _, id := range sortedAttempts(overloaded.openAttempts) {
			r := overloaded.openAttempts[id]
			if freeSlots <= 0 || r.nextSeq > 0 || r.Key != "" || r.recalling || !slices.Contains(gained, r.Model) {
				continue
			}
			freeSlots--
			r.recalling = true
			e.emit(SendToAgent{name, overloaded.epoch, &linkpb.Up{Kind: &linkpb.Up_Cancel{Cancel: &linkpb.Cancel{Attempt: string(id), Queued: true}}}})
		}
	}
}

// recordCopyRequest records that an entry requests a copy of a model or adapter,
// unless it is ready or unknown here.
func (a *Agent) recordCopyRequest(m configurator.ModelName) {
	if a.ledger == nil || a.catalog.sizes[m] == 0 || a.ready(m) {
		return
	}
	a.engine.copyRequestedUntil[m] = a.now + copyRequestTTL
}

// requestedCopies lists the requested models and adapters by name, and drops those
// whose request has expired or is met.
func (a *Agent) requestedCopies() []configurator.ModelName {
	var models []configurator.ModelName
	for _, m := range sortedModels(a.engine.copyRequestedUntil) {
		if a.now >= a.engine.copyRequestedUntil[m] || a.ready(m) {
			delete(a.engine.copyRequestedUntil, m)
			continue
		}
		models = append(models, m)
	}
	return models
}
