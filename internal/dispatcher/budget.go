package dispatcher

import "time"

// RetryBudget is what all gateways together may send beyond the first send of
// each request.
type RetryBudget struct {
	Ratio  float64       // sends for each request
	Slack  float64       // sends in one window beyond that
	Window time.Duration // length of the window
}

// budget is one gateway's part of the allowance for one service. Half of the
// slack may be saved up and half is earned over the window, so that no window
// sees more than all of it.
type budget struct {
	left float64
	at   time.Duration
}

// newBudget returns a budget with the savings of a quiet window.
func newBudget(now time.Duration, a RetryBudget, gateways int) *budget {
	return &budget{left: a.saved(gateways), at: now}
}

// saved is the part of the slack that one of the gateways may save up.
func (a RetryBudget) saved(gateways int) float64 {
	return a.Slack * slackShare / float64(max(1, gateways)) / 2
}

// earn adds what has been earned since the last call, and a share for each of
// the requests.
func (b *budget) earn(now time.Duration, a RetryBudget, gateways, requests int) {
	slack := a.saved(gateways)
	if a.Window > 0 {
		b.left += slack * float64(now-b.at) / float64(a.Window)
	}
	ratio := a.Ratio * ratioShare
	b.left = min(b.left+ratio*float64(requests), slack+ratio)
	b.at = now
}

// spend takes one repeat and tells whether there was one.
func (b *budget) spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
