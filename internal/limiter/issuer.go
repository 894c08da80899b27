package limiter

import (
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// minBurst is the least number of permits that an Issuer saves up.
const minBurst = 2.0

// burstTime is the time over which an Issuer saves up permits for upstreams with higher
// limits.
const burstTime = 500 * time.Millisecond

// Request asks for permits to send requests to an upstream, or with a Count of zero only
// announces its limit.
type Request struct {
	Limit Limit `json:"limit" cbor:"1,keyasint"` // as the gateway knows it
	Count int   `json:"count,omitempty" cbor:"2,keyasint,omitempty"`
}

// Permits allows a gateway to send requests to an upstream.
type Permits struct {
	Upstream    registrar.UpstreamID `json:"upstream" cbor:"1,keyasint"`
	Incarnation int64                `json:"born" cbor:"2,keyasint"`
	Count       int                  `json:"count" cbor:"3,keyasint"`
}

// Bucket is a token bucket that is filled at the rate of a limit.
type Bucket struct {
	tokens   float64
	filledAt time.Duration
}

// NewBucket returns an empty bucket.
func NewBucket(now time.Duration) Bucket {
	return Bucket{filledAt: now}
}

// Fill adds the tokens for the time since the last call, up to capacity.
func (b *Bucket) Fill(now time.Duration, rate, capacity float64) {
	b.tokens = min(b.tokens+rate*(now-b.filledAt).Seconds(), capacity)
	b.filledAt = now
}

// Has reports whether the bucket holds a whole token.
func (b *Bucket) Has() bool {
	return b.tokens >= 1
}

// Take removes up to n whole tokens and returns their number.
func (b *Bucket) Take(n int) int {
	taken := max(0, min(n, int(b.tokens)))
	b.tokens -= float64(taken)
	return taken
}

// Portions tells which part of all limits an issuer may issue. Other issuers have the rest.
type Portions interface {
	// Share returns the part, from 0 to 1.
	Share(now time.Duration) float64
	// Served returns the integral of Share over time.
	Served(now time.Duration) time.Duration
}

// Issuer issues the permits for upstreams with a limit. It is not safe for concurrent use.
type Issuer struct {
	limits   *Table
	portions Portions
	buckets  map[registrar.UpstreamID]*Bucket
}

// NewIssuer returns an issuer that keeps to its portions of the limits of a table.
func NewIssuer(limits *Table, portions Portions) *Issuer {
	return &Issuer{limits: limits, portions: portions, buckets: map[registrar.UpstreamID]*Bucket{}}
}

// Issue returns the permits for a request, at most as many as the issuer's portion of the
// limit has left. The issuer starts with none, since another one may have issued permits just
// before.
func (i *Issuer) Issue(now time.Duration, request Request) Permits {
	l := request.Limit
	permits := Permits{Upstream: l.Upstream, Incarnation: l.Incarnation}
	rate := i.limits.Rate(l.Upstream, l.Incarnation)
	if rate <= 0 {
		return permits
	}
	share, served := i.portions.Share(now), i.portions.Served(now)
	b := i.buckets[l.Upstream]
	if b == nil {
		if len(i.buckets) >= maxLimits {
			clear(i.buckets)
		}
		bucket := NewBucket(served)
		b = &bucket
		i.buckets[l.Upstream] = b
	}
	b.Fill(served, rate, max(1, share*max(minBurst, rate*burstTime.Seconds())))
	permits.Count = b.Take(request.Count)
	return permits
}
