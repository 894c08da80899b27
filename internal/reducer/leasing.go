package reducer

import (
	"fmt"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reserver"
)

// Timing of leases and of the first order.
const (
	leaseRetry  = time.Second
	touchPeriod = 500 * time.Millisecond
)

// counterBits is the part of an order number that counts the orders of a
// lease; the rest is the lease's log offset.
const counterBits = 24

// leasing is an agent's right to give orders to its engine.
type leasing struct {
	logRead    bool            // the log has answered once
	complete   bool            // the log's first record was seen
	lastID     string          // last lease record appended
	lastSent   time.Duration   // when it was appended
	offset     recorder.Offset // of the first own lease record
	held       bool
	superseded bool
	until      time.Duration // orders are given before this time
	previous   bool          // an earlier agent held a lease
	cleanAt    time.Duration // orders of earlier agents can't land any more
	clean      bool
	touched    time.Duration
	touch      reserver.Number
	counter    uint64
	serial     int
}

func (l *leasing) sawLog(b recorder.Batch) {
	if !l.logRead && b.First == 0 {
		l.complete = true
	}
	l.logRead = true
}

// appended retries a failed append of a lease at once with the next tick.
func (l *leasing) appended(ev Appended) {
	if ev.ID == l.lastID && ev.Err != nil && !l.held {
		l.lastSent = 0
	}
}

func (l *leasing) number() reserver.Number {
	l.counter++
	return reserver.Number(uint64(l.offset)<<counterBits | l.counter)
}

// mayOrder tells whether orders may be given now.
func (a *Agent) mayOrder() bool {
	l := &a.lease
	return l.held && !l.superseded && l.clean && (a.upstream.Fenced || a.now < l.until)
}

// before returns the time after which an order must not be sent; zero means
// that the engine itself refuses old orders.
func (a *Agent) before() time.Duration {
	if a.upstream.Fenced {
		return 0
	}
	return a.lease.until
}

func (a *Agent) tickLease() {
	l := &a.lease
	if !l.logRead || l.superseded {
		return
	}
	lease := a.upstream.Lease.Duration()
	due := !l.held && (l.lastSent == 0 || a.now-l.lastSent > leaseRetry)
	renew := l.held && !a.upstream.Fenced && a.now > l.until-lease+lease/renewShare && a.now-l.lastSent > leaseRetry
	if due || renew {
		a.appendLease()
	}
	if !l.held || l.clean {
		return
	}
	if !a.upstream.Fenced {
		l.clean = a.now >= l.cleanAt
		return
	}
	if l.touched == 0 || a.now-l.touched > touchPeriod {
		l.touched = a.now
		l.touch = l.number()
		a.emit(Order{Number: l.touch, Op: reserver.Touch})
	}
}

func (a *Agent) appendLease() {
	l := &a.lease
	l.serial++
	l.lastID = fmt.Sprintf("%s/%d/lease/%d", a.cfg.Upstream, a.cfg.Incarnation, l.serial)
	l.lastSent = a.now
	a.Counters.Appends++
	record := &recorder.LeaseRecord{Upstream: a.cfg.Upstream, Term: uint64(a.cfg.Incarnation), Millis: a.upstream.Lease}
	if l.held {
		record.Since = l.offset
	}
	a.emit(Append{recorder.Main, recorder.Record{ID: l.lastID, Kind: recorder.Lease, Lease: record}})
}

// readLease applies a lease record of this agent's upstream. The term whose
// first record stands last in the log owns the upstream.
func (a *Agent) readLease(r recorder.Record) {
	if r.Lease == nil || r.Lease.Upstream != a.cfg.Upstream {
		return
	}
	l := &a.lease
	if Incarnation(r.Lease.Term) == a.cfg.Incarnation {
		a.readOwnLease(r)
		return
	}
	since := r.Offset
	if r.Lease.Since > 0 {
		since = r.Lease.Since
	}
	if !l.held {
		l.previous = true
		return
	}
	if since > l.offset && !l.superseded {
		l.superseded = true
		a.emit(Note{Name: "lease superseded", Kind: classifier.Leaving})
		a.drain()
	}
}

func (a *Agent) readOwnLease(r recorder.Record) {
	l := &a.lease
	if l.superseded {
		return
	}
	if !l.held {
		l.held = true
		l.offset = r.Offset
		if l.previous || !l.complete {
			l.cleanAt = a.now + a.upstream.Lease.Duration() + a.upstream.Flight.Duration()
		}
		a.emit(Note{Name: "lease held", Text: fmt.Sprintf("offset=%d", r.Offset)})
	}
	if r.ID == l.lastID {
		l.until = l.lastSent + a.upstream.Lease.Duration()
	}
}
