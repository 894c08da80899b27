package dispatcher

import (
	"time"

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

// shareWork returns the work of a request that counts towards its workspace's share.
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
