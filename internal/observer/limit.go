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

// Limit drops log lines beyond a rate and counts them.
type Limit struct {
	mu      sync.Mutex
	left    float64
	at      time.Time
	dropped atomic.Int64
}

func newLimit() *Limit {
	return &Limit{left: linesSaved + linesKept, at: time.Now()}
}

// Sample tells whether a line may be written.
func (l *Limit) Sample(level zerolog.Level) bool {
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
func (l *Limit) Dropped() int64 {
	return l.dropped.Load()
}

// BoundedLog is a logger that neither blocks its process nor exceeds a rate.
type BoundedLog struct {
	zerolog.Logger
	Limit  *Limit
	all    zerolog.Logger // without the limit
	writer diode.Writer
	told   int64
}

// NewBoundedLogger returns a logger like NewLogger's that drops lines, and
// counts them, when there are too many or w does not take them.
func NewBoundedLogger(w io.Writer, level string) (*BoundedLog, error) {
	b := &BoundedLog{Limit: newLimit()}
	b.writer = diode.NewWriter(w, linesQueued, 0, func(missed int) { b.Limit.dropped.Add(int64(missed)) })
	logger, err := NewLogger(b.writer, level)
	if err != nil {
		return nil, err
	}
	b.all = logger
	b.Logger = logger.Sample(b.Limit)
	return b, nil
}

// Report writes a line if lines were dropped since the last one.
func (b *BoundedLog) Report() {
	dropped := b.Limit.Dropped()
	if dropped == b.told {
		return
	}
	b.all.Warn().Int64("lines", dropped-b.told).Int64("total", dropped).Msg("log lines dropped")
	b.told = dropped
}

// Close writes what is queued.
func (b *BoundedLog) Close() error {
	return b.writer.Close()
}
