package reconciler

import (
	"slices"

	"github.com/egretwall/egretwall/internal/registrar"
)

// loadSource names the nearest source of the model's weights, for the log.
func (r *Reconciler) loadSource(m registrar.ModelName) string {
	switch {
	case slices.Contains(r.state.InHostMemory, m):
		return "memory"
	case slices.Contains(r.state.OnHostDisk, m):
		return "disk"
	}
	return "store"
}

// cachedLocally reports whether the host has the model's weights in memory or on
// disk, so that a load needs nothing from the weight store.
func (r *Reconciler) cachedLocally(m registrar.ModelName) bool {
	return slices.Contains(r.state.InHostMemory, m) || slices.Contains(r.state.OnHostDisk, m)
}

// storeLoadLimit returns the number of loads from the weight store that all
// runners together may begin within the window. A new steward knows only the loads begun
// since its start, so it leaves the limit to those before and uses startupStoreLoads.
func (r *Reconciler) storeLoadLimit(e *registrar.Engine) int {
	limit := int(e.StoreLoadRate * r.cfg.Window.Seconds())
	if r.now-r.startedAt < r.cfg.Window {
		return min(limit, startupStoreLoads)
	}
	return limit
}

// peerStoreLoads counts the loads from the weight store that other runners have
// begun within the window and, with withAnnounced, the announced ones that have
// precedence over this runner's.
func (r *Reconciler) peerStoreLoads(withAnnounced bool) int {
	n := 0
	for address, p := range r.peers {
		switch {
		case p.storeLoaded && r.now-p.storeLoadAt < r.cfg.Window:
			n++
		case withAnnounced && p.report.LoadQueued && r.now-p.receivedAt < peerReportTTL && address < r.cfg.Address:
			n++
		}
	}
	return n
}

// admitLoad reports whether the load of a model may begin now. A load from the
// weight store is announced first; when more are announced than the limit allows,
// those of the lowest addresses have precedence. A runner begins at most one such
// load within a window, since its reports tell only the last one. A new steward waits
// for startupDelay until it knows the others.
func (r *Reconciler) admitLoad(e *registrar.Engine, m registrar.ModelName) bool {
	if r.cachedLocally(m) {
		return true
	}
	if r.now-r.startedAt < startupDelay || r.storeLoaded && r.now-r.storeLoadAt < r.cfg.Window {
		return false
	}
	if r.peerStoreLoads(false) >= r.storeLoadLimit(e) {
		r.queuedLoad = queuedLoad{}
		return false
	}
	if r.queuedLoad.model == "" {
		r.queuedLoad = queuedLoad{m, r.now}
		r.broadcastReport()
		return false
	}
	if r.now-r.queuedLoad.announcedAt < announcementDelay || r.peerStoreLoads(true) >= r.storeLoadLimit(e) {
		return false
	}
	r.queuedLoad = queuedLoad{}
	r.storeLoadAt, r.storeLoaded = r.now, true
	return true
}
