package estimator

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Samples that count.
const (
	sampleLifetime = 10 * time.Second
	maxSamples     = 15 // per model, the latest
	minSamples     = 3  // fewer tell nothing, since one may be far off
)

// sample is the pace of one answer.
type sample struct {
	at   time.Duration
	pace time.Duration
}

// Paces holds the paces of the last answers that a gateway relayed. It is not safe for
// concurrent use.
type Paces struct {
	byModel map[registrar.ModelName][]sample // the oldest first
}

// NewPaces returns a Paces without answers.
func NewPaces() *Paces {
	return &Paces{byModel: map[registrar.ModelName][]sample{}}
}

// Add records the mean time between the events of an answer.
func (p *Paces) Add(now time.Duration, m registrar.ModelName, pace time.Duration) {
	if pace <= 0 {
		return
	}
	samples := p.byModel[m]
	if len(samples) >= maxSamples {
		samples = slices.Delete(samples, 0, len(samples)-maxSamples+1)
	}
	p.byModel[m] = append(samples, sample{now, pace})
}

// Pace returns the median pace of a model's last answers, and false if there are too few.
func (p *Paces) Pace(now time.Duration, m registrar.ModelName) (time.Duration, bool) {
	samples := slices.DeleteFunc(p.byModel[m], func(s sample) bool { return now-s.at > sampleLifetime })
	if len(samples) == 0 {
		delete(p.byModel, m)
		return 0, false
	}
	p.byModel[m] = samples
	if len(samples) < minSamples {
		return 0, false
	}
	sorted := make([]time.Duration, 0, maxSamples)
	for _, s := range samples {
		sorted = append(sorted, s.pace)
	}
	slices.Sort(sorted)
	return sorted[len(sorted)/2], true
}
