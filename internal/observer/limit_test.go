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

func TestDroppedLinesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newRateLimiter()
		written := 0
		for range 2000 {
			if l.Sample(0) {
				written++
			}
		}
		require.Equal(t, burstLines, written)
		require.EqualValues(t, 2000-burstLines, l.Dropped())
		time.Sleep(time.Second)
		for range 2000 {
			if l.Sample(0) {
				written++
			}
		}
		require.Equal(t, burstLines+linesPerSecond, written)
	})
}

func TestDroppedLinesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // the clock stands still, so that no more lines become available
		var out bytes.Buffer
		b, err := NewBoundedLogger(&out, "info")
		require.NoError(t, err)
		for range burstLines + 5 {
			b.Info().Msg("line")
		}
		b.ReportDropped()
		b.ReportDropped()
		require.NoError(t, b.Close())
		require.Equal(t, 1, strings.Count(out.String(), "log lines dropped"))
		require.Contains(t, out.String(), "lines=5")
	})
}

// A writer that blocks must not block the goroutines that log.
func TestBlockedOutputDoesNotBlock(t *testing.T) {
	blocked := make(chan struct{})
	b, err := NewBoundedLogger(writerFunc(func(p []byte) (int, error) {
		<-blocked
		return len(p), nil
	}), "info")
	require.NoError(t, err)
	for range burstLines {
		b.Info().Msg("line")
	}
	close(blocked)
	require.NoError(t, b.Close())
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func TestReservedLinesAreForWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newRateLimiter()
		for range 10 * burstLines {
			l.Sample(zerolog.InfoLevel)
		}
		require.False(t, l.Sample(zerolog.InfoLevel))
		for range reservedLines {
			require.True(t, l.Sample(zerolog.WarnLevel))
		}
		require.False(t, l.Sample(zerolog.WarnLevel))
	})
}

func BenchmarkLine(b *testing.B) {
	logger, err := NewBoundedLogger(io.Discard, "info")
	require.NoError(b, err)
	for b.Loop() {
		logger.unlimited.Info().Str("request", "5029659ce532bbf6").Str("upstream", "i-c65cfd048c").Int("try", 1).Int64("held", 3).
			Int64("took", 104).Int64("age", 80).Int("waiting", 2).Int64("version", 22).Msg("request served")
	}
}
