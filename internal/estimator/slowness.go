package estimator

import (
	"slices"
	"time"
)

// Percent is a ratio in hundredths.
type Percent int

// Samples of a runner's slowness that count. All gateways send them.
const (
	slownessLifetime   = time.Minute // a slow runner gets few requests that show whether it still is
	maxSlownessSamples = 31
	minSlownessSamples = 5
)

// Slowness holds how long one runner's answers took between events, relative to those of
// the same model at other runners. It is not safe for concurrent use.
type Slowness struct {
	samples []slownessSample // the oldest first
}

type slownessSample struct {
	at    time.Duration
	ratio Percent
}

// Add records the pace of an answer relative to its model's.
func (s *Slowness) Add(now time.Duration, ratio Percent) {
	if ratio <= 0 {
		return
	}
	if len(s.samples) >= maxSlownessSamples {
		s.samples = slices.Delete(s.samples, 0, len(s.samples)-maxSlownessSamples+1)
	}
	s.samples = append(s.samples, slownessSample{now, ratio})
}

// Reset forgets all samples, since another runner answers.
func (s *Slowness) Reset() {
	s.samples = s.samples[:0]
}

// Value returns the median of the samples: 100 for a runner of about the usual speed, and
// zero if there are too few.
func (s *Slowness) Value(now time.Duration) Percent {
	s.samples = slices.DeleteFunc(s.samples, func(x slownessSample) bool { return now-x.at > slownessLifetime })
	if len(s.samples) < minSlownessSamples {
		return 0
	}
	ratios := make([]Percent, 0, maxSlownessSamples)
	for _, x := range s.samples {
		ratios = append(ratios, x.ratio)
	}
	slices.Sort(ratios)
	return Percent(100*damp(float64(ratios[len(ratios)/2])/100) + 0.5)
}
