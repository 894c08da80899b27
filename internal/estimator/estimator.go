// Package estimator estimates what requests for each model cost the engines that run them,
// from the pace of the answers that gateways relay, and how many an engine can begin.
//
// Usage:
//
//	paces := estimator.NewPaces()
//	paces.Add(now, "tariff-nl", 21*time.Millisecond) // mean time between the events of an answer
//	pace, ok := paces.Pace(now, "tariff-nl")
//	costs := estimator.Costs(observations) // of all gateways
//
//	meter := estimator.StartMeter{}
//	meter.Observe(now, runs, waiting) // each time that the runner reports its requests
//	rate := meter.StartRate()         // answers per second, zero while it is unknown
//
// Engines run some models several times as fast as others, and no configuration says which.
// A gateway keeps the paces of the last answers and reports their median for each model
// with its demand. Stewards combine the reports of all gateways, so that they plan with the
// same costs and a gateway that relays few answers or has slow callers counts little.
// The steward of a runner gets the pace of each of its answers relative to the model's and
// reports the median as the runner's Slowness. From its runner's reports it measures the rate
// at which answers begin while requests wait, which bounds what gateways send. All is kept in
// memory and learned within seconds.
package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Limits of estimates.
const (
	minCost = 1.0 / 8
	maxCost = 8.0
)

// Models whose paces differ from the mean by less than sameCostRatio cost the same, since
// the load of runners changes the paces of answers as much. From distinctCostRatio on the
// whole difference counts, between them a part of it.
const (
	sameCostRatio     = 1.25
	distinctCostRatio = 1.6
)

// Observation is the pace of one model's answers at one gateway.
type Observation struct {
	Model  registrar.ModelName
	Pace   time.Duration // between the events of an answer
	Demand float64       // work that arrives a second at the gateway for the model
}

// Costs returns the cost of a unit of work for each observed model, relative to the mean of
// the observed models by demand. It is 1 for models of about that pace, and for all models
// if only one is observed.
func Costs(all []Observation) map[registrar.ModelName]float64 {
	byModel := map[registrar.ModelName][]Observation{}
	for _, o := range all {
		if o.Pace > 0 && o.Demand > 0 {
			byModel[o.Model] = append(byModel[o.Model], o)
		}
	}
	models := make([]registrar.ModelName, 0, len(byModel))
	for m := range byModel {
		models = append(models, m)
	}
	slices.Sort(models) // sums of floats depend on the order
	paces := make(map[registrar.ModelName]float64, len(models))
	weighted, demand := 0.0, 0.0
	for _, m := range models {
		pace, total := weightedMedian(byModel[m])
		paces[m] = float64(pace)
		weighted += float64(pace) * total
		demand += total
	}
	costs := make(map[registrar.ModelName]float64, len(models))
	for _, m := range models {
		costs[m] = damp(paces[m] * demand / weighted)
	}
	return costs
}

// weightedMedian returns the median pace, weighted by demand, and the sum of the demand.
func weightedMedian(all []Observation) (time.Duration, float64) {
	slices.SortFunc(all, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.Pace, b.Pace), cmp.Compare(a.Demand, b.Demand))
	})
	total := 0.0
	for _, o := range all {
		total += o.Demand
	}
	below := 0.0
	for _, o := range all {
		below += o.Demand
		if below >= total/2 {
			return o.Pace, total
		}
	}
	return all[len(all)-1].Pace, total
}

// damp returns the cost for a ratio of paces: 1 near 1, and continuous, so that small
// changes of the ratio don't move copies. It is 1 if the ratio is none, which reports with
// invalid numbers lead to.
func damp(ratio float64) float64 {
	if math.IsNaN(ratio) {
		return 1
	}
	same, distinct := math.Log(sameCostRatio), math.Log(distinctCostRatio)
	distance := math.Log(min(max(ratio, minCost), maxCost))
	share := (math.Abs(distance) - same) / (distinct - same)
	return math.Exp(distance * min(max(share, 0), 1))
}
