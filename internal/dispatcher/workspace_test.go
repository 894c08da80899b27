package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/apportioner"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

// quotaHarness is a harness with a workspace whose quota a steward issues.
type quotaHarness struct {
	*harness
	workspace registrar.Workspace
	asked     []RequestTokens
}

func newQuotaHarness(t *testing.T, q registrar.Quota) *quotaHarness {
	h := &quotaHarness{harness: newHarness(t), workspace: registrar.Workspace{Name: "w", Keys: []registrar.KeyDigest{{}}, Quota: q}}
	engine := &registrar.Engine{Slots: 64, Models: map[registrar.ModelName]registrar.Model{"m": {Name: "m"}}}
	h.listUpstreams(runnerService, 2, "m")
	h.play(Configured{installed(&registrar.Configuration{
		Workspaces: []registrar.Workspace{h.workspace},
		Services:   map[registrar.ServiceName]registrar.Service{plainService: {Name: plainService}, runnerService: {Name: runnerService, Engine: engine}},
	})})
	h.report()
	return h
}

func (h *quotaHarness) report() {
	for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
		h.play(Reported{Report{Address: address, Residents: []registrar.ResidentModel{{Model: "m"}}, KVTotal: 100_000, Gateways: 1}})
	}
}

// play applies an event and returns its effects but for requests for tokens, which it keeps.
func (h *quotaHarness) play(e Event) []Effect {
	var effects []Effect
	for _, effect := range h.reduce(e) {
		if ask, ok := effect.(RequestTokens); ok {
			h.asked = append(h.asked, ask)
			continue
		}
		effects = append(effects, effect)
	}
	return effects
}

// arrive passes a request of the workspace to the dispatcher.
func (h *quotaHarness) arrive(prompt, output registrar.Tokens) (RequestID, []Effect) {
	h.lastID++
	return h.lastID, h.play(Arrived{Request{
		ID: h.lastID, Route: route(registrar.Streaming, 2), Service: runnerService, Model: "m", PromptTokens: prompt, OutputTokens: output,
		Workspace: &h.workspace, Deadline: h.now + 4*time.Second,
	}})
}

// answer answers the last request for tokens with a number of them.
func (h *quotaHarness) answer(tokens float64, wait time.Duration) []Effect {
	require.NotEmpty(h.t, h.asked)
	last := h.asked[len(h.asked)-1].Request
	return h.play(QuotaAnswered{apportioner.Answer{
		Epoch: last.Epoch, Number: last.Number, Counted: true, Gateways: 1, Rows: []apportioner.AnswerRow{{Workspace: "w", Tokens: tokens, Wait: wait}},
	}})
}

func tokenQuota() registrar.Quota {
	return registrar.Quota{Unit: registrar.UnitTokens, Rate: 10_000, Burst: 20_000, DefaultTokens: 200}
}

func TestRequestWaitsForTokensAndIsSent(t *testing.T) {
	h := newQuotaHarness(t, tokenQuota())
	h.now += 10 * time.Millisecond
	_, effects := h.arrive(900, 100)
	require.Empty(t, effects)
	h.answer(0, 0) // to the request that announced the quota
	need := h.asked[len(h.asked)-1].Request.Rows[0].Need
	require.InDelta(t, 1000, need, 0.1)
	h.requireSend(h.answer(need+1000, 0))
	_, effects = h.arrive(900, 100)
	h.requireSend(effects)
}

func TestRequestBeyondTheQuotaIsRefusedAtOnce(t *testing.T) {
	h := newQuotaHarness(t, tokenQuota())
	h.arrive(900, 100)
	h.answer(0, 0)
	refusal := h.requireFail(h.answer(0, 700*time.Millisecond))
	require.Equal(t, classifier.Limited, refusal.Kind)
	require.Equal(t, 429, classifier.ResponseOf(refusal.Kind).Status)
	require.GreaterOrEqual(t, refusal.RetryAfter, 700*time.Millisecond)
	require.Less(t, refusal.RetryAfter, 3*time.Second)
	waits := map[time.Duration]bool{}
	for range 10 {
		_, effects := h.arrive(900, 100)
		waits[h.requireFail(effects).RetryAfter] = true
	}
	require.Len(t, waits, 10, "callers don't return at the same time")
	require.Zero(t, h.d.Open())
	require.Equal(t, 11, h.d.QuotaCounters().Refused)
}

func TestRequestIsRefusedWhenNoStewardAnswers(t *testing.T) {
	h := newQuotaHarness(t, tokenQuota())
	h.arrive(900, 100)
	var effects []Effect
	for range 10 {
		h.now += TickPeriod
		effects = append(effects, h.play(Tick{})...)
	}
	require.Equal(t, classifier.Limited, h.requireFail(effects).Kind)
	require.Less(t, len(h.asked), 15)
}

func TestCostOfRequestIsTheSumOfItsTokens(t *testing.T) {
	tokens, requests := &registrar.Workspace{Quota: tokenQuota()}, &registrar.Workspace{Quota: registrar.Quota{Unit: registrar.UnitRequests, Rate: 1}}
	require.Equal(t, 1100.0, costOf(&request{Request: Request{Workspace: tokens, PromptTokens: 800, OutputTokens: 300}}))
	require.Equal(t, 200.0, costOf(&request{Request: Request{Workspace: tokens}}), "a request that names no tokens")
	require.Equal(t, 1.0, costOf(&request{Request: Request{Workspace: requests, PromptTokens: 800, OutputTokens: 300}}))
}

// balance returns the tokens that the gateway holds.
func (h *quotaHarness) balance() float64 {
	tokens, _ := h.d.account.Balance(h.now, "w")
	return tokens
}

// sent returns a request that has been sent, with some tokens left.
func (h *quotaHarness) sent() Send {
	h.arrive(900, 100)
	h.answer(0, 0)
	send := h.requireSend(h.answer(3000, 0))
	require.InDelta(h.t, 2000, h.balance(), 0.1)
	return send
}

func TestRetriesOfARequestCostNothing(t *testing.T) {
	for _, outcome := range []Outcome{NotRun, Unsent, Unknown, Failed} {
		h := newQuotaHarness(t, tokenQuota())
		first := h.sent()
		second := h.requireSend(h.play(SendEnded{ID: first.ID, Try: first.Try, Outcome: outcome}))
		require.InDelta(t, 2000, h.balance(), 0.1, outcome)
		h.play(AnswerBegan{ID: second.ID, Try: second.Try})
		h.play(SendEnded{ID: second.ID, Try: second.Try, Outcome: Completed})
		require.InDelta(t, 2000, h.balance(), 0.1, outcome)
	}
}

func TestCostIsGivenBackOnlyForARequestThatHasNotRun(t *testing.T) {
	h := newQuotaHarness(t, tokenQuota())
	send := h.sent()
	h.play(UpstreamsListed{})
	h.now += 100 * time.Millisecond
	h.play(SendEnded{ID: send.ID, Try: send.Try, Outcome: Unsent})
	h.play(CallerDisconnected{send.ID})
	require.InDelta(t, 3000, h.balance(), 0.1, "not run")

	h = newQuotaHarness(t, tokenQuota())
	send = h.sent()
	h.play(CallerDisconnected{send.ID})
	require.InDelta(t, 2000, h.balance(), 0.1, "the upstream may run it")

	h = newQuotaHarness(t, tokenQuota())
	send = h.sent()
	h.play(UpstreamsListed{})
	h.now += costLifetime
	h.play(SendEnded{ID: send.ID, Try: send.Try, Outcome: Unsent})
	h.play(CallerDisconnected{send.ID})
	require.InDelta(t, 2000, h.balance(), 0.1, "its tokens are too old")
}

func TestRequestWhoseCallerLeavesWhileItWaitsCostsNothing(t *testing.T) {
	h := newQuotaHarness(t, tokenQuota())
	id, _ := h.arrive(900, 100)
	h.play(CallerDisconnected{id})
	h.answer(1000, 0)
	require.InDelta(t, 1000, h.balance(), 0.1)
	require.Zero(t, h.d.Open())
}

func TestDeploymentsWithoutQuotasSendNothing(t *testing.T) {
	h := newQuotaHarness(t, registrar.Quota{})
	for range 20 {
		_, effects := h.arrive(900, 100)
		send := h.requireSend(effects)
		h.now += TickPeriod
		h.play(Tick{})
		h.play(SendEnded{ID: send.ID, Try: send.Try, Outcome: Completed})
		h.report()
	}
	require.Empty(t, h.asked)
	require.Nil(t, h.d.Dump().Quotas)
}

func TestRefusalsBeyondAQuotaAreLoggedOnceASecond(t *testing.T) {
	h := newQuotaHarness(t, tokenQuota())
	h.arrive(900, 100)
	h.answer(0, 0)
	h.answer(0, 3*time.Second)
	logged := 0
	for range 50 {
		h.lastID++
		for _, effect := range h.d.Reduce(h.now, Arrived{Request{ID: h.lastID, Route: route(registrar.Streaming, 2), Service: runnerService, Model: "m", Workspace: &h.workspace, Deadline: h.now + time.Second}}) {
			if entry, ok := effect.(Log); ok {
				require.Equal(t, BeyondQuota, entry.Event)
				logged++
			}
		}
	}
	require.Zero(t, logged, "the first one was logged")
	h.now += quotaLogDelay
	h.lastID++
	for _, effect := range h.d.Reduce(h.now, Arrived{Request{ID: h.lastID, Route: route(registrar.Streaming, 2), Service: runnerService, Model: "m", Workspace: &h.workspace, Deadline: h.now + time.Second}}) {
		if entry, ok := effect.(Log); ok {
			require.Equal(t, 51, entry.Refusals)
			require.Equal(t, registrar.WorkspaceName("w"), entry.Workspace)
			logged++
		}
	}
	require.Equal(t, 1, logged)
}
