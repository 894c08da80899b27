package dispatcher

import (
	"time"

	"github.com/egretwall/egretwall/internal/estimator"
)

// minPaceEvents is the number of events below which an answer tells no pace, since the
// first ones may arrive together.
const minPaceEvents = 8

// maxRunnerPaces is the number of paces that are kept between two demand reports.
const maxRunnerPaces = 48

// RunnerPace is the pace of one answer relative to the other answers of its model.
type RunnerPace struct {
	Address string // of the runner
	Ratio   estimator.Percent
}

// recordPace records the mean time between the events of a complete answer for the
// estimates of what its model costs and how slow its runner is, and returns it. It is zero
// if the answer tells none: it had few events, or another send brought a part of it.
func (d *Dispatcher) recordPace(r *request, u *upstream, events int) time.Duration {
	if r.Model == "" || events < minPaceEvents || !r.sendBegan || r.Resumed || r.runs > 0 {
		return 0
	}
	pace := (d.now - r.beganAt) / time.Duration(events-1)
	d.paces.Add(d.now, r.Model, pace)
	if usual, ok := d.paces.Pace(d.now, r.Model); ok && len(d.runnerPaces) < maxRunnerPaces {
		d.runnerPaces = append(d.runnerPaces, RunnerPace{u.info.Address, estimator.Percent(100 * pace / usual)})
	}
	return pace
}

// TakeRunnerPaces returns the paces of answers since the last call.
func (d *Dispatcher) TakeRunnerPaces() []RunnerPace {
	all := d.runnerPaces
	d.runnerPaces = nil
	return all
}

// slowness returns how long the upstream takes for a token relative to others, 1 if that
// is not known.
func (u *upstream) slowness(now time.Duration) float64 {
	if u.report.Slowness <= 0 || !u.hasFreshReport(now) {
		return 1
	}
	return float64(u.report.Slowness) / 100
}

// startDelay returns the time from the last send to the beginning of its answer, zero if
// it has not begun.
func (r *request) startDelay() time.Duration {
	if !r.sendBegan {
		return 0
	}
	return r.beganAt - r.sentAt
}
