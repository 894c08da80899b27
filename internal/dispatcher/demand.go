package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Time constants of the averages of demand: the fast one shows a shift of demand
// early, the slow one fluctuates less.
const (
	fastTimeConstant = 800 * time.Millisecond
	slowTimeConstant = 2500 * time.Millisecond
)

// decayingRate is an exponentially decaying value. With add it is the rate per second
// of the added amounts, averaged over timeConstant.
type decayingRate struct {
	timeConstant time.Duration
	value        float64
	updatedAt    time.Duration
}

func (r *decayingRate) decay(now time.Duration) {
	r.value *= math.Exp(-float64(now-r.updatedAt) / float64(r.timeConstant))
	r.updatedAt = now
}

func (r *decayingRate) add(now time.Duration, amount float64) {
	r.decay(now)
	r.value += amount / r.timeConstant.Seconds()
}

// demandRate averages the demand for one model.
type demandRate struct {
	fastWork, slowWork, arrivals decayingRate // work, work and requests per second
}

func newDemandRate(now time.Duration) *demandRate {
	return &demandRate{decayingRate{fastTimeConstant, 0, now}, decayingRate{slowTimeConstant, 0, now}, decayingRate{fastTimeConstant, 0, now}}
}

func (r *demandRate) add(now time.Duration, work float64) {
	r.fastWork.add(now, work)
	r.slowWork.add(now, work)
	r.arrivals.add(now, 1)
}

// Demand is the demand of one gateway's callers for a model. The unit of work is
// the cost of one prompt token.
type Demand struct {
	Model          registrar.ModelName `json:"model"`
	WorkRate       float64             `json:"work"`              // work of arriving requests per second, averaged over seconds
	RecentWorkRate float64             `json:"recent"`            // the same, averaged over less than a second
	RecentRequests float64             `json:"sample"`            // requests that count towards RecentWorkRate
	WaitingWork    float64             `json:"waiting,omitempty"` // work of the requests that wait at the gateway
	Pace           time.Duration       `json:"pace,omitempty"`    // median time between events of the last answers, zero if it is unknown
}

// outputTokenCost is the work of an output token: one request's share in a decoding
// step of a full batch, relative to the prefill of one prompt token.
const outputTokenCost = 3.5

// work estimates the cost of a request to a runner, in prompt tokens.
func (r *request) work() float64 {
	return float64(r.PromptTokens) + outputTokenCost*float64(r.OutputTokens)
}

// recordDemand adds an arrived request to the demand for its model.
func (d *Dispatcher) recordDemand(r *request) {
	if r.Model == "" {
		return
	}
	rate := d.demandByModel[r.Model]
	if rate == nil {
		rate = newDemandRate(d.now)
		d.demandByModel[r.Model] = rate
	}
	rate.add(d.now, r.work())
}

// minWorkRate is the work per second below which a model counts as unused.
const minWorkRate = 100

// Demands returns the demand for each model that was requested lately or that
// requests wait for, in the order of model names.
func (d *Dispatcher) Demands(now time.Duration) []Demand {
	byModel := map[registrar.ModelName]*Demand{}
	for m, rate := range d.demandByModel {
		rate.fastWork.decay(now)
		rate.slowWork.decay(now)
		rate.arrivals.decay(now)
		if rate.slowWork.value < minWorkRate {
			delete(d.demandByModel, m)
			continue
		}
		byModel[m] = &Demand{
			Model: m, WorkRate: math.Round(rate.slowWork.value), RecentWorkRate: math.Round(rate.fastWork.value),
			RecentRequests: math.Round(10*rate.arrivals.value*fastTimeConstant.Seconds()) / 10,
		}
	}
	for key, waiting := range d.queues {
		if key.model == "" {
			continue
		}
		demand := byModel[key.model]
		if demand == nil {
			demand = &Demand{Model: key.model}
			byModel[key.model] = demand
		}
		for _, r := range waiting {
			demand.WaitingWork += r.work()
		}
	}
	all := make([]Demand, 0, len(byModel))
	for _, demand := range byModel {
		demand.Pace, _ = d.paces.Pace(now, demand.Model)
		all = append(all, *demand)
	}
	slices.SortFunc(all, func(a, b Demand) int { return cmp.Compare(a.Model, b.Model) })
	return all
}
