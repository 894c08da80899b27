package reconciler

import "math"

// Limits of forecasts.
const (
	aheadSlopes   = 1.8 // a rise between the two averages is extended by so many times itself, about 3 s
	mostRise      = 3.0 // times the recent demand that a forecast may be
	noiseBounds   = 1.5 // standard deviations of a count below which a rise is taken for noise
	waitingWeight = 0.5 // of the work that waits, which comes on top of what arrives a second
)

// forecast sums up the demand of all gateways for one model.
type forecast struct {
	steady, recent float64 // work a second, over seconds and over less than one
	sample         float64 // requests that recent is from
	waiting        float64
}

// work is the demand that copies should be loaded for. Loads take seconds, so
// that a rise is extended; a fall is taken as it comes.
func (f forecast) work() float64 {
	level := f.steady
	noise := noiseBounds * f.recent / math.Sqrt(max(f.sample, 1))
	if rise := f.recent - f.steady; rise > noise {
		level = min(f.recent+rise*aheadSlopes, f.recent*mostRise)
	}
	return level + waitingWeight*f.waiting
}
