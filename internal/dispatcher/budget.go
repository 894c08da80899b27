package dispatcher

import "time"

// RetryBudget limits the retries that all gateways together make for a service.
type RetryBudget struct {
	Ratio  float64       // retries per request
	Slack  float64       // retries per window beyond these
	Window time.Duration // span over which retries are counted
}

// tokenBucket holds one gateway's part of the retry budget for one service, a token
// per retry. Its capacity is half of the part's slack, and the other half is refilled
// over a window, so that no window sees more retries than the whole slack.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// newTokenBucket returns a full bucket.
func newTokenBucket(now time.Duration, budget RetryBudget, gateways int) *tokenBucket {
	return &tokenBucket{tokens: budget.capacity(gateways), refilledAt: now}
}

// capacity returns the number of tokens that one of the gateways may save up.
func (r RetryBudget) capacity(gateways int) float64 {
	return r.Slack * slackShare / float64(max(1, gateways)) / 2
}

// refill adds the tokens for the time since the last call and for new requests.
func (b *tokenBucket) refill(now time.Duration, budget RetryBudget, gateways, requests int) {
	capacity := budget.capacity(gateways)
	if budget.Window > 0 {
		b.tokens += capacity * float64(now-b.refilledAt) / float64(budget.Window)
	}
	perRequest := budget.Ratio * ratioShare
	b.tokens = min(b.tokens+perRequest*float64(requests), capacity+perRequest)
	b.refilledAt = now
}

// take removes a token and reports whether there was one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
