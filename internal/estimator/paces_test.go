package estimator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWildSamplesDoNotMoveThePace(t *testing.T) {
	p := NewPaces()
	for i := range 9 {
		p.Add(time.Duration(i)*time.Second, "m", 30*time.Millisecond)
		if i%3 == 0 {
			p.Add(time.Duration(i)*time.Second, "m", 4*time.Second) // a caller that reads slowly
		}
	}
	pace, ok := p.Pace(9*time.Second, "m")
	require.True(t, ok)
	require.Equal(t, 30*time.Millisecond, pace)
}

func TestPaceIsUnknownFromFewSamples(t *testing.T) {
	p := NewPaces()
	p.Add(0, "m", 30*time.Millisecond)
	p.Add(0, "m", 30*time.Millisecond)
	_, ok := p.Pace(0, "m")
	require.False(t, ok)
	p.Add(0, "m", 0)
	_, ok = p.Pace(0, "m")
	require.False(t, ok)
}

func TestPaceFollowsAChangeWithinSeconds(t *testing.T) {
	p := NewPaces()
	for range 50 {
		p.Add(0, "m", 30*time.Millisecond)
	}
	for i := range 8 {
		p.Add(time.Duration(i)*200*time.Millisecond, "m", 90*time.Millisecond)
	}
	pace, ok := p.Pace(2*time.Second, "m")
	require.True(t, ok)
	require.Equal(t, 90*time.Millisecond, pace)
}

func TestOldPaceIsForgotten(t *testing.T) {
	p := NewPaces()
	for range 5 {
		p.Add(0, "m", 30*time.Millisecond)
	}
	_, ok := p.Pace(sampleLifetime+time.Second, "m")
	require.False(t, ok)
	require.Empty(t, p.byModel)
}
