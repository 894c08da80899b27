package reconciler

import (
	"slices"

	"github.com/egretwall/egretwall/internal/allocator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// view is what a steward knows of all runners of the service.
type view struct {
	holders map[registrar.ModelName][]registrar.UpstreamID // that don't give the model up
	coming  map[registrar.ModelName]int                    // being loaded
	work    map[registrar.ModelName]float64
	plan    *allocator.Plan
}

// spare tells whether a runner's copy may go: the plan has the model elsewhere
// only, and as many others hold it as the plan asks for.
func (v *view) spare(m registrar.ModelName, self registrar.UpstreamID) bool {
	if v.plan.Assigns(self, m) {
		return false
	}
	others, planned := 0, false
	for _, u := range v.holders[m] {
		if u != self {
			others++
			planned = planned || v.plan.Assigns(u, m)
		}
	}
	return planned && others >= len(v.plan.Runners(m))
}

// view plans for the runners of the list and the demand of the gateways.
func (s *Reconciler) view(e *registrar.Engine) *view {
	v := &view{
		holders: map[registrar.ModelName][]registrar.UpstreamID{}, coming: map[registrar.ModelName]int{},
		work: map[registrar.ModelName]float64{},
	}
	totals := map[registrar.ModelName]forecast{}
	for _, d := range s.demands {
		if s.now-d.at > demandLife {
			continue
		}
		for _, m := range d.all {
			f := totals[m.Model]
			f.steady += m.WorkRate
			f.recent += m.RecentWorkRate
			f.sample += m.RecentRequests
			f.waiting += m.WaitingWork
			totals[m.Model] = f
		}
	}
	for m, f := range totals {
		v.work[m] = f.work()
	}
	var runners []allocator.Runner
	for _, u := range s.peers {
		if u.State != registrar.Ready {
			continue
		}
		r := allocator.Runner{ID: u.ID, Memory: e.WeightMemory, Cached: slices.Concat(u.InHostMemory, u.OnHostDisk), Schedulable: u == s.self || s.peerOf(u) != nil || s.now-s.born < peerLife}
		for _, h := range s.holdingsOf(u) {
			r.Resident = append(r.Resident, h.Model)
			v.holders[h.Model] = append(v.holders[h.Model], u.ID)
		}
		if m := s.loadingAt(u); m != "" {
			r.Resident = append(r.Resident, m)
			v.coming[m]++
		}
		runners = append(runners, r)
	}
	var models []allocator.Model
	for _, m := range e.Models {
		models = append(models, allocator.Model{Name: m.Name, Weights: m.WeightSize, Demand: v.work[m.Name]})
	}
	if s.plan == nil || s.now-s.planned >= planLife {
		s.plan, s.planned = planner.Plan(runners, models), s.now
	}
	v.plan = s.plan
	return v
}

// holdingsOf prefers what a runner's steward says to its entry in the list.
func (s *Reconciler) holdingsOf(u *registrar.Upstream) []registrar.ResidentModel {
	if u == s.self {
		return s.state.Residents
	}
	if p := s.peerOf(u); p != nil {
		return p.report.Residents
	}
	return u.Residents
}

// loadingAt returns the model that a runner is loading, empty when none is.
func (s *Reconciler) loadingAt(u *registrar.Upstream) registrar.ModelName {
	if u == s.self {
		return s.loading
	}
	if p := s.peerOf(u); p != nil {
		return p.report.Loading
	}
	return ""
}

// peerOf returns what the steward of a runner said lately, nil when it is silent.
func (s *Reconciler) peerOf(u *registrar.Upstream) *peer {
	p := s.others[u.Address]
	if u == s.self || p == nil || p.report.Incarnation != u.Incarnation || s.now-p.at >= peerLife {
		return nil
	}
	return p
}
