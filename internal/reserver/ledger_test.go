package reserver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// engine is a simulated engine whose orders arrive late, in any order, twice, or
// never.
type engine struct {
	fenced        bool
	highestNumber OrderNumber
	residents     map[configurator.ModelName]configurator.Bytes
	inFlight      []inFlightOrder
}

// inFlightOrder is an order that the engine may execute until it expires.
type inFlightOrder struct {
	order
	expires time.Duration
}

func (e *engine) apply(o order) {
	if e.fenced && o.number < e.highestNumber {
		return
	}
	e.highestNumber = max(e.highestNumber, o.number)
	if o.op == Load {
		e.residents[o.target.Model] = o.target.Bytes
	}
	if o.op == Unload {
		delete(e.residents, o.target.Model)
	}
}

func (e *engine) used() configurator.Bytes {
	var sum configurator.Bytes
	for _, b := range e.residents {
		sum += b
	}
	return sum
}

func (e *engine) report() EngineReport {
	r := EngineReport{HighestNumber: e.highestNumber}
	for m, b := range e.residents {
		r.Residents = append(r.Residents, ModelSize{m, b})
	}
	return r
}

const testMaxDeliveryDelay = 5 * time.Second

// overcommits drives a ledger and a simulated engine with random steps and reports
// whether the resident models ever exceeded the engine's memory. The step "land"
// executes an order in flight, "ask" takes an engine report, "answer" delivers the
// last one, and "lose" loses the response to the last order.
func overcommits(t *rapid.T, forgetLostOrders bool) bool {
	fenced := rapid.Bool().Draw(t, "fenced")
	l := New(Config{Capacity: 100, Fenced: fenced, MaxDeliveryDelay: testMaxDeliveryDelay, ForgetLostOrders: forgetLostOrders})
	e := &engine{fenced: fenced, residents: map[configurator.ModelName]configurator.Bytes{}}
	var now time.Duration
	var number OrderNumber
	var report *EngineReport
	var requestedAt time.Duration
	l.Observe(e.report(), 0)
	models := []configurator.ModelName{"a", "b", "c", "d"}
	exceeded := false
	for range rapid.IntRange(20, 100).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
		e.inFlight = deleteExpired(e.inFlight, now)
		m := models[rapid.IntRange(0, 3).Draw(t, "model")]
		switch rapid.SampledFrom([]string{"load", "unload", "land", "ask", "answer", "lose"}).Draw(t, "step") {
		case "load":
			number++
			if b := configurator.Bytes(40); l.ReserveLoad(now, number, m, b) {
				e.inFlight = append(e.inFlight, inFlightOrder{order{number, Load, ModelSize{m, b}, now}, now + testMaxDeliveryDelay})
			}
		case "unload":
			number++
			if l.RecordUnload(now, number, m) {
				e.inFlight = append(e.inFlight, inFlightOrder{order{number, Unload, ModelSize{m, 0}, now}, now + testMaxDeliveryDelay})
			}
		case "land":
			if n := len(e.inFlight); n > 0 {
				e.apply(e.inFlight[rapid.IntRange(0, n-1).Draw(t, "which")].order)
			}
		case "ask":
			requestedAt = now
			r := e.report()
			report = &r
		case "answer":
			if report != nil {
				l.Observe(*report, requestedAt)
			}
		case "lose":
			l.MarkLost(number)
		}
		exceeded = exceeded || e.used() > 100
	}
	return exceeded
}

func deleteExpired(list []inFlightOrder, now time.Duration) []inFlightOrder {
	var kept []inFlightOrder
	for _, f := range list {
		if f.expires > now {
			kept = append(kept, f)
		}
	}
	return kept
}

func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.False(t, overcommits(t, false))
	})
}

func TestForgettingUnresolvedOrdersOvercommits(t *testing.T) {
	caught := false
	rapid.Check(t, func(t *rapid.T) {
		caught = caught || overcommits(t, true)
	})
	require.True(t, caught, "the check misses a ledger that forgets unresolved orders")
}
