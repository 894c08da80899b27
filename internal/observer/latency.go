package observer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of recorded latencies.
const (
	minLatency        = 100 * time.Microsecond
	maxLatency        = time.Minute
	significantDigits = 2 // decimal digits of a recorded value
)

// LatencyHistogram counts durations by size. It is safe for concurrent use.
type LatencyHistogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{h: hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)}
}

// Record adds a duration. One outside of the range counts as the nearest bound.
func (l *LatencyHistogram) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for values outside of the range.
	_ = l.h.RecordValue(min(max(d, minLatency), maxLatency).Microseconds())
}

// LatencySummary holds the quantiles of a histogram in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"` // recorded durations
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Summary returns the quantiles of all durations recorded so far.
func (l *LatencyHistogram) Summary() LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
	return LatencySummary{Count: l.h.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), Max: float64(l.h.Max()) / 1000}
}
