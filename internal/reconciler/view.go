package reconciler

import (
	"slices"

	"github.com/egretwall/egretwall/internal/allocator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// serviceView is the known placement, demand and plan of the whole service.
type serviceView struct {
	holders map[registrar.ModelName][]registrar.UpstreamID // runners with the model resident, without peers that evict it
	loading map[registrar.ModelName]int                    // number of runners that are loading the model or have announced it
	demand  map[registrar.ModelName]float64                // forecast work rate times the cost of the model, in prompt tokens a second of a model of mean cost
	plan    *allocator.Plan
}

// evictable reports whether a runner may unload its copy: the plan assigns the model
// to other runners only, at least one of these holds it, and there are as many
// other copies as planned.
func (v *serviceView) evictable(m registrar.ModelName, runner registrar.UpstreamID) bool {
	if v.plan.Assigns(runner, m) {
		return false
	}
	others, planned := 0, false
	for _, u := range v.holders[m] {
		if u != runner {
			others++
			planned = planned || v.plan.Assigns(u, m)
		}
	}
	return planned && others >= len(v.plan.Runners(m))
}

// buildView combines the list, the reports of other stewards and the demand of all
// gateways, and recomputes the plan when it is older than planTTL.
func (r *Reconciler) buildView(e *registrar.Engine) *serviceView {
	v := &serviceView{
		holders: map[registrar.ModelName][]registrar.UpstreamID{}, loading: map[registrar.ModelName]int{},
		demand: map[registrar.ModelName]float64{},
	}
	totals := map[registrar.ModelName]modelDemand{}
	for _, reported := range r.demandByGateway {
		if r.now-reported.receivedAt > demandTTL {
			continue
		}
		for _, m := range reported.demands {
			d := totals[m.Model]
			d.slowRate += m.WorkRate
			d.fastRate += m.RecentWorkRate
			d.recentRequests += m.RecentRequests
			d.waitingWork += m.WaitingWork
			totals[m.Model] = d
		}
	}
	costs := r.modelCosts()
	for m, d := range totals {
		v.demand[m] = d.forecast()
		if cost, ok := costs[m]; ok {
			v.demand[m] *= cost
		}
	}
	var runners []allocator.Runner
	for _, u := range r.runners {
		if !r.serves(u) {
			continue
		}
		// Until the reports of all peers have had time to arrive after the start, their
		// stewards are presumed to run.
		runner := allocator.Runner{ID: u.ID, Memory: e.WeightMemory, Cached: slices.Concat(u.InHostMemory, u.OnHostDisk), Schedulable: r.schedulable(u), Slowness: r.slownessOf(u)}
		for _, resident := range r.residentsOf(u) {
			runner.Resident = append(runner.Resident, resident.Model)
			v.holders[resident.Model] = append(v.holders[resident.Model], u.ID)
		}
		if m := r.loadingOn(u); m != "" {
			runner.Resident = append(runner.Resident, m)
			v.loading[m]++
		}
		runners = append(runners, runner)
	}
	var models []allocator.Model
	for _, m := range e.Models {
		models = append(models, allocator.Model{Name: m.Name, WeightSize: m.WeightSize, Demand: v.demand[m.Name]})
	}
	if r.plan == nil || r.now-r.plannedAt >= planTTL {
		r.plan, r.plannedAt = planner.Plan(runners, models), r.now
	}
	v.plan = r.plan
	return v
}

// serves reports whether the models of a listed runner count. Its steward learns sooner
// than the list that it drains or was restarted. One that its steward can't reach counts,
// since most are back before a load elsewhere would end.
func (r *Reconciler) serves(u *registrar.Upstream) bool {
	if u.State != registrar.Ready {
		return false
	}
	if u == r.self {
		return !r.state.Draining
	}
	p := r.peers[u.Address]
	if p == nil || r.now-p.receivedAt >= peerReportTTL {
		return true
	}
	if p.report.Incarnation != u.Incarnation {
		return p.report.Incarnation < u.Incarnation
	}
	return !p.report.Draining
}

// schedulable reports whether a runner may get models that it does not hold. Its steward
// must report; until the reports of all peers have had time to arrive after the start,
// they are presumed to. A runner whose unload takes long can't load anything meanwhile.
func (r *Reconciler) schedulable(u *registrar.Upstream) bool {
	if u == r.self {
		return !r.unloading.longerThan(unloadPatience, r.now)
	}
	if p := r.recentPeer(u); p != nil {
		return !p.unloading.longerThan(unloadPatience, r.now)
	}
	return r.now-r.startedAt < peerReportTTL
}

// residentsOf returns the models resident at a runner, from its steward's report
// if there is a recent one, else from its list entry.
func (r *Reconciler) residentsOf(u *registrar.Upstream) []registrar.ResidentModel {
	if u == r.self {
		return r.state.Residents
	}
	if p := r.recentPeer(u); p != nil {
		return p.report.Residents
	}
	return u.Residents
}

// loadingOn returns the model that a runner is loading or, if it is a peer, has
// announced to load, empty without one.
func (r *Reconciler) loadingOn(u *registrar.Upstream) registrar.ModelName {
	if u == r.self {
		return r.loading
	}
	if p := r.recentPeer(u); p != nil {
		return p.report.Loading
	}
	return ""
}

// recentPeer returns the peer of a runner's current incarnation, nil when its last
// report has expired.
func (r *Reconciler) recentPeer(u *registrar.Upstream) *peer {
	p := r.peers[u.Address]
	if u == r.self || p == nil || p.report.Incarnation != u.Incarnation || r.now-p.receivedAt >= peerReportTTL {
		return nil
	}
	return p
}
