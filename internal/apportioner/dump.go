package apportioner

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// AccountDump is a snapshot of an Account for operators.
type AccountDump struct {
	Issuer   string          `json:"issuer"`   // address of the runner beside it, empty without one
	Counted  bool            `json:"counted"`  // by the issuer
	Gateways int             `json:"gateways"` // that share the quotas, zero before they are known
	AgeMs    int64           `json:"age"`      // since the issuer's last answer
	Balances []DumpBalance   `json:"balances"`
	Counters AccountCounters `json:"counters"`
}

// DumpBalance is what a gateway knows of a workspace's quota, in its unit.
type DumpBalance struct {
	Workspace registrar.WorkspaceName `json:"workspace"`
	Unit      registrar.QuotaUnit     `json:"unit"`
	Rate      float64                 `json:"rate"`
	Burst     float64                 `json:"burst"`
	Tokens    float64                 `json:"tokens"`
	Demand    float64                 `json:"demand"`  // per second, of callers of this gateway
	Pending   int                     `json:"pending"` // requests that wait for the issuer
	WaitMs    int64                   `json:"wait"`    // until the issuer has room
	Plenty    bool                    `json:"plenty"`
}

// LedgerDump is a snapshot of a Ledger for operators.
type LedgerDump struct {
	Counted  int          `json:"counted"`  // gateways whose parts of the quotas are issued here
	Gateways int          `json:"gateways"` // that were known lately
	Buckets  []DumpBucket `json:"buckets"`
}

// DumpBucket is what a ledger knows of a workspace's quota, in its unit.
type DumpBucket struct {
	Workspace registrar.WorkspaceName `json:"workspace"`
	Version   registrar.Version       `json:"version"` // of the configuration that the quota is from
	Rate      float64                 `json:"rate"`
	Burst     float64                 `json:"burst"`
	Saved     float64                 `json:"saved"`
	Held      float64                 `json:"held"` // by gateways
	Issued    float64                 `json:"issued"`
	Denied    float64                 `json:"denied"`
}

// Dump returns a snapshot, nil without quotas and limits.
func (a *Account) Dump(now time.Duration) *AccountDump {
	if !a.Polls() {
		return nil
	}
	dump := &AccountDump{Issuer: a.issuer, Counted: a.counted, Gateways: a.Gateways(), AgeMs: (now - a.answeredAt).Milliseconds(), Counters: a.Counters}
	for _, name := range a.order {
		b := a.balances[name]
		b.decay(now)
		dump.Balances = append(dump.Balances, DumpBalance{
			Workspace: name, Unit: b.quota.Unit, Rate: b.quota.Rate, Burst: b.quota.Burst, Tokens: b.tokens, Demand: b.demand,
			Pending: len(b.pending), WaitMs: max(0, b.roomAt-now).Milliseconds(), Plenty: b.plenty,
		})
	}
	return dump
}

// Dump returns a snapshot, nil unless gateways ask this ledger.
func (l *Ledger) Dump(now time.Duration) *LedgerDump {
	l.advance(now)
	if len(l.buckets) == 0 && l.counted == 0 {
		return nil
	}
	dump := &LedgerDump{Counted: l.counted, Gateways: l.gateways()}
	for name, b := range l.buckets {
		dump.Buckets = append(dump.Buckets, DumpBucket{
			Workspace: name, Version: b.version, Rate: b.rate, Burst: b.burst, Saved: b.saved, Held: b.heldSum, Issued: b.issued, Denied: b.denied,
		})
	}
	slices.SortFunc(dump.Buckets, func(a, b DumpBucket) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return dump
}
