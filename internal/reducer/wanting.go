package reducer

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Limits of further copies.
const (
	copyRequestInterval   = 500 * time.Millisecond // between two wants of an entry for one model
	copyRequestTTL        = 3 * time.Second        // an agent forgets a want after this time
	evictIdleAfter        = 30 * time.Second       // a copy unused for so long may give way to a wanted one
	overloadPerMoveWeight = 0.5                    // load beyond the slots that justifies a move of weight 1
	maxSpareMoveWeight    = 0.5                    // spare copies are kept where a move weighs less
)

// copyRequest is an entry's demand for further copies of a base model.
type copyRequest struct {
	sentAt       time.Duration
	runnersAsked int // runners asked so far
}

// requestCopy asks a further runner for a model when the runner chosen among its
// copies has no free slot. The heavier moves weigh, the longer its queue must be.
func (e *Entry) requestCopy(r *request, p *peer) {
	load := float64(len(p.openAttempts)+len(p.pendingRequests)+p.otherAttempts) / float64(max(1, p.upstream.Slots))
	if load < 1+overloadPerMoveWeight*e.follower.State().Config.Moves {
		return
	}
	base := e.catalog.baseOf[r.Model]
	w := e.copyRequests[base]
	if w.runnersAsked > 0 && e.now-w.sentAt < copyRequestInterval {
		return
	}
	target := e.copyTarget(r.Model, base, w.runnersAsked)
	e.copyRequests[base] = copyRequest{e.now, w.runnersAsked + 1}
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

// copyTarget returns the n-th runner in the model's rendezvous order that does not
// hold it and is not full. All entries ask in the same order.
func (e *Entry) copyTarget(m, base configurator.ModelName, n int) *peer {
	var able []*peer
	for _, name := range placer.Rank(string(base), e.runners) {
		p := e.peers[name]
		busy := len(p.openAttempts)+p.otherAttempts >= p.upstream.Slots
		if !p.usable(e.now, e.liveness.listed(name)) || p.residents[m] || busy {
			continue
		}
		able = append(able, p)
	}
	if len(able) == 0 {
		return nil
	}
	return able[n%len(able)]
}

// recallQueued calls back requests that wait in the queues of full runners when
// another runner has come to hold their model. They are sent again once their
// agent confirms that it has not passed them on.
func (e *Entry) recallQueued(p *peer, gained []configurator.ModelName) {
	room := p.upstream.Slots - len(p.openAttempts) - p.otherAttempts
	for _, name := range e.peerNames {
		full := e.peers[name]
		if full == p || full.state != linkUp || len(full.openAttempts)+full.otherAttempts <= full.upstream.Slots {
			continue
		}
		for _, id := range sortedAttempts(full.openAttempts) {
			r := full.openAttempts[id]
			if room <= 0 || r.nextSeq > 0 || r.Key != "" || r.recalling || !slices.Contains(gained, r.Model) {
				continue
			}
			room--
			r.recalling = true
			e.emit(SendToAgent{name, full.epoch, &linkpb.Up{Kind: &linkpb.Up_Cancel{Cancel: &linkpb.Cancel{Attempt: string(id), Queued: true}}}})
		}
	}
}

// recordCopyRequest notes an entry's want.
func (a *Agent) recordCopyRequest(m configurator.ModelName) {
	if a.ledger == nil || a.catalog.sizes[m] == 0 || a.ready(m) {
		return
	}
	a.engine.copyRequestedUntil[m] = a.now + copyRequestTTL
}

// requestedCopies lists the models that entries want, by name.
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
