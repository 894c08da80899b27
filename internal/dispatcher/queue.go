package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// queueKey identifies a queue of requests that the same upstreams can run.
type queueKey struct {
	service registrar.ServiceName
	model   registrar.ModelName
	adapter registrar.AdapterName
	release registrar.Release // empty for any
	large   bool              // bodies may crash upstreams, so that they wait by themselves
}

// modelKey identifies a model of a service. Requests for its adapters share its
// slots. Model is empty for plain services.
type modelKey struct {
	service registrar.ServiceName
	model   registrar.ModelName
}

// modelStats holds statistics on the requests for a model of a service.
type modelStats struct {
	sendRate       decayingRate  // sends per second
	lateSendRate   decayingRate  // sends per second of requests that could no longer meet their target
	sends          int           // since the dispatcher was created
	waiting        int           // requests in queues
	onTimeWaiting  averagedCount // waiting requests that can still meet their target
	lateWaiting    averagedCount // waiting requests that can't
	patientWaiting averagedCount // of onTimeWaiting apart: those that can wait much longer
	// startDelays is the mean time from a send until its answer begins, by priority where
	// workspaces have shares, and otherwise of all as the first.
	startDelays [maxOnTimePriority + 1]time.Duration
}

// statsOf returns the statistics of the request's model.
func (d *Dispatcher) statsOf(r *request) *modelStats {
	key := modelKeyOf(r)
	stats := d.statsByModel[key]
	if stats == nil {
		stats = &modelStats{sendRate: decayingRate{timeConstant: sendRateTimeConstant, updatedAt: d.now}, lateSendRate: decayingRate{timeConstant: sendRateTimeConstant, updatedAt: d.now}}
		d.statsByModel[key] = stats
	}
	return stats
}

// waitingCountFor returns the count that a waiting request belongs to.
func (m *modelStats) waitingCountFor(r *request, now time.Duration) *averagedCount {
	switch {
	case !r.onTime(now):
		return &m.lateWaiting
	case r.patient(now):
		return &m.patientWaiting
	}
	return &m.onTimeWaiting
}

func modelKeyOf(r *request) modelKey {
	return modelKey{r.Service, r.Model}
}

func queueKeyOf(r *request) queueKey {
	return queueKey{r.Service, r.Model, r.Adapter, r.release, r.Size >= budgeter.MinSuspectBytes}
}

// onTime reports whether the request can still meet its target latency, counting
// the time that an upstream takes to begin an answer. Other requests are late.
func (r *request) onTime(now time.Duration) bool {
	startTime := max(min(*r.startDelay(), r.startLimit()), time.Duration(float64(r.Route.TargetLatency)*startTimeShare))
	return now < r.arrivedAt+r.Route.TargetLatency-startTime
}

// compareUrgency orders waiting requests: first those that can still meet their
// target, then the others, each by priority, the shares of workspaces and arrival.
func (d *Dispatcher) compareUrgency(a, b *request) int {
	if aOnTime, bOnTime := a.onTime(d.now), b.onTime(d.now); aOnTime != bOnTime {
		if aOnTime {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.urgency(), b.urgency()), compareShares(a, b), cmp.Compare(a.ID, b.ID))
}

// enqueue inserts a request into its queue by urgency.
func (d *Dispatcher) enqueue(r *request) {
	key := queueKeyOf(r)
	if _, ok := d.queues[key]; !ok {
		d.queueOrder = append(d.queueOrder, key)
	}
	d.shares.enqueue(d.now, r)
	i, _ := slices.BinarySearchFunc(d.queues[key], r, d.compareUrgency)
	d.queues[key] = slices.Insert(d.queues[key], i, r)
	d.waitingCount++
	stats := d.statsOf(r)
	stats.waiting++
	stats.waitingCountFor(r, d.now).add(d.now, 1)
	r.queuePosition, r.sendsAtEnqueue = d.rankArrival(r), stats.sends
}

// sortQueues restores the order of the queues, in which requests have become late since
// they were queued. A late request at the head would keep those behind it from being sent
// in time.
func (d *Dispatcher) sortQueues() {
	for _, waiting := range d.queues {
		if !slices.IsSortedFunc(waiting, d.compareUrgency) {
			slices.SortStableFunc(waiting, d.compareUrgency)
		}
	}
}

// dequeue removes a request from its queue if it waits there.
func (d *Dispatcher) dequeue(r *request) {
	key := queueKeyOf(r)
	i := slices.Index(d.queues[key], r)
	if i < 0 {
		return
	}
	d.queues[key] = slices.Delete(d.queues[key], i, i+1)
	d.waitingCount--
	d.shares.dequeue(r)
	stats := d.statsOf(r)
	stats.waiting--
	stats.waitingCountFor(r, d.now).add(d.now, -1)
	if len(d.queues[key]) == 0 {
		delete(d.queues, key)
		d.queueOrder = slices.DeleteFunc(d.queueOrder, func(x queueKey) bool { return x == key })
	}
}

// sendWaiting sends the waiting requests that upstreams can take now, the queue
// with the most urgent head first.
func (d *Dispatcher) sendWaiting() {
	if d.waitingCount == 0 {
		return
	}
	keys := slices.Clone(d.queueOrder)
	slices.SortStableFunc(keys, func(a, b queueKey) int { return d.compareUrgency(d.queues[a][0], d.queues[b][0]) })
	if d.shares.enabled {
		d.sendByShares(keys)
		return
	}
	for _, key := range keys {
		d.sendFromQueue(key)
	}
}

// sendFromQueue sends requests from the head of a queue while upstreams have room.
func (d *Dispatcher) sendFromQueue(key queueKey) {
	for len(d.queues[key]) > 0 && d.sendHead(key) {
	}
}

// sendHead sends the first request of a queue and reports whether an upstream had room.
func (d *Dispatcher) sendHead(key queueKey) bool {
	r := d.queues[key][0]
	u := d.chooseUpstream(r)
	if u == nil {
		return false
	}
	d.dequeue(r)
	d.send(r, u)
	return true
}
