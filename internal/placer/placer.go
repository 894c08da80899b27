// Package placer assigns the home copies of models to runners.
//
// Usage:
//
//	homes := placer.Place(cfg, live)
//	for i, runner := range homes["tariff-nl"] { ... }
//
// The result depends on nothing but its arguments, so that processes with the
// same view agree without messages. Copies are placed by rendezvous hashing
// with the runners' memory as capacity bound and, where possible, in different
// failure domains.
package placer

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// Placement lists the home runners of each base model, the first copy first.
type Placement map[configurator.ModelName][]configurator.UpstreamName

// LiveFunc tells whether a runner can hold copies.
type LiveFunc func(configurator.UpstreamName) bool

// PlaceSpares places one further copy of each model where memory is left beside the
// home copies, the smallest models first. Spare copies give way to others.
func PlaceSpares(cfg *configurator.Configuration, homes Placement, live LiveFunc) Placement {
	p := newPlanner(cfg, live)
	spares := Placement{}
	for m, runners := range homes {
		p.homes[m] = slices.Clone(runners)
		for _, u := range runners {
			p.byName[u].free -= p.weight[m]
		}
	}
	models := p.bySize(cfg.Models)
	slices.Reverse(models)
	for _, m := range models {
		before := len(p.homes[m.Name])
		p.add(m.Name, func(s *slot) bool { return s.live })
		spares[m.Name] = p.homes[m.Name][before:]
	}
	return spares
}

type slot struct {
	upstream configurator.Upstream
	hash     uint64 // of the name
	free     configurator.Bytes
	live     bool
}

type planner struct {
	slots  []*slot
	byName map[configurator.UpstreamName]*slot
	weight map[configurator.ModelName]configurator.Bytes
	homes  Placement
}

// Place computes the home copies for the live runners. Copies on runners that
// stay alive keep their place when another runner dies.
func Place(cfg *configurator.Configuration, live LiveFunc) Placement {
	p := newPlanner(cfg, live)
	models := p.bySize(cfg.Models)
	rounds := 0
	for _, m := range models {
		rounds = max(rounds, m.Copies)
	}
	for round := range rounds {
		for _, m := range models {
			if round < m.Copies {
				p.add(m.Name, func(*slot) bool { return true })
			}
		}
	}
	p.replace(models)
	return p.homes
}

func newPlanner(cfg *configurator.Configuration, live LiveFunc) *planner {
	p := &planner{
		byName: map[configurator.UpstreamName]*slot{},
		weight: configurator.BytesWithAdapters(*cfg),
		homes:  Placement{},
	}
	for _, u := range cfg.Upstreams {
		if u.Role != configurator.Runner {
			continue
		}
		s := &slot{upstream: u, hash: xxhash.Sum64String(string(u.Name)), free: u.WeightMemory, live: live(u.Name)}
		p.slots = append(p.slots, s)
		p.byName[u.Name] = s
	}
	return p
}

func (p *planner) bySize(models []configurator.Model) []configurator.Model {
	sortedModels := slices.Clone(models)
	sort.Slice(sortedModels, func(i, j int) bool {
		a, b := sortedModels[i], sortedModels[j]
		if p.weight[a.Name] != p.weight[b.Name] {
			return p.weight[a.Name] > p.weight[b.Name]
		}
		return a.Name < b.Name
	})
	return sortedModels
}

// replace moves the copies of dead runners to live ones, first copies first.
func (p *planner) replace(models []configurator.Model) {
	kept := make(map[configurator.ModelName]int, len(models))
	for _, m := range models {
		var alive []configurator.UpstreamName
		for _, u := range p.homes[m.Name] {
			if p.byName[u].live {
				alive = append(alive, u)
			}
		}
		p.homes[m.Name] = alive
		kept[m.Name] = len(alive)
	}
	isLive := func(s *slot) bool { return s.live }
	for missing := 0; missing < 2; missing++ { // models without any copy go first
		for _, m := range models {
			first := kept[m.Name] == 0
			if first != (missing == 0) {
				continue
			}
			for range m.Copies - kept[m.Name] {
				p.add(m.Name, isLive)
			}
		}
	}
}

// add places one more copy of a model where it fits, preferring a failure
// domain that holds none.
func (p *planner) add(m configurator.ModelName, allowed func(*slot) bool) {
	best := p.pick(m, allowed, true)
	if best == nil {
		best = p.pick(m, allowed, false)
	}
	if best == nil {
		return
	}
	best.free -= p.weight[m]
	p.homes[m] = append(p.homes[m], best.upstream.Name)
}

func (p *planner) pick(m configurator.ModelName, allowed func(*slot) bool, apart bool) *slot {
	var best *slot
	var top uint64
	weight, hash := p.weight[m], xxhash.Sum64String(string(m))
	var held []*slot
	for _, u := range p.homes[m] {
		held = append(held, p.byName[u])
	}
	for _, s := range p.slots {
		if s.free < weight || !allowed(s) || holds(held, s, apart) {
			continue
		}
		score := mix(hash, s.hash)
		if best == nil || score > top {
			best, top = s, score
		}
	}
	return best
}

// holds tells whether s is among the slots that hold a copy or, with apart,
// shares its failure domain with one.
func holds(held []*slot, s *slot, apart bool) bool {
	for _, h := range held {
		if h == s || apart && h.upstream.Domain == s.upstream.Domain {
			return true
		}
	}
	return false
}

// Score is the rendezvous weight of a pair; the highest score wins a key.
func Score(key, name string) uint64 {
	return mix(xxhash.Sum64String(key), xxhash.Sum64String(name))
}

// mix combines two hashes and spreads the result over all bits.
func mix(h, other uint64) uint64 {
	h ^= other + 0x9e3779b97f4a7c15 + (h << 6) + (h >> 2)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// Rank orders names by descending rendezvous weight for key.
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
