package reducer

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

type worldEngine struct {
	upstream  configurator.Upstream
	number    reserver.Number
	residents map[configurator.ModelName]configurator.Bytes
	loading   map[configurator.ModelName]configurator.Bytes
	flying    []flight
}

type flight struct {
	order   Order
	by      *agentProc
	expires time.Duration
	sent    time.Duration
	landed  bool
}

func (e *worldEngine) report() reserver.Report {
	r := reserver.Report{Number: e.number}
	for m, b := range e.residents {
		r.Residents = append(r.Residents, reserver.Item{Model: m, Bytes: b})
	}
	for m, b := range e.loading {
		r.Loading = append(r.Loading, reserver.Item{Model: m, Bytes: b})
	}
	return r
}

func (e *worldEngine) used() configurator.Bytes {
	var sum configurator.Bytes
	for _, b := range e.residents {
		sum += b
	}
	for _, b := range e.loading {
		sum += b
	}
	return sum
}

// land carries an order out, as a real engine would.
func (e *worldEngine) land(o Order) (Outcome, reserver.Number) {
	if e.upstream.Fenced && o.Number < e.number {
		return Refused, e.number
	}
	e.number = max(e.number, o.Number)
	switch o.Op {
	case reserver.Load:
		if e.residents[o.Model] == 0 && e.loading[o.Model] == 0 {
			e.loading[o.Model] = o.Bytes
		}
	case reserver.Unload:
		delete(e.residents, o.Model)
		delete(e.loading, o.Model)
	}
	return Taken, e.number
}

// expireFlights drops orders that were lost and tells agents of lost answers.
func (w *world) expireFlights(e *worldEngine) {
	for i := range e.flying {
		f := &e.flying[i]
		if f.by != nil && w.now-f.sent > callLimit {
			by := f.by
			f.by = nil
			w.counts["order answer lost"]++
			w.tellAgent(by, Ordered{Number: f.order.Number, Outcome: Unknown})
		}
	}
	e.flying = slices.DeleteFunc(e.flying, func(f flight) bool { return w.now >= f.expires })
}

func (w *world) landOne(e *worldEngine, i int, answer bool) {
	f := e.flying[i]
	outcome, highest := e.land(f.order)
	if f.by != nil && answer && !f.by.paused {
		e.flying = slices.Delete(e.flying, i, i+1)
		w.tellAgent(f.by, Ordered{Number: f.order.Number, Outcome: outcome, Highest: highest})
		return
	}
	e.flying[i].landed = true // may land a second time
}
