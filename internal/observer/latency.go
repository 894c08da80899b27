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

// bucketBounds are the upper bounds of the buckets of a histogram in the Prometheus format.
var bucketBounds = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, 4 * time.Second, 8 * time.Second, 15 * time.Second, 30 * time.Second,
}

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

	sum     float64 // seconds
	buckets []int64 // durations up to each of bucketBounds
}

// Summary returns the quantiles of all durations recorded so far.
func (l *LatencyHistogram) Summary() LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
	s := LatencySummary{
		Count: l.h.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), Max: float64(l.h.Max()) / 1000,
		sum: l.h.Mean() * float64(l.h.TotalCount()) / 1e6, buckets: make([]int64, len(bucketBounds)),
	}
	for _, bar := range l.h.Distribution() {
		for i, bound := range bucketBounds {
			if bar.From <= bound.Microseconds() {
				s.buckets[i] += bar.Count
			}
		}
	}
	return s
}
