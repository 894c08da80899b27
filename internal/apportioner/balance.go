package apportioner

import (
	"math"
	"time"

	"github.com/egretwall/egretwall/internal/converter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Sizes of the balances of gateways.
const (
	scarcePeriods   = 1.5                     // of requests to the issuer, for which a gateway holds tokens while there are few
	plentyTime      = 1500 * time.Millisecond // for which it holds tokens while there are many
	usedTime        = 10 * time.Second        // after a request, for which it then holds tokens for the next
	demandTime      = time.Second             // over which demand is averaged
	spendingTime    = 300 * time.Millisecond  // over which spending is; short, so that tokens follow callers that move
	returnedExcess  = 0.25                    // share of its target by which a balance must exceed it to be returned
	retriesPerBurst = 8                       // requests to the issuer, while it has no room, in the time in which a burst is saved up
	usualCostShare  = 0.1                     // weight of the last request in the usual cost
)

// balance is what a gateway holds of a workspace's quota.
type balance struct {
	workspace  registrar.WorkspaceName
	quota      registrar.Quota
	tokens     float64 // negative after a request that was granted on credit
	demand     float64 // tokens per second that callers ask for, averaged over demandTime
	spending   float64 // tokens per second that were granted, averaged over spendingTime
	averagedAt time.Duration
	usualCost  float64 // of a request
	takenAt    time.Duration
	plenty     bool          // the last answer said so
	answeredAt time.Duration // of the last answer with a row for the workspace
	roomAt     time.Duration // the issuer has no room before it
	wanted     bool          // the last request asked for tokens only for requests to come
	believed   float64       // tokens that the issuer believes the gateway to hold
	announced  uint64        // number of the request that told the issuer of the quota, zero if none has
	pending    []pending
	own        ownPart
}

// pending is a request that waits for an answer of the issuer.
type pending struct {
	id    uint64
	cost  float64
	since time.Duration
	asked uint64 // number of the request to the issuer that asked for it, zero if none has
}

// note counts a request of a caller.
func (b *balance) note(now time.Duration, cost float64) {
	b.decay(now)
	b.demand += cost / demandTime.Seconds()
	b.takenAt = now
	if b.usualCost == 0 {
		b.usualCost = cost
	}
	b.usualCost += (cost - b.usualCost) * usualCostShare
}

func (b *balance) decay(now time.Duration) {
	b.demand *= math.Exp(-float64(now-b.averagedAt) / float64(demandTime))
	b.spending *= math.Exp(-float64(now-b.averagedAt) / float64(spendingTime))
	b.averagedAt = now
}

// spend removes the cost of a request.
func (b *balance) spend(now time.Duration, cost float64) {
	b.decay(now)
	b.spending += cost / spendingTime.Seconds()
	b.tokens -= cost
}

// target returns the tokens to hold for requests to come. Without enough use for a
// request within the time, it is zero unless there are many tokens.
func (b *balance) target(now, period time.Duration) float64 {
	b.decay(now)
	if b.plenty {
		if b.takenAt == 0 || now-b.takenAt >= usedTime {
			return 0
		}
		return max(b.usualCost, b.demand*plentyTime.Seconds())
	}
	if t := b.spending * scarcePeriods * period.Seconds(); t >= b.usualCost {
		return t
	}
	return 0
}

// retryPeriod returns the time after a denial before the issuer is asked again. It is
// shorter than the period if tokens would not be saved up for so long.
func (b *balance) retryPeriod(period time.Duration) time.Duration {
	saved := max(minBurstTime, converter.Seconds(b.quota.Burst/b.quota.Rate))
	return min(period, saved/retriesPerBurst)
}

// row returns the row of the balance in a request with a number, and false if there is
// nothing to say. Tokens that are returned leave the balance.
func (b *balance) row(now, period time.Duration, number uint64) (RequestRow, bool) {
	row := RequestRow{Workspace: b.workspace, Rate: b.quota.Rate, Burst: b.quota.Burst}
	target := b.target(now, period)
	b.wanted = false
	for i := range b.pending {
		row.Need += b.pending[i].cost
		b.pending[i].asked = number
	}
	if row.Need > 0 {
		row.First = max(0, b.pending[0].cost-b.tokens)
		row.Need = max(row.First, row.Need-b.tokens)
		row.Want = target
	} else if excess := b.tokens - target; excess > returnedExcess*target {
		row.Returned = excess
		b.tokens -= excess
	} else {
		row.Want = max(0, -excess)
		b.wanted = row.Want > 0
	}
	if row.Want > 0 && target > 0 {
		row.Unit = b.usualCost
	}
	row.Held = max(0, b.tokens)
	believed := b.believed
	b.believed = row.Held
	if b.announced == 0 {
		b.announced = number
		return row, true
	}
	row.Unit = min(row.Unit, row.Want)
	return row, row.Need > 0 || row.Want > 0 || row.Returned > 0 || row.Held > 0 || believed > 0
}
