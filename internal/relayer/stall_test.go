package relayer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

func TestStallTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stalls atomic.Int32
		s := newStallTimer(dispatcher.Send{FirstTimeout: time.Second, GapTimeout: 300 * time.Millisecond}, func() { stalls.Add(1) })
		time.Sleep(900 * time.Millisecond)
		s.reset()
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		require.Zero(t, stalls.Load())
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 2, stalls.Load(), "after the gap timeout and after another one")
		s.stop()
		time.Sleep(time.Minute)
		synctest.Wait()
		require.EqualValues(t, 2, stalls.Load())
	})
}

// Guards against pauses of an upstream that nobody learns of because they are shorter than
// the timeout of a stall.
func TestStallTimerTellsTheLongestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStallTimer(dispatcher.Send{FirstTimeout: 500 * time.Millisecond, GapTimeout: 300 * time.Millisecond}, func() {})
		defer s.stop()
		time.Sleep(900 * time.Millisecond) // before the first part; no pause
		for _, pause := range []time.Duration{40, 700, 90} {
			s.reset()
			time.Sleep(pause * time.Millisecond)
		}
		s.reset()
		require.Equal(t, 700*time.Millisecond, s.pause())
	})
}
