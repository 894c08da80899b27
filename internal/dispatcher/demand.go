package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Time constants over which arrivals are averaged: the fast one shows a shift
// of demand early, the slow one is steady.
const (
	fastLife = 800 * time.Millisecond
	slowLife = 2500 * time.Millisecond
)

// average is work that arrives a second, averaged over life.
type average struct {
	life  time.Duration
	value float64
	at    time.Duration
}

func (a *average) decay(now time.Duration) {
	a.value *= math.Exp(-float64(now-a.at) / float64(a.life))
	a.at = now
}

func (a *average) add(now time.Duration, work float64) {
	a.decay(now)
	a.value += work / a.life.Seconds()
}

// trend follows the demand for one model.
type trend struct {
	fast, slow, count average
}

func newTrend(now time.Duration) *trend {
	return &trend{average{fastLife, 0, now}, average{slowLife, 0, now}, average{fastLife, 0, now}}
}

func (t *trend) add(now time.Duration, work float64) {
	t.fast.add(now, work)
	t.slow.add(now, work)
	t.count.add(now, 1)
}

// Demand is what callers of one gateway ask of a model.
type Demand struct {
	Model          registrar.ModelName `json:"model"`
	WorkRate       float64             `json:"work"`              // a second, in prompt tokens, averaged over seconds
	RecentWorkRate float64             `json:"recent"`            // the same over less than a second
	RecentRequests float64             `json:"sample"`            // requests that Recent is from
	WaitingWork    float64             `json:"waiting,omitempty"` // work of the requests that wait for it
}

// outputCost is the work of an output token, in prompt tokens: what a step of a
// full batch costs for one request against reading a token of a prompt.
const outputCost = 3.5

// work estimates what a request costs a runner, in prompt tokens.
func (r *request) work() float64 {
	return float64(r.PromptTokens) + outputCost*float64(r.OutputTokens)
}

func (d *Dispatcher) observe(r *request) {
	if r.Model == "" {
		return
	}
	m := d.demand[r.Model]
	if m == nil {
		m = newTrend(d.now)
		d.demand[r.Model] = m
	}
	m.add(d.now, r.work())
}

// minDemand is the work a second below which a model counts as not asked for.
const minDemand = 100

// Demands lists what callers ask of models, by name.
func (d *Dispatcher) Demands(now time.Duration) []Demand {
	byModel := map[registrar.ModelName]*Demand{}
	for m, t := range d.demand {
		t.fast.decay(now)
		t.slow.decay(now)
		t.count.decay(now)
		if t.slow.value < minDemand {
			delete(d.demand, m)
			continue
		}
		byModel[m] = &Demand{
			Model: m, WorkRate: math.Round(t.slow.value), RecentWorkRate: math.Round(t.fast.value),
			RecentRequests: math.Round(10*t.count.value*fastLife.Seconds()) / 10,
		}
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
		for _, r := range waiting {
			m.WaitingWork += r.work()
		}
	}
	all := make([]Demand, 0, len(byModel))
	for _, m := range byModel {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Demand) int { return cmp.Compare(a.Model, b.Model) })
	return all
}
