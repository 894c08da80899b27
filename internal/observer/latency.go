package observer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of recorded latencies.
const (
	latencyLeast  = 100 * time.Microsecond
	latencyMost   = time.Minute
	latencyDigits = 2 // significant ones
)

// LatencyHistogram is a histogram of durations.
type LatencyHistogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{h: hdrhistogram.New(latencyLeast.Microseconds(), latencyMost.Microseconds(), latencyDigits)}
}

// Record adds a duration; those outside of the range count as its bounds.
func (l *LatencyHistogram) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A value inside of the bounds is always recorded.
	_ = l.h.RecordValue(min(max(d, latencyLeast), latencyMost).Microseconds())
}

// LatencySummary describes a histogram, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Summary returns the quantiles so far.
func (l *LatencyHistogram) Summary() LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
	return LatencySummary{Count: l.h.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), Max: float64(l.h.Max()) / 1000}
}
