package apportioner

import (
	"net/netip"
	"time"

	"github.com/egretwall/egretwall/internal/converter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// minBurstTime is the time over which a quota with a small burst may be saved up.
const minBurstTime = 250 * time.Millisecond

// bucket holds the tokens of a workspace that its issuer may issue.
type bucket struct {
	version  registrar.Version // of the configuration that the quota is from
	rate     float64
	burst    float64
	saved    float64                    // tokens, negative after a request that cost more than the burst
	filledAt float64                    // value of Ledger.served up to which saved is filled
	held     map[netip.AddrPort]float64 // tokens that gateways hold
	heldSum  float64
	issued   float64 // since the start
	denied   float64
}

// capacity returns the number of tokens that may be saved up at the issuer and the
// gateways together, for a share of the quota.
func (b *bucket) capacity(share float64) float64 {
	return max(b.burst, b.rate*minBurstTime.Seconds()) * share
}

// fill adds the tokens for the time since the last call. Tokens at gateways count as saved
// up, so that all of them together are never more than the burst.
func (b *bucket) fill(served, share float64) {
	b.saved += b.rate * (served - b.filledAt)
	b.filledAt = served
	b.clip(share)
}

func (b *bucket) clip(share float64) {
	b.saved = min(b.saved, max(0, b.capacity(share)-b.heldSum))
}

// hold notes how many tokens a gateway holds.
func (b *bucket) hold(gateway netip.AddrPort, tokens float64) {
	b.heldSum += tokens - b.held[gateway]
	if tokens > 0 {
		b.held[gateway] = tokens
		return
	}
	delete(b.held, gateway)
	if len(b.held) == 0 {
		b.heldSum = 0
	}
}

// issue returns the tokens for a row and how long there is no room for its first request,
// zero if there is.
func (b *bucket) issue(row RequestRow, share float64) AnswerRow {
	answer := AnswerRow{Workspace: row.Workspace}
	capacity := b.capacity(share)
	if row.Need > 0 {
		first := min(row.First, row.Need)
		switch {
		case b.saved >= first:
			answer.Tokens = min(b.saved, row.Need)
			if answer.Tokens < row.Need {
				answer.Wait = b.wait(b.saved+min(first, row.Need-answer.Tokens), share)
				b.denied += row.Need - answer.Tokens
			}
		case capacity > 0 && b.saved >= max(0, capacity-b.heldSum):
			answer.Tokens = first // there will never be more; the debt delays the next request
		default:
			answer.Wait = b.wait(min(first, max(0, capacity-b.heldSum)), share)
			b.denied += row.Need
		}
	}
	left := b.saved - answer.Tokens
	answer.Plenty = left > 0 && left >= capacity/2
	if want := row.Want; want > 0 && left > 0 && answer.Wait == 0 {
		limit := left - capacity/2 // that half is for requests that wait, at whatever gateway
		if !answer.Plenty {
			limit = max(left/2, min(left, row.Unit))
		}
		answer.Tokens += wholeUnits(min(want, limit), row.Unit)
	}
	b.saved -= answer.Tokens
	b.issued += answer.Tokens
	return answer
}

// wait returns how long it takes until there are tokens for a request.
func (b *bucket) wait(tokens, share float64) time.Duration {
	rate := b.rate * share
	if rate <= 0 {
		return unknownWait
	}
	return max(minWait, min(maxWait, converter.Seconds((tokens-b.saved)/rate)))
}

// wholeUnits returns the largest multiple of unit up to tokens, since smaller parts at many
// gateways would serve no request.
func wholeUnits(tokens, unit float64) float64 {
	if unit <= 0 {
		return tokens
	}
	return float64(int64(tokens/unit)) * unit
}
