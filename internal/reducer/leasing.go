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
	leaseRetryInterval = time.Second
	touchInterval      = 500 * time.Millisecond
)

// counterBits is the part of an order number that counts the orders of a
// lease; the rest is the lease's log offset.
const counterBits = 24

// engineLease is an agent's right to give orders to its engine.
type engineLease struct {
	logRead             bool            // the log has answered once
	fromLogStart        bool            // the log's first record was seen
	lastID              string          // last lease record appended
	lastAppendAt        time.Duration   // when it was appended
	offset              recorder.Offset // of the first own lease record
	held                bool
	superseded          bool
	validUntil          time.Duration // orders are given before this time
	hadPrevious         bool          // an earlier agent held a lease
	priorOrdersSettleAt time.Duration // orders of earlier agents can't land any more
	priorOrdersSettled  bool
	touchedAt           time.Duration
	touchNumber         reserver.OrderNumber
	counter             uint64
	serial              int
}

func (l *engineLease) observeBatch(b recorder.Batch) {
	if !l.logRead && b.First == 0 {
		l.fromLogStart = true
	}
	l.logRead = true
}

// handleAppended retries a failed append of a lease at once with the next tick.
func (l *engineLease) handleAppended(ev Appended) {
	if ev.ID == l.lastID && ev.Err != nil && !l.held {
		l.lastAppendAt = 0
	}
}

func (l *engineLease) nextNumber() reserver.OrderNumber {
	l.counter++
	return reserver.OrderNumber(uint64(l.offset)<<counterBits | l.counter)
}

// mayOrder tells whether orders may be given now.
func (a *Agent) mayOrder() bool {
	l := &a.lease
	return l.held && !l.superseded && l.priorOrdersSettled && (a.upstream.Fenced || a.now < l.validUntil)
}

// orderDeadline returns the time after which an order must not be sent; zero means
// that the engine itself refuses old orders.
func (a *Agent) orderDeadline() time.Duration {
	if a.upstream.Fenced {
		return 0
	}
	return a.lease.validUntil
}

func (a *Agent) tickLease() {
	l := &a.lease
	if !l.logRead || l.superseded {
		return
	}
	lease := a.upstream.Lease.Duration()
	due := !l.held && (l.lastAppendAt == 0 || a.now-l.lastAppendAt > leaseRetryInterval)
	renew := l.held && !a.upstream.Fenced && a.now > l.validUntil-lease+lease/leaseRenewDivisor && a.now-l.lastAppendAt > leaseRetryInterval
	if due || renew {
		a.appendLease()
	}
	if !l.held || l.priorOrdersSettled {
		return
	}
	if !a.upstream.Fenced {
		l.priorOrdersSettled = a.now >= l.priorOrdersSettleAt
		return
	}
	if l.touchedAt == 0 || a.now-l.touchedAt > touchInterval {
		l.touchedAt = a.now
		l.touchNumber = l.nextNumber()
		a.emit(Order{Number: l.touchNumber, Op: reserver.Touch})
	}
}

func (a *Agent) appendLease() {
	l := &a.lease
	l.serial++
	l.lastID = fmt.Sprintf("%s/%d/lease/%d", a.cfg.Upstream, a.cfg.Incarnation, l.serial)
	l.lastAppendAt = a.now
	a.Counters.Appends++
	record := &recorder.LeaseRecord{Upstream: a.cfg.Upstream, Term: uint64(a.cfg.Incarnation), Millis: a.upstream.Lease}
	if l.held {
		record.Since = l.offset
	}
	a.emit(Append{recorder.Main, recorder.Record{ID: l.lastID, Kind: recorder.Lease, Lease: record}})
}

// applyLease applies a lease record of this agent's upstream. The term whose
// first record stands last in the log owns the upstream.
func (a *Agent) applyLease(r recorder.Record) {
	if r.Lease == nil || r.Lease.Upstream != a.cfg.Upstream {
		return
	}
	l := &a.lease
	if Incarnation(r.Lease.Term) == a.cfg.Incarnation {
		a.applyOwnLease(r)
		return
	}
	since := r.Offset
	if r.Lease.Since > 0 {
		since = r.Lease.Since
	}
	if !l.held {
		l.hadPrevious = true
		return
	}
	if since > l.offset && !l.superseded {
		l.superseded = true
		a.emit(LogEvent{Name: "lease superseded", Kind: classifier.Leaving})
		a.drain()
	}
}

func (a *Agent) applyOwnLease(r recorder.Record) {
	l := &a.lease
	if l.superseded {
		return
	}
	if !l.held {
		l.held = true
		l.offset = r.Offset
		if l.hadPrevious || !l.fromLogStart {
			l.priorOrdersSettleAt = a.now + a.upstream.Lease.Duration() + a.upstream.Flight.Duration()
		}
		a.emit(LogEvent{Name: "lease held", Text: fmt.Sprintf("offset=%d", r.Offset)})
	}
	if r.ID == l.lastID {
		l.validUntil = l.lastAppendAt + a.upstream.Lease.Duration()
	}
}
