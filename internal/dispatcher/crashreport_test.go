package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// listBothServices lists a runner whose steward reports and an upstream of the plain service.
func listBothServices(h *harness) {
	h.reduce(UpstreamsListed{[]*registrar.Upstream{
		{ID: "runner", Service: runnerService, Address: "10.0.0.1:80", Domain: "a", State: registrar.Ready, Slots: 6},
		{ID: "plain", Service: plainService, Address: "10.0.1.1:80", Domain: "a", State: registrar.Ready, Slots: 6},
	}})
	h.reduce(Reported{Report{Address: "10.0.0.1:80", Gateways: 1}})
}

func (h *harness) submitWithTraits(traits ...isolator.Trait) (RequestID, []Effect) {
	h.lastID++
	return h.lastID, h.reduce(Arrived{Request{ID: h.lastID, Route: route(registrar.Idempotent, 2), Service: plainService, Deadline: h.now + 4*time.Second, Traits: traits}})
}

func TestCrashOfAnUpstreamWithoutStewardIsReported(t *testing.T) {
	h := newHarness(t)
	listBothServices(h)
	id, _ := h.submitWithTraits("request:r", "content:r")
	h.reduce(SendEnded{ID: id, Try: 1, Outcome: Unknown})
	h.now += TickPeriod
	require.Contains(t, h.reduce(Tick{}), ProbeUpstream{Upstream: "plain", Address: "10.0.1.1:80"})
	want := ReportCrash{Addresses: []string{"10.0.0.1:80"}, Crash: isolator.Crash{Upstream: "plain", Requests: [][]isolator.Trait{{"request:r", "content:r"}}}}
	require.Contains(t, h.reduce(UpstreamProbed{Upstream: "plain", Refused: true}), want)
}

func TestUpstreamThatListensHasNotCrashed(t *testing.T) {
	h := newHarness(t)
	listBothServices(h)
	id, _ := h.submitWithTraits("request:r")
	h.reduce(SendEnded{ID: id, Try: 1, Outcome: Unknown})
	h.now += TickPeriod
	h.reduce(Tick{})
	for range 150 {
		effects := h.reduce(UpstreamProbed{Upstream: "plain"})
		h.now += TickPeriod
		require.Empty(t, append(effects, h.reduce(Tick{})...))
	}
}

// Of requests that may have crashed upstreams, one at a time is sent, and not again.
func TestRequestOnTrialIsSentAlone(t *testing.T) {
	h := newHarness(t)
	h.d.trialTurn = 0
	h.listUpstreams(plainService, 3)
	h.reduce(VerdictsReported{[]isolator.Verdict{{Trait: "request:r", Age: time.Hour - time.Second}}})
	refusal := func(effects []Effect) Fail {
		require.Len(t, effects, 1)
		return effects[0].(Fail)
	}
	_, effects := h.submitWithTraits("request:r")
	require.Equal(t, classifier.Isolated, refusal(effects).Kind)
	h.now += time.Second
	id, effects := h.submitWithTraits("request:r")
	require.IsType(t, Send{}, effects[0])
	_, effects = h.submitWithTraits("request:r")
	require.Equal(t, classifier.Isolated, refusal(effects).Kind)
	effects = h.reduce(SendEnded{ID: id, Try: 1, Outcome: Unknown})
	require.Equal(t, classifier.Lost, refusal(effects).Kind)
}

// The answer to an earlier send must not clear a request that crashed that upstream too.
func TestResumedRequestThatCrashesAgainIsReported(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(runnerService, 3, "m")
	for i := range 3 {
		h.reduce(Reported{Report{Address: fmt.Sprintf("10.0.0.%d:80", i+1), Gateways: 1, Residents: []registrar.ResidentModel{{Model: "m"}}}})
	}
	r := Request{ID: 1, Route: route(registrar.Streaming, 3), Service: runnerService, Model: "m", Deadline: 4 * time.Second, Traits: []isolator.Trait{"request:r.1", "content:r"}}
	reported := map[registrar.UpstreamID]bool{}
	effects := h.reduce(Arrived{r})
	for try := range Try(2) {
		send := effects[0].(Send)
		h.reduce(AnswerBegan{ID: 1, Try: send.Try, Resumed: try > 0})
		h.now += 100 * time.Millisecond
		effects = h.reduce(SendEnded{ID: 1, Try: send.Try, Outcome: Interrupted})
		h.now += crashLatency
		for _, e := range h.reduce(UpstreamProbed{Upstream: send.Upstream, Refused: true}) {
			if report, ok := e.(ReportCrash); ok {
				reported[report.Crash.Upstream] = true
			}
		}
	}
	require.Len(t, reported, 2)
	require.Empty(t, h.d.Answered(h.now, r.Traits))
}

func TestVerdictEndsASendThatResumesAStream(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(runnerService, 3, "m")
	effects := h.reduce(Arrived{Request{ID: 1, Route: route(registrar.Streaming, 3), Service: runnerService, Model: "m", Deadline: 4 * time.Second, Traits: []isolator.Trait{"request:r.1"}}})
	h.reduce(AnswerBegan{ID: 1, Try: h.requireSend(effects).Try})
	effects = h.reduce(SendEnded{ID: 1, Try: 1, Outcome: Interrupted})
	require.EqualValues(t, 2, h.requireSend(effects).Try)
	require.Contains(t, h.reduce(VerdictsReported{[]isolator.Verdict{{Trait: "request:r.1"}}}), Abort{1, classifier.Lost})
}

// A crash whose requests have more traits than are reported says so.
func TestTraitsBeyondTheBoundOfACrashAreLogged(t *testing.T) {
	h := newHarness(t)
	listBothServices(h)
	many := []isolator.Trait{"request:r", "content:r"}
	for i := range maxSuspects/2 - len(many) {
		many = append(many, isolator.Trait(fmt.Sprint("part", i)))
	}
	var ids []RequestID
	for range 3 {
		id, _ := h.submitWithTraits(many...)
		ids = append(ids, id)
	}
	for _, id := range ids {
		h.reduce(SendEnded{ID: id, Try: 1, Outcome: Unknown})
	}
	var reported isolator.Crash
	var logged Log
	for _, e := range h.d.Reduce(h.now, UpstreamProbed{Upstream: "plain", Refused: true}) {
		switch e := e.(type) {
		case ReportCrash:
			reported = e.Crash
		case Log:
			if e.Event == UpstreamCrashed {
				logged = e
			}
		}
	}
	require.Len(t, reported.Requests, 2)
	require.Len(t, logged.Traits, maxLoggedTraits)
	require.Equal(t, len(many), logged.LeftOut)
}
