package reconciler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A single request for a model in little demand raises the fast average above the
// slow one, and must not be taken for the start of a rise.
func TestSingleRequestIsNotARise(t *testing.T) {
	d := modelDemand{slowRate: 700, fastRate: 2300, recentRequests: 1}
	require.Equal(t, d.slowRate, d.forecast())
}

func TestRiseIsExtrapolated(t *testing.T) {
	d := modelDemand{slowRate: 20000, fastRate: 40000, recentRequests: 20}
	require.Greater(t, d.forecast(), 60000.0)
	require.LessOrEqual(t, d.forecast(), 3*d.fastRate)
}

func TestFallIsNotExtrapolated(t *testing.T) {
	d := modelDemand{slowRate: 40000, fastRate: 10000, recentRequests: 6}
	require.Equal(t, 40000.0, d.forecast())
}

func TestWaitingWorkAddsToForecast(t *testing.T) {
	d := modelDemand{slowRate: 1000, waitingWork: 8000}
	require.Greater(t, d.forecast(), 1000.0)
}
