package apportioner

import (
	"math/rand/v2"
	"time"

	"github.com/egretwall/egretwall/internal/converter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Bounds of what a request of a caller waits, and of what it is told when it is refused.
const (
	maxPendingTime = 100 * time.Millisecond
	silentWait     = 300 * time.Millisecond // told when the issuer does not answer
	minSpread      = 200 * time.Millisecond // of the times at which refused callers may return
	maxSpread      = 2 * time.Second
	maxPendingRows = 200 // requests that may wait for one workspace
)

// Outcome is what becomes of a caller's request.
type Outcome string

// The outcomes of requests.
const (
	Granted Outcome = "granted"
	Pending Outcome = "pending" // until Settled says more
	Refused Outcome = "refused"
)

// Decision is the decision on a request.
type Decision struct {
	Outcome    Outcome
	RetryAfter time.Duration // when there will be room, if the request is refused
	Own        bool          // granted from, or refused by, the gateway's own part of the quota
}

// Settled is a decision on a request that was pending.
type Settled struct {
	ID uint64
	Decision
}

// Config configures an Account.
type Config struct {
	Epoch int64 // of the process; higher than those of earlier ones at its address
	Seed  uint64
}

// AccountCounters counts requests of workspaces with a quota.
type AccountCounters struct {
	Granted int `json:"quota_granted"`
	Refused int `json:"quota_refused"`
	Own     int `json:"quota_own"`    // granted from the gateway's own part, while no issuer counted it
	Silent  int `json:"quota_silent"` // refused since the issuer did not answer in time
}

// Account holds one gateway's tokens of all quotas. It starts without any.
type Account struct {
	cfg      Config
	rng      *rand.Rand
	version  registrar.Version
	balances map[registrar.WorkspaceName]*balance
	order    []registrar.WorkspaceName // of balances
	limited  bool                      // an upstream has a limit
	told     int                       // the largest number of gateways that a steward reports
	settled  []Settled

	issuer      string // empty before the first
	better      string // an issuer that precedes it
	betterSince time.Duration
	silentUntil map[string]time.Duration // issuers that did not answer
	number      uint64                   // of the last request
	request     Request                  // the one under way
	underWay    bool
	askedAt     time.Duration // when it was first sent
	sentAt      time.Duration // when it was last sent
	needed      bool          // a request should be sent without delay
	claimedAt   time.Duration // when a claim was last sent
	counted     bool          // by issuer, according to its last answer
	answeredAt  time.Duration // when the last request that was answered was sent
	heard       bool          // issuer has answered
	gateways    int           // in the last roster, zero before one has been heard
	roster      []Member
	rosterAt    time.Duration
	released    bool // the last issuer has confirmed that it does not count this gateway

	Counters AccountCounters
}

// NewAccount returns an account without quotas. The gateway's earlier process may be counted
// by any issuer.
func NewAccount(cfg Config) *Account {
	return &Account{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3)), balances: map[registrar.WorkspaceName]*balance{}, silentUntil: map[string]time.Duration{},
	}
}

// Configure applies the quotas of a configuration.
func (a *Account) Configure(version registrar.Version, workspaces []registrar.Workspace) {
	a.version = version
	previous := a.balances
	a.balances, a.order = map[registrar.WorkspaceName]*balance{}, nil
	for _, w := range workspaces {
		if !w.Quota.Limited() {
			continue
		}
		b := previous[w.Name]
		if b == nil || b.quota.Unit != w.Quota.Unit && b.quota.Limited() {
			b = &balance{workspace: w.Name}
		}
		if b.quota != w.Quota {
			b.announced, a.needed = 0, true
		}
		b.quota = w.Quota
		a.balances[w.Name] = b
		a.order = append(a.order, w.Name)
	}
	for name, b := range previous {
		if a.balances[name] != b {
			a.grantAll(b)
		}
	}
}

// grantAll settles the requests of a workspace that has no quota any more.
func (a *Account) grantAll(b *balance) {
	for _, p := range b.pending {
		a.settle(p.id, Decision{Outcome: Granted})
	}
	b.pending = nil
}

// Active reports whether there is a quota.
func (a *Account) Active() bool {
	return len(a.order) > 0
}

// Polls reports whether the gateway needs an issuer that counts it.
func (a *Account) Polls() bool {
	return a.Active() || a.limited
}

// SetLimited tells whether an upstream has a limit. If so, the gateway needs an issuer that
// counts it even without quotas.
func (a *Account) SetLimited(limited bool) {
	a.limited = limited
}

// SetGateways tells the largest number of gateways that a steward reports.
func (a *Account) SetGateways(n int) {
	a.told = n
}

// Issuer returns the issuer that the gateway asks, empty without one.
func (a *Account) Issuer() string {
	return a.issuer
}

// Gateways returns the largest number of gateways that share the quotas and limits, as far as
// issuers and reports tell, zero if none has told.
func (a *Account) Gateways() int {
	return max(a.gateways, a.told)
}

// Take decides on a caller's request, which costs tokens of its workspace's quota.
func (a *Account) Take(now time.Duration, id uint64, workspace registrar.WorkspaceName, cost float64) Decision {
	b := a.balances[workspace]
	if b == nil {
		return Decision{Outcome: Granted}
	}
	a.expire(now, b)
	b.note(now, cost)
	switch {
	case len(b.pending) == 0 && b.tokens >= cost:
		b.spend(now, cost)
		return a.granted(false)
	case a.Alone(now):
		return a.takeOwn(now, b, cost)
	case now < b.roomAt || len(b.pending) >= maxPendingRows:
		return a.refused(now, b, max(0, b.roomAt-now))
	}
	b.pending = append(b.pending, pending{id: id, cost: cost, since: now})
	a.needed = true
	return Decision{Outcome: Pending}
}

func (a *Account) granted(own bool) Decision {
	a.Counters.Granted++
	if own {
		a.Counters.Own++
	}
	return Decision{Outcome: Granted, Own: own}
}

// refused returns a refusal for a request that finds room after wait. Callers are spread
// over a longer time the more of them there are.
func (a *Account) refused(now time.Duration, b *balance, wait time.Duration) Decision {
	a.Counters.Refused++
	b.decay(now)
	spread := minSpread
	if b.quota.Rate > 0 {
		excess := b.demand * float64(max(1, a.Gateways())) / b.quota.Rate
		spread = max(minSpread, min(maxSpread, converter.Seconds(excess*minSpread.Seconds())))
	}
	return Decision{Outcome: Refused, RetryAfter: wait + time.Duration(a.rng.Float64()*float64(spread))}
}

// Alone reports whether the gateway uses its own part of the quotas and limits: no issuer
// answers, and none can count it any more.
func (a *Account) Alone(now time.Duration) bool {
	return a.free(now) && !a.hears(now)
}

// hears reports whether an issuer answers.
func (a *Account) hears(now time.Duration) bool {
	return a.answeredAt > 0 && now-a.answeredAt < answerTimeout+maxRequestPeriod
}

// free reports whether no issuer counts this gateway.
func (a *Account) free(now time.Duration) bool {
	return a.released || now-a.claimedAt >= claimTTL+claimMargin
}

// takeOwn decides on a request by the gateway's own part of the quota.
func (a *Account) takeOwn(now time.Duration, b *balance, cost float64) Decision {
	gateways := float64(a.Gateways())
	if a.gateways == 0 {
		gateways = unknownRosterSize
	}
	rate, burst := b.quota.Rate/gateways, b.quota.Burst/gateways
	if b.own.take(now, rate, burst, cost, a.rng.Float64()) {
		return a.granted(true)
	}
	d := a.refused(now, b, b.own.wait(rate, burst, cost))
	d.Own = true
	return d
}

// expire voids tokens that the issuer may have issued anew.
func (a *Account) expire(now time.Duration, b *balance) {
	if now-a.answeredAt >= balanceTTL {
		b.tokens = min(0, b.tokens)
	}
}

// Return gives back the cost of a request that was granted and has not run.
func (a *Account) Return(workspace registrar.WorkspaceName, cost float64) {
	if b := a.balances[workspace]; b != nil {
		b.tokens += cost
	}
}

// Cancel removes a pending request whose caller has left.
func (a *Account) Cancel(workspace registrar.WorkspaceName, id uint64) {
	b := a.balances[workspace]
	if b == nil {
		return
	}
	for i, p := range b.pending {
		if p.id == id {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			return
		}
	}
}

func (a *Account) settle(id uint64, d Decision) {
	a.settled = append(a.settled, Settled{id, d})
}

// Settled returns the decisions on pending requests since its last call, as of now. The
// slice is valid until the next call of a method.
func (a *Account) Settled(now time.Duration) []Settled {
	for _, name := range a.order {
		a.expirePending(now, a.balances[name])
	}
	settled := a.settled
	a.settled = a.settled[:0]
	return settled
}

// expirePending decides on the requests of a workspace that have waited too long, or need
// not wait any more.
func (a *Account) expirePending(now time.Duration, b *balance) {
	for len(b.pending) > 0 {
		p := b.pending[0]
		a.expire(now, b)
		switch {
		case b.tokens >= p.cost:
			b.spend(now, p.cost)
			a.settle(p.id, a.granted(false))
		case a.Alone(now):
			a.settle(p.id, a.takeOwn(now, b, p.cost))
		case now-p.since < maxPendingTime:
			return
		case b.plenty && b.tokens >= 0 && now-b.answeredAt < balanceTTL:
			b.spend(now, p.cost) // one request on credit, which later tokens repay
			a.settle(p.id, a.granted(false))
		default:
			a.Counters.Silent++
			a.settle(p.id, a.refused(now, b, silentWait))
		}
		b.pending = b.pending[1:]
	}
}

// Receive applies an issuer's answer. Any but the one to the request under way is ignored.
func (a *Account) Receive(now time.Duration, answer Answer) {
	if !a.underWay || answer.Epoch != a.cfg.Epoch || answer.Number != a.number {
		return
	}
	a.underWay = false
	a.answeredAt, a.heard = a.askedAt, true
	a.counted = answer.Counted
	if a.request.Release {
		a.released, a.issuer, a.heard = true, "", false
		a.needed = true
	}
	if answer.Gateways > 0 {
		a.gateways = answer.Gateways
	}
	if len(answer.Roster) > 0 {
		a.roster, a.rosterAt = answer.Roster, now
	}
	if now-a.answeredAt >= balanceTTL {
		return
	}
	for _, row := range answer.Rows {
		if b := a.balances[row.Workspace]; b != nil && valid(row.Tokens) {
			a.receiveRow(now, b, row)
		}
	}
}

// receiveRow adds issued tokens, and decides on the requests that asked for them.
func (a *Account) receiveRow(now time.Duration, b *balance, row AnswerRow) {
	b.tokens += row.Tokens
	b.believed += row.Tokens
	b.plenty, b.answeredAt = row.Plenty, now
	b.own = ownPart{}
	b.roomAt = 0
	if row.Wait > 0 || b.wanted && row.Tokens == 0 && !row.Plenty {
		// The next request by the period asks for tokens too.
		b.roomAt = now + max(min(row.Wait, maxWait), b.retryPeriod(a.period()))
	}
	waiting := b.pending
	b.pending = nil
	for _, p := range waiting {
		switch {
		case len(b.pending) == 0 && b.tokens >= p.cost:
			b.spend(now, p.cost)
			a.settle(p.id, a.granted(false))
		case row.Wait > 0:
			a.settle(p.id, a.refused(now, b, min(row.Wait, maxWait)))
		default:
			b.pending = append(b.pending, p)
			a.needed = true
		}
	}
}

// Balance returns the tokens of a workspace and since when the issuer has not answered.
func (a *Account) Balance(now time.Duration, workspace registrar.WorkspaceName) (float64, time.Duration) {
	if b := a.balances[workspace]; b != nil {
		return b.tokens, now - b.answeredAt
	}
	return 0, 0
}

// Unsettled reports whether Settled has decisions to return.
func (a *Account) Unsettled() bool {
	return len(a.settled) > 0
}
