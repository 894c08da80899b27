package reducer

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

type fakeEngine struct {
	upstream  configurator.Upstream
	number    reserver.OrderNumber
	residents map[configurator.ModelName]configurator.Bytes
	loading   map[configurator.ModelName]configurator.Bytes
	inFlight  []sentOrder
}

type sentOrder struct {
	order     Order
	sender    *agentProc
	expiresAt time.Duration
	sentAt    time.Duration
	applied   bool
}

func (e *fakeEngine) report() reserver.EngineReport {
	r := reserver.EngineReport{HighestNumber: e.number}
	for m, b := range e.residents {
		r.Residents = append(r.Residents, reserver.ModelSize{Model: m, Bytes: b})
	}
	for m, b := range e.loading {
		r.Loading = append(r.Loading, reserver.ModelSize{Model: m, Bytes: b})
	}
	return r
}

func (e *fakeEngine) used() configurator.Bytes {
	var sum configurator.Bytes
	for _, b := range e.residents {
		sum += b
	}
	for _, b := range e.loading {
		sum += b
	}
	return sum
}

// apply carries an order out, as a real engine would.
func (e *fakeEngine) apply(o Order) (OrderOutcome, reserver.OrderNumber) {
	if e.upstream.Fenced && o.Number < e.number {
		return OrderRefused, e.number
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
	return OrderAccepted, e.number
}

// expireOrders drops orders that were lost and tells agents of lost answers.
func (w *world) expireOrders(e *fakeEngine) {
	for i := range e.inFlight {
		f := &e.inFlight[i]
		if f.sender != nil && w.now-f.sentAt > orderAnswerTimeout {
			by := f.sender
			f.sender = nil
			w.counts["order answer lost"]++
			w.tellAgent(by, OrderCompleted{Number: f.order.Number, Outcome: OrderUnknown})
		}
	}
	e.inFlight = slices.DeleteFunc(e.inFlight, func(f sentOrder) bool { return w.now >= f.expiresAt })
}

func (w *world) deliverOrder(e *fakeEngine, i int, answer bool) {
	f := e.inFlight[i]
	outcome, highest := e.apply(f.order)
	if f.sender != nil && answer && !f.sender.paused {
		e.inFlight = slices.Delete(e.inFlight, i, i+1)
		w.tellAgent(f.sender, OrderCompleted{Number: f.order.Number, Outcome: outcome, HighestSeen: highest})
		return
	}
	e.inFlight[i].applied = true // may land a second time
}
