package reducer

import (
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/router"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// choose returns the agent for the next attempt, and nil when none can take it.
func (e *Entry) choose(r *request) *peer {
	if r.ask != "" {
		p := e.peers[r.ask]
		r.ask = ""
		return p
	}
	if r.Key != "" {
		return e.home(r)
	}
	if r.Model == "" {
		return e.best(r, e.named(e.groups[r.Service]))
	}
	base := e.catalog.bases[r.Model]
	for _, model := range []configurator.ModelName{r.Model, base} {
		if p := e.best(r, e.holding(model, base)); p != nil {
			return p
		}
	}
	return e.first(r, placer.Rank(string(base), e.runners))
}

// holding lists the runners that hold a model, and its homes that have not said
// yet what they hold.
func (e *Entry) holding(model, base configurator.ModelName) []*peer {
	e.likely = append(e.likely[:0], e.holders[model]...)
	for _, name := range e.homes[base] {
		if p := e.peers[name]; !p.told {
			e.likely = append(e.likely, p)
		}
	}
	return e.likely
}

// home returns the first usable agent in the rendezvous order of a key.
func (e *Entry) home(r *request) *peer {
	group := e.groups[r.Service]
	if r.Model != "" {
		group = e.homes[e.catalog.bases[r.Model]]
		if len(group) == 0 {
			group = e.runners
		}
	}
	return e.first(r, placer.Rank(r.Key, group))
}

// first returns the first usable peer, and the first one that can be tried
// when the list shows none of them as live.
func (e *Entry) first(r *request, names []configurator.UpstreamName) *peer {
	var fallback *peer
	for _, name := range names {
		p := e.peers[name]
		if r.Key == "" && name == r.avoid || !p.reachable(e.now) {
			continue
		}
		if p.usable(e.now, e.roster.listed(name)) {
			return p
		}
		if fallback == nil {
			fallback = p
		}
	}
	return fallback
}

func (e *Entry) named(names []configurator.UpstreamName) []*peer {
	peers := make([]*peer, 0, len(names))
	for _, name := range names {
		peers = append(peers, e.peers[name])
	}
	return peers
}

// best picks among usable peers and avoids the one that failed last when there
// is another.
func (e *Entry) best(r *request, peers []*peer) *peer {
	usable := func(p *peer) bool { return p.usable(e.now, e.roster.listed(p.upstream.Name)) }
	reachable := func(p *peer) bool { return p.reachable(e.now) }
	other := func(p *peer) bool { return usable(p) && p.upstream.Name != r.avoid }
	for _, allowed := range []func(*peer) bool{other, usable, reachable} {
		if p := e.pick(peers, allowed); p != nil {
			return p
		}
	}
	return nil
}

func (e *Entry) pick(peers []*peer, allowed func(*peer) bool) *peer {
	e.candidates, e.picked = e.candidates[:0], e.picked[:0]
	for _, p := range peers {
		if !allowed(p) {
			continue
		}
		e.picked = append(e.picked, p)
		e.candidates = append(e.candidates, router.Candidate{
			Outstanding: len(p.open) + len(p.pending), Others: p.others, Age: e.now - p.loadAt,
			Slots: p.upstream.Slots, Near: p.upstream.Domain == e.cfg.Domain,
		})
	}
	i := e.router.Pick(e.candidates)
	if i < 0 {
		return nil
	}
	return e.picked[i]
}
