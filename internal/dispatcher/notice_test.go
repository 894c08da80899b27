package dispatcher

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// notice returns the notice of an answer to a send.
func notice(s Send, leaving bool, pause time.Duration) UpstreamNotice {
	return UpstreamNotice{Upstream: s.Upstream, Incarnation: s.Incarnation, Address: s.Address, Leaving: leaving, Pause: pause}
}

// A leaving answer binds the gateway whether or not the list shows it. Its request goes on.
func TestLeavingAnswerStopsNewWork(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(plainService, 2)
	_, effects := h.submit(route(registrar.Idempotent, 2), "")
	first := h.requireSend(effects)
	require.True(t, h.d.Sendable(h.now, first.ID, first.Try))
	require.Empty(t, h.reduce(notice(first, true, 0)), "the open send goes on")
	require.False(t, h.d.Sendable(h.now, first.ID, first.Try), "a request that is not written yet is held back")
	for range 2 {
		_, effects := h.submit(route(registrar.Idempotent, 2), "")
		require.NotEqual(t, first.Upstream, h.requireSend(effects).Upstream)
	}
	// The entry lapses and comes back around an outage of the store.
	h.reduce(UpstreamsListed{nil})
	h.reduce(UpstreamsListed{all})
	_, effects = h.submit(route(registrar.Idempotent, 2), "")
	require.NotEqual(t, first.Upstream, h.requireSend(effects).Upstream)
}

// A plain service has no steward beside it that could tell the other gateways, one that has
// just started among them.
func TestLeavingAnswerToOneGatewayBindsTheOthers(t *testing.T) {
	first, other := newLimitedGateway(t), newLimitedGateway(t)
	first.reduce(Reported{Report{Address: "10.0.0.2:80"}})
	_, effects := first.submit(route(registrar.Idempotent, 2), "")
	send := first.requireSend(effects)
	announced, ok := first.reduce(notice(send, true, 0))[0].(RequestPermits)
	require.True(t, ok)
	steward := limiter.NewTable()
	require.True(t, steward.Learn(0, announced.Request.Limit))
	_, effects = other.submit(route(registrar.Idempotent, 2), "")
	crossing := other.requireSend(effects)
	other.reduce(LimitsReported{steward.Recent(time.Second, time.Minute)})
	require.False(t, other.d.Sendable(other.now, crossing.ID, crossing.Try))
	_, effects = other.submit(route(registrar.Idempotent, 2), "")
	require.Empty(t, effects)
}

func TestNewIncarnationOfALeavingUpstreamIsOpen(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(plainService, 1)
	_, effects := h.submit(route(registrar.Idempotent, 2), "")
	send := h.requireSend(effects)
	h.reduce(notice(send, true, time.Hour))
	restarted := *all[0]
	restarted.Incarnation++
	h.reduce(UpstreamsListed{[]*registrar.Upstream{&restarted}})
	h.reduce(notice(send, true, time.Hour)) // from the earlier incarnation, late
	_, effects = h.submit(route(registrar.Idempotent, 2), "")
	require.Equal(t, restarted.Incarnation, h.requireSend(effects).Incarnation)
}

func TestDrainingReportBindsUntilTheNextIncarnation(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(runnerService, 2, "m")
	h.reduce(Reported{Report{Address: "10.0.0.1:80", Sequence: 1, Residents: []registrar.ResidentModel{{Model: "m"}}, Draining: true}})
	h.reduce(Reported{Report{Address: "10.0.0.1:80", Sequence: 1, Residents: []registrar.ResidentModel{{Model: "m"}}}})
	for range 4 {
		_, effects := h.submit(route(registrar.Streaming, 2), "m")
		require.EqualValues(t, "u2", h.requireSend(effects).Upstream)
	}
}

func TestWithheldRequestGoesElsewhere(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 2)
	id, effects := h.submit(route(registrar.NonIdempotent, 1), "")
	first := h.requireSend(effects)
	h.reduce(notice(first, true, 0))
	second := h.requireSend(h.reduce(SendEnded{ID: id, Try: first.Try, Outcome: Withheld}))
	require.NotEqual(t, first.Upstream, second.Upstream)
}

func TestPausedUpstreamGetsNothingUntilTheEnd(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 2)
	id, effects := h.submit(route(registrar.NonIdempotent, 2), "")
	first := h.requireSend(effects)
	h.reduce(notice(first, false, 2*time.Second))
	require.False(t, h.d.Sendable(h.now, first.ID, first.Try))
	require.NotEqual(t, first.Upstream, h.requireSend(h.reduce(SendEnded{ID: id, Try: first.Try, Outcome: NotRun})).Upstream)
	for h.now < 2*time.Second {
		id, effects := h.submit(route(registrar.Idempotent, 2), "")
		send := h.requireSend(effects)
		require.NotEqual(t, first.Upstream, send.Upstream)
		h.reduce(SendEnded{ID: id, Try: send.Try, Outcome: Completed})
		h.now += 100 * time.Millisecond
	}
	_, effects = h.submit(route(registrar.Idempotent, 2), "")
	require.Equal(t, first.Upstream, h.requireSend(effects).Upstream, "the less loaded one again")
}

// When all upstreams of a service pause, requests are refused at once, and their callers
// are asked back from the end of the shortest pause on, not all at the same time.
func TestRequestIsRefusedAtOnceWhileAllUpstreamsPause(t *testing.T) {
	for _, model := range []registrar.ModelName{"", "m"} {
		h := newHarness(t)
		if model == "" {
			h.listUpstreams(plainService, 2)
		} else {
			h.listUpstreams(runnerService, 2, model)
		}
		for _, pause := range []time.Duration{5 * time.Second, 1500 * time.Millisecond} {
			id, effects := h.submit(route(registrar.Idempotent, 2), model)
			send := h.requireSend(effects)
			h.reduce(notice(send, false, pause))
			h.reduce(SendEnded{ID: id, Try: send.Try, Outcome: Completed})
		}
		h.now += 500 * time.Millisecond
		seen := map[time.Duration]bool{}
		for range 20 {
			_, effects := h.submit(route(registrar.Idempotent, 2), model)
			answer := h.requireFail(effects)
			require.Equal(t, classifier.Busy, answer.Kind)
			require.GreaterOrEqual(t, answer.RetryAfter, time.Second)
			require.LessOrEqual(t, answer.RetryAfter, time.Second+route(registrar.Idempotent, 2).TargetLatency)
			seen[answer.RetryAfter] = true
		}
		require.Greater(t, len(seen), 10)
		h.now += time.Second
		_, effects := h.submit(route(registrar.Idempotent, 2), model)
		h.requireSend(effects)
	}
}

// runNotices plays a random history and returns an error if a request may be written to
// an upstream that wants none. With deaf set, the dispatcher is not told of the notices.
func runNotices(rt *rapid.T, deaf bool) error {
	d := New(Config{Domain: "a", Seed: 5, RetryBudget: RetryBudget{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}})
	const upstreams = 3
	incarnations := [upstreams]int64{1, 1, 1}
	restrictions := map[string]restriction{} // by address and incarnation
	now, lastID := time.Duration(0), RequestID(0)
	open := map[RequestID]Send{}
	address := func(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }
	key := func(address string, incarnation int64) string { return fmt.Sprint(address, "#", incarnation) }
	reduce := func(e Event) error {
		for _, effect := range d.Reduce(now, e) {
			switch ef := effect.(type) {
			case Send:
				r := restrictions[key(ef.Address, ef.Incarnation)]
				if r.leaving || now < r.pausedUntil {
					return errors.New("request sent to an upstream that wants none")
				}
				open[ef.ID] = ef
			case Fail:
				delete(open, ef.ID)
			}
		}
		return nil
	}
	list := func() error {
		var all []*registrar.Upstream
		for i := range upstreams {
			if rapid.IntRange(0, 5).Draw(rt, "listed") > 0 {
				all = append(all, &registrar.Upstream{
					ID: registrar.UpstreamID(fmt.Sprint("u", i)), Service: plainService, Address: address(i), Domain: "a", State: registrar.Ready, Slots: 6, Incarnation: incarnations[i],
				})
			}
		}
		return reduce(UpstreamsListed{all})
	}
	d.Reduce(0, Configured{&registrar.Configuration{Services: map[registrar.ServiceName]registrar.Service{plainService: {Name: plainService}}}})
	err := list()
	for range 60 {
		if err != nil {
			return err
		}
		now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond
		var send Send
		for _, s := range open {
			if send.ID == 0 || s.ID < send.ID {
				send = s
			}
		}
		switch step := rapid.IntRange(0, 6).Draw(rt, "step"); {
		case step == 0:
			incarnations[rapid.IntRange(0, upstreams-1).Draw(rt, "restarted")]++
			err = list()
		case step == 1:
			err = reduce(Tick{})
		case step == 2 && send.ID > 0:
			r := restrictions[key(send.Address, send.Incarnation)]
			if d.Sendable(now, send.ID, send.Try) && (r.leaving || now < r.pausedUntil) {
				return errors.New("request written to an upstream that wants none")
			}
		case step == 3 && send.ID > 0:
			n := notice(send, rapid.Bool().Draw(rt, "leaving"), time.Duration(rapid.IntRange(0, 3).Draw(rt, "pause"))*time.Second)
			r := restrictions[key(send.Address, send.Incarnation)]
			r.leaving, r.pausedUntil = r.leaving || n.Leaving, max(r.pausedUntil, now+n.Pause)
			restrictions[key(send.Address, send.Incarnation)] = r
			if !deaf {
				err = reduce(n)
			}
		case step == 4 && send.ID > 0:
			delete(open, send.ID)
			err = reduce(SendEnded{ID: send.ID, Try: send.Try, Outcome: rapid.SampledFrom([]Outcome{Completed, NotRun, Withheld, Unknown}).Draw(rt, "outcome")})
		default:
			lastID++
			err = reduce(Arrived{Request{ID: lastID, Route: route(registrar.Idempotent, 3), Service: plainService, Deadline: now + 4*time.Second}})
		}
	}
	return err
}

func TestNoticesHoldInAllHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { require.NoError(rt, runNotices(rt, false)) })
}

// TestMutantsThatIgnoreNoticesAreCaught checks that runNotices detects a dispatcher that
// ignores what upstreams say of new requests.
func TestMutantsThatIgnoreNoticesAreCaught(t *testing.T) {
	var caught error
	rapid.Check(t, func(rt *rapid.T) {
		if caught == nil {
			caught = runNotices(rt, true)
		}
	})
	require.Error(t, caught)
}
