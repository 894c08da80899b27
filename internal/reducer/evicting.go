package reducer

import (
	"cmp"
	"slices"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// makeRoom unloads the least recently used evictable models until m fits. It
// unloads nothing and returns false if m would not fit even without all of them.
func (a *Agent) makeRoom(m configurator.ModelName, needed bool) bool {
	free := a.ledger.Free()
	victims := a.evictable(needed)
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

// needed reports whether m is a home copy of this runner or in use.
func (a *Agent) needed(m configurator.ModelName) bool {
	return slices.Contains(a.homes[m], a.cfg.Upstream) || a.inUse(m)
}

// evictable lists the base models that may be unloaded, least recently used first. It
// leaves out home copies, models in use or with an unresolved order, and models that
// no home runner is known to hold, so that the last copy is never unloaded. To load a
// model that is not needed, only models idle for evictIdleAfter may be unloaded.
// Models and adapters that are no longer configured may always be unloaded, unless an
// order for them is unresolved.
func (a *Agent) evictable(needed bool) []configurator.ModelName {
	var models []configurator.ModelName
	for _, m := range a.ledger.Residents() {
		base, configured := a.catalog.baseOf[m]
		if configured && base != m || slices.Contains(a.homes[m], a.cfg.Upstream) || a.inUse(m) || a.ledger.Pending(m) {
			continue
		}
		if !needed && configured && a.now-a.engine.lastUsed[m] < evictIdleAfter || configured && !a.heldElsewhere(m) {
			continue
		}
		models = append(models, m)
	}
	slices.SortStableFunc(models, func(x, y configurator.ModelName) int { return cmp.Compare(a.engine.lastUsed[x], a.engine.lastUsed[y]) })
	return models
}

// sortedModels returns the sorted keys of m.
func sortedModels[V any](m map[configurator.ModelName]V) []configurator.ModelName {
	names := make([]configurator.ModelName, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// inUse reports whether attempts of a base model or one of its adapters run or wait
// for a load.
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

// heldElsewhere reports whether a home runner of m held it within residentsTTL. If
// none is known to, it queries each of them at most once per quarter of residentsTTL;
// the results count at the next call.
func (a *Agent) heldElsewhere(m configurator.ModelName) bool {
	for _, u := range a.homes[m] {
		if residents := a.engine.residentsOf[u]; residents.models[m] && a.now-residents.receivedAt < residentsTTL {
			return true
		}
	}
	for _, u := range a.homes[m] {
		residents := a.engine.residentsOf[u]
		if residents.askedAt > 0 && a.now-residents.askedAt < residentsTTL/4 {
			continue
		}
		residents.askedAt = a.now
		a.engine.residentsOf[u] = residents
		upstream, _ := a.follower.State().Config.Upstream(u)
		a.emit(QueryResidents{u, upstream.Address})
	}
	return false
}
