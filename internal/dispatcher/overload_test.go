package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

// When one runner becomes free, all gateways see it; each takes its part only.
func TestGatewaysDoNotAllFillTheSameFreeRunner(t *testing.T) {
	k := newDesk(t)
	all := k.list(runners, 1, "m")
	k.reduce(Reported{Report{Address: all[0].Address, Residents: []registrar.ResidentModel{{Model: "m"}}, Gateways: 6}})
	sent := 0
	for range 60 {
		_, effects := k.ask(route(registrar.Streaming, 2), "m")
		for _, e := range effects {
			if _, ok := e.(Send); ok {
				sent++
			}
		}
	}
	require.Positive(t, sent)
	require.LessOrEqual(t, 6*sent, 64)
}

// Requests for many adapters of one model wait for the same slots.
func TestOverloadOfManyAdaptersIsRefusedOnArrival(t *testing.T) {
	k := newDesk(t)
	all := k.list(runners, 1, "m")
	var adapters []registrar.AdapterName
	for i := range 40 {
		adapters = append(adapters, registrar.AdapterName(fmt.Sprint("a", i)))
	}
	k.reduce(Reported{Report{Address: all[0].Address, Gateways: 1, Running: 64, Waiting: 9, Residents: []registrar.ResidentModel{{Model: "m", Adapters: adapters}}}})
	refused := 0
	for _, a := range adapters {
		k.next++
		for _, e := range k.reduce(Arrived{Request{ID: k.next, Route: route(registrar.Streaming, 2), Service: runners, Model: "m", Adapter: a, Deadline: k.now + 4*time.Second}}) {
			if _, ok := e.(Fail); ok {
				refused++
			}
		}
	}
	require.Greater(t, refused, 30)
}

// With more requests than slots, those whose wait would outlast their caller
// are refused on arrival and told when to come back.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	k := newDesk(t)
	all := k.list(runners, 1, "m")
	holdings := []registrar.ResidentModel{{Model: "m"}}
	report := func(running, waiting int) []Effect {
		return k.reduce(Reported{Report{Address: all[0].Address, Residents: holdings, Gateways: 1, Running: running, Waiting: waiting}})
	}
	report(0, 0)
	var open []Send
	for range 8 {
		_, effects := k.ask(route(registrar.Streaming, 2), "m")
		open = append(open, k.sent(effects))
	}
	refused := 0
	for range 60 {
		report(64, 9)
		_, effects := k.ask(route(registrar.Streaming, 2), "m")
		for _, e := range effects {
			if a, ok := e.(Fail); ok {
				require.Equal(t, classifier.Busy, a.Kind)
				require.GreaterOrEqual(t, a.RetryAfter, retryFloor)
				refused++
			}
		}
	}
	require.Positive(t, refused)
	require.Less(t, refused, 60, "some may wait")
	require.Len(t, open, 8)
}

// A gateway that stops gives what still waits a final answer before its end.
func TestStopRefusesWhatStillWaits(t *testing.T) {
	k := newDesk(t)
	all := k.list(runners, 1, "m")
	full := Reported{Report{Address: all[0].Address, Residents: []registrar.ResidentModel{{Model: "m"}}, Gateways: 1, Running: 64, Waiting: 9}}
	require.Empty(t, k.reduce(full))
	patient := route(registrar.Streaming, 1)
	patient.TargetLatency, patient.Timeout = 4*time.Second, 20*time.Second
	k.next++
	require.Empty(t, k.reduce(Arrived{Request{ID: k.next, Route: patient, Service: runners, Model: "m", Deadline: 20 * time.Second}}))
	require.Empty(t, k.reduce(Stopping{RefuseAt: 3 * time.Second}))
	for ; k.now < 3*time.Second-timeoutSlack; k.now += TickPeriod {
		require.Empty(t, k.reduce(full))
		require.Empty(t, k.reduce(Tick{}))
	}
	answer := k.answered(k.reduce(Tick{}))
	require.Equal(t, classifier.Leaving, answer.Kind)
	require.Positive(t, answer.RetryAfter)
}

// An adapter whose runner is full is wanted at another runner of the model that
// has room; where none has, it would take a place from others for nothing.
func TestAdapterOfAFullRunnerIsWantedElsewhere(t *testing.T) {
	for _, c := range []struct {
		running int // at the runners without the adapter
		want    bool
	}{{10, true}, {64, false}} {
		k := newDesk(t)
		all := k.list(runners, 3, "m")
		for i, u := range all {
			rep := Report{Address: u.Address, Gateways: 1, Running: c.running, Residents: []registrar.ResidentModel{{Model: "m"}}}
			if i == 0 {
				rep.Running, rep.Residents[0].Adapters = 64, []registrar.AdapterName{"a"}
			}
			k.reduce(Reported{rep})
		}
		k.next++
		effects := k.reduce(Arrived{Request{ID: k.next, Route: route(registrar.Streaming, 2), Service: runners, Model: "m", Adapter: "a", Deadline: 4 * time.Second}})
		if !c.want {
			require.Empty(t, effects)
			continue
		}
		require.Len(t, effects, 1)
		want, ok := effects[0].(LoadAdapter)
		require.True(t, ok, "%#v", effects[0])
		require.NotEqual(t, all[0].Address, want.Address)
	}
}
