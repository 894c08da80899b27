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
	require.False(t, b.Crashed(0, Crash{Held: 6 * megabyte, Requests: 6, SentAt: 0}), "it may have had another cause")
	require.True(t, b.Allows(0, 100*megabyte, megabyte))
	require.True(t, b.Crashed(time.Second, Crash{Held: 4 * megabyte, Requests: 4, SentAt: time.Second}))
	require.Equal(t, 2*megabyte, b.Bound())
	require.True(t, b.Allows(time.Second, megabyte, megabyte))
	require.False(t, b.Allows(time.Second, 2*megabyte, 1))
	require.True(t, b.Allows(time.Second, 0, 3*megabyte), "nothing else is held")
}

// Upstreams crash for many reasons.
func TestCrashesUnderFewBytesSayNothing(t *testing.T) {
	var b Bearing
	for range 10 {
		require.False(t, b.Crashed(0, Crash{Held: MinSuspectBytes - 1, Requests: 10, SentAt: 0}))
	}
	require.True(t, b.Allows(0, megabyte, megabyte))
}

func TestBoundIsRaisedAndForgottenWithoutCrashes(t *testing.T) {
	var b Bearing
	b.Crashed(0, Crash{Held: 4 * megabyte, Requests: 4, SentAt: 0})
	b.Crashed(0, Crash{Held: 4 * megabyte, Requests: 4, SentAt: 0})
	require.False(t, b.Allows(29*time.Second, 2*megabyte, 400*kilobyte))
	require.True(t, b.Allows(30*time.Second, 2*megabyte, 400*kilobyte))
	require.False(t, b.Allows(30*time.Second, 4*megabyte, megabyte))
	require.True(t, b.Allows(time.Hour, 400*megabyte, megabyte))
	require.Zero(t, b.Bound())
}

func TestCrashesFarApartAreNotConnected(t *testing.T) {
	var b Bearing
	b.Crashed(0, Crash{Held: 4 * megabyte, Requests: 4, SentAt: 0})
	require.False(t, b.Crashed(crashMemory, Crash{Held: 4 * megabyte, Requests: 4, SentAt: crashMemory}))
	require.True(t, b.Crashed(crashMemory+time.Second, Crash{Held: 4 * megabyte, Requests: 4, SentAt: crashMemory + time.Second}))
}

// crashAlone records crashes under one request of a size each, one after the other.
func crashAlone(b *Bearing, now time.Duration, sizes ...Bytes) {
	for _, size := range sizes {
		b.Crashed(now, Crash{Held: size, Requests: 1, SentAt: now})
	}
}

func TestRequestsThatCrashUpstreamsAloneAreTooLarge(t *testing.T) {
	var b Bearing
	require.False(t, b.Suspects(0, 9*megabyte))
	crashAlone(&b, 0, 9*megabyte)
	require.True(t, b.Suspects(0, 9*megabyte))
	crashAlone(&b, 0, 8*megabyte)
	require.False(t, b.TooLarge(0, 9*megabyte), "both may have had another cause")
	crashAlone(&b, 0, 8*megabyte)
	require.True(t, b.TooLarge(0, 9*megabyte))
	require.False(t, b.TooLarge(0, 8*megabyte), "two of the three crashes were under as much or less")
	require.True(t, b.Suspects(0, 8*megabyte))
	require.False(t, b.Suspects(0, 8*megabyte-1))
	require.False(t, b.TooLarge(crashMemory, 9*megabyte), "upstreams may have been given more memory")
}

// Requests that upstreams answer were refused after crashes that held one of them by chance.
func TestSizeThatIsAnsweredIsNotTooLarge(t *testing.T) {
	var b Bearing
	b.Answered(0, 2*megabyte, 2*megabyte)
	crashAlone(&b, time.Second, 2*megabyte, 2*megabyte, megabyte, megabyte, megabyte, megabyte)
	require.False(t, b.Suspects(time.Second, 2*megabyte))
	crashAlone(&b, 2*time.Second, 3*megabyte, 3*megabyte, 3*megabyte, 4*megabyte)
	require.True(t, b.TooLarge(2*time.Second, 3*megabyte))
	b.Answered(3*time.Second, 3*megabyte, 3*megabyte)
	require.False(t, b.Suspects(3*time.Second, 3*megabyte))
	require.True(t, b.Suspects(3*time.Second, 4*megabyte))
	require.False(t, b.TooLarge(3*time.Second, 4*megabyte), "only one crash is left")
	crashAlone(&b, 3*time.Second+crashMemory, 3*megabyte)
	require.True(t, b.Suspects(3*time.Second+crashMemory, 3*megabyte), "the answer is long ago")
}

// Several upstreams crash at the same moment, each with one request.
func TestCrashesOfOneMomentCountOnce(t *testing.T) {
	var b Bearing
	for i := range 5 {
		b.Crashed(10*time.Second+time.Duration(i)*time.Millisecond, Crash{Held: megabyte, Requests: 1, SentAt: 9 * time.Second})
	}
	require.True(t, b.Suspects(11*time.Second, megabyte))
	require.False(t, b.TooLarge(11*time.Second, megabyte))
}

// Crashes bounded the bytes of upstreams although many others held as much and answered.
func TestCrashUnderTheUsualBytesBoundsNothing(t *testing.T) {
	var b Bearing
	now := time.Duration(0)
	for i := range 200 {
		now += 50 * time.Millisecond
		b.Answered(now, megabyte, 200<<10)
		if i%60 == 59 {
			require.False(t, b.Crashed(now, Crash{Held: megabyte, Requests: 5, SentAt: now}))
		}
	}
	require.True(t, b.Allows(now, megabyte, megabyte))
	require.False(t, b.Crashed(now, Crash{Held: 2 * megabyte, Requests: 10, SentAt: now}))
	require.True(t, b.Crashed(now, Crash{Held: 2 * megabyte, Requests: 10, SentAt: now}), "nobody answered under so many")
	require.Equal(t, megabyte, b.Bound())
}

// Upstreams that hold too much still answer some requests.
func TestRepeatedCrashesBoundBytesBesideAnswers(t *testing.T) {
	var b Bearing
	now, crashes := time.Duration(0), 0
	for b.Bound() == 0 {
		for range 3 {
			now += 50 * time.Millisecond
			b.Answered(now, megabyte, 200<<10)
		}
		crashes++
		b.Crashed(now, Crash{Held: megabyte, Requests: 5, SentAt: now})
	}
	require.LessOrEqual(t, crashes, crashesToLearn)
}
