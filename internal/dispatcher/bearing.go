package dispatcher

import (
	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

// bears reports whether an upstream has room in memory for a request, as far as crashes of
// upstreams of its service tell. Of requests that may be too large for any upstream, one at a
// time is sent, to an upstream that holds little else of this gateway.
func (d *Dispatcher) bears(r *request, u *upstream) bool {
	b := d.bearings[u.info.Service]
	if b == nil {
		return true
	}
	if b.Suspects(d.now, r.Size) && (u.heldBytes >= budgeter.MinSuspectBytes || d.suspectUnderWay(r.Service, b)) {
		return false
	}
	return b.Allows(d.now, u.heldBytes, r.Size)
}

// suspectUnderWay reports whether a request that may be too large for any upstream of a
// service has been sent to one.
func (d *Dispatcher) suspectUnderWay(service registrar.ServiceName, b *budgeter.Bearing) bool {
	for _, r := range d.requests {
		if r.upstream != nil && r.Service == service && b.Suspects(d.now, r.Size) {
			return true
		}
	}
	return false
}

// bearingOf returns the bearing of the upstreams of a service.
func (d *Dispatcher) bearingOf(service registrar.ServiceName) *budgeter.Bearing {
	b := d.bearings[service]
	if b == nil {
		b = &budgeter.Bearing{}
		d.bearings[service] = b
	}
	return b
}

// recordCarried learns from an upstream that has answered a request, once for each send.
func (d *Dispatcher) recordCarried(r *request) {
	if r.heldWhenSent >= budgeter.MinSuspectBytes {
		d.bearingOf(r.Service).Answered(d.now, r.heldWhenSent, r.Size)
		r.heldWhenSent = 0
	}
}

// recordCrash learns from an upstream that has ended with requests of this gateway.
func (d *Dispatcher) recordCrash(id registrar.UpstreamID, b *breakage) {
	bearing := d.bearingOf(b.service)
	entry := Log{Event: "upstream crashed under bytes", Upstream: id, Bytes: b.heldBytes, Waiting: d.waitingCount}
	bounded := bearing.Crashed(d.now, budgeter.Crash{Held: b.heldBytes, Requests: b.heldRequests, SentAt: b.sentAt})
	switch {
	case bearing.TooLarge(d.now, b.heldBytes):
		entry.Cause = "requests of this size are refused"
	case bearing.Suspects(d.now, b.heldBytes):
		entry.Cause = "requests of this size are sent one at a time"
	}
	if b.heldBytes >= budgeter.MinSuspectBytes {
		d.emit(entry)
	}
	if bounded {
		d.emit(Log{Event: "upstream bytes bounded", Upstream: id, Bytes: bearing.Bound(), Waiting: d.waitingCount})
	}
}

// refuseIfTooLarge refuses a request like those that have crashed upstreams by their size,
// and reports whether it did.
func (d *Dispatcher) refuseIfTooLarge(r *request) bool {
	b := d.bearings[r.Service]
	if b == nil || !b.TooLarge(d.now, r.Size) {
		return false
	}
	r.lastCause = "upstreams lack the memory for it"
	d.refuse(r, classifier.Large, 0)
	return true
}
