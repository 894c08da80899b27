package reducer

import (
	"cmp"
	"slices"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// makeRoom unloads what is needed least until m fits, and tells whether
// unloads are under way.
func (a *Agent) makeRoom(m configurator.ModelName, needed bool) bool {
	free := a.ledger.Free()
	victims := a.victims(needed)
	for _, v := range victims {
		free += a.catalog.sizes[v]
	}
	if free < a.catalog.sizes[m] {
		return false
	}
	free = a.ledger.Free()
	for _, v := range victims {
		if free >= a.catalog.sizes[m] {
			break
		}
		free += a.catalog.sizes[v]
		a.orderUnload(v)
	}
	return true
}

// needed tells whether a model is a home copy or attempts wait for it.
func (a *Agent) needed(m configurator.ModelName) bool {
	return slices.Contains(a.homes[m], a.cfg.Upstream) || a.inUse(m)
}

// victims lists the base models that may be unloaded, least recently used
// first: no home copies, nothing in use, and never the last copy. For a copy
// that is not needed, only copies that have been idle for long give way.
func (a *Agent) victims(needed bool) []configurator.ModelName {
	var list []configurator.ModelName
	for _, m := range a.ledger.Residents() {
		base, known := a.catalog.baseOf[m]
		if known && base != m || slices.Contains(a.homes[m], a.cfg.Upstream) || a.inUse(m) || a.ledger.Pending(m) {
			continue
		}
		if !needed && known && a.now-a.engine.lastUsed[m] < evictIdleAfter || known && !a.heldElsewhere(m) {
			continue
		}
		list = append(list, m)
	}
	slices.SortStableFunc(list, func(x, y configurator.ModelName) int { return cmp.Compare(a.engine.lastUsed[x], a.engine.lastUsed[y]) })
	return list
}

// sortedModels lists the keys of m by name.
func sortedModels[V any](m map[configurator.ModelName]V) []configurator.ModelName {
	names := make([]configurator.ModelName, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// inUse tells whether attempts run or wait for a model or one of its adapters.
func (a *Agent) inUse(base configurator.ModelName) bool {
	for m, n := range a.engine.running {
		if n > 0 && a.catalog.baseOf[m] == base {
			return true
		}
	}
	return slices.ContainsFunc(a.cold, func(t *attempt) bool {
		return t.state == stateCold && a.catalog.baseOf[configurator.ModelName(t.submit.Model)] == base
	})
}

// heldElsewhere tells whether a home of m has lately been seen to hold it, and
// asks its homes otherwise.
func (a *Agent) heldElsewhere(m configurator.ModelName) bool {
	for _, u := range a.homes[m] {
		if l := a.engine.residentsOf[u]; l.models[m] && a.now-l.receivedAt < residentsTTL {
			return true
		}
	}
	for _, u := range a.homes[m] {
		l := a.engine.residentsOf[u]
		if l.askedAt > 0 && a.now-l.askedAt < residentsTTL/4 {
			continue
		}
		l.askedAt = a.now
		a.engine.residentsOf[u] = l
		up, _ := a.follower.State().Config.Upstream(u)
		a.emit(QueryResidents{u, up.Address})
	}
	return false
}
