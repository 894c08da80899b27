package apportioner

import (
	"time"

	"github.com/egretwall/egretwall/internal/converter"
)

// ownPart is a gateway's own part of a quota, which it uses while no issuer counts it.
type ownPart struct {
	started  bool
	tokens   float64 // negative after a request that cost more than was saved up
	filledAt time.Duration
}

// take removes the cost of a request and reports whether there was room for it. The first
// one finds the part as if it had been used before, up to a random share of its cost: all
// gateways may begin to use their parts at the same time.
func (o *ownPart) take(now time.Duration, rate, burst, cost, random float64) bool {
	if !o.started {
		*o = ownPart{started: true, tokens: -random * cost, filledAt: now}
	}
	capacity := max(burst, rate*minBurstTime.Seconds())
	o.tokens = min(capacity, o.tokens+rate*(now-o.filledAt).Seconds())
	o.filledAt = now
	if o.tokens < min(cost, capacity) {
		return false
	}
	o.tokens -= cost
	return true
}

// wait returns how long it takes until there is room for a request.
func (o *ownPart) wait(rate, burst, cost float64) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	need := min(cost, max(burst, rate*minBurstTime.Seconds())) - o.tokens
	return max(minWait, min(maxWait, converter.Seconds(need/rate)))
}
