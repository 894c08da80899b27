package reconciler

import (
	"slices"

	"github.com/egretwall/egretwall/internal/registrar"
)

// source names where a load of the model comes from.
func (s *Reconciler) source(m registrar.ModelName) string {
	switch {
	case slices.Contains(s.state.InHostMemory, m):
		return "memory"
	case slices.Contains(s.state.OnHostDisk, m):
		return "disk"
	}
	return "store"
}

// atHand tells whether a load of the model needs nothing from the weight store.
func (s *Reconciler) atHand(m registrar.ModelName) bool {
	return slices.Contains(s.state.InHostMemory, m) || slices.Contains(s.state.OnHostDisk, m)
}

// storeLimit is the number of loads from the weight store that all runners may
// begin within the window.
func (s *Reconciler) storeLimit(e *registrar.Engine) int {
	return int(e.StoreLoadRate * s.cfg.Window.Seconds())
}

// storeLoads counts the loads that others have begun within the window, with
// claims also those that go before this one's.
func (s *Reconciler) storeLoads(claims bool) int {
	n := 0
	for address, p := range s.others {
		switch {
		case p.storing && s.now-p.stored < s.cfg.Window:
			n++
		case claims && p.report.LoadQueued && s.now-p.at < peerLife && address < s.cfg.Address:
			n++
		}
	}
	return n
}

// turn tells whether the load of a model may begin. A load from the weight
// store is announced first; when too many are, those of the lowest addresses
// go. A new steward does not know of the loads before its start.
func (s *Reconciler) turn(e *registrar.Engine, m registrar.ModelName) bool {
	if s.atHand(m) {
		return true
	}
	if s.now-s.born < s.cfg.Window || s.storing && s.now-s.stored < s.cfg.Window {
		return false
	}
	if s.storeLoads(false) >= s.storeLimit(e) {
		s.claim = claim{}
		return false
	}
	if s.claim.model == "" {
		s.claim = claim{m, s.now}
		s.tell()
		return false
	}
	if s.now-s.claim.at < claimDelay || s.storeLoads(true) >= s.storeLimit(e) {
		return false
	}
	s.claim = claim{}
	s.stored, s.storing = s.now, true
	return true
}
