package reconciler

import "math"

// Parameters of demand forecasts.
const (
	riseExtrapolation = 1.8 // multiple of the rise between the two averages that is added, which extrapolates it by about 3 s
	maxForecastRatio  = 3.0 // largest ratio of a forecast of arriving work to fastRate
	noiseStdDevs      = 1.5 // standard deviations of the request count below which a rise is taken for noise
	waitingWorkWeight = 0.5 // share of the waiting work that is added to the work that arrives a second
)

// modelDemand is the demand of all gateways for one model, in prompt tokens.
type modelDemand struct {
	slowRate, fastRate float64 // work that arrives a second, averaged over seconds and over less than one
	recentRequests     float64 // number of requests behind fastRate
	waitingWork        float64 // of requests that wait at gateways
}

// forecast returns the work rate to provide copies for. A rise is extrapolated
// because loads take seconds; a fall is not.
func (d modelDemand) forecast() float64 {
	level := d.slowRate
	noise := noiseStdDevs * d.fastRate / math.Sqrt(max(d.recentRequests, 1))
	if rise := d.fastRate - d.slowRate; rise > noise {
		level = min(d.fastRate+rise*riseExtrapolation, d.fastRate*maxForecastRatio)
	}
	return level + waitingWorkWeight*d.waitingWork
}
