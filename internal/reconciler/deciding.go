package reconciler

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/allocator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// planner shares out the runners' memory.
var planner = allocator.New(allocator.Config{Hysteresis: copyGain, DemandExponent: copySpread, MinDemandPerCopy: copyWork})

// engine describes the runners of the steward's service, nil before the
// configuration and the list are known.
func (s *Reconciler) engine() *registrar.Engine {
	if s.current == nil || s.self == nil {
		return nil
	}
	return s.current.Services[s.self.Service].Engine
}

// decide gives the next order, if there is reason for one.
func (s *Reconciler) decide() {
	e := s.engine()
	if e == nil || !s.settled || s.fence == 0 || s.sending || s.now < s.pause || s.state.Draining || s.self.State != registrar.Ready {
		return
	}
	if s.state.Busy {
		return
	}
	// Callers that want many adapters must not keep a model from coming.
	if s.streak >= adapterStreak && s.model(e) {
		s.streak = 0
		return
	}
	if s.adapter(e) {
		s.streak++
		return
	}
	s.streak = 0
	s.model(e)
}

// strays lists the loads that were meant for an earlier run of the runner and
// may yet be carried out in this one: it has not accepted more orders than they
// name. In the run that an order is meant for, that number alone protects it.
func (s *Reconciler) strays() []Order {
	var strays []Order
	for _, u := range s.open {
		held := u.order.Adapter == "" && s.holds(u.order.Model)
		if u.born != s.state.Incarnation && u.order.Op == OpLoad && s.state.Sequence <= u.order.ExpectedSequence && !held {
			strays = append(strays, u.order)
		}
	}
	return strays
}

// free is the memory that is not taken by what the runner holds or fetches, or
// by orders that it may yet carry out.
func (s *Reconciler) free(e *registrar.Engine) registrar.Megabytes {
	free := e.WeightMemory
	for _, o := range s.strays() {
		if o.Adapter != "" {
			free -= e.Models[o.Model].AdapterSize
		} else {
			free -= e.Models[o.Model].WeightSize
		}
	}
	for _, h := range s.state.Residents {
		m := e.Models[h.Model]
		free -= m.WeightSize + m.AdapterSize*registrar.Megabytes(len(h.Adapters))
	}
	for _, c := range s.state.LoadingAdapters {
		free -= e.Models[c.Model].AdapterSize
	}
	return free
}

// adapter orders a wanted adapter and tells whether it gave an order.
func (s *Reconciler) adapter(e *registrar.Engine) bool {
	s.wants = slices.DeleteFunc(s.wants, func(w want) bool { return s.now-w.at > wantLife || s.present(w.adapter) })
	if len(s.wants) == 0 || len(s.state.LoadingAdapters) >= comingBound {
		return false
	}
	resident := len(s.state.LoadingAdapters)
	for _, o := range s.strays() {
		if o.Adapter != "" {
			resident++
		}
	}
	for _, h := range s.state.Residents {
		resident += len(h.Adapters)
	}
	for _, w := range s.wants {
		if !s.holds(w.adapter.Model) || w.adapter.Model == s.leaving {
			continue
		}
		if resident < e.AdapterSlots && s.free(e) >= e.Models[w.adapter.Model].AdapterSize {
			s.send(OpLoad, w.adapter.Model, w.adapter.Name, "wanted")
			return true
		}
		if oldest, ok := s.oldestAdapter(); ok {
			s.send(OpUnload, oldest.Model, oldest.Name, "for "+string(w.adapter.Model)+"/"+string(w.adapter.Name))
			s.used[oldest] = s.now // the next one goes if this one is in use
			return true
		}
	}
	return false
}

// present tells whether an adapter is held or on its way.
func (s *Reconciler) present(a registrar.AdapterID) bool {
	if slices.Contains(s.state.LoadingAdapters, a) {
		return true
	}
	return slices.ContainsFunc(s.state.Residents, func(h registrar.ResidentModel) bool {
		return h.Model == a.Model && slices.Contains(h.Adapters, a.Name)
	})
}

// oldestAdapter returns the held adapter that was wanted longest ago.
func (s *Reconciler) oldestAdapter() (registrar.AdapterID, bool) {
	var oldest registrar.AdapterID
	found := false
	for _, h := range s.state.Residents {
		for _, name := range h.Adapters {
			a := registrar.AdapterID{Model: h.Model, Name: name}
			if !found || s.used[a] < s.used[oldest] {
				oldest, found = a, true
			}
		}
	}
	return oldest, found
}

// model orders a model to come or to make way, as the plan says, and tells
// whether it gave an order.
func (s *Reconciler) model(e *registrar.Engine) bool {
	v := s.view(e)
	m, reason := s.lacks(e, v)
	if m != s.claim.model {
		s.claim = claim{}
	}
	if m == "" {
		s.leaving = ""
		return false
	}
	if s.free(e) >= e.Models[m].WeightSize {
		if s.turn(e, m) {
			s.send(OpLoad, m, "", reason+", from "+s.source(m))
		}
		return s.sending
	}
	if !s.atHand(m) && s.storeLoads(false) >= s.storeLimit(e) {
		return false
	}
	s.makeWay(v, m)
	return s.sending
}

// makeWay orders a model that the plan has elsewhere to be unloaded. That is
// announced first: gateways stop sending for it, and of two stewards that want
// to give up the last copies at once, both see that the other's is going.
func (s *Reconciler) makeWay(v *view, m registrar.ModelName) {
	if s.leaving == "" || !s.holds(s.leaving) || !v.spare(s.leaving, s.self.ID) {
		victim, ok := s.victim(v)
		s.leaving, s.left = victim, s.now
		if ok {
			s.tell()
		}
		return
	}
	if s.now-s.left >= claimDelay {
		s.send(OpUnload, s.leaving, "", "for "+string(m))
	}
}

// lacks returns the planned model that the runner does not hold and that serves
// most. Models that nobody asks for leave a part of the store's limit to others.
func (s *Reconciler) lacks(e *registrar.Engine, v *view) (registrar.ModelName, string) {
	var best registrar.ModelName
	var top float64
	for _, m := range v.plan.Models(s.self.ID) {
		if s.holds(m) || s.loading == m {
			continue
		}
		copies := len(v.holders[m]) + v.coming[m]
		value := v.work[m] / (float64(copies) + 0.5)
		if value == 0 && (copies > 0 || !s.atHand(m) && s.storeLoads(false) >= s.storeLimit(e)-idleShare) {
			continue
		}
		if best == "" || value > top {
			best, top = m, value
		}
	}
	if len(v.holders[best])+v.coming[best] == 0 {
		return best, "no copy"
	}
	return best, "demand"
}

// victim returns the held model with the least work for a copy among those that
// may go.
func (s *Reconciler) victim(v *view) (registrar.ModelName, bool) {
	var best registrar.ModelName
	var least float64
	for _, h := range s.state.Residents {
		if !v.spare(h.Model, s.self.ID) {
			continue
		}
		value := v.work[h.Model] / float64(len(v.holders[h.Model]))
		if best == "" || value < least {
			best, least = h.Model, value
		}
	}
	return best, best != ""
}

// loadTime is how long a load of the model takes here.
func (s *Reconciler) loadTime(m registrar.ModelName) time.Duration {
	e := s.engine()
	if e == nil {
		return 0
	}
	switch {
	case slices.Contains(s.state.InHostMemory, m):
		return e.Models[m].MemoryLoadTime
	case slices.Contains(s.state.OnHostDisk, m):
		return e.Models[m].DiskLoadTime
	}
	return e.Models[m].StoreLoadTime
}
