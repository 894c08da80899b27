// Package allocator plans which model runner holds which models.
//
// Usage:
//
//	plan := allocator.New(allocator.Config{Hysteresis: 1.3}).Plan(runners, models)
//	for _, m := range plan.Models(runner) { ... }
//
// The plan is a deterministic function of its arguments, so that stewards with
// the same view agree without messages. It is made for skewed demand: a few
// models get most of the work, and which ones they are changes within seconds,
// while many models get little but must stay available. Models with little
// demand get one copy each, spread so that every runner keeps memory for a busy
// model; the remaining memory goes to further copies of the models with the most
// demand per copy. Resident models stay on their runners unless that unbalances
// the load.
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
	// Hysteresis multiplies the value of a copy that is already resident. Above 1
	// it keeps copies from moving between models of similar demand.
	Hysteresis float64
	// DemandExponent is the power of the demand to which the number of copies is
	// proportional. Below 1 models with less demand get more copies than their share.
	DemandExponent float64
	// MinDemandPerCopy is the demand per planned copy below which a model gets no
	// further copy, in the unit of Model.Demand.
	MinDemandPerCopy float64
}

// Runner is a model runner with its memory and the weights it has.
type Runner struct {
	ID          registrar.UpstreamID
	Memory      registrar.Megabytes
	Resident    []registrar.ModelName // in accelerator memory or being loaded
	Cached      []registrar.ModelName // weights in host memory or on host disk, quick to load
	Slowness    float64               // time that it takes for a unit of work, of that of others; zero or 1 for the usual speed
	Schedulable bool                  // may get models that are not resident, because its steward reports or is presumed to
}

// Model is a model with its size and its demand.
type Model struct {
	Name       registrar.ModelName
	WeightSize registrar.Megabytes // size in memory
	Demand     float64             // work per second, in any unit common to all models
}

// Plan assigns models to runners.
type Plan struct {
	modelsByRunner map[registrar.UpstreamID][]registrar.ModelName
	runnersByModel map[registrar.ModelName][]registrar.UpstreamID
}

// Models lists the models assigned to a runner in the order of assignment: in
// general models with one copy come first, then those with several copies by
// descending demand. The caller must not modify the result.
func (p *Plan) Models(r registrar.UpstreamID) []registrar.ModelName {
	return p.modelsByRunner[r]
}

// Runners lists the runners to which a model is assigned. The caller must not
// modify the result.
func (p *Plan) Runners(m registrar.ModelName) []registrar.UpstreamID {
	return p.runnersByModel[m]
}

// Assigns reports whether a model is assigned to a runner.
func (p *Plan) Assigns(r registrar.UpstreamID, m registrar.ModelName) bool {
	return slices.Contains(p.modelsByRunner[r], m)
}

// Allocator computes plans. It keeps no state between them.
type Allocator struct {
	cfg Config
}

// New returns an allocator with the given parameters.
func New(cfg Config) *Allocator {
	return &Allocator{cfg: cfg}
}

// runnerState is a runner with what the plan has assigned to it so far.
type runnerState struct {
	Runner
	freeMemory     registrar.Megabytes
	singleCopies   int     // assigned models that have a single copy
	maxSingle      int     // bound of singleCopies, except for models that fit nowhere else
	assignedDemand float64 // sum of the demand per copy of the assigned models
}

// plannedModel is a model with its present and planned number of copies.
type plannedModel struct {
	Model
	copies         int // planned
	residentCopies int // resident or being loaded
}

// Plan assigns the models to the runners: first the models with a single copy, then
// those with several copies, then those that did not fit anywhere before. Models
// that fit on no runner are not assigned.
func (a *Allocator) Plan(runners []Runner, models []Model) *Plan {
	p := &Plan{modelsByRunner: map[registrar.UpstreamID][]registrar.ModelName{}, runnersByModel: map[registrar.ModelName][]registrar.UpstreamID{}}
	if len(runners) == 0 {
		return p
	}
	states := make([]*runnerState, 0, len(runners))
	for _, r := range runners {
		states = append(states, &runnerState{Runner: r, freeMemory: r.Memory})
	}
	slices.SortFunc(states, func(x, y *runnerState) int { return cmp.Compare(x.ID, y.ID) })
	all := a.planCopies(states, models)
	singleCopies := 0
	for _, m := range all {
		if m.copies == 1 {
			singleCopies++
		}
	}
	shareSingleCopies(states, singleCopies, largestOf(models))
	a.placeSingleCopies(p, states, all)
	a.placeReplicated(p, states, all)
	a.placeRemaining(p, states, all)
	return p
}

// storeLoadDemandCost is the cost, in demand, of a load from the weight store: the demand
// of one copy, or 0 if the runner has the weights. A runner that has them is thus
// preferred until its assigned demand exceeds that of others by one copy's demand.
func (m *plannedModel) storeLoadDemandCost(s *runnerState) float64 {
	if slices.Contains(s.Resident, m.Name) || slices.Contains(s.Cached, m.Name) {
		return 0
	}
	return m.Demand / float64(m.copies)
}

// storeLoadCountCost is the cost of a load from the weight store for a model with a single
// copy, in number of models, or 0 if the runner has the weights.
func (m *plannedModel) storeLoadCountCost(s *runnerState) float64 {
	if slices.Contains(s.Resident, m.Name) || slices.Contains(s.Cached, m.Name) {
		return 0
	}
	return 1
}

// planCopies decides on the number of copies of each model and returns the models
// by descending demand. It counts every copy as large as the largest model.
func (a *Allocator) planCopies(states []*runnerState, models []Model) []*plannedModel {
	var totalMemory registrar.Megabytes
	largest := largestOf(models)
	all := make([]*plannedModel, 0, len(models))
	for _, m := range models {
		all = append(all, &plannedModel{Model: m, copies: 1})
	}
	for _, s := range states {
		totalMemory += s.Memory
	}
	slices.SortFunc(all, func(x, y *plannedModel) int {
		return cmp.Or(cmp.Compare(y.Demand, x.Demand), cmp.Compare(x.Name, y.Name))
	})
	if largest <= 0 {
		return all
	}
	for _, m := range all {
		for _, s := range states {
			if slices.Contains(s.Resident, m.Name) {
				m.residentCopies++
			}
		}
	}
	extraCopies := int(totalMemory/largest) - len(all)
	for ; extraCopies > 0; extraCopies-- {
		best := a.nextToReplicate(all, len(states))
		if best == nil {
			break
		}
		best.copies++
	}
	return all
}

// nextToReplicate returns the model with the highest value of a further copy, nil
// if none may have one.
func (a *Allocator) nextToReplicate(all []*plannedModel, maxCopies int) *plannedModel {
	var best *plannedModel
	var bestValue float64
	for _, m := range all {
		if m.copies >= maxCopies || m.Demand < a.cfg.MinDemandPerCopy*float64(m.copies) {
			continue
		}
		value := math.Pow(m.Demand, a.cfg.DemandExponent) / float64(m.copies)
		if m.copies < m.residentCopies {
			value *= a.cfg.Hysteresis
		}
		if best == nil || value > bestValue {
			best, bestValue = m, value
		}
	}
	return best
}

// assign adds a copy of the model to the runner.
func (p *Plan) assign(s *runnerState, m *plannedModel) {
	s.freeMemory -= m.WeightSize
	s.assignedDemand += m.Demand / float64(m.copies)
	if m.copies == 1 {
		s.singleCopies++
	}
	p.modelsByRunner[s.ID] = append(p.modelsByRunner[s.ID], m.Name)
	p.runnersByModel[m.Name] = append(p.runnersByModel[m.Name], s.ID)
}

// fits reports whether a copy of the model can be assigned to the runner.
func (p *Plan) fits(s *runnerState, m *plannedModel) bool {
	return s.freeMemory >= m.WeightSize && !p.Assigns(s.ID, m.Name) && (s.Schedulable || slices.Contains(s.Resident, m.Name))
}

// placeSingleCopies places the models with a single copy, at most maxSingle on a
// runner. The first pass keeps models on runners where they are resident, the second
// places the others.
func (a *Allocator) placeSingleCopies(p *Plan, states []*runnerState, all []*plannedModel) {
	// Models resident on the fewest runners come first, because they have the
	// fewest runners to stay on.
	byResidentCopies := slices.Clone(all)
	slices.SortStableFunc(byResidentCopies, func(x, y *plannedModel) int { return cmp.Compare(x.residentCopies, y.residentCopies) })
	for _, residentOnly := range []bool{true, false} {
		for _, m := range byResidentCopies {
			if m.copies != 1 || len(p.runnersByModel[m.Name]) > 0 {
				continue
			}
			best := a.cheapestRunner(p, states, m, func(s *runnerState) bool {
				return s.singleCopies < s.maxSingle && (!residentOnly || slices.Contains(s.Resident, m.Name))
			}, func(s *runnerState) float64 { return float64(s.singleCopies-s.maxSingle) + m.storeLoadCountCost(s) })
			if best != nil {
				p.assign(best, m)
			}
		}
	}
}

// placeReplicated places the models with several copies, first on runners where
// they are resident, then on others.
func (a *Allocator) placeReplicated(p *Plan, states []*runnerState, all []*plannedModel) {
	for _, m := range all {
		if m.copies == 1 {
			continue
		}
		for _, residentOnly := range []bool{true, false} {
			for len(p.runnersByModel[m.Name]) < m.copies {
				best := a.cheapestRunner(p, states, m, func(s *runnerState) bool {
					return !residentOnly || slices.Contains(s.Resident, m.Name)
				}, func(s *runnerState) float64 { return s.workTime(m) + m.storeLoadDemandCost(s) })
				if best == nil {
					break
				}
				p.assign(best, m)
			}
		}
	}
}

// placeRemaining places one copy of each model that has none yet on any runner where
// it fits, without the limit on single copies.
func (a *Allocator) placeRemaining(p *Plan, states []*runnerState, all []*plannedModel) {
	for _, m := range all {
		if len(p.runnersByModel[m.Name]) > 0 {
			continue
		}
		if best := a.cheapestRunner(p, states, m, func(*runnerState) bool { return true }, func(s *runnerState) float64 { return s.assignedDemand }); best != nil {
			p.assign(best, m)
		}
	}
}

// cheapestRunner returns the allowed runner with the lowest cost where the model fits,
// nil if there is none.
func (a *Allocator) cheapestRunner(p *Plan, states []*runnerState, m *plannedModel, allowed func(*runnerState) bool, cost func(*runnerState) float64) *runnerState {
	var best *runnerState
	for _, s := range states {
		if !p.fits(s, m) || !allowed(s) {
			continue
		}
		if best == nil || preferred(s, best, m, cost) {
			best = s
		}
	}
	return best
}

// preferred reports whether x is a better runner for the model than y. At equal cost
// a runner with cached weights is better, then the one with the higher rendezvous
// score.
func preferred(x, y *runnerState, m *plannedModel, cost func(*runnerState) float64) bool {
	if c, d := cost(x), cost(y); c != d {
		return c < d
	}
	if c, d := slices.Contains(x.Cached, m.Name), slices.Contains(y.Cached, m.Name); c != d {
		return c
	}
	return placer.Score(string(m.Name), string(x.ID)) > placer.Score(string(m.Name), string(y.ID))
}
