package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/estimator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Guards against long prompts at fast runners, where they interrupt streams, while slow
// runners have room.
func TestSlowRunnerTakesLongPromptsWithShortAnswers(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(runnerService, 2, "m")
	for i, slowness := range []estimator.Percent{100, 240} {
		h.reduce(Reported{Report{Address: all[i].Address, Residents: []registrar.ResidentModel{{Model: "m"}}, Gateways: 1, Slowness: slowness}})
	}
	atSlow := map[registrar.Tokens]int{}
	for i := range 48 {
		prompt, output := registrar.Tokens(1800), registrar.Tokens(24)
		if i%2 == 0 {
			prompt, output = 600, 300
		}
		h.lastID++
		send := h.requireSend(h.reduce(Arrived{Request{
			ID: h.lastID, Route: route(registrar.Streaming, 1), Service: runnerService, Model: "m", PromptTokens: prompt, OutputTokens: output, Deadline: h.now + 4*time.Second,
		}}))
		h.reduce(AnswerBegan{ID: h.lastID, Try: send.Try})
		if send.Upstream == all[1].ID {
			atSlow[prompt]++
		}
	}
	require.GreaterOrEqual(t, atSlow[1800], 12, "of 24")
	require.LessOrEqual(t, atSlow[600], 6, "of 24")
}

// sendsTo submits n requests to two idle runners of the given slowness and returns how many
// are sent to each.
func sendsTo(t *testing.T, n int, slowness ...estimator.Percent) []int {
	h := newHarness(t)
	all := h.listUpstreams(runnerService, len(slowness), "m")
	index := map[registrar.UpstreamID]int{}
	for i, u := range all {
		index[u.ID] = i
		h.reduce(Reported{Report{Address: u.Address, Residents: []registrar.ResidentModel{{Model: "m"}}, Gateways: 1, Slowness: slowness[i]}})
	}
	sends := make([]int, len(slowness))
	for range n {
		id, effects := h.submit(route(registrar.Streaming, 1), "m")
		send := h.requireSend(effects)
		sends[index[send.Upstream]]++
		h.reduce(AnswerBegan{ID: id, Try: send.Try})
	}
	return sends
}

// Guards against slow runners that get as many requests at once as fast ones, whose
// streams then pause for longer than callers accept.
func TestSlowRunnerGetsLess(t *testing.T) {
	sends := sendsTo(t, 24, 100, 240)
	require.GreaterOrEqual(t, sends[0], 2*sends[1])
	require.Positive(t, sends[1], "it has room while the fast one is busy")
}

// Guards against another choice where runners are equally fast or their speed is unknown.
func TestRunnersOfEqualSpeedGetTheSame(t *testing.T) {
	for _, slowness := range []estimator.Percent{0, 100} {
		sends := sendsTo(t, 24, slowness, slowness)
		require.Equal(t, []int{12, 12}, sends)
	}
	require.Equal(t, []int{12, 12}, sendsTo(t, 24, 0, 100))
}
