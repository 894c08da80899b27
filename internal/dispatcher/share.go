package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/sharer"
)

// shareKey identifies requests among which workspaces have shares. Runners serve several
// models, so the shares are of all queues of a service.
type shareKey struct {
	service  registrar.ServiceName
	priority int
}

// shares holds the shares of workspaces in the room of the upstreams. It is unused while
// the configuration has no workspaces.
type shares struct {
	enabled   bool
	weights   map[registrar.WorkspaceName]float64 // of workspaces with a quota, 1 on average
	classes   map[shareKey]*shareClass
	waiting   map[registrar.WorkspaceName]float64 // work of the waiting requests of all services
	returns   returns
	loads     map[registrar.ServiceName]*serviceLoad
	updatedAt time.Duration
}

// shareClass holds the shares of workspaces in the room for one service and priority.
type shareClass struct {
	clock sharer.Clock
	meter sharer.Meter
	floor sharer.Floor
	load  *serviceLoad
	due   *request // the next that the floor makes due, while requests are promoted
}

// shareState is the part of a request in the shares.
type shareState struct {
	tag         sharer.Tag
	class       *shareClass             // nil without a tag
	promoted    bool                    // the floor of its class puts it before all others
	beyond      bool                    // it lies beyond the share of its workspace
	queued      bool                    // it counts as waiting
	weight      float64                 // of its workspace
	overtakenBy registrar.WorkspaceName // whose later request has been put before this one, empty without one
	yieldedTo   registrar.WorkspaceName // overtakenBy, if the request was refused for want of room
	lateRank    int                     // among the waiting requests of its model that can't meet their target, from 1
}

// configure takes over the weights of workspaces. Shares are in proportion to the rates of
// quotas, each relative to the mean of those in the same unit.
func (s *shares) configure(cfg *registrar.Configuration) {
	s.enabled = cfg != nil && cfg.HasWorkspaces()
	s.weights = nil
	if !s.enabled {
		return
	}
	if s.classes == nil {
		s.classes, s.waiting = map[shareKey]*shareClass{}, map[registrar.WorkspaceName]float64{}
		s.loads = map[registrar.ServiceName]*serviceLoad{}
	}
	for key := range s.classes {
		if _, ok := cfg.Services[key.service]; !ok {
			delete(s.classes, key)
			delete(s.loads, key.service)
		}
	}
	type sum struct{ rate, count float64 }
	sums := map[registrar.QuotaUnit]sum{}
	for _, w := range cfg.Workspaces {
		if w.Quota.Limited() {
			t := sums[w.Quota.Unit]
			sums[w.Quota.Unit] = sum{t.rate + w.Quota.Rate, t.count + 1}
		}
	}
	s.weights = map[registrar.WorkspaceName]float64{}
	for _, w := range cfg.Workspaces {
		if w.Quota.Limited() {
			t := sums[w.Quota.Unit]
			s.weights[w.Name] = max(minShareWeight, w.Quota.Rate*t.count/t.rate)
		}
	}
}

// weight returns the weight of a workspace, 1 without a quota.
func (s *shares) weight(w registrar.WorkspaceName) float64 {
	if weight, ok := s.weights[w]; ok {
		return weight
	}
	return 1
}

// class returns the shares in a service and priority.
func (s *shares) class(key shareKey) *shareClass {
	c := s.classes[key]
	if c == nil {
		c = &shareClass{load: s.load(key.service)}
		s.classes[key] = c
	}
	return c
}

// workspaceName returns the name of the caller's workspace, empty without one.
func (r *request) workspaceName() registrar.WorkspaceName {
	if r.Workspace == nil {
		return ""
	}
	return r.Workspace.Name
}

// work returns the work of a request that counts towards its workspace's share.
func (r *request) shareWork() float64 {
	return max(r.work(), minShareWork)
}

// enqueue gives a request its place among those of other workspaces when it is first
// queued, and counts it as waiting.
func (s *shares) enqueue(now time.Duration, r *request) {
	if !s.enabled {
		return
	}
	w, work := r.workspaceName(), r.shareWork()
	s.waiting[w] += work
	r.share.queued = true
	if r.share.class != nil {
		r.share.class.clock.Rejoin(w, r.share.weight, work)
		return
	}
	r.share.weight = s.weight(w)
	r.share.class = s.class(shareKey{r.Service, r.Priority()})
	r.share.tag = r.share.class.clock.Join(w, r.share.weight, work)
	if s.returns.early(now, r) {
		r.share.beyond = true
		return
	}
	r.share.beyond = r.share.class.meter.Arrive(now, w, r.share.weight, work)
	r.share.class.arrive(now)
}

// dequeue records that a request no longer waits.
func (s *shares) dequeue(r *request) {
	if !r.share.queued {
		return
	}
	r.share.queued = false
	w, work := r.workspaceName(), r.shareWork()
	r.share.class.clock.Leave(w, work)
	if s.waiting[w] -= work; s.waiting[w] < minShareWork {
		delete(s.waiting, w)
	}
}

// serve records the first send of a request.
func (s *shares) serve(r *request) {
	if r.share.class != nil && r.try == 1 {
		r.share.class.clock.Serve(r.workspaceName(), r.shareWork())
	}
}

// begin records that the answer to a request began.
func (s *shares) begin(now time.Duration, r *request) {
	if r.share.class != nil {
		r.share.class.meter.Serve(now, r.shareWork())
		r.share.class.begin(now, r.share.promoted)
		r.share.promoted = false
	}
}

// end takes back the charge for a request that ends without a send, or without the answer
// for which it was promoted.
func (s *shares) end(r *request) {
	if r.share.class == nil {
		return
	}
	if r.share.promoted {
		r.share.class.floor.Withdraw()
	}
	if r.try == 0 {
		r.share.class.clock.Refund(r.workspaceName(), r.shareWork())
	}
}

// updateShares computes the shares anew when they are due, and promotes requests.
func (d *Dispatcher) updateShares() {
	if !d.shares.enabled || d.now < d.shares.updatedAt+sharePeriod {
		return
	}
	d.shares.updatedAt = d.now
	for _, c := range d.shares.classes {
		c.meter.Update(d.now)
	}
	d.promote()
}

// startDelay returns the mean time until answers to requests like r begin. Less urgent ones
// wait longer at upstreams.
func (r *request) startDelay() *time.Duration {
	if r.share.class == nil {
		return &r.stats.startDelays[0]
	}
	return &r.stats.startDelays[min(max(0, r.Priority()), maxOnTimePriority)]
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
