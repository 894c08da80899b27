package observer

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLinesBeyondTheRateAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limit{left: linesSaved, at: time.Now()}
		written := 0
		for range 2000 {
			if l.Sample(0) {
				written++
			}
		}
		require.Equal(t, linesSaved, written)
		require.EqualValues(t, 2000-linesSaved, l.Dropped())
		time.Sleep(time.Second)
		for range 2000 {
			if l.Sample(0) {
				written++
			}
		}
		require.Equal(t, linesSaved+linesPerSecond, written)
	})
}

func TestDroppedLinesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // no time passes in which the limit would grow
		var out bytes.Buffer
		b, err := NewBoundedLogger(&out, "info")
		require.NoError(t, err)
		for range linesSaved + 5 {
			b.Info().Msg("line")
		}
		b.Report()
		b.Report()
		require.NoError(t, b.Close())
		require.Equal(t, 1, strings.Count(out.String(), "log lines dropped"))
		require.Contains(t, out.String(), "lines=5")
	})
}

// A reader that takes nothing must not hold the process up.
func TestBlockedOutputDoesNotBlock(t *testing.T) {
	blocked := make(chan struct{})
	b, err := NewBoundedLogger(writerFunc(func(p []byte) (int, error) {
		<-blocked
		return len(p), nil
	}), "info")
	require.NoError(t, err)
	for range linesSaved {
		b.Info().Msg("line")
	}
	close(blocked)
	require.NoError(t, b.Close())
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
