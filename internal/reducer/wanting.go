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
	wantPeriod = 500 * time.Millisecond // between two wants of an entry for one model
	wantLife   = 3 * time.Second        // an agent forgets a want after this time
	idleCopy   = 30 * time.Second       // a copy unused for so long may give way to a wanted one
	moveShare  = 0.5                    // load beyond the slots that justifies a move of weight 1
	spareMoves = 0.5                    // spare copies are kept where a move weighs less
)

// want is an entry's demand for further copies of a base model.
type want struct {
	at    time.Duration
	count int // runners asked so far
}

// demand asks a further runner for a model when the runner chosen among its
// copies has no free slot. The heavier moves weigh, the longer its queue must be.
func (e *Entry) demand(r *request, p *peer) {
	load := float64(len(p.open)+len(p.pending)+p.others) / float64(max(1, p.upstream.Slots))
	if load < 1+moveShare*e.follower.State().Config.Moves {
		return
	}
	base := e.catalog.bases[r.Model]
	w := e.wants[base]
	if w.count > 0 && e.now-w.at < wantPeriod {
		return
	}
	target := e.further(r.Model, base, w.count)
	e.wants[base] = want{e.now, w.count + 1}
	if target == nil {
		return
	}
	if target.state != linkUp {
		if target.state == linkDown && e.now >= target.dialAt {
			e.dial(target)
		}
		return
	}
	e.Counters.Wanted++
	e.emit(SendUp{target.upstream.Name, target.epoch, &linkpb.Up{Kind: &linkpb.Up_Want{Want: &linkpb.Want{Model: string(r.Model)}}}})
}

// further returns the n-th runner in the model's rendezvous order that does not
// hold it and is not full. All entries ask in the same order.
func (e *Entry) further(m, base configurator.ModelName, n int) *peer {
	var able []*peer
	for _, name := range placer.Rank(string(base), e.runners) {
		p := e.peers[name]
		busy := len(p.open)+p.others >= p.upstream.Slots
		if !p.usable(e.now, e.roster.listed(name)) || p.holds[m] || busy {
			continue
		}
		able = append(able, p)
	}
	if len(able) == 0 {
		return nil
	}
	return able[n%len(able)]
}

// relieve calls back requests that wait in the queues of full runners when
// another runner has come to hold their model. They are sent again once their
// agent confirms that it has not passed them on.
func (e *Entry) relieve(p *peer, gained []configurator.ModelName) {
	room := p.upstream.Slots - len(p.open) - p.others
	for _, name := range e.order {
		full := e.peers[name]
		if full == p || full.state != linkUp || len(full.open)+full.others <= full.upstream.Slots {
			continue
		}
		for _, id := range sortedAttempts(full.open) {
			r := full.open[id]
			if room <= 0 || r.next > 0 || r.Key != "" || r.moving || !slices.Contains(gained, r.Model) {
				continue
			}
			room--
			r.moving = true
			e.emit(SendUp{name, full.epoch, &linkpb.Up{Kind: &linkpb.Up_Cancel{Cancel: &linkpb.Cancel{Attempt: string(id), Queued: true}}}})
		}
	}
}

// noteWant notes an entry's want.
func (a *Agent) noteWant(m configurator.ModelName) {
	if a.ledger == nil || a.catalog.sizes[m] == 0 || a.ready(m) {
		return
	}
	a.balance.wants[m] = a.now + wantLife
}

// furtherCopies lists the models that entries want, by name.
func (a *Agent) furtherCopies() []configurator.ModelName {
	var models []configurator.ModelName
	for _, m := range sortedModels(a.balance.wants) {
		if a.now >= a.balance.wants[m] || a.ready(m) {
			delete(a.balance.wants, m)
			continue
		}
		models = append(models, m)
	}
	return models
}
