package dispatcher

import (
	"math"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// sorted lists the open requests by id.
func (d *Dispatcher) sorted() []*request {
	all := make([]*request, 0, len(d.requests))
	for _, r := range d.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return int(a.ID) - int(b.ID) })
	return all
}

// choose returns the upstream for the next send, nil when none can take it now.
func (d *Dispatcher) choose(r *request) *server {
	if r.Model == "" {
		return d.least(r, d.groups[r.Service], func(s *server) bool { return d.roomy(r, s) })
	}
	group := d.holders(flowOf(r))
	holds := func(s *server) bool {
		model, adapter := s.has(d.now, r.Model, r.Adapter)
		return model && adapter && d.roomy(r, s)
	}
	if s := d.least(r, group, holds); s != nil {
		return s
	}
	if r.Adapter != "" {
		d.wantAdapter(r, group)
	}
	return nil
}

// holders lists the upstreams that hold a model by their report or by the list.
func (d *Dispatcher) holders(f flow) []*server {
	if d.index == nil {
		d.index = map[flow][]*server{}
		for service, group := range d.groups {
			for _, s := range group {
				d.addHolder(service, s)
			}
		}
	}
	return d.index[f]
}

func (d *Dispatcher) addHolder(service registrar.ServiceName, s *server) {
	for _, holdings := range [][]registrar.ResidentModel{s.info.Residents, s.report.Residents} {
		for _, h := range holdings {
			f := flow{service, h.Model}
			if listed := d.index[f]; len(listed) == 0 || listed[len(listed)-1] != s {
				d.index[f] = append(listed, s)
			}
		}
	}
}

// roomy tells whether another request would soon be started at the upstream.
func (d *Dispatcher) roomy(r *request, s *server) bool {
	if d.now < s.full {
		return false
	}
	if s.fresh(d.now) {
		return d.roomAt(r, s)
	}
	return s.open < max(minOpen, int(math.Ceil(float64(d.slots(s))*lineShare/float64(max(1, d.gateways)))))
}

// least returns the allowed upstream with the least load. Upstreams that failed
// lately come last.
func (d *Dispatcher) least(r *request, group []*server, allowed func(*server) bool) *server {
	var best *server
	var lowest float64
	for _, avoided := range []bool{false, true} {
		ties := 0
		for _, s := range group {
			shunned := d.now < s.avoid || s.info.ID == r.avoid || s.silent(d.now)
			if !s.takes() || shunned != avoided || !allowed(s) {
				continue
			}
			cost := d.cost(s)
			switch {
			case best == nil || cost < lowest:
				best, lowest, ties = s, cost, 1
			case cost == lowest:
				ties++
				if d.rnd.IntN(ties) == 0 {
					best = s
				}
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// cost compares upstreams, in requests of load.
func (d *Dispatcher) cost(s *server) float64 {
	all, waiting := s.load(d.now, d.gateways)
	cost := all + waitingCost*waiting + errorCost*s.errorRate(d.now)
	if s.info.Domain != d.cfg.Domain {
		cost += farCost
	}
	return cost
}

// wantAdapter asks the steward of a runner with the model for the adapter: where
// some runner has it and none of these has room, a further one with room.
func (d *Dispatcher) wantAdapter(r *request, group []*server) {
	var idle, busy, roomy []configurator.UpstreamName
	held := false
	for _, s := range group {
		model, adapter := s.has(d.now, r.Model, r.Adapter)
		if !model || !s.takes() || d.now < s.avoid {
			continue
		}
		name := configurator.UpstreamName(s.info.ID)
		switch {
		case adapter:
			held = true
			continue
		case s.fresh(d.now) && s.report.Busy:
			busy = append(busy, name)
			continue
		}
		idle = append(idle, name)
		if s.fresh(d.now) && s.report.Running+s.report.Waiting < d.slots(s) {
			roomy = append(roomy, name)
		}
	}
	names := idle
	if held {
		names = roomy
	} else if len(idle) == 0 {
		names = busy // a runner that loads a model takes no other order meanwhile
	}
	if len(names) == 0 {
		return
	}
	// The rendezvous order lets all gateways ask the same runner.
	first := placer.Rank(string(r.Model)+"/"+string(r.Adapter), names)[0]
	s := d.servers[registrar.UpstreamID(first)]
	l := laneOf(r)
	if at, ok := s.wanted[l]; ok && d.now < at+wantPeriod {
		return
	}
	s.wanted[l] = d.now
	d.emit(LoadAdapter{Address: s.info.Address, Adapter: registrar.AdapterID{Model: r.Model, Name: r.Adapter}})
}

// patience is when a request that has not been sent must be refused at the
// latest: its caller gives up, or this gateway ends.
func (d *Dispatcher) patience(r *request) time.Duration {
	p := r.Deadline
	if d.end > 0 {
		p = min(p, d.end)
	}
	if r.Route.Kind == registrar.Streaming {
		p = min(p, r.arrived+max(silence, silentTargets*r.Route.TargetLatency, silentPauses*r.Route.TargetGap))
	}
	return p
}

// hopeless tells whether a waiting request can't be served before its caller
// gives up, and when the caller should come back.
func (d *Dispatcher) hopeless(r *request) (classifier.Kind, time.Duration) {
	left := d.patience(r) - d.now
	holders, usable, coming := 0, 0, time.Duration(-1)
	for _, s := range d.groups[r.Service] {
		if !s.takes() {
			continue
		}
		usable++
		if model, _ := s.has(d.now, r.Model, ""); r.Model == "" || model {
			holders++
		}
		if r.Model != "" && s.fresh(d.now) && s.report.Loading == r.Model && !s.report.LoadQueued {
			ready := max(0, s.report.LoadRemaining-(d.now-s.at))
			if coming < 0 || ready < coming {
				coming = ready
			}
		}
	}
	switch {
	case usable == 0 || holders > 0 && coming < 0:
		if wait := d.wait(r); wait > left {
			return classifier.Busy, wait
		}
	case holders == 0 && coming > left:
		return classifier.Loading, coming
	case holders == 0 && coming < 0 && d.now-r.arrived > time.Duration(coldPatience*float64(left)):
		return classifier.Loading, d.loadTime(r)
	}
	return classifier.None, 0
}

// wait estimates how long the requests before this one take, whichever adapter
// they are for, from how fast those of the same model went lately.
func (d *Dispatcher) wait(r *request) time.Duration {
	f := d.stats(r)
	if !r.onTime(d.now) {
		return f.tardyWait(d.now)
	}
	before := r.place - (f.sent - r.sentBefore)
	if before <= waitingFree {
		return 0
	}
	f.rate.decay(d.now)
	return time.Duration(float64(before) / max(f.rate.value, leastFlow) * float64(time.Second))
}

// tardyWait estimates how long requests wait that can't be on time any more:
// those that can go first, so that only the sends of others count.
func (f *flowStats) tardyWait(now time.Duration) time.Duration {
	if f.late.current <= tardyFree {
		return 0
	}
	f.tardy.decay(now)
	return time.Duration((f.late.current - tardyFree) / max(f.tardy.value, leastFlow) * float64(time.Second))
}

// loadTime is the time that a load of the request's model takes.
func (d *Dispatcher) loadTime(r *request) time.Duration {
	if d.current == nil {
		return time.Second
	}
	if e := d.current.Services[r.Service].Engine; e != nil {
		return e.Models[r.Model].StoreLoadTime
	}
	return time.Second
}

// drainTime estimates when there may be room again, spread so that callers
// don't come back together.
func (d *Dispatcher) drainTime(r *request) time.Duration {
	base := r.Route.TargetLatency + time.Duration(d.waiting)*5*time.Millisecond
	return base/2 + time.Duration(d.rnd.Int64N(int64(base)+1))
}
