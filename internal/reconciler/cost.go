package reconciler

import (
	"github.com/egretwall/egretwall/internal/estimator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// modelCosts returns what a unit of work for each model costs its engine, from the paces
// that gateways report. A model without an entry costs as much as the mean.
func (r *Reconciler) modelCosts() map[registrar.ModelName]float64 {
	var all []estimator.Observation
	for _, reported := range r.demandByGateway {
		if r.now-reported.receivedAt > demandTTL {
			continue
		}
		for _, m := range reported.demands {
			all = append(all, estimator.Observation{Model: m.Model, Pace: m.Pace, Demand: m.WorkRate})
		}
	}
	return estimator.Costs(all)
}

// slownessOf returns how long a runner takes for a unit of work relative to others, 1 if
// that is not known.
func (r *Reconciler) slownessOf(u *registrar.Upstream) float64 {
	slowness := estimator.Percent(0)
	if u == r.self {
		slowness = r.slowness.Value(r.now)
	} else if p := r.recentPeer(u); p != nil {
		slowness = p.report.Slowness
	}
	if slowness <= 0 {
		return 1
	}
	return float64(slowness) / 100
}

// Slowness returns how long the runner takes for a unit of work relative to others, zero
// if that is not known.
func (r *Reconciler) Slowness() estimator.Percent {
	return r.slowness.Value(r.now)
}
