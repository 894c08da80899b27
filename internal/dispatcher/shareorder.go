package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
)

// compareShares orders requests of the same urgency by the shares of their workspaces, those
// beyond a share last.
func compareShares(a, b *request) int {
	if a.share.beyond != b.share.beyond {
		if b.share.beyond {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.share.tag, b.share.tag)
}

// sendByShares sends from the queue with the most urgent head while upstreams have room, so
// that the order holds over all queues. The keys are in the order of the queues' heads.
func (d *Dispatcher) sendByShares(keys []queueKey) {
	for len(keys) > 0 {
		key := keys[0]
		if !d.sendHead(key) || len(d.queues[key]) == 0 {
			keys = keys[1:]
			continue
		}
		head := d.queues[key][0]
		for i := 1; i < len(keys) && d.compareUrgency(d.queues[keys[i]][0], head) < 0; i++ {
			keys[i-1], keys[i] = keys[i], key
		}
	}
}

// rankArrival returns the place of a queued request among the waiting requests of its
// model, from 1.
func (d *Dispatcher) rankArrival(r *request) int {
	stats := d.statsOf(r)
	if !d.shares.enabled || stats.waiting <= queueAllowance {
		return stats.waiting
	}
	key, ahead := modelKeyOf(r), 0
	for _, k := range d.queueOrder {
		if k.service == key.service && k.model == key.model {
			i, _ := slices.BinarySearchFunc(d.queues[k], r, d.compareUrgency)
			ahead += i
		}
	}
	return ahead + 1
}

// rankWaiting updates the places of all waiting requests, since those of other workspaces
// may have been put before them, and others refused. Requests that will be refused don't
// delay those behind them.
func (d *Dispatcher) rankWaiting() {
	if !d.shares.enabled || d.waitingCount == 0 {
		return
	}
	byModel := map[modelKey][]*request{}
	for _, key := range d.queueOrder {
		model, queue := modelKey{key.service, key.model}, d.queues[key]
		if len(queue) == 1 && queue[0].stats.waiting == 1 {
			d.rankModel(queue)
			continue
		}
		byModel[model] = append(byModel[model], queue...)
	}
	for _, waiting := range byModel {
		slices.SortStableFunc(waiting, d.compareUrgency)
		d.rankModel(waiting)
	}
}

// rankModel updates the places of the waiting requests of a model, which are in order.
func (d *Dispatcher) rankModel(waiting []*request) {
	var latest *request // the last to arrive of those before r in its class
	rank, lateRank := 0, 0
	for i, r := range waiting {
		if i == 0 || waiting[i-1].Priority() != r.Priority() || waiting[i-1].onTime(d.now) != r.onTime(d.now) {
			latest = nil
		}
		r.queuePosition, r.sendsAtEnqueue, r.share.lateRank = rank+1, r.stats.sends, lateRank+1
		r.share.overtakenBy = ""
		if latest != nil && latest.ID > r.ID && latest.workspaceName() != r.workspaceName() {
			r.share.overtakenBy = latest.workspaceName()
		}
		if latest == nil || r.ID > latest.ID {
			latest = r
		}
		if d.estimateWait(r) > d.waitDeadline(r)-d.now {
			continue
		}
		rank++
		if !r.onTime(d.now) {
			lateRank++
		}
	}
}

// estimateLateWaitOf estimates the wait of a request that can no longer meet its target
// from its place among these.
func (d *Dispatcher) estimateLateWaitOf(r *request) time.Duration {
	if !d.shares.enabled || r.share.lateRank == 0 {
		return r.stats.estimateLateWait(d.now)
	}
	return r.stats.lateWait(d.now, float64(r.share.lateRank))
}

// yielding returns the waiting request that must make room for an arriving one when no
// more may wait, nil if the arriving one must be refused. It is the least urgent request
// that has not been sent of the workspace whose requests take the largest part of the
// room, relative to its weight.
func (d *Dispatcher) yielding(arriving *request) *request {
	if !d.shares.enabled {
		return nil
	}
	own := arriving.workspaceName()
	largest, part := own, (d.shares.waiting[own]+arriving.shareWork())/d.shares.weight(own)
	for w, work := range d.shares.waiting {
		if p := work / d.shares.weight(w); p > part || p == part && largest != own && w < largest {
			largest, part = w, p
		}
	}
	if largest == own {
		return nil
	}
	var last *request
	for _, key := range d.queueOrder {
		for _, r := range d.queues[key] {
			if r.try == 0 && r.workspaceName() == largest && (last == nil || d.compareUrgency(r, last) > 0) {
				last = r
			}
		}
	}
	if last == nil || last.Priority() < arriving.Priority() && last.onTime(d.now) {
		return nil
	}
	last.share.overtakenBy = own
	return last
}

// makeRoom refuses a waiting request of another workspace for an arriving one and reports
// whether it did.
func (d *Dispatcher) makeRoom(arriving *request) bool {
	last := d.yielding(arriving)
	if last == nil {
		return false
	}
	d.refuse(last, classifier.Busy, d.retryDelay(last))
	return true
}

// spreadShared adds a random time to the Retry-After of a request with a workspace. Those
// of one workspace are refused together, and would come back together.
func (d *Dispatcher) spreadShared(r *request, retryAfter time.Duration) time.Duration {
	if !d.shares.enabled {
		return retryAfter
	}
	return d.spread(retryAfter, r.Route.TargetLatency/2)
}

// recordNoRoom records that a request is refused for want of room.
func (d *Dispatcher) recordNoRoom(r *request, retryAfter time.Duration) {
	if !d.shares.enabled {
		return
	}
	d.shares.returns.refuse(d.now, r, retryAfter)
	if r.share.overtakenBy != "" {
		d.Counters.Yielded++
		r.share.yieldedTo = r.share.overtakenBy
	}
}
