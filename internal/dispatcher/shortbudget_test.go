package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// shortRoute is a route of a plain service whose callers have 600 ms.
func shortRoute(kind registrar.Kind, attempts int) *registrar.Route {
	return &registrar.Route{Kind: kind, AttemptLimit: attempts, TargetLatency: 100 * time.Millisecond, Timeout: 600 * time.Millisecond}
}

// submitShort submits a request for the plain service whose caller has 600 ms.
func (h *harness) submitShort(kind registrar.Kind, attempts int) (RequestID, []Effect) {
	h.lastID++
	return h.lastID, h.reduce(Arrived{Request{ID: h.lastID, Route: shortRoute(kind, attempts), Service: plainService, Deadline: h.now + 600*time.Millisecond}})
}

// Guards against an upstream that takes requests and answers none, at which callers with a
// short budget whose requests can't be repeated lost all of it, again and again.
func TestSilentUpstreamIsAvoidedWithinAShortBudget(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 4)
	const silent = registrar.UpstreamID("u2")
	lost, back := 0, 0
	open := map[RequestID]Send{}
	for ; h.now < 20*time.Second; h.now += TickPeriod {
		hangs := h.now < 6*time.Second
		for _, kind := range []registrar.Kind{registrar.Idempotent, registrar.NonIdempotent, registrar.NonIdempotent, registrar.NonIdempotent} {
			id, effects := h.submitShort(kind, 2)
			send := h.requireSend(effects)
			open[id] = send
			switch {
			case send.Upstream != silent:
			case !hangs:
				back++
			case kind == registrar.NonIdempotent:
				lost++
			}
		}
		for id, send := range open {
			if send.Upstream != silent || !hangs {
				h.reduce(SendEnded{ID: id, Try: send.Try, Outcome: Completed})
				delete(open, id)
			}
		}
		for _, e := range h.reduce(Tick{}) {
			switch e := e.(type) {
			case Failover:
				delete(open, e.ID)
				h.reduce(SendEnded{ID: e.ID, Try: 1, Outcome: Unknown})
				h.reduce(SendEnded{ID: e.ID, Try: 2, Outcome: Completed})
			case Abort:
				delete(open, e.ID)
			}
		}
	}
	require.LessOrEqual(t, lost, 2, "of 900 requests in 6 s")
	require.Greater(t, back, 100, "it answers again")
}

// Guards against a repeatable request that stays at a silent upstream until its caller
// gives up.
func TestRepeatableRequestLeavesASilentUpstreamInTime(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 2)
	id, effects := h.submitShort(registrar.Idempotent, 2)
	first := h.requireSend(effects)
	var failover bool
	for ; h.now < 300*time.Millisecond && !failover; h.now += TickPeriod {
		for _, e := range h.reduce(Tick{}) {
			_, failover = e.(Failover)
		}
	}
	require.True(t, failover)
	second := h.requireSend(h.reduce(SendEnded{ID: id, Try: first.Try, Outcome: Unknown}))
	require.NotEqual(t, first.Upstream, second.Upstream)
}

// Guards against moving requests away from an upstream that answers others, where only
// this one takes long.
func TestSlowRequestAtALivelyUpstreamStays(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 1)
	_, effects := h.submitShort(registrar.Idempotent, 2)
	h.requireSend(effects)
	for ; h.now < 500*time.Millisecond; h.now += TickPeriod {
		id, others := h.submitShort(registrar.Idempotent, 2)
		h.reduce(SendEnded{ID: id, Try: h.requireSend(others).Try, Outcome: Completed})
		require.Empty(t, h.reduce(Tick{}))
	}
	require.Zero(t, h.d.upstreams["u1"].avoidUntil)
}

// Guards against a Retry-After that callers with a short budget can't wait for, and against
// refusals that leave them no time.
func TestRefusalLeavesAShortBudgetTimeToComeBack(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 1)
	refused := 0
	for range 12 {
		_, effects := h.submitShort(registrar.NonIdempotent, 1)
		for _, e := range effects {
			if f, ok := e.(Fail); ok {
				refused++
				require.Less(t, f.RetryAfter, 200*time.Millisecond)
			}
		}
	}
	for ; h.now < 300*time.Millisecond; h.now += TickPeriod {
		timeLeft := 600*time.Millisecond - h.now
		for _, e := range h.reduce(Tick{}) {
			if f, ok := e.(Fail); ok {
				refused++
				require.Less(t, f.RetryAfter, timeLeft/3)
				require.Greater(t, timeLeft-f.RetryAfter, 200*time.Millisecond)
			}
		}
	}
	require.Positive(t, refused)
	for _, r := range h.d.requests {
		require.NotNil(t, r.upstream, "a request waits without an answer")
	}
}

// Guards against the default Retry-After, which is longer than the whole budget, where a
// refusal names none.
func TestRefusalWithoutRetryAfterFitsAShortBudget(t *testing.T) {
	r := &request{Request: Request{Deadline: 600 * time.Millisecond}}
	require.Equal(t, 150*time.Millisecond, r.usableRetryAfter(100*time.Millisecond, 0))
}

// Guards against other waits and Retry-Afters for callers with more time.
func TestLongBudgetKeepsItsRetryAfter(t *testing.T) {
	r := &request{Request: Request{Deadline: 4 * time.Second}}
	require.Equal(t, minRetryAfter, r.usableRetryAfter(3900*time.Millisecond, 50*time.Millisecond))
	require.Equal(t, 5*time.Second, r.usableRetryAfter(0, 5*time.Second))
	require.False(t, r.waitsTooLong(3900*time.Millisecond))
}
