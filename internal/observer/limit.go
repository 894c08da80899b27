package observer

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Bounds on logs.
const (
	linesPerSecond = 150      // a line takes about 20 us; 0.3% of a core
	linesSaved     = 600      // that may be written at once after a quiet time
	linesKept      = 150      // beyond these, for warnings and errors: what failed is worth more than what was served
	linesQueued    = 2 * 1024 // that wait for a slow reader of the output before they are dropped
)

// RateLimiter drops log lines beyond a rate and counts them.
type RateLimiter struct {
	mu      sync.Mutex
	left    float64
	at      time.Time
	dropped atomic.Int64
}

func newLimit() *RateLimiter {
	return &RateLimiter{left: linesSaved + linesKept, at: time.Now()}
}

// Sample tells whether a line may be written.
func (l *RateLimiter) Sample(level zerolog.Level) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.left = min(linesSaved+linesKept, l.left+now.Sub(l.at).Seconds()*linesPerSecond)
	l.at = now
	if l.left < 1 || level < zerolog.WarnLevel && l.left < linesKept+1 {
		l.dropped.Add(1)
		return false
	}
	l.left--
	return true
}

// Dropped counts the lines that were not written.
func (l *RateLimiter) Dropped() int64 {
	return l.dropped.Load()
}

// BoundedLogger is a logger that neither blocks its process nor exceeds a rate.
type BoundedLogger struct {
	zerolog.Logger
	Limiter *RateLimiter
	all     zerolog.Logger // without the limit
	writer  diode.Writer
	told    int64
}

// NewBoundedLogger returns a logger like NewLogger's that drops lines, and
// counts them, when there are too many or w does not take them.
func NewBoundedLogger(w io.Writer, level string) (*BoundedLogger, error) {
	b := &BoundedLogger{Limiter: newLimit()}
	b.writer = diode.NewWriter(w, linesQueued, 0, func(missed int) { b.Limiter.dropped.Add(int64(missed)) })
	logger, err := NewLogger(b.writer, level)
	if err != nil {
		return nil, err
	}
	b.all = logger
	b.Logger = logger.Sample(b.Limiter)
	return b, nil
}

// ReportDropped writes a line if lines were dropped since the last one.
func (b *BoundedLogger) ReportDropped() {
	dropped := b.Limiter.Dropped()
	if dropped == b.told {
		return
	}
	b.all.Warn().Int64("lines", dropped-b.told).Int64("total", dropped).Msg("log lines dropped")
	b.told = dropped
}

// Close writes what is queued.
func (b *BoundedLogger) Close() error {
	return b.writer.Close()
}
