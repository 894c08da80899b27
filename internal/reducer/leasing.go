package reducer

import (
	"fmt"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reserver"
)

// Retry intervals of a lease.
const (
	leaseRetryInterval = time.Second            // between two appends of the lease record
	touchInterval      = 500 * time.Millisecond // between two touch orders that fence off earlier agents
)

// counterBits is the number of low bits of an order number that count the orders of
// a lease; the high bits are the lease's log offset.
const counterBits = 24

// engineLease is an agent's right to send orders to its engine.
type engineLease struct {
	logRead             bool            // the log has been read once
	fromLogStart        bool            // the first read included the log's first record, so no earlier lease was missed
	lastRecordID        string          // ID of the last lease record appended
	lastAppendAt        time.Duration   // when it was appended; zero to append again at the next tick
	offset              recorder.Offset // of the first record of this lease
	held                bool
	superseded          bool                 // another agent holds a later lease
	validUntil          time.Duration        // an engine that is not fenced gets no orders from then on
	hadPrevious         bool                 // another agent held a lease before this one
	priorOrdersSettleAt time.Duration        // when orders of earlier agents can no longer reach an engine that is not fenced
	priorOrdersSettled  bool                 // no order of an earlier agent can take effect
	touchedAt           time.Duration        // when the last touch was sent
	touchNumber         reserver.OrderNumber // of the last touch that fences off earlier agents
	counter             uint64               // low bits of the last order number
	serial              int                  // of the last lease record, for its ID
}

// observeBatch records that the log has been read, and whether the first read
// started at the log's first record.
func (l *engineLease) observeBatch(b recorder.Batch) {
	if !l.logRead && b.FirstOffset == 0 {
		l.fromLogStart = true
	}
	l.logRead = true
}

// handleAppended schedules a retry at the next tick if the lease is not held yet and
// its append has failed.
func (l *engineLease) handleAppended(ev Appended) {
	if ev.ID == l.lastRecordID && ev.Err != nil && !l.held {
		l.lastAppendAt = 0
	}
}

// nextNumber returns the number of the next order.
func (l *engineLease) nextNumber() reserver.OrderNumber {
	l.counter++
	return reserver.OrderNumber(uint64(l.offset)<<counterBits | l.counter)
}

// mayOrder reports whether orders may be sent now.
func (a *Agent) mayOrder() bool {
	l := &a.lease
	return l.held && !l.superseded && l.priorOrdersSettled && (a.upstream.Fenced || a.now < l.validUntil)
}

// orderDeadline returns the time from which an order must no longer be sent. It is
// zero for a fenced engine, which refuses old orders itself.
func (a *Agent) orderDeadline() time.Duration {
	if a.upstream.Fenced {
		return 0
	}
	return a.lease.validUntil
}

// tickLease acquires the lease, renews it if the engine is not fenced, and makes
// sure that orders of earlier agents can no longer take effect. A fenced engine gets
// touch orders until it reports the number of the last one. For other engines the
// agent waits for the duration of a lease plus the maximum delivery delay of an order,
// unless no earlier agent held a lease.
func (a *Agent) tickLease() {
	l := &a.lease
	if !l.logRead || l.superseded {
		return
	}
	leaseDuration := a.upstream.Lease.Duration()
	due := !l.held && (l.lastAppendAt == 0 || a.now-l.lastAppendAt > leaseRetryInterval)
	renew := l.held && !a.upstream.Fenced && a.now > l.validUntil-leaseDuration+leaseDuration/leaseRenewDivisor && a.now-l.lastAppendAt > leaseRetryInterval
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
	l.lastRecordID = fmt.Sprintf("%s/%d/lease/%d", a.cfg.Upstream, a.cfg.Incarnation, l.serial)
	l.lastAppendAt = a.now
	a.Counters.Appends++
	record := &recorder.LeaseRecord{Upstream: a.cfg.Upstream, Incarnation: uint64(a.cfg.Incarnation), DurationMs: a.upstream.Lease}
	if l.held {
		record.FirstOffset = l.offset
	}
	a.emit(Append{recorder.MainStream, recorder.Record{ID: l.lastRecordID, Kind: recorder.KindLease, Lease: record}})
}

// applyLease applies a lease record of this agent's upstream. Among the leases of an
// upstream the one whose first record has the highest offset is in force.
func (a *Agent) applyLease(r recorder.Record) {
	if r.Lease == nil || r.Lease.Upstream != a.cfg.Upstream {
		return
	}
	l := &a.lease
	if Incarnation(r.Lease.Incarnation) == a.cfg.Incarnation {
		a.applyOwnLease(r)
		return
	}
	firstOffset := r.Offset
	if r.Lease.FirstOffset > 0 {
		firstOffset = r.Lease.FirstOffset
	}
	if !l.held {
		l.hadPrevious = true
		return
	}
	if firstOffset > l.offset && !l.superseded {
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
			l.priorOrdersSettleAt = a.now + a.upstream.Lease.Duration() + a.upstream.MaxDeliveryDelay.Duration()
		}
		a.emit(LogEvent{Name: "lease held", Text: fmt.Sprintf("offset=%d", r.Offset)})
	}
	if r.ID == l.lastRecordID {
		l.validUntil = l.lastAppendAt + a.upstream.Lease.Duration()
	}
}
