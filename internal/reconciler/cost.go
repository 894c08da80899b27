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
