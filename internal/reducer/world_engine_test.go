package reducer

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// fakeEngine models the engine of a runner and the orders on their way to it.
type fakeEngine struct {
	upstream      configurator.Upstream
	highestNumber reserver.OrderNumber // of all orders applied
	residents     map[configurator.ModelName]configurator.Bytes
	loading       map[configurator.ModelName]configurator.Bytes
	inFlight      []sentOrder
}

// sentOrder is an order in flight.
type sentOrder struct {
	order     Order
	sender    *agentProc // nil once it was told that the response is lost
	expiresAt time.Duration
	sentAt    time.Duration
	applied   bool // the engine has applied it at least once
}

func (e *fakeEngine) report() reserver.EngineReport {
	r := reserver.EngineReport{HighestNumber: e.highestNumber}
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

// apply carries out an order. A fenced engine refuses a number below the highest one.
func (e *fakeEngine) apply(o Order) (OrderOutcome, reserver.OrderNumber) {
	if e.upstream.Fenced && o.Number < e.highestNumber {
		return OrderRefused, e.highestNumber
	}
	e.highestNumber = max(e.highestNumber, o.Number)
	switch o.Op {
	case reserver.Load:
		if e.residents[o.Model] == 0 && e.loading[o.Model] == 0 {
			e.loading[o.Model] = o.Bytes
		}
	case reserver.Unload:
		delete(e.residents, o.Model)
		delete(e.loading, o.Model)
	}
	return OrderAccepted, e.highestNumber
}

// expireOrders tells agents after orderResponseTimeout that the response to an order
// is lost, and drops expired orders.
func (w *world) expireOrders(e *fakeEngine) {
	for i := range e.inFlight {
		o := &e.inFlight[i]
		if o.sender != nil && w.now-o.sentAt > orderResponseTimeout {
			sender := o.sender
			o.sender = nil
			w.counts["order answer lost"]++
			w.tellAgent(sender, OrderCompleted{Number: o.order.Number, Outcome: OrderUnknown})
		}
	}
	e.inFlight = slices.DeleteFunc(e.inFlight, func(o sentOrder) bool { return w.now >= o.expiresAt })
}

// deliverOrder has an engine apply an order in flight and, with answer set, tells the
// sender the outcome. An order whose outcome can't be told stays in flight and may
// be applied again.
func (w *world) deliverOrder(e *fakeEngine, i int, answer bool) {
	o := e.inFlight[i]
	outcome, highest := e.apply(o.order)
	if o.sender != nil && answer && !o.sender.paused {
		e.inFlight = slices.Delete(e.inFlight, i, i+1)
		w.tellAgent(o.sender, OrderCompleted{Number: o.order.Number, Outcome: outcome, HighestSeen: highest})
		return
	}
	e.inFlight[i].applied = true
}
