package reserver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// engine is a model of the real engine: orders arrive late, in any order,
// twice, or never.
type engine struct {
	fenced    bool
	number    OrderNumber
	residents map[configurator.ModelName]configurator.Bytes
	flying    []flying
}

type flying struct {
	order
	expires time.Duration
}

func (e *engine) land(o order) {
	if e.fenced && o.number < e.number {
		return
	}
	e.number = max(e.number, o.number)
	if o.op == Load {
		e.residents[o.item.Model] = o.item.Bytes
	}
	if o.op == Unload {
		delete(e.residents, o.item.Model)
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
	r := EngineReport{HighestNumber: e.number}
	for m, b := range e.residents {
		r.Residents = append(r.Residents, ModelSize{m, b})
	}
	return r
}

const testFlight = 5 * time.Second

// overcommits drives a ledger against a model of the engine and reports
// whether the engine's memory was ever exceeded.
func overcommits(t *rapid.T, forget bool) bool {
	fenced := rapid.Bool().Draw(t, "fenced")
	l := New(Config{Capacity: 100, Fenced: fenced, MaxDeliveryDelay: testFlight, ForgetLostOrders: forget})
	e := &engine{fenced: fenced, residents: map[configurator.ModelName]configurator.Bytes{}}
	var now time.Duration
	var number OrderNumber
	var pending *EngineReport
	var asked time.Duration
	l.Observe(e.report(), 0)
	models := []configurator.ModelName{"a", "b", "c", "d"}
	over := false
	for range rapid.IntRange(20, 100).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
		e.flying = deleteExpired(e.flying, now)
		m := models[rapid.IntRange(0, 3).Draw(t, "model")]
		switch rapid.SampledFrom([]string{"load", "unload", "land", "ask", "answer", "lose"}).Draw(t, "step") {
		case "load":
			number++
			if b := configurator.Bytes(40); l.ReserveLoad(now, number, m, b) {
				e.flying = append(e.flying, flying{order{number, Load, ModelSize{m, b}, now}, now + testFlight})
			}
		case "unload":
			number++
			if l.RecordUnload(now, number, m) {
				e.flying = append(e.flying, flying{order{number, Unload, ModelSize{m, 0}, now}, now + testFlight})
			}
		case "land":
			if n := len(e.flying); n > 0 {
				e.land(e.flying[rapid.IntRange(0, n-1).Draw(t, "which")].order)
			}
		case "ask":
			asked = now
			r := e.report()
			pending = &r
		case "answer":
			if pending != nil {
				l.Observe(*pending, asked)
			}
		case "lose":
			l.MarkLost(number)
		}
		over = over || e.used() > 100
	}
	return over
}

func deleteExpired(list []flying, now time.Duration) []flying {
	var kept []flying
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
