package estimator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSlownessIsLearnedWithinSeconds(t *testing.T) {
	var s Slowness
	for i := range minSlownessSamples {
		require.Zero(t, s.Value(time.Duration(i)*time.Second))
		s.Add(time.Duration(i)*time.Second, 240)
	}
	require.Equal(t, Percent(240), s.Value(minSlownessSamples*time.Second))
}

func TestWildSamplesDoNotMakeARunnerSlow(t *testing.T) {
	var s Slowness
	for i := range 9 {
		s.Add(time.Duration(i)*time.Second, 104)
		if i%3 == 0 {
			s.Add(time.Duration(i)*time.Second, 9000)
		}
	}
	require.Equal(t, Percent(100), s.Value(9*time.Second))
}

func TestSlownessOfAnEarlierRunnerIsForgotten(t *testing.T) {
	var s Slowness
	for range 9 {
		s.Add(0, 240)
	}
	s.Reset()
	require.Zero(t, s.Value(0))
	for range 9 {
		s.Add(0, 240)
	}
	require.Zero(t, s.Value(slownessLifetime+time.Second))
}
