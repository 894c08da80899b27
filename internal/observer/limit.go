package observer

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Limits of a BoundedLogger.
const (
	linesPerSecond = 150      // writing a line takes about 20 us, so this is 0.3% of a core
	burstLines     = 600      // that may be written at once after a pause in logging
	reservedLines  = 150      // in addition, for warnings and errors only: failures matter more than served requests
	queuedLines    = 2 * 1024 // that wait for a slow writer before lines are dropped
)

// RateLimiter is a token bucket for log lines that counts the lines it drops. It is a
// zerolog.Sampler, safe for concurrent use.
type RateLimiter struct {
	mu        sync.Mutex
	available float64   // lines that may be written, as of updatedAt
	updatedAt time.Time // last call of Sample
	dropped   atomic.Int64
}

func newRateLimiter() *RateLimiter {
	return &RateLimiter{available: burstLines + reservedLines, updatedAt: time.Now()}
}

// Sample reports whether a line of the given level may be written.
func (l *RateLimiter) Sample(level zerolog.Level) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.available = min(burstLines+reservedLines, l.available+now.Sub(l.updatedAt).Seconds()*linesPerSecond)
	l.updatedAt = now
	if l.available < 1 || level < zerolog.WarnLevel && l.available < reservedLines+1 {
		l.dropped.Add(1)
		return false
	}
	l.available--
	return true
}

// Dropped returns the number of lines dropped so far, because of the rate or because the
// writer was too slow.
func (l *RateLimiter) Dropped() int64 {
	return l.dropped.Load()
}

// BoundedLogger is a logger with a limited rate that doesn't block when its writer does.
type BoundedLogger struct {
	zerolog.Logger
	Limiter         *RateLimiter
	unlimited       zerolog.Logger // without the rate limit
	writer          diode.Writer
	reportedDropped int64 // dropped lines that ReportDropped has logged
}

// NewBoundedLogger returns a logger in the format of NewLogger that drops and counts
// lines when there are too many or w is too slow. The error is of kind Invalid if the
// level is unknown.
func NewBoundedLogger(w io.Writer, level string) (*BoundedLogger, error) {
	b := &BoundedLogger{Limiter: newRateLimiter()}
	b.writer = diode.NewWriter(w, queuedLines, 0, func(missed int) { b.Limiter.dropped.Add(int64(missed)) })
	logger, err := NewLogger(b.writer, level)
	if err != nil {
		return nil, err
	}
	b.unlimited = logger
	b.Logger = logger.Sample(b.Limiter)
	return b, nil
}

// ReportDropped logs how many lines were dropped since its last call, if any. It is not
// safe for concurrent use.
func (b *BoundedLogger) ReportDropped() {
	dropped := b.Limiter.Dropped()
	if dropped == b.reportedDropped {
		return
	}
	b.unlimited.Warn().Int64("lines", dropped-b.reportedDropped).Int64("total", dropped).Msg("log lines dropped")
	b.reportedDropped = dropped
}

// Close writes the queued lines and stops the logger.
func (b *BoundedLogger) Close() error {
	return b.writer.Close()
}
