package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

// All gateways see at the same time that a runner has free slots. Each must take its
// part only, or the runner gets several times as many requests as it has slots.
func TestGatewaysDoNotAllFillTheSameFreeRunner(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(runnerService, 1, "m")
	h.reduce(Reported{Report{Address: all[0].Address, Residents: []registrar.ResidentModel{{Model: "m"}}, Gateways: 6}})
	sent := 0
	for range 60 {
		_, effects := h.submit(route(registrar.Streaming, 2), "m")
		for _, e := range effects {
			if _, ok := e.(Send); ok {
				sent++
			}
		}
	}
	require.Positive(t, sent)
	require.LessOrEqual(t, 6*sent, 64)
}

// Requests for many adapters of one model wait for the same slots, so the wait must be
// estimated over the queues of all adapters.
func TestOverloadOfManyAdaptersIsRefusedOnArrival(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(runnerService, 1, "m")
	var adapters []registrar.AdapterName
	for i := range 40 {
		adapters = append(adapters, registrar.AdapterName(fmt.Sprint("a", i)))
	}
	h.reduce(Reported{Report{Address: all[0].Address, Gateways: 1, Running: 64, Waiting: 9, Residents: []registrar.ResidentModel{{Model: "m", Adapters: adapters}}}})
	refused := 0
	for _, a := range adapters {
		h.lastID++
		for _, e := range h.reduce(Arrived{Request{ID: h.lastID, Route: route(registrar.Streaming, 2), Service: runnerService, Model: "m", Adapter: a, Deadline: h.now + 4*time.Second}}) {
			if _, ok := e.(Fail); ok {
				refused++
			}
		}
	}
	require.Greater(t, refused, 30)
}

// Under overload, requests whose estimated wait exceeds their callers' patience must
// be refused on arrival with a Retry-After.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(runnerService, 1, "m")
	residents := []registrar.ResidentModel{{Model: "m"}}
	report := func(running, waiting int) []Effect {
		return h.reduce(Reported{Report{Address: all[0].Address, Residents: residents, Gateways: 1, Running: running, Waiting: waiting}})
	}
	report(0, 0)
	var open []Send
	for range 8 {
		_, effects := h.submit(route(registrar.Streaming, 2), "m")
		open = append(open, h.requireSend(effects))
	}
	refused := 0
	for range 60 {
		report(64, 9)
		_, effects := h.submit(route(registrar.Streaming, 2), "m")
		for _, e := range effects {
			if a, ok := e.(Fail); ok {
				require.Equal(t, classifier.Busy, a.Kind)
				require.GreaterOrEqual(t, a.RetryAfter, minRetryAfter)
				refused++
			}
		}
	}
	require.Positive(t, refused)
	require.Less(t, refused, 60, "a few requests may wait")
	require.Len(t, open, 8)
}

// A gateway that shuts down must refuse the requests that still wait shortly before
// RefuseAt.
func TestStopRefusesWhatStillWaits(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(runnerService, 1, "m")
	full := Reported{Report{Address: all[0].Address, Residents: []registrar.ResidentModel{{Model: "m"}}, Gateways: 1, Running: 64, Waiting: 9}}
	require.Empty(t, h.reduce(full))
	longTarget := route(registrar.Streaming, 1)
	longTarget.TargetLatency, longTarget.Timeout = 4*time.Second, 20*time.Second
	h.lastID++
	require.Empty(t, h.reduce(Arrived{Request{ID: h.lastID, Route: longTarget, Service: runnerService, Model: "m", Deadline: 20 * time.Second}}))
	require.Empty(t, h.reduce(Stopping{RefuseAt: 3 * time.Second}))
	for ; h.now < 3*time.Second-answerMargin; h.now += TickPeriod {
		require.Empty(t, h.reduce(full))
		require.Empty(t, h.reduce(Tick{}))
	}
	answer := h.requireFail(h.reduce(Tick{}))
	require.Equal(t, classifier.Leaving, answer.Kind)
	require.Positive(t, answer.RetryAfter)
}

func TestRequestThatComesLateInAStopIsRefused(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 2)
	h.reduce(Stopping{RefuseAt: 3 * time.Second, EndAt: 7 * time.Second})
	for _, kind := range []registrar.Kind{registrar.NonIdempotent, registrar.Idempotent, registrar.Streaming} {
		h.now = 2 * time.Second
		_, effects := h.submit(route(kind, 2), "")
		h.requireSend(effects)
		h.now = 3 * time.Second
		_, effects = h.submit(route(kind, 2), "")
		require.Equal(t, classifier.Leaving, h.requireFail(effects).Kind)
	}
}

// The platform ends the process soon, with which the connections of callers break.
func TestRunWithoutAnAnswerAtTheEndOfAStopMayHaveRun(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 2)
	id, effects := h.submit(route(registrar.NonIdempotent, 2), "")
	h.requireSend(effects)
	begun, effects := h.submit(route(registrar.Streaming, 2), "")
	send := h.requireSend(effects)
	h.reduce(AnswerBegan{ID: begun, Try: send.Try})
	h.reduce(Stopping{RefuseAt: time.Second, EndAt: 2 * time.Second})
	h.now = 2*time.Second - TickPeriod
	require.Empty(t, h.reduce(Tick{}))
	h.now = 2 * time.Second
	effects = h.reduce(Tick{})
	require.Contains(t, effects, Effect(Abort{id, classifier.Lost}))
	answer := h.requireFail(effects)
	require.Equal(t, id, answer.ID)
	require.Equal(t, classifier.RanUnknown, classifier.ResponseOf(answer.Kind).Ran)
	require.Equal(t, 1, h.d.Open(), "the stream goes on as long as it can")
}

// If the runner that holds an adapter is full, the adapter must be requested at another
// runner of the model that has room. If none has, a request would only displace
// another adapter.
func TestAdapterOfAFullRunnerIsRequestedElsewhere(t *testing.T) {
	for _, c := range []struct {
		running   int // requests at the runners without the adapter
		requested bool
	}{{10, true}, {64, false}} {
		h := newHarness(t)
		all := h.listUpstreams(runnerService, 3, "m")
		for i, u := range all {
			rep := Report{Address: u.Address, Gateways: 1, Running: c.running, Residents: []registrar.ResidentModel{{Model: "m"}}}
			if i == 0 {
				rep.Running, rep.Residents[0].Adapters = 64, []registrar.AdapterName{"a"}
			}
			h.reduce(Reported{rep})
		}
		h.lastID++
		effects := h.reduce(Arrived{Request{ID: h.lastID, Route: route(registrar.Streaming, 2), Service: runnerService, Model: "m", Adapter: "a", Deadline: 4 * time.Second}})
		if !c.requested {
			require.Empty(t, effects)
			continue
		}
		require.Len(t, effects, 1)
		load, ok := effects[0].(LoadAdapter)
		require.True(t, ok, "%#v", effects[0])
		require.NotEqual(t, all[0].Address, load.Address)
	}
}
