package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// demandLife is the time constant over which arrivals are averaged: short
// against a load of weights, long against a gap between requests.
const demandLife = 1500 * time.Millisecond

// rate averages work that arrives.
type rate struct {
	perSecond float64
	at        time.Duration
}

func (r *rate) decay(now time.Duration) {
	r.perSecond *= math.Exp(-float64(now-r.at) / float64(demandLife))
	r.at = now
}

func (r *rate) add(now time.Duration, work float64) {
	r.decay(now)
	r.perSecond += work / demandLife.Seconds()
}

// Demand is what callers of one gateway ask of a model.
type Demand struct {
	Service registrar.ServiceName `json:"service"`
	Model   registrar.ModelName   `json:"model"`
	Rate    float64               `json:"rate"`    // requests a second
	Waiting int                   `json:"waiting"` // requests that wait for it
	Target  time.Duration         `json:"target"`  // shortest target among those that wait
}

func (d *Dispatcher) observe(r *request) {
	if r.Model == "" {
		return
	}
	m := d.demand[r.Model]
	if m == nil {
		m = &rate{at: d.now}
		d.demand[r.Model] = m
	}
	m.add(d.now, 1)
}

// minDemand is the rate below which a model counts as not asked for.
const minDemand = 0.02

// Demands lists what callers ask of models, by name.
func (d *Dispatcher) Demands(now time.Duration) []Demand {
	byModel := map[registrar.ModelName]*Demand{}
	for m, r := range d.demand {
		r.decay(now)
		if r.perSecond < minDemand {
			delete(d.demand, m)
			continue
		}
		byModel[m] = &Demand{Model: m, Rate: r.perSecond}
	}
	for l, waiting := range d.lanes {
		if l.model == "" {
			continue
		}
		m := byModel[l.model]
		if m == nil {
			m = &Demand{Model: l.model}
			byModel[l.model] = m
		}
		m.Service = l.service
		m.Waiting += len(waiting)
		for _, r := range waiting {
			if m.Target == 0 || r.Route.Target < m.Target {
				m.Target = r.Route.Target
			}
		}
	}
	all := make([]Demand, 0, len(byModel))
	for _, m := range byModel {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Demand) int { return cmp.Compare(a.Model, b.Model) })
	return all
}
