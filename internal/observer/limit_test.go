package observer

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func TestLinesBeyondTheRateAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimit()
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
		b.ReportDropped()
		b.ReportDropped()
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

func TestFailuresAreLoggedWhenThereAreTooManyLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimit()
		for range 10 * linesSaved {
			l.Sample(zerolog.InfoLevel)
		}
		require.False(t, l.Sample(zerolog.InfoLevel))
		for range linesKept {
			require.True(t, l.Sample(zerolog.WarnLevel))
		}
		require.False(t, l.Sample(zerolog.WarnLevel))
	})
}

func BenchmarkLine(b *testing.B) {
	logger, err := NewBoundedLogger(io.Discard, "info")
	require.NoError(b, err)
	for b.Loop() {
		logger.all.Info().Str("request", "5029659ce532bbf6").Str("upstream", "i-c65cfd048c").Int("try", 1).Int64("held", 3).
			Int64("took", 104).Int64("age", 80).Int("waiting", 2).Int64("version", 22).Msg("request served")
	}
}
