package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/apportioner"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Timing of quotas.
const (
	costLifetime  = time.Second            // after a request was admitted, for which its cost is given back if it is refused; later its tokens may have been issued anew
	maxIssuers    = 8                      // stewards from which a gateway chooses one; more than fail to answer at the same time
	quotaLogDelay = time.Second            // between log lines about refusals of one workspace's requests
	issuerPeriod  = 100 * time.Millisecond // between listings of the stewards that issue tokens and permits
)

// QuotaAnswered carries an issuer's answer to RequestTokens.
type QuotaAnswered struct{ Answer apportioner.Answer }

// RequestTokens asks a steward for tokens of workspaces' quotas.
type RequestTokens struct {
	Address string // of the steward's runner
	Request apportioner.Request
}

func (QuotaAnswered) event()  {}
func (RequestTokens) effect() {}

// quotaState is what a dispatcher keeps of quotas beside its account.
type quotaState struct {
	issuers         []string // addresses of runners whose stewards report, the first in rendezvous order first
	issuersListedAt time.Duration
	refusals        map[registrar.WorkspaceName]*refusalLog
}

// refusalLog bounds the log lines about one workspace.
type refusalLog struct {
	loggedAt time.Duration
	count    int // refusals since then
}

// costOf returns what a request costs of its workspace's quota.
func costOf(r *request) float64 {
	if r.Workspace.Quota.Unit != registrar.UnitTokens {
		return 1
	}
	if tokens := r.PromptTokens + r.OutputTokens; tokens > 0 {
		return float64(tokens)
	}
	return float64(r.Workspace.Quota.DefaultTokens)
}

// passesQuota reports whether the quota of its workspace has room for a request. Otherwise
// the request is refused, or waits for the issuer's answer.
func (d *Dispatcher) passesQuota(r *request) bool {
	if r.Workspace == nil || !d.account.Active() {
		return true
	}
	decision := d.account.Take(d.now, uint64(r.ID), r.Workspace.Name, costOf(r))
	switch decision.Outcome {
	case apportioner.Pending:
		r.quotaPending = true
		d.requestTokens()
		return false
	case apportioner.Refused:
		d.refuseByQuota(r, decision)
		return false
	}
	r.quotaPassed, r.quotaPassedAt = true, d.now
	return true
}

// settleQuotas admits or refuses the requests that have waited for an issuer.
func (d *Dispatcher) settleQuotas() {
	for _, s := range slices.Clone(d.account.Settled(d.now)) {
		r := d.requests[RequestID(s.ID)]
		if r == nil || !r.quotaPending {
			continue
		}
		r.quotaPending = false
		if s.Outcome == apportioner.Refused {
			d.refuseByQuota(r, s.Decision)
			continue
		}
		r.quotaPassed, r.quotaPassedAt = true, d.now
		d.takeIn(r)
	}
	d.requestTokens()
}

// requestTokens sends the request to the issuer that is due, if any.
func (d *Dispatcher) requestTokens() {
	if !d.account.Polls() {
		return
	}
	if request, address, ok := d.account.Poll(d.now, d.quotaIssuers()); ok {
		d.emit(RequestTokens{Address: address, Request: request})
	}
}

// quotaIssuers returns the addresses of the runners whose stewards report, in an order on
// which all gateways agree.
func (d *Dispatcher) quotaIssuers() []string {
	if len(d.quotas.issuers) > 0 && d.now < d.quotas.issuersListedAt+issuerPeriod {
		return d.quotas.issuers
	}
	type candidate struct {
		address string
		score   uint64
	}
	var candidates []candidate
	for _, u := range d.upstreams {
		if u.reported && d.now-u.reportedAt < reportTimeout {
			candidates = append(candidates, candidate{u.info.Address, placer.Score("quotas", u.info.Address)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	d.quotas.issuersListedAt, d.quotas.issuers = d.now, d.quotas.issuers[:0]
	for _, c := range candidates[:min(len(candidates), maxIssuers)] {
		d.quotas.issuers = append(d.quotas.issuers, c.address)
	}
	return d.quotas.issuers
}

// refuseByQuota refuses a request beyond its workspace's quota.
func (d *Dispatcher) refuseByQuota(r *request, decision apportioner.Decision) {
	d.Counters.Refused++
	name := r.Workspace.Name
	known := d.quotas.refusals[name]
	if known == nil {
		known = &refusalLog{loggedAt: d.now - quotaLogDelay}
		d.quotas.refusals[name] = known
	}
	known.count++
	if d.now >= known.loggedAt+quotaLogDelay {
		entry := d.logEvent(BeyondQuota, r, nil)
		entry.Kind, entry.Workspace, entry.Cost, entry.Refusals = classifier.Limited, name, costOf(r), known.count
		entry.Balance, entry.BalanceAge = d.account.Balance(d.now, name)
		entry.RetryAfter, entry.OwnPart = decision.RetryAfter, decision.Own
		d.emit(entry)
		known.loggedAt, known.count = d.now, 0
	}
	d.emit(Fail{ID: r.ID, Kind: classifier.Limited, RetryAfter: decision.RetryAfter})
	d.forget(r)
}

// returnCost gives back what a request cost of its workspace's quota if it has not run.
func (d *Dispatcher) returnCost(r *request) {
	switch {
	case r.Workspace == nil || !d.account.Active() || r.mayHaveRun || r.upstream != nil:
	case r.quotaPending:
		d.account.Cancel(r.Workspace.Name, uint64(r.ID))
	case r.quotaPassed && d.now-r.quotaPassedAt < costLifetime:
		d.account.Return(r.Workspace.Name, costOf(r))
	}
	r.quotaPending, r.quotaPassed = false, false
}

// QuotaCounters returns the counters of requests of workspaces with a quota.
func (d *Dispatcher) QuotaCounters() apportioner.AccountCounters {
	return d.account.Counters
}
