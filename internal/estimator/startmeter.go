package estimator

import (
	"math"
	"time"
)

const (
	startRateTimeConstant = time.Second     // over which the rate while requests wait is averaged
	sustainedTimeConstant = 5 * time.Second // over which the rate is averaged whether or not requests wait; longer than bursts of short prompts
	minStartRate          = 0.1             // answers per second; an engine whose rate was measured is never taken for one of unknown rate
)

// Progress is how far an engine has come with one request.
type Progress struct {
	Request string
	Events  int // of the answer, that it has made
}

// StartMeter measures how many answers an engine begins per second while requests wait for it.
// It is not safe for concurrent use.
type StartMeter struct {
	begun      map[string]bool // requests whose answers had begun at observedAt
	waiting    bool            // requests waited then
	observedAt time.Duration
	busyRate   float64 // answers begun per second while requests waited, zero before any did
	rate       float64 // answers begun per second, over a longer time
}

// Observe takes the progress of the requests that the engine runs, and how many wait for it.
func (m *StartMeter) Observe(now time.Duration, running []Progress, waiting int) {
	begun, fresh := make(map[string]bool, len(running)), 0
	for _, p := range running {
		if p.Events == 0 {
			continue // its prompt is being read
		}
		begun[p.Request] = true
		if !m.begun[p.Request] {
			fresh++
		}
	}
	if elapsed := (now - m.observedAt).Seconds(); elapsed > 0 {
		rate, weight := float64(fresh)/elapsed, -math.Expm1(-elapsed/startRateTimeConstant.Seconds())
		m.rate += (rate - m.rate) * -math.Expm1(-elapsed/sustainedTimeConstant.Seconds())
		switch {
		case !m.waiting || waiting == 0:
		case m.busyRate == 0:
			m.busyRate = max(rate, minStartRate)
		default:
			m.busyRate = max(m.busyRate+(rate-m.busyRate)*weight, minStartRate)
		}
	}
	m.begun, m.waiting, m.observedAt = begun, waiting > 0, now
}

// StartRate returns how many answers the engine begins per second while requests wait, zero
// while that is unknown. It is at least the sustained rate: an engine that gets no more than it
// was once able to begin would otherwise never show that it can begin more.
func (m *StartMeter) StartRate() float64 {
	if m.busyRate == 0 {
		return 0
	}
	return max(m.busyRate, m.rate)
}
