// Package allocator plans which model runner holds which models.
//
// Usage:
//
//	plan := allocator.New(allocator.Config{Gain: 1.3}).Plan(runners, models)
//	for _, m := range plan.Of(runner) { ... }
//
// The plan is a deterministic function of its arguments, so that stewards with
// the same view agree without messages. It answers the load of the heaviest
// days: a few models get most of the work and change within seconds, and many
// models get little but must stay reachable. Models with little work get one
// copy each, spread so that every runner keeps memory for a busy model; the
// rest of the memory goes to busy models by the work for a copy. What a runner
// holds stays where it is as long as that doesn't cost balance.
package allocator

import (
	"cmp"
	"math"
	"slices"

	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Config configures an Allocator.
type Config struct {
	// Hysteresis is how much more a new copy must serve than a present one.
	Hysteresis float64
	// DemandExponent is the power of the work by which copies are shared out: 1 shares
	// them by work, less gives models with less work more copies.
	DemandExponent float64
	// MinDemandPerCopy is the work for a copy below which a model gets no further one.
	MinDemandPerCopy float64
}

// Runner is a model runner as the planner sees it.
type Runner struct {
	ID          registrar.UpstreamID
	Memory      registrar.Megabytes
	Resident    []registrar.ModelName // in memory or being loaded
	Cached      []registrar.ModelName // weights at its host, quick to load
	Schedulable bool                  // its steward takes part; others get nothing new
}

// Model is a model with the work that callers bring.
type Model struct {
	Name       registrar.ModelName
	WeightSize registrar.Megabytes
	Demand     float64 // a second
}

// Plan lists what each runner should hold.
type Plan struct {
	holds map[registrar.UpstreamID][]registrar.ModelName
	spots map[registrar.ModelName][]registrar.UpstreamID
}

// Models lists the models that a runner should hold, the busiest first.
func (p *Plan) Models(r registrar.UpstreamID) []registrar.ModelName {
	return p.holds[r]
}

// Runners lists the runners that should hold a model.
func (p *Plan) Runners(m registrar.ModelName) []registrar.UpstreamID {
	return p.spots[m]
}

// Assigns tells whether a runner should hold a model.
func (p *Plan) Assigns(r registrar.UpstreamID, m registrar.ModelName) bool {
	return slices.Contains(p.holds[r], m)
}

// Allocator makes plans.
type Allocator struct {
	cfg Config
}

// New returns an allocator.
func New(cfg Config) *Allocator {
	return &Allocator{cfg: cfg}
}

// slot is a runner while the plan is made.
type slot struct {
	Runner
	free  registrar.Megabytes
	quiet int     // planned models with a single copy
	load  float64 // planned work
}

// planned is a model while the plan is made.
type planned struct {
	Model
	copies  int // to be planned
	present int // copies now
}

// Plan assigns the models to the runners.
func (a *Allocator) Plan(runners []Runner, models []Model) *Plan {
	p := &Plan{holds: map[registrar.UpstreamID][]registrar.ModelName{}, spots: map[registrar.ModelName][]registrar.UpstreamID{}}
	if len(runners) == 0 {
		return p
	}
	slots := make([]*slot, 0, len(runners))
	for _, r := range runners {
		slots = append(slots, &slot{Runner: r, free: r.Memory})
	}
	slices.SortFunc(slots, func(x, y *slot) int { return cmp.Compare(x.ID, y.ID) })
	all := a.targets(slots, models)
	quiet := 0
	for _, m := range all {
		if m.copies == 1 {
			quiet++
		}
	}
	most := (quiet + len(slots) - 1) / len(slots)
	a.placeQuiet(p, slots, all, most)
	a.placeBusy(p, slots, all)
	a.placeRest(p, slots, all)
	return p
}

// fetch is the load that a runner may have more than others to get a copy,
// because it need not wait for the weight store: that of the copy itself.
func (m *planned) fetch(s *slot) float64 {
	if slices.Contains(s.Resident, m.Name) || slices.Contains(s.Cached, m.Name) {
		return 0
	}
	return m.Demand / float64(m.copies)
}

// fetchQuiet is the same for a model in little demand, in models.
func (m *planned) fetchQuiet(s *slot) float64 {
	if slices.Contains(s.Resident, m.Name) || slices.Contains(s.Cached, m.Name) {
		return 0
	}
	return 1
}

// targets decides on the number of copies of each model and returns the models
// with the most work first.
func (a *Allocator) targets(slots []*slot, models []Model) []*planned {
	var memory, largest registrar.Megabytes
	all := make([]*planned, 0, len(models))
	for _, m := range models {
		largest = max(largest, m.WeightSize)
		all = append(all, &planned{Model: m, copies: 1})
	}
	for _, s := range slots {
		memory += s.Memory
	}
	slices.SortFunc(all, func(x, y *planned) int {
		return cmp.Or(cmp.Compare(y.Demand, x.Demand), cmp.Compare(x.Name, y.Name))
	})
	if largest <= 0 {
		return all
	}
	for _, m := range all {
		for _, s := range slots {
			if slices.Contains(s.Resident, m.Name) {
				m.present++
			}
		}
	}
	places := int(memory/largest) - len(all)
	for ; places > 0; places-- {
		best := a.next(all, len(slots))
		if best == nil {
			break
		}
		best.copies++
	}
	return all
}

// next returns the model that a further copy serves most.
func (a *Allocator) next(all []*planned, most int) *planned {
	var best *planned
	var top float64
	for _, m := range all {
		if m.copies >= most || m.Demand < a.cfg.MinDemandPerCopy*float64(m.copies) {
			continue
		}
		value := math.Pow(m.Demand, a.cfg.DemandExponent) / float64(m.copies)
		if m.copies < m.present {
			value *= a.cfg.Hysteresis
		}
		if best == nil || value > top {
			best, top = m, value
		}
	}
	return best
}

func (p *Plan) add(s *slot, m *planned) {
	s.free -= m.WeightSize
	s.load += m.Demand / float64(m.copies)
	if m.copies == 1 {
		s.quiet++
	}
	p.holds[s.ID] = append(p.holds[s.ID], m.Name)
	p.spots[m.Name] = append(p.spots[m.Name], s.ID)
}

// fits tells whether a slot can take another copy of the model.
func (p *Plan) fits(s *slot, m *planned) bool {
	return s.free >= m.WeightSize && !p.Assigns(s.ID, m.Name) && (s.Schedulable || slices.Contains(s.Resident, m.Name))
}

// placeQuiet places the models with a single copy, at most so many on a runner.
// Those that can stay do.
func (a *Allocator) placeQuiet(p *Plan, slots []*slot, all []*planned, most int) {
	// Models that are held by few have the least choice of where to stay.
	fewest := slices.Clone(all)
	slices.SortStableFunc(fewest, func(x, y *planned) int { return cmp.Compare(x.present, y.present) })
	for _, stay := range []bool{true, false} {
		for _, m := range fewest {
			if m.copies != 1 || len(p.spots[m.Name]) > 0 {
				continue
			}
			best := a.best(p, slots, m, func(s *slot) bool {
				return s.quiet < most && (!stay || slices.Contains(s.Resident, m.Name))
			}, func(s *slot) float64 { return float64(s.quiet) + m.fetchQuiet(s) })
			if best != nil {
				p.add(best, m)
			}
		}
	}
}

// placeBusy places the models with several copies, the present ones first.
func (a *Allocator) placeBusy(p *Plan, slots []*slot, all []*planned) {
	for _, m := range all {
		if m.copies == 1 {
			continue
		}
		for _, stay := range []bool{true, false} {
			for len(p.spots[m.Name]) < m.copies {
				best := a.best(p, slots, m, func(s *slot) bool {
					return !stay || slices.Contains(s.Resident, m.Name)
				}, func(s *slot) float64 { return s.load + m.fetch(s) })
				if best == nil {
					break
				}
				p.add(best, m)
			}
		}
	}
}

// placeRest places the models that found no room, wherever there is some.
func (a *Allocator) placeRest(p *Plan, slots []*slot, all []*planned) {
	for _, m := range all {
		if len(p.spots[m.Name]) > 0 {
			continue
		}
		if best := a.best(p, slots, m, func(*slot) bool { return true }, func(s *slot) float64 { return s.load }); best != nil {
			p.add(best, m)
		}
	}
}

// best returns the slot of the lowest cost among those allowed; weights at hand
// and the rendezvous order decide between equals.
func (a *Allocator) best(p *Plan, slots []*slot, m *planned, allowed func(*slot) bool, cost func(*slot) float64) *slot {
	var best *slot
	for _, s := range slots {
		if !p.fits(s, m) || !allowed(s) {
			continue
		}
		if best == nil || before(s, best, m, cost) {
			best = s
		}
	}
	return best
}

func before(x, y *slot, m *planned, cost func(*slot) float64) bool {
	if c, d := cost(x), cost(y); c != d {
		return c < d
	}
	if c, d := slices.Contains(x.Cached, m.Name), slices.Contains(y.Cached, m.Name); c != d {
		return c
	}
	return placer.Score(string(m.Name), string(x.ID)) > placer.Score(string(m.Name), string(y.ID))
}
