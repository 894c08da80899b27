package budgeter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const megabyte Bytes = 1 << 20

func TestCrashesUnderManyBytesBoundThem(t *testing.T) {
	var b Bearing
	require.True(t, b.Allows(0, 100*megabyte, megabyte))
	require.False(t, b.Crashed(0, 6*megabyte, 6), "it may have had another cause")
	require.True(t, b.Allows(0, 100*megabyte, megabyte))
	require.True(t, b.Crashed(time.Second, 4*megabyte, 4))
	require.Equal(t, 2*megabyte, b.Bound())
	require.True(t, b.Allows(time.Second, megabyte, megabyte))
	require.False(t, b.Allows(time.Second, 2*megabyte, 1))
	require.True(t, b.Allows(time.Second, 0, 3*megabyte), "nothing else is held")
}

// Upstreams crash for many reasons.
func TestCrashesUnderFewBytesSayNothing(t *testing.T) {
	var b Bearing
	for range 10 {
		require.False(t, b.Crashed(0, minSuspectBytes-1, 10))
	}
	require.True(t, b.Allows(0, megabyte, megabyte))
}

func TestBoundIsRaisedAndForgottenWithoutCrashes(t *testing.T) {
	var b Bearing
	b.Crashed(0, 4*megabyte, 4)
	b.Crashed(0, 4*megabyte, 4)
	require.False(t, b.Allows(29*time.Second, 2*megabyte, 400*kilobyte))
	require.True(t, b.Allows(30*time.Second, 2*megabyte, 400*kilobyte))
	require.False(t, b.Allows(30*time.Second, 4*megabyte, megabyte))
	require.True(t, b.Allows(time.Hour, 400*megabyte, megabyte))
	require.Zero(t, b.Bound())
}

func TestCrashesFarApartAreNotConnected(t *testing.T) {
	var b Bearing
	b.Crashed(0, 4*megabyte, 4)
	require.False(t, b.Crashed(crashMemory, 4*megabyte, 4))
	require.True(t, b.Crashed(crashMemory+time.Second, 4*megabyte, 4))
}

func TestRequestsThatCrashUpstreamsAloneAreTooLarge(t *testing.T) {
	var b Bearing
	b.Crashed(0, 9*megabyte, 1)
	require.False(t, b.TooLarge(0, 9*megabyte))
	b.Crashed(0, 8*megabyte, 1)
	require.True(t, b.TooLarge(0, 8*megabyte))
	require.False(t, b.TooLarge(0, 8*megabyte-1))
	require.False(t, b.TooLarge(crashMemory, 9*megabyte), "upstreams may have been given more memory")
}
