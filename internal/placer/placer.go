// Package placer assigns the home copies of models to runners. The home copies of
// a model are the copies that the configuration requires.
//
// Usage:
//
//	homes := placer.Place(cfg, live)
//	for i, runner := range homes["tariff-nl"] { ... }
//
// The result is a deterministic function of the arguments, so that processes with
// the same view agree without messages. Copies are placed by rendezvous hashing
// within the memory of the runners and, where possible, in different failure
// domains.
package placer

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// Placement lists the runners of each base model in the order of the copies.
type Placement map[configurator.ModelName][]configurator.UpstreamName

// LiveFunc reports whether a runner can hold copies.
type LiveFunc func(configurator.UpstreamName) bool

// PlaceSpares places one spare copy of each model, the smallest models first, where the
// home copies leave memory. The result lists only the spare copies, which may be
// evicted for others.
func PlaceSpares(cfg *configurator.Configuration, homes Placement, live LiveFunc) Placement {
	p := newPlanner(cfg, live)
	spares := Placement{}
	for m, runners := range homes {
		p.homes[m] = slices.Clone(runners)
		for _, u := range runners {
			p.byName[u].freeMemory -= p.sizes[m]
		}
	}
	models := p.modelsBySize(cfg.Models)
	slices.Reverse(models)
	for _, m := range models {
		homeCopies := len(p.homes[m.Name])
		p.addCopy(m.Name, func(r *runner) bool { return r.live })
		spares[m.Name] = p.homes[m.Name][homeCopies:]
	}
	return spares
}

// runner is a runner with the memory that the copies placed so far leave.
type runner struct {
	upstream   configurator.Upstream
	nameHash   uint64
	freeMemory configurator.Bytes
	live       bool
}

type planner struct {
	runners []*runner
	byName  map[configurator.UpstreamName]*runner
	sizes   map[configurator.ModelName]configurator.Bytes // of a base model with its adapters
	homes   Placement
}

// Place computes the home copies for the live runners. It first places them as if all
// runners were live and then moves only the copies of dead runners, so that copies on
// live runners stay where they are when another runner dies. A copy that fits on no
// runner is left out.
func Place(cfg *configurator.Configuration, live LiveFunc) Placement {
	p := newPlanner(cfg, live)
	models := p.modelsBySize(cfg.Models)
	maxCopies := 0
	for _, m := range models {
		maxCopies = max(maxCopies, m.Copies)
	}
	for round := range maxCopies {
		for _, m := range models {
			if round < m.Copies {
				p.addCopy(m.Name, func(*runner) bool { return true })
			}
		}
	}
	p.replaceDeadCopies(models)
	return p.homes
}

func newPlanner(cfg *configurator.Configuration, live LiveFunc) *planner {
	p := &planner{
		byName: map[configurator.UpstreamName]*runner{},
		sizes:  configurator.BytesWithAdapters(*cfg),
		homes:  Placement{},
	}
	for _, u := range cfg.Upstreams {
		if u.Role != configurator.Runner {
			continue
		}
		r := &runner{upstream: u, nameHash: xxhash.Sum64String(string(u.Name)), freeMemory: u.WeightMemory, live: live(u.Name)}
		p.runners = append(p.runners, r)
		p.byName[u.Name] = r
	}
	return p
}

// modelsBySize returns the models by descending size with their adapters.
func (p *planner) modelsBySize(models []configurator.Model) []configurator.Model {
	sorted := slices.Clone(models)
	sort.Slice(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if p.sizes[a.Name] != p.sizes[b.Name] {
			return p.sizes[a.Name] > p.sizes[b.Name]
		}
		return a.Name < b.Name
	})
	return sorted
}

// replaceDeadCopies moves the copies of dead runners to live ones. Models without a
// live copy come first.
func (p *planner) replaceDeadCopies(models []configurator.Model) {
	liveCopies := make(map[configurator.ModelName]int, len(models))
	for _, m := range models {
		var liveRunners []configurator.UpstreamName
		for _, u := range p.homes[m.Name] {
			if p.byName[u].live {
				liveRunners = append(liveRunners, u)
			}
		}
		p.homes[m.Name] = liveRunners
		liveCopies[m.Name] = len(liveRunners)
	}
	isLive := func(r *runner) bool { return r.live }
	for pass := 0; pass < 2; pass++ {
		for _, m := range models {
			withoutCopy := liveCopies[m.Name] == 0
			if withoutCopy != (pass == 0) {
				continue
			}
			for range m.Copies - liveCopies[m.Name] {
				p.addCopy(m.Name, isLive)
			}
		}
	}
}

// addCopy places one more copy of a model where it fits, preferring a failure
// domain that holds none.
func (p *planner) addCopy(m configurator.ModelName, allowed func(*runner) bool) {
	best := p.pickRunner(m, allowed, true)
	if best == nil {
		best = p.pickRunner(m, allowed, false)
	}
	if best == nil {
		return
	}
	best.freeMemory -= p.sizes[m]
	p.homes[m] = append(p.homes[m], best.upstream.Name)
}

// pickRunner returns the allowed runner with the highest rendezvous score that has
// memory for a copy and holds none, nil if there is none. With separateDomain it
// skips the failure domains of the runners that hold a copy.
func (p *planner) pickRunner(m configurator.ModelName, allowed func(*runner) bool, separateDomain bool) *runner {
	var best *runner
	var bestScore uint64
	size, modelHash := p.sizes[m], xxhash.Sum64String(string(m))
	var holders []*runner
	for _, u := range p.homes[m] {
		holders = append(holders, p.byName[u])
	}
	for _, r := range p.runners {
		if r.freeMemory < size || !allowed(r) || excluded(holders, r, separateDomain) {
			continue
		}
		score := mix(modelHash, r.nameHash)
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// excluded reports whether the candidate is among the holders of a copy or, with
// separateDomain, shares its failure domain with one.
func excluded(holders []*runner, candidate *runner, separateDomain bool) bool {
	for _, holder := range holders {
		if holder == candidate || separateDomain && holder.upstream.Domain == candidate.upstream.Domain {
			return true
		}
	}
	return false
}

// Score returns the rendezvous score of a name for a key. The name with the highest
// score owns the key.
func Score(key, name string) uint64 {
	return mix(xxhash.Sum64String(key), xxhash.Sum64String(name))
}

// mix combines two hashes and spreads the result over all bits.
func mix(a, b uint64) uint64 {
	a ^= b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2)
	a ^= a >> 33
	a *= 0xff51afd7ed558ccd
	a ^= a >> 33
	return a
}

// Rank orders names by descending rendezvous score for a key.
func Rank(key string, names []configurator.UpstreamName) []configurator.UpstreamName {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b configurator.UpstreamName) int {
		if c := cmp.Compare(Score(key, string(b)), Score(key, string(a))); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}
