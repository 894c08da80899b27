package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/estimator"
	"github.com/egretwall/egretwall/internal/registrar"
)

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
