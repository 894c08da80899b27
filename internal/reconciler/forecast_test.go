package reconciler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Models in little demand are asked for now and then; single requests must not
// look like the beginning of a shift.
func TestSingleRequestsAreNoRise(t *testing.T) {
	f := forecast{steady: 700, recent: 2300, sample: 1}
	require.Equal(t, f.steady, f.work())
}

func TestRiseIsExtended(t *testing.T) {
	f := forecast{steady: 20000, recent: 40000, sample: 20}
	require.Greater(t, f.work(), 60000.0)
	require.LessOrEqual(t, f.work(), 3*f.recent)
}

func TestFallIsTakenAsItComes(t *testing.T) {
	f := forecast{steady: 40000, recent: 10000, sample: 6}
	require.Equal(t, 40000.0, f.work())
}

func TestWaitingWorkCounts(t *testing.T) {
	f := forecast{steady: 1000, waiting: 8000}
	require.Greater(t, f.work(), 1000.0)
}
