package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// lane groups the waiting requests that the same upstreams can run.
type lane struct {
	service registrar.ServiceName
	model   registrar.ModelName
	adapter registrar.AdapterName
}

// flow groups the requests that go through the same slots.
type flow struct {
	service registrar.ServiceName
	model   registrar.ModelName
}

// flowStats counts the requests of a flow.
type flowStats struct {
	rate    average // sends a second
	tardy   average // of these, of requests that could not be on time
	sent    int
	waiting int
	prompt  level // of those waiting that can be on time
	late    level // of the others
}

func (d *Dispatcher) stats(r *request) *flowStats {
	f := flowOf(r)
	s := d.flows[f]
	if s == nil {
		s = &flowStats{rate: average{life: flowLife, at: d.now}, tardy: average{life: flowLife, at: d.now}}
		d.flows[f] = s
	}
	return s
}

// level returns the count that the waiting request belongs to.
func (f *flowStats) level(r *request, now time.Duration) *level {
	if r.onTime(now) {
		return &f.prompt
	}
	return &f.late
}

func flowOf(r *request) flow {
	return flow{r.Service, r.Model}
}

func laneOf(r *request) lane {
	return lane{r.Service, r.Model, r.Adapter}
}

// onTime tells whether the request can still meet its target.
func (r *request) onTime(now time.Duration) bool {
	return now < r.arrived+r.Route.TargetLatency-time.Duration(float64(r.Route.TargetLatency)*startShare)
}

// before orders waiting requests: those that can be on time by urgency and by
// arrival, then the others.
func (d *Dispatcher) before(a, b *request) int {
	if x, y := a.onTime(d.now), b.onTime(d.now); x != y {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Route.Priority, b.Route.Priority), cmp.Compare(a.ID, b.ID))
}

func (d *Dispatcher) enqueue(r *request) {
	l := laneOf(r)
	if _, ok := d.lanes[l]; !ok {
		d.order = append(d.order, l)
	}
	at, _ := slices.BinarySearchFunc(d.lanes[l], r, d.before)
	d.lanes[l] = slices.Insert(d.lanes[l], at, r)
	d.waiting++
	f := d.stats(r)
	f.waiting++
	f.level(r, d.now).add(d.now, 1)
	r.place, r.sentBefore = f.waiting, f.sent
}

func (d *Dispatcher) dequeue(r *request) {
	l := laneOf(r)
	i := slices.Index(d.lanes[l], r)
	if i < 0 {
		return
	}
	d.lanes[l] = slices.Delete(d.lanes[l], i, i+1)
	d.waiting--
	f := d.stats(r)
	f.waiting--
	f.level(r, d.now).add(d.now, -1)
	if len(d.lanes[l]) == 0 {
		delete(d.lanes, l)
		d.order = slices.DeleteFunc(d.order, func(x lane) bool { return x == l })
	}
}

// pump sends the waiting requests that an upstream can take.
func (d *Dispatcher) pump() {
	if d.waiting == 0 {
		return
	}
	lanes := slices.Clone(d.order)
	slices.SortStableFunc(lanes, func(a, b lane) int { return d.before(d.lanes[a][0], d.lanes[b][0]) })
	for _, l := range lanes {
		d.pumpLane(l)
	}
}

func (d *Dispatcher) pumpLane(l lane) {
	for len(d.lanes[l]) > 0 {
		r := d.lanes[l][0]
		s := d.choose(r)
		if s == nil {
			return
		}
		d.dequeue(r)
		d.send(r, s)
	}
}
