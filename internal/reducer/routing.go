package reducer

import (
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/router"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// choosePeer returns the peer for the next attempt, and nil if none can take it.
// A keyed request goes to the holder of its claim or to the owner of its key. Other
// requests for a model prefer runners that hold it, then runners that hold its base
// model, then any runner in the base model's rendezvous order.
func (e *Entry) choosePeer(r *request) *peer {
	if r.claimHolder != "" {
		p := e.peers[r.claimHolder]
		r.claimHolder = ""
		return p
	}
	if r.Key != "" {
		return e.keyOwner(r)
	}
	if r.Model == "" {
		return e.bestPeer(r, e.peersByName(e.serviceUpstreams[r.Service]))
	}
	base := e.catalog.baseOf[r.Model]
	for _, model := range []configurator.ModelName{r.Model, base} {
		if p := e.bestPeer(r, e.likelyHolders(model, base)); p != nil {
			return p
		}
	}
	return e.firstUsable(r, placer.Rank(string(base), e.runners))
}

// likelyHolders lists the runners that hold a model, and those assigned to hold its
// base model that have not reported their residents yet.
func (e *Entry) likelyHolders(model, base configurator.ModelName) []*peer {
	e.holderScratch = append(e.holderScratch[:0], e.holders[model]...)
	for _, name := range e.homes[base] {
		if p := e.peers[name]; !p.residentsKnown {
			e.holderScratch = append(e.holderScratch, p)
		}
	}
	return e.holderScratch
}

// keyOwner returns the first usable peer in the rendezvous order of an idempotency
// key, so that repeated requests reach the same agent.
func (e *Entry) keyOwner(r *request) *peer {
	group := e.serviceUpstreams[r.Service]
	if r.Model != "" {
		group = e.homes[e.catalog.baseOf[r.Model]]
		if len(group) == 0 {
			group = e.runners
		}
	}
	return e.firstUsable(r, placer.Rank(r.Key, group))
}

// firstUsable returns the first usable peer, or else the first reachable one, and
// nil without any. Unless the request is keyed, it skips the upstream of the last
// failure.
func (e *Entry) firstUsable(r *request, names []configurator.UpstreamName) *peer {
	var fallback *peer
	for _, name := range names {
		p := e.peers[name]
		if r.Key == "" && name == r.avoidUpstream || !p.reachable(e.now) {
			continue
		}
		if p.usable(e.now, e.liveness.listed(name)) {
			return p
		}
		if fallback == nil {
			fallback = p
		}
	}
	return fallback
}

func (e *Entry) peersByName(upstreams []configurator.UpstreamName) []*peer {
	peers := make([]*peer, 0, len(upstreams))
	for _, name := range upstreams {
		peers = append(peers, e.peers[name])
	}
	return peers
}

// bestPeer picks among the usable peers other than the one that failed last, then
// among all usable ones, then among all reachable ones.
func (e *Entry) bestPeer(r *request, peers []*peer) *peer {
	usable := func(p *peer) bool { return p.usable(e.now, e.liveness.listed(p.upstream.Name)) }
	reachable := func(p *peer) bool { return p.reachable(e.now) }
	other := func(p *peer) bool { return usable(p) && p.upstream.Name != r.avoidUpstream }
	for _, allowed := range []func(*peer) bool{other, usable, reachable} {
		if p := e.pickPeer(peers, allowed); p != nil {
			return p
		}
	}
	return nil
}

// pickPeer returns the router's choice among the allowed peers, and nil without any.
func (e *Entry) pickPeer(peers []*peer, allowed func(*peer) bool) *peer {
	e.candidates, e.candidatePeers = e.candidates[:0], e.candidatePeers[:0]
	for _, p := range peers {
		if !allowed(p) {
			continue
		}
		e.candidatePeers = append(e.candidatePeers, p)
		e.candidates = append(e.candidates, router.Candidate{
			Outstanding: len(p.openAttempts) + len(p.pendingRequests), OthersOutstanding: p.otherAttempts, ReportAge: e.now - p.loadReportedAt,
			Slots: p.upstream.Slots, SameDomain: p.upstream.Domain == e.cfg.Domain,
		})
	}
	i := e.router.Pick(e.candidates)
	if i < 0 {
		return nil
	}
	return e.candidatePeers[i]
}
