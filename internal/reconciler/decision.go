package reconciler

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/allocator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// planner assigns models to the runners' memory.
var planner = allocator.New(allocator.Config{Hysteresis: copyHysteresis, DemandExponent: copyDemandExponent, MinDemandPerCopy: minDemandPerCopy})

// engine returns the configuration of the service's runners, nil before the
// service configuration and the runner's list entry are known.
func (r *Reconciler) engine() *registrar.Engine {
	if r.configuration == nil || r.self == nil {
		return nil
	}
	return r.configuration.Services[r.self.Service].Engine
}

// decide emits the next order if one is due and allowed.
func (r *Reconciler) decide() {
	e := r.engine()
	if e == nil || !r.stateFresh || r.fence == 0 || r.orderPending || r.now < r.nextOrderAt || r.state.Draining || r.self.State != registrar.Ready {
		return
	}
	if r.state.Busy {
		return
	}
	// A steady demand for adapters must not starve loads of models.
	if r.consecutiveAdapterOrders >= maxConsecutiveAdapterOrders && r.orderModel(e) {
		r.consecutiveAdapterOrders = 0
		return
	}
	if r.orderAdapter(e) {
		r.consecutiveAdapterOrders++
		return
	}
	r.consecutiveAdapterOrders = 0
	r.orderModel(e)
}

// staleLoads lists the loads that were sent to an earlier incarnation of the
// runner and that this one may still execute, because its sequence number has
// not passed theirs. Within one incarnation the sequence number alone prevents
// a late execution next to a newer order. An instance with another ID than the order's
// refuses it.
func (r *Reconciler) staleLoads() []Order {
	var stale []Order
	for _, u := range r.unresolved {
		if u.order.Upstream != "" && r.self != nil && r.self.Incarnation == r.state.Incarnation && r.self.ID != u.order.Upstream {
			continue
		}
		resident := u.order.Adapter == "" && r.holds(u.order.Model)
		if u.incarnation != r.state.Incarnation && u.order.Op == OpLoad && r.state.Sequence <= u.order.ExpectedSequence && !resident {
			stale = append(stale, u.order)
		}
	}
	return stale
}

// freeMemory returns the weight memory that is neither taken by resident or
// loading weights nor needed by stale loads.
func (r *Reconciler) freeMemory(e *registrar.Engine) registrar.Megabytes {
	free := e.WeightMemory
	for _, o := range r.staleLoads() {
		if o.Adapter != "" {
			free -= e.Models[o.Model].AdapterSize
		} else {
			free -= e.Models[o.Model].WeightSize
		}
	}
	for _, resident := range r.state.Residents {
		m := e.Models[resident.Model]
		free -= m.WeightSize + m.AdapterSize*registrar.Megabytes(len(resident.Adapters))
	}
	for _, a := range r.state.LoadingAdapters {
		free -= e.Models[a.Model].AdapterSize
	}
	return free
}

// orderAdapter orders the load of a requested adapter, or the unload of the
// least recently used one to make room, and reports whether it emitted an order.
func (r *Reconciler) orderAdapter(e *registrar.Engine) bool {
	r.adapterRequests = slices.DeleteFunc(r.adapterRequests, func(request adapterRequest) bool {
		return r.now-request.requestedAt > adapterRequestTTL || r.adapterPresent(request.adapter)
	})
	if len(r.adapterRequests) == 0 || len(r.state.LoadingAdapters) >= maxLoadingAdapters {
		return false
	}
	usedSlots := len(r.state.LoadingAdapters)
	for _, o := range r.staleLoads() {
		if o.Adapter != "" {
			usedSlots++
		}
	}
	for _, resident := range r.state.Residents {
		usedSlots += len(resident.Adapters)
	}
	for _, request := range r.adapterRequests {
		if !r.holds(request.adapter.Model) || request.adapter.Model == r.evicting {
			continue
		}
		if usedSlots < e.AdapterSlots && r.freeMemory(e) >= e.Models[request.adapter.Model].AdapterSize {
			r.sendOrder(OpLoad, request.adapter.Model, request.adapter.Name, "wanted")
			return true
		}
		if lru, ok := r.lruAdapter(); ok {
			r.sendOrder(OpUnload, lru.Model, lru.Name, "for "+string(request.adapter.Model)+"/"+string(request.adapter.Name))
			r.adapterUsedAt[lru] = r.now // if the runner refuses because it is in use, the next try picks another
			return true
		}
	}
	return false
}

// adapterPresent reports whether an adapter is resident or loading.
func (r *Reconciler) adapterPresent(a registrar.AdapterID) bool {
	if slices.Contains(r.state.LoadingAdapters, a) {
		return true
	}
	return slices.ContainsFunc(r.state.Residents, func(resident registrar.ResidentModel) bool {
		return resident.Model == a.Model && slices.Contains(resident.Adapters, a.Name)
	})
}

// lruAdapter returns the resident adapter that was requested least recently.
func (r *Reconciler) lruAdapter() (registrar.AdapterID, bool) {
	var lru registrar.AdapterID
	found := false
	for _, resident := range r.state.Residents {
		for _, name := range resident.Adapters {
			a := registrar.AdapterID{Model: resident.Model, Name: name}
			if !found || r.adapterUsedAt[a] < r.adapterUsedAt[lru] {
				lru, found = a, true
			}
		}
	}
	return lru, found
}

// orderModel orders the load of a planned model, or the unload of another one to
// make room, and reports whether it emitted an order. While the best load waits for the
// weight store's rate limit, one that needs nothing from the store begins.
func (r *Reconciler) orderModel(e *registrar.Engine) bool {
	v := r.buildView(e)
	candidates := r.missingModels(e, v)
	if len(candidates) == 0 {
		r.queuedLoad, r.evicting = queuedLoad{}, ""
		return false
	}
	best := candidates[0]
	if best != r.queuedLoad.model {
		r.queuedLoad = queuedLoad{}
	}
	if r.freeMemory(e) < e.Models[best].WeightSize {
		if r.cachedLocally(best) || r.peerStoreLoads(false) < r.storeLoadLimit(e) {
			r.evictFor(v, best)
		}
		return r.orderPending
	}
	if r.admitLoad(e, best) {
		r.orderLoad(v, best)
		return true
	}
	if r.queuedLoad.model != "" {
		return false // its turn comes within announcementDelay
	}
	for _, m := range candidates {
		if r.cachedLocally(m) && r.freeMemory(e) >= e.Models[m].WeightSize {
			r.orderLoad(v, m)
			return true
		}
	}
	return false
}

// orderLoad orders the load of a model.
func (r *Reconciler) orderLoad(v *serviceView, m registrar.ModelName) {
	reason := "demand"
	if len(v.holders[m])+v.loading[m] == 0 {
		reason = "no copy"
	}
	r.sendOrder(OpLoad, m, "", reason+", from "+r.loadSource(m))
}

// evictFor chooses an evictable model and orders its unload to make room for m.
// The eviction is announced first: gateways stop sending requests for the model,
// and two stewards that are about to evict its last two copies notice each other.
func (r *Reconciler) evictFor(v *serviceView, m registrar.ModelName) {
	if r.evicting == "" || !r.holds(r.evicting) || !v.evictable(r.evicting, r.self.ID) {
		victim, ok := r.victim(v)
		r.evicting, r.evictionAnnouncedAt = victim, r.now
		if ok {
			r.broadcastReport()
		}
		return
	}
	if r.now-r.evictionAnnouncedAt >= announcementDelay {
		r.sendOrder(OpUnload, r.evicting, "", "for "+string(m))
	}
}

// missingModels lists the planned models to load by descending demand per copy and second
// of loading, since the runner carries out one load at a time and those from the store
// take several times as long as others. A model without demand is loaded only if it has no
// copy, and leaves storeLoadReserve loads of the weight store's limit to others.
func (r *Reconciler) missingModels(e *registrar.Engine, v *serviceView) []registrar.ModelName {
	var missing []registrar.ModelName
	value := map[registrar.ModelName]float64{}
	for _, m := range v.plan.Models(r.self.ID) {
		if r.holds(m) || r.loading == m {
			continue
		}
		copies := len(v.holders[m]) + v.loading[m]
		value[m] = v.demand[m] / (float64(copies) + 0.5) / max(r.loadTime(m), minLoadTime).Seconds()
		if value[m] == 0 && (copies > 0 || !r.cachedLocally(m) && r.peerStoreLoads(false) >= r.storeLoadLimit(e)-storeLoadReserve) {
			continue
		}
		missing = append(missing, m)
	}
	slices.SortStableFunc(missing, func(a, b registrar.ModelName) int { return cmp.Compare(value[b], value[a]) })
	return missing
}

// victim returns the evictable model with the least demand per copy.
func (r *Reconciler) victim(v *serviceView) (registrar.ModelName, bool) {
	var best registrar.ModelName
	var least float64
	for _, resident := range r.state.Residents {
		if !v.evictable(resident.Model, r.self.ID) {
			continue
		}
		value := v.demand[resident.Model] / float64(len(v.holders[resident.Model]))
		if best == "" || value < least {
			best, least = resident.Model, value
		}
	}
	return best, best != ""
}

// loadTime returns the configured load time of the model from its nearest source.
func (r *Reconciler) loadTime(m registrar.ModelName) time.Duration {
	e := r.engine()
	if e == nil {
		return 0
	}
	switch {
	case slices.Contains(r.state.InHostMemory, m):
		return e.Models[m].MemoryLoadTime
	case slices.Contains(r.state.OnHostDisk, m):
		return e.Models[m].DiskLoadTime
	}
	return e.Models[m].StoreLoadTime
}
