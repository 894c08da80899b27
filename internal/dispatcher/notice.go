package dispatcher

import (
	"maps"
	"math"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// maxRestrictions bounds the restrictions that are remembered of upstreams that are not
// listed any more.
const maxRestrictions = 1000

const maxDuration = time.Duration(math.MaxInt64)

// restriction is what one incarnation of an upstream has said of new requests. It outlasts
// the upstream's entry in the list, which may go and come back around an outage of the
// store.
type restriction struct {
	incarnation int64
	leaving     bool          // it shuts down and must get none
	pausedUntil time.Duration // it wants none from this gateway until then
}

// handleNotice records that an upstream asked for no new requests. Another incarnation
// of the instance is not bound by it.
func (d *Dispatcher) handleNotice(ev UpstreamNotice) {
	u := d.upstreams[ev.Upstream]
	if ev.Other {
		if u == nil || u.info.Address != ev.Address {
			return
		}
		ev.Incarnation = u.info.Incarnation
	}
	d.handleAnsweredLimit(ev)
	if !ev.Leaving && ev.Pause <= 0 {
		return
	}
	known := d.restrictions[ev.Upstream]
	if known.incarnation > ev.Incarnation {
		return
	}
	if known.incarnation < ev.Incarnation {
		known = restriction{incarnation: ev.Incarnation}
	}
	event := Log{Upstream: ev.Upstream, Waiting: d.waitingCount, ReportAge: d.reportAge(u)}
	if ev.Leaving && !known.leaving {
		known.leaving, event.Event = true, "upstream leaving"
		d.emit(event)
		l := limiter.Limit{Upstream: ev.Upstream, Incarnation: ev.Incarnation, Rate: d.limits.Rate(ev.Upstream, ev.Incarnation), Leaving: true}
		d.limits.Learn(d.now, l)
		d.announceLimit(l)
	}
	if until := d.now + ev.Pause; ev.Pause > 0 && until > known.pausedUntil {
		known.pausedUntil, event.Event, event.Pause = until, "upstream paused", ev.Pause
		d.emit(event)
	}
	d.restrict(ev.Upstream, known)
}

// restrict applies a restriction to an upstream, which may not be listed now.
func (d *Dispatcher) restrict(id registrar.UpstreamID, r restriction) {
	if len(d.restrictions) >= maxRestrictions {
		maps.DeleteFunc(d.restrictions, func(id registrar.UpstreamID, _ restriction) bool { return d.upstreams[id] == nil })
	}
	d.restrictions[id] = r
	if u := d.upstreams[id]; u != nil && u.info.Incarnation == r.incarnation {
		u.restriction = r
	}
}

// newUpstream returns an upstream without a report and statistics, with the restriction
// that its incarnation has announced.
func (d *Dispatcher) newUpstream(entry *registrar.Upstream) *upstream {
	u := &upstream{adapterRequestedAt: map[queueKey]time.Duration{}, backlog: newBacklog(), restriction: restriction{incarnation: entry.Incarnation}}
	if r, ok := d.restrictions[entry.ID]; ok && r.incarnation == entry.Incarnation {
		u.restriction = r
	}
	return u
}

// Sendable reports whether the upstream of a Send may still get the request. Opening a
// connection takes time, and the process may have been paused meanwhile: the upstream may
// have asked for no new requests or named a limit, the deadline may have passed, and the key
// may have been taken away.
func (d *Dispatcher) Sendable(now time.Duration, id RequestID, try Try) bool {
	r := d.requests[id]
	if r == nil || r.try != try || r.upstream == nil || !r.upstream.accepting() || now < r.upstream.pausedUntil {
		return false
	}
	if now >= r.Deadline-answerMargin || d.isolates(r) || d.keyRefusal(r) != classifier.None {
		return false
	}
	return d.limitOf(r.upstream) == 0 || r.permitted && now < r.sentAt+permitLifetime
}
