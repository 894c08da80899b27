package sharer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFloorServesAShareOfAStarvedClass(t *testing.T) {
	var f Floor
	due := 0
	for range 1000 {
		f.Arrive(0.5)
		if f.Due() {
			f.Serve()
			due++
		}
	}
	require.InDelta(t, 1000*FloorShare*0.5, due, floorRequests)
}

func TestServedClassIsNeverDue(t *testing.T) {
	var f Floor
	for range 1000 {
		f.Arrive(1)
		require.False(t, f.Due())
		f.Serve()
	}
	for range 100 {
		f.Arrive(1)
	}
	require.True(t, f.Due(), "what was served long ago does not count")
}
