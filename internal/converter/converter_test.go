package converter

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSeconds(t *testing.T) {
	for s, expected := range map[float64]time.Duration{
		0: 0, 1.5: 1500 * time.Millisecond, -2: -2 * time.Second, 1e300: MaxTime, -1e300: -MaxTime, math.Inf(1): MaxTime, math.Inf(-1): -MaxTime, MaxTime.Seconds(): MaxTime,
	} {
		require.Equal(t, expected, Seconds(s), "%v", s)
	}
	require.Equal(t, MaxTime, Seconds(math.NaN()))
}

func TestAmount(t *testing.T) {
	for _, x := range []float64{0, 1, math.MaxFloat64} {
		require.True(t, Amount(x))
	}
	for _, x := range []float64{-1, math.Inf(1), math.Inf(-1), math.NaN()} {
		require.False(t, Amount(x))
	}
}
