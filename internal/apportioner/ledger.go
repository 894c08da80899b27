package apportioner

import (
	"maps"
	"net/netip"
	"time"

	"github.com/egretwall/egretwall/internal/converter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Bounds of the time that an issuer names until there is room.
const (
	minWait     = 5 * time.Millisecond
	maxWait     = time.Minute
	unknownWait = 500 * time.Millisecond // while the issuer counts no gateway
)

// sweepPeriod is the time between searches for what a ledger can forget.
const sweepPeriod = 250 * time.Millisecond

// steadyTime is the time after which an issuer has heard of all quotas.
const steadyTime = 10 * time.Second

// maxBuckets bounds the workspaces of a ledger.
const maxBuckets = 10_000

// Ledger issues the tokens of all quotas. Every steward has one, and a gateway asks only one
// steward at a time; gateways that know of different stewards may ask different ones. A new
// ledger has saved up nothing, since another issuer may have issued tokens just before.
type Ledger struct {
	roster     *roster
	customers  map[netip.AddrPort]*customer
	buckets    map[registrar.WorkspaceName]*bucket
	counted    int
	countedAt  time.Duration // when counted last rose from zero
	told       int           // the largest number of gateways that customers have named lately
	advancedAt time.Duration
	sweptAt    time.Duration
	served     float64 // integral of the share of gateways counted over time, in seconds
}

// customer is a gateway that has asked for tokens.
type customer struct {
	epoch        int64
	number       uint64 // of the last request
	answer       Answer // to it
	askedAt      time.Duration
	claimedUntil time.Duration // the gateway is counted until then
	told         int           // number of gateways that it named in the last request
	rosterSentAt time.Duration // zero if it has never been
}

// NewLedger returns a ledger that has heard of no gateway.
func NewLedger() *Ledger {
	return &Ledger{roster: newRoster(), customers: map[netip.AddrPort]*customer{}, buckets: map[registrar.WorkspaceName]*bucket{}}
}

// Hear notes a message of a gateway, whatever it says.
func (l *Ledger) Hear(now time.Duration, gateway netip.AddrPort) {
	l.advance(now)
	l.roster.hear(now, gateway)
}

// Leave notes that a gateway shuts down.
func (l *Ledger) Leave(now time.Duration, gateway netip.AddrPort) {
	l.advance(now)
	l.roster.learn(now, Member{Address: gateway, Left: true})
}

// Share returns the part of all quotas and limits that belongs to the gateways that this
// ledger counts, from 0 to 1.
func (l *Ledger) Share(now time.Duration) float64 {
	l.advance(now)
	return l.share()
}

// Served returns the integral of Share over time. It runs as fast as a clock while the ledger
// counts all gateways.
func (l *Ledger) Served(now time.Duration) time.Duration {
	l.advance(now)
	return converter.Seconds(l.served)
}

func (l *Ledger) share() float64 {
	return min(1, float64(l.counted)/float64(max(1, l.gateways())))
}

// gateways returns the number of gateways that share the quotas.
func (l *Ledger) gateways() int {
	return max(l.roster.size, l.told)
}

// advance moves the ledger on to now. If it has not been called for a while, as in a frozen
// process, all claims have ended, and what is saved ends with them: another issuer may have
// issued tokens for that time.
func (l *Ledger) advance(now time.Duration) {
	l.served += l.share() * min(now-l.advancedAt, claimTTL).Seconds()
	l.advancedAt = now
	l.recount(now)
	if now-l.sweptAt >= sweepPeriod {
		l.sweep(now)
	}
}

func (l *Ledger) recount(now time.Duration) {
	before := l.counted
	l.counted, l.told = 0, 0
	for _, c := range l.customers {
		if now < c.claimedUntil {
			l.counted++
		}
		if now-c.askedAt < toldMemory {
			l.told = max(l.told, c.told)
		}
	}
	if before == 0 {
		l.countedAt = now
	}
}

// sweep forgets gateways that don't ask any more, with the tokens that they held.
func (l *Ledger) sweep(now time.Duration) {
	l.sweptAt = now
	l.roster.sweep(now)
	maps.DeleteFunc(l.customers, func(address netip.AddrPort, c *customer) bool {
		if now-c.askedAt < balanceTTL+claimMargin {
			return false
		}
		l.release(address)
		return true
	})
	share := l.share()
	for _, b := range l.buckets {
		b.fill(l.served, share)
	}
}

// release notes that a gateway holds no tokens.
func (l *Ledger) release(gateway netip.AddrPort) {
	for _, b := range l.buckets {
		b.hold(gateway, 0)
	}
}

// Answer answers a gateway's request, and reports false for one that is out of date. A
// request that is repeated gets the same answer again.
func (l *Ledger) Answer(now time.Duration, gateway netip.AddrPort, request Request) (Answer, bool) {
	l.advance(now)
	c := l.customers[gateway]
	switch {
	case c == nil && len(l.customers) >= maxMembers:
		return Answer{}, false
	case c == nil:
		c = &customer{epoch: request.Epoch}
		l.customers[gateway] = c
	case request.Epoch < c.epoch || request.Epoch == c.epoch && request.Number < c.number:
		return Answer{}, false
	case request.Epoch == c.epoch && request.Number == c.number:
		return c.answer, true
	case request.Epoch > c.epoch:
		l.release(gateway)
	}
	c.epoch, c.number, c.askedAt, c.told = request.Epoch, request.Number, now, min(request.Gateways, maxMembers)
	for _, m := range request.Roster {
		l.roster.learn(now, m)
	}
	l.roster.hear(now, gateway)
	switch {
	case request.Release:
		c.claimedUntil = 0
	case request.Claim:
		c.claimedUntil = now + claimTTL
	}
	l.recount(now)
	c.answer = Answer{Epoch: request.Epoch, Number: request.Number, Counted: now < c.claimedUntil, Gateways: l.gateways()}
	for _, row := range request.Rows {
		if b := l.bucketFor(now, row, request.Version); b != nil {
			c.answer.Rows = append(c.answer.Rows, l.issue(b, gateway, row))
		}
	}
	if c.rosterSentAt == 0 || now-c.rosterSentAt >= rosterPeriod {
		c.rosterSentAt = now
		c.answer.Roster = l.roster.list(now)
	}
	return c.answer, true
}

// bucketFor returns the bucket of a row's workspace with the quota of the latest
// configuration that a gateway has told, nil if there is no room for another. Gateways tell a
// new issuer of all quotas at once; one that comes later has just been configured, so that
// nothing has been issued of it.
func (l *Ledger) bucketFor(now time.Duration, row RequestRow, version registrar.Version) *bucket {
	b := l.buckets[row.Workspace]
	if b == nil {
		if len(l.buckets) >= maxBuckets {
			return nil
		}
		b = &bucket{filledAt: l.served, held: map[netip.AddrPort]float64{}, version: -1}
		if l.counted > 0 && now-l.countedAt >= steadyTime && valid(row.Rate) && valid(row.Burst) {
			b.rate, b.burst = row.Rate, row.Burst
			b.saved = b.capacity(l.share())
		}
		l.buckets[row.Workspace] = b
	}
	b.fill(l.served, l.share())
	if version > b.version && valid(row.Rate) && valid(row.Burst) {
		b.version, b.rate, b.burst = version, row.Rate, row.Burst
	}
	return b
}

// issue answers a row.
func (l *Ledger) issue(b *bucket, gateway netip.AddrPort, row RequestRow) AnswerRow {
	if !valid(row.Held) || !valid(row.Need) || !valid(row.First) || !valid(row.Want) || !valid(row.Unit) || !valid(row.Returned) {
		return AnswerRow{Workspace: row.Workspace}
	}
	share := l.share()
	b.hold(gateway, row.Held)
	b.saved += row.Returned
	b.clip(share)
	answer := b.issue(row, share)
	b.hold(gateway, row.Held+answer.Tokens)
	return answer
}

// valid reports whether a number of tokens is one, not negative and not absurd.
func valid(tokens float64) bool {
	return tokens >= 0 && tokens < 1e15
}
