package dispatcher

import (
	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

// bears reports whether an upstream has room in memory for a request, as far as crashes of
// upstreams of its service tell.
func (d *Dispatcher) bears(r *request, u *upstream) bool {
	return u.bearing == nil || u.bearing.Allows(d.now, u.heldBytes, r.Size)
}

// boundedBearing returns the bearing of a service that has a bound, nil without one.
func (d *Dispatcher) boundedBearing(service registrar.ServiceName) *budgeter.Bearing {
	if b := d.bearings[service]; b != nil && b.Bound() > 0 {
		return b
	}
	return nil
}

// recordCrash learns from an upstream that has ended with requests of this gateway.
func (d *Dispatcher) recordCrash(id registrar.UpstreamID, b *breakage) {
	bearing := d.bearings[b.service]
	if bearing == nil {
		bearing = &budgeter.Bearing{}
		d.bearings[b.service] = bearing
	}
	if !bearing.Crashed(d.now, b.heldBytes, b.heldRequests) {
		return
	}
	for _, u := range d.upstreamsByService[b.service] {
		u.bearing = bearing
	}
	d.emit(Log{Event: "upstream bytes bounded", Upstream: id, Bytes: bearing.Bound(), Waiting: d.waitingCount})
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
