package allocator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against busy models on slow runners while fast ones hold models that nobody asks
// for.
func TestFastRunnersHoldTheBusyModels(t *testing.T) {
	runners, models := deployment(12, demands(22, 90, 90)...)
	for i := range 4 {
		runners[i].Slowness = 2.4
	}
	p := newTestAllocator().Plan(runners, models)
	for _, m := range models {
		require.NotEmpty(t, p.Runners(m.Name), m.Name)
	}
	for i, r := range runners {
		busy := p.Assigns(r.ID, "m0") || p.Assigns(r.ID, "m1")
		require.Equal(t, i >= 4, busy, r.ID)
	}
}

// Guards against a plan in which no runner of usual speed remains.
func TestSlowRunnersOnly(t *testing.T) {
	runners, models := deployment(4, demands(8, 50, 20)...)
	for i := range runners {
		runners[i].Slowness = 1.8
	}
	p := newTestAllocator().Plan(runners, models)
	for _, m := range models {
		require.NotEmpty(t, p.Runners(m.Name), m.Name)
	}
}

// Guards against another plan where all runners are of the usual speed.
func TestUsualSpeedKeepsThePlan(t *testing.T) {
	runners, models := deployment(12, demands(21, 73, 27, 13)...)
	unknown := newTestAllocator().Plan(runners, models)
	for i := range runners {
		runners[i].Slowness = 1
	}
	require.Equal(t, unknown, newTestAllocator().Plan(runners, models))
}
