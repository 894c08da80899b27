package dispatcher

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/converter"
	"github.com/egretwall/egretwall/internal/limiter"
)

// Timing of permits for upstreams that have named a limit.
const (
	permitLifetime         = 500 * time.Millisecond // of permits that are not used; the limit counts them as requests
	permitRetryPeriod      = 50 * time.Millisecond  // before permits for an upstream are requested again
	permitPeriodPerGateway = 5 * time.Millisecond   // lengthens that period with the number of gateways, which all ask one steward
	announcePeriod         = 500 * time.Millisecond // between announcements of an unchanged limit
)

// maxPermits is the number of permits that a gateway requests at once.
const maxPermits = 4

// permitState is what a gateway may send to an upstream with a limit.
type permitState struct {
	count       int           // permits that have not been used
	expire      time.Duration // when count does
	requestedAt time.Duration // when permits were last requested
	announcedAt time.Duration // when the limit was last announced
	reserved    []queueKey    // whose adapters are being loaded to use these permits
	// share is this gateway's part of the limit, which it uses while no steward counts it.
	share        limiter.Bucket
	shareStarted bool
}

// handleLimits records the limits that a steward knows.
func (d *Dispatcher) handleLimits(ev LimitsReported) {
	for _, l := range ev.Limits {
		d.learnLimit(l)
	}
}

// learnLimit records a limit, or that an upstream is leaving, and logs a change.
func (d *Dispatcher) learnLimit(l limiter.Limit) {
	rate := d.limits.Rate(l.Upstream, l.Incarnation)
	if !d.limits.Learn(d.now, l) {
		return
	}
	entry := Log{Upstream: l.Upstream, Limit: l.Rate, Waiting: d.waitingCount, ReportAge: d.reportAge(d.upstreams[l.Upstream])}
	known := d.restrictions[l.Upstream]
	if known.incarnation < l.Incarnation {
		known = restriction{incarnation: l.Incarnation}
	}
	if l.Leaving && known.incarnation == l.Incarnation && !known.leaving {
		known.leaving, entry.Event = true, "upstream leaving"
		d.restrict(l.Upstream, known)
		d.emit(entry)
	}
	switch {
	case l.Rate == rate:
	case l.Rate == 0:
		entry.Event = "upstream limit ended"
		d.emit(entry)
	default:
		entry.Event = "upstream limited"
		d.emit(entry)
	}
}

// handleAnsweredLimit records the limit that an answer names or, if it names none, the end
// of the limit, and announces it. An answer to a request that was sent before the limit
// was named does not end it.
func (d *Dispatcher) handleAnsweredLimit(ev UpstreamNotice) {
	known := d.limits.Rate(ev.Upstream, ev.Incarnation)
	if ev.Limit == 0 && !ev.Unlimited || ev.Limit == 0 && known == 0 {
		return
	}
	if r := d.requests[ev.Request]; ev.Unlimited && (r == nil || r.sentAt <= d.limits.NamedAt(ev.Upstream)) {
		return
	}
	l := limiter.Limit{Upstream: ev.Upstream, Incarnation: ev.Incarnation, Rate: ev.Limit}
	d.learnLimit(l)
	if u := d.upstreams[ev.Upstream]; u != nil && (known != ev.Limit || d.now >= u.permits.announcedAt+announcePeriod) {
		d.announceLimit(l)
	}
}

// announceLimit tells the steward that issues permits for an upstream what the upstream
// said, for the other gateways.
func (d *Dispatcher) announceLimit(l limiter.Limit) {
	u := d.upstreams[l.Upstream]
	if u == nil || u.info.Incarnation != l.Incarnation {
		return
	}
	u.permits.announcedAt = d.now
	if issuer := d.permitIssuer(); issuer != "" {
		d.emit(RequestPermits{Address: issuer, Request: limiter.Request{Limit: l}})
	}
}

// handlePermits adds the permits that a steward issued.
func (d *Dispatcher) handlePermits(p limiter.Permits) {
	u := d.upstreams[p.Upstream]
	if u == nil || u.info.Incarnation != p.Incarnation {
		return
	}
	if d.now >= u.permits.expire {
		u.permits.count, u.permits.reserved = 0, nil
	}
	u.permits.count += p.Count
	u.permits.expire = d.now + permitLifetime
}

// limitOf returns the limit of an upstream in requests per second, zero without one.
func (d *Dispatcher) limitOf(u *upstream) float64 {
	return d.limits.Rate(u.info.ID, u.info.Incarnation)
}

// permitted reports whether the upstream's limit allows a request of this gateway.
func (d *Dispatcher) permitted(u *upstream) bool {
	rate := d.limitOf(u)
	if rate == 0 || u.permits.count > 0 && d.now < u.permits.expire {
		return true
	}
	if !d.account.Alone(d.now) {
		u.permits.shareStarted = false
		return false
	}
	if !u.permits.shareStarted {
		u.permits.share, u.permits.shareStarted = limiter.NewBucket(d.now), true
	}
	gateways := d.account.Gateways()
	if gateways == 0 {
		gateways = max(d.gatewayCount, defaultGatewayCount)
	}
	u.permits.share.Fill(d.now, rate/float64(gateways), 1)
	return u.permits.share.Has()
}

// permitsAdapter reports whether an adapter may be loaded for requests of a queue. At an
// upstream with a limit there is one for each permit, since adapters that are loaded before
// their requests may be sent displace one another.
func (d *Dispatcher) permitsAdapter(u *upstream, key queueKey) bool {
	if d.limitOf(u) == 0 {
		return true
	}
	return d.permitted(u) && (slices.Contains(u.permits.reserved, key) || len(u.permits.reserved) < max(1, u.permits.count))
}

// reserve notes that an adapter is loaded to use a permit.
func (p *permitState) reserve(key queueKey) {
	if !slices.Contains(p.reserved, key) {
		p.reserved = append(p.reserved, key)
	}
}

// usePermit takes a permit for a request of a queue and reports whether the upstream has a
// limit.
func (d *Dispatcher) usePermit(u *upstream, key queueKey) bool {
	if d.limitOf(u) == 0 {
		return false
	}
	u.permits.reserved = slices.DeleteFunc(u.permits.reserved, func(k queueKey) bool { return k == key })
	if u.permits.count > 0 && d.now < u.permits.expire {
		u.permits.count--
		return true
	}
	u.permits.share.Take(1)
	return true
}

// permitIssuer returns the address of the runner whose steward issues this gateway's permits:
// the one that counts the gateway, or the one to ask first. It is empty if no steward reports.
func (d *Dispatcher) permitIssuer() string {
	if issuer := d.account.Issuer(); issuer != "" {
		return issuer
	}
	if issuers := d.quotaIssuers(); len(issuers) > 0 {
		return issuers[0]
	}
	return ""
}

// claimLimits makes the gateway be counted by an issuer while an upstream has a limit.
func (d *Dispatcher) claimLimits() {
	limited := false
	if d.limits.Any() {
		for _, u := range d.upstreams {
			limited = limited || d.limitOf(u) > 0
		}
	}
	d.account.SetLimited(limited)
}

// requestPermits asks for permits for one upstream that could run the request but for its
// limit and is no worse than the chosen one, which may be nil: if possible one that holds
// the request's adapter, then the one that was asked about least recently. If another
// upstream was chosen, the permits come too late for the request and serve the next one, so
// the gateway then asks for no more than its equal part of the limit.
func (d *Dispatcher) requestPermits(r *request, group []*upstream, chosen *upstream) {
	if !d.limits.Any() {
		return
	}
	var next *upstream
	nextHoldsAdapter := false
	for _, u := range group {
		if u == chosen || !u.accepting() || !r.eligible(u) || !d.permitsDue(u, chosen) {
			continue
		}
		model, adapter := u.holds(d.now, r.Model, r.Adapter)
		if r.Model != "" && !model || !d.hasCapacity(r, u) {
			continue
		}
		if next == nil || adapter && !nextHoldsAdapter || adapter == nextHoldsAdapter && u.permits.requestedAt < next.permits.requestedAt {
			next, nextHoldsAdapter = u, adapter
		}
	}
	if next == nil {
		return
	}
	next.permits.requestedAt = d.now
	l := limiter.Limit{
		Upstream: next.info.ID, Incarnation: next.info.Incarnation, Rate: d.limitOf(next), Age: d.now - d.limits.NamedAt(next.info.ID),
	}
	count := min(maxPermits, max(1, len(d.queues[queueKeyOf(r)])))
	d.emit(RequestPermits{Address: d.permitIssuer(), Request: limiter.Request{Limit: l, Count: count}})
}

// permitsDue reports whether permits for an upstream may be requested now. The chosen one
// for the request at hand may be nil.
func (d *Dispatcher) permitsDue(u, chosen *upstream) bool {
	rate := d.limitOf(u)
	if rate == 0 || d.permitIssuer() == "" {
		return false
	}
	period := max(permitRetryPeriod, time.Duration(d.gatewayCount)*permitPeriodPerGateway)
	if chosen != nil {
		period = max(period, converter.Seconds(float64(d.gatewayCount)/rate))
	}
	if u.permits.requestedAt > 0 && d.now < u.permits.requestedAt+period {
		return false
	}
	return chosen == nil || d.cost(u) <= d.cost(chosen)
}

// limitedRate returns the limit of all upstreams that could run the request together, in
// requests per second. It is zero if one of them has no limit.
func (d *Dispatcher) limitedRate(r *request) float64 {
	if !d.limits.Any() {
		return 0
	}
	total := 0.0
	for _, u := range d.upstreamsByService[r.Service] {
		if model, _ := u.holds(d.now, r.Model, ""); !u.accepting() || !r.eligible(u) || r.Model != "" && !model {
			continue
		}
		rate := d.limitOf(u)
		if rate == 0 {
			return 0
		}
		total += rate
	}
	return total
}
