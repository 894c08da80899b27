package estimator

import (
	"math"
	"time"
)

// startRateTimeConstant is the time over which the rate of an engine is averaged. Only time
// in which requests wait for it counts.
const startRateTimeConstant = time.Second

// Progress is how far an engine has come with one request.
type Progress struct {
	Request string
	Events  int // of the answer, that it has made
}

// Engine measures how many answers an engine begins per second while requests wait for it.
// It is not safe for concurrent use.
type Engine struct {
	begun      map[string]bool // requests whose answers had begun at observedAt
	waiting    bool            // requests waited then
	observedAt time.Duration
	rate       float64
}

// Observe takes the progress of the requests that the engine runs, and how many wait for it.
func (e *Engine) Observe(now time.Duration, running []Progress, waiting int) {
	begun, fresh := make(map[string]bool, len(running)), 0
	for _, p := range running {
		if p.Events == 0 {
			continue // its prompt is being read
		}
		begun[p.Request] = true
		if !e.begun[p.Request] {
			fresh++
		}
	}
	if elapsed := (now - e.observedAt).Seconds(); elapsed > 0 && e.waiting && waiting > 0 {
		rate := float64(fresh) / elapsed
		if e.rate == 0 {
			e.rate = rate
		} else {
			e.rate += (rate - e.rate) * -math.Expm1(-elapsed/startRateTimeConstant.Seconds())
		}
	}
	e.begun, e.waiting, e.observedAt = begun, waiting > 0, now
}

// StartRate returns how many answers the engine begins per second while requests wait, zero
// while that is unknown.
func (e *Engine) StartRate() float64 {
	return e.rate
}
