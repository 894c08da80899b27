// Package limiter keeps the requests of all gateways to an upstream within the rate that
// the upstream asks for.
//
// Usage:
//
//	limits := limiter.NewTable()
//	changed := limits.Learn(now, limiter.Limit{Upstream: "i-7f3a91c2", Incarnation: born, Rate: 2.5})
//	issuer := limiter.NewIssuer(limits, ledger) // an apportioner.Ledger
//	permits := issuer.Issue(now, limiter.Request{Limit: limit, Count: 3})
//
// An upstream names its limit in its answers, and says there that it is leaving. Gateways
// and stewards tell each other what they heard last, each with its age, and one steward
// issues the permits for requests to the upstream. Gateways that know of different stewards
// may ask different ones; each issues only the part of the limit that belongs to the gateways
// that it counts, as for quotas (package apportioner).
package limiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Bounds of what a Table remembers. An upstream repeats its limit in each answer.
const (
	maxLimits   = 1000
	limitMemory = 5 * time.Minute
)

// Limit is what an upstream said last of the new requests that it takes. It is sent between
// processes with the numbers of the cbor tags for names.
type Limit struct {
	Upstream    registrar.UpstreamID `json:"upstream" cbor:"1,keyasint"`
	Incarnation int64                `json:"born" cbor:"2,keyasint"`
	Rate        float64              `json:"rate" cbor:"3,keyasint"`                        // requests per second from all gateways together, zero without a limit
	Age         time.Duration        `json:"age" cbor:"4,keyasint"`                         // since the upstream said so
	Leaving     bool                 `json:"leaving,omitempty" cbor:"5,keyasint,omitempty"` // it shuts down and takes none, whatever Rate says
}

// known is a Limit with the time at which the upstream named it.
type known struct {
	limit   Limit
	namedAt time.Duration
}

// Table holds the latest limit of each upstream. It is not safe for concurrent use.
type Table struct {
	byUpstream map[registrar.UpstreamID]known
}

// NewTable returns a table without limits.
func NewTable() *Table {
	return &Table{byUpstream: map[registrar.UpstreamID]known{}}
}

// Learn stores a limit unless a later one of the upstream is known, and reports whether
// that changes what the upstream takes. An upstream that is leaving does not come back
// within its incarnation.
func (t *Table) Learn(now time.Duration, l Limit) bool {
	namedAt := now - l.Age
	k, ok := t.byUpstream[l.Upstream]
	switch {
	case !ok && l.Rate == 0 && !l.Leaving:
		return false // there is no limit to end
	case !ok:
		t.makeRoom(now)
	case k.limit.Incarnation > l.Incarnation:
		return false
	case k.limit.Incarnation == l.Incarnation:
		leaving := k.limit.Leaving || l.Leaving
		if k.namedAt > namedAt {
			l, namedAt = k.limit, k.namedAt
		}
		l.Leaving = leaving
	}
	rate, leaving := t.Rate(l.Upstream, l.Incarnation), t.Leaving(l.Upstream, l.Incarnation)
	t.byUpstream[l.Upstream] = known{l, namedAt}
	return rate != l.Rate || leaving != l.Leaving
}

// makeRoom forgets limits that nobody has repeated for limitMemory and, if there are still
// maxLimits, the oldest one.
func (t *Table) makeRoom(now time.Duration) {
	maps.DeleteFunc(t.byUpstream, func(_ registrar.UpstreamID, k known) bool { return now-k.namedAt > limitMemory })
	if len(t.byUpstream) < maxLimits {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(t.byUpstream)), func(a, b known) int { return cmp.Compare(a.namedAt, b.namedAt) })
	delete(t.byUpstream, oldest.limit.Upstream)
}

// Rate returns the limit of an incarnation of an upstream in requests per second, zero
// without one.
func (t *Table) Rate(id registrar.UpstreamID, incarnation int64) float64 {
	if k := t.byUpstream[id]; k.limit.Incarnation == incarnation {
		return k.limit.Rate
	}
	return 0
}

// Leaving reports whether an incarnation of an upstream is leaving.
func (t *Table) Leaving(id registrar.UpstreamID, incarnation int64) bool {
	k := t.byUpstream[id]
	return k.limit.Leaving && k.limit.Incarnation == incarnation
}

// Any reports whether an upstream has a limit.
func (t *Table) Any() bool {
	for _, k := range t.byUpstream {
		if k.limit.Rate > 0 {
			return true
		}
	}
	return false
}

// NamedAt returns when the upstream named its limit, zero if it never did.
func (t *Table) NamedAt(id registrar.UpstreamID) time.Duration {
	return t.byUpstream[id].namedAt
}

// Recent returns the limits that are younger than maxAge, in the order of upstreams. Rates
// of zero are among them, since they end a limit that others know.
func (t *Table) Recent(now, maxAge time.Duration) []Limit {
	var recent []Limit
	for _, k := range t.byUpstream {
		if k.limit.Age = now - k.namedAt; k.limit.Age < maxAge {
			recent = append(recent, k.limit)
		}
	}
	slices.SortFunc(recent, func(a, b Limit) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return recent
}
