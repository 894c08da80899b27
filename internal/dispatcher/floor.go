package dispatcher

import (
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// serviceLoad counts the requests for a service.
type serviceLoad struct {
	arrived, served decayingRate // requests per second; those whose answer began count as served
}

// load returns the counts of a service.
func (s *shares) load(service registrar.ServiceName) *serviceLoad {
	l := s.loads[service]
	if l == nil {
		l = &serviceLoad{arrived: decayingRate{timeConstant: classTimeConstant}, served: decayingRate{timeConstant: classTimeConstant}}
		s.loads[service] = l
	}
	return l
}

// servedShare returns the share of the requests that are served, from 0 to 1.
func (l *serviceLoad) servedShare(now time.Duration) float64 {
	l.arrived.decay(now)
	l.served.decay(now)
	return min(1, l.served.value/l.arrived.value)
}

// arrive records an arrived request of the class.
func (c *shareClass) arrive(now time.Duration) {
	c.load.arrived.add(now, 1)
	c.floor.Arrive(c.load.servedShare(now))
}

// begin records that the answer to a request of the class began. A promoted one has been
// counted by the floor.
func (c *shareClass) begin(now time.Duration, promoted bool) {
	c.load.served.add(now, 1)
	if !promoted {
		c.floor.Serve()
	}
}

// urgency returns the priority of a waiting request, below all others if it is promoted.
func (r *request) urgency() int {
	if r.share.promoted {
		return -1
	}
	return r.Priority()
}

// patient reports whether the request can wait much longer and still meet its target, so
// that more urgent ones of all gateways may go first.
func (r *request) patient(now time.Duration) bool {
	return r.share.class != nil && !r.share.promoted && r.onTime(now+patientSlack)
}

// takesLeftovers reports whether the request gets only the room that others leave.
func (r *request) takesLeftovers(now time.Duration) bool {
	return !r.onTime(now) || r.patient(now)
}

// promote puts a waiting request of each class whose requests are served much more seldom
// than all before the more urgent ones. It takes the oldest that can still be in time.
func (d *Dispatcher) promote() {
	if d.waitingCount == 0 {
		return
	}
	for _, key := range d.queueOrder {
		for _, r := range d.queues[key] {
			c := r.share.class
			if c == nil || r.share.promoted || r.try > 0 || !c.floor.Due() || !r.onTime(d.now) || d.now-r.arrivedAt < time.Duration(float64(r.Route.TargetLatency)*promoteWaitShare) {
				continue
			}
			if c.due == nil || r.ID < c.due.ID {
				c.due = r
			}
		}
	}
	for _, c := range d.shares.classes {
		if c.due != nil {
			c.due.share.promoted = true
			c.floor.Serve()
			d.Counters.Promoted++
			c.due = nil
		}
	}
}
