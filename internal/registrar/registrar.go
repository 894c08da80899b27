package registrar

import (
	"cmp"
	"slices"
	"time"
)

// maxRemoved bounds the number of removed instances that a Registrar remembers. When
// it is reached, all are forgotten, since late heartbeats come within seconds of the
// removal.
const maxRemoved = 2000

// Config configures a Registrar.
type Config struct {
	// OutageGrace is how long after the end of a store outage an entry that
	// expired in it is kept, so that its instance can register again.
	OutageGrace time.Duration
}

// Registrar holds the configuration in force and the live upstreams of all
// services. It is not safe for concurrent use.
type Registrar struct {
	cfg             Config
	configuration   *Configuration
	entries         map[UpstreamID]*entry
	storeDown       bool
	storeReturnedAt time.Duration // when the store was last reached after an outage
	hadOutage       bool          // there has been an outage since the start
	restoredAt      time.Duration // when the store was last restored
	restored        bool          // restoredAt is set
	heartbeatPeriod time.Duration // of instances; zero before it is known
	byService       map[ServiceName][]*Upstream
	removed         map[UpstreamID]Upstream // last entry of each removed instance, against late heartbeats
}

// entry is the newest known entry of an instance.
type entry struct {
	upstream Upstream
	lapsed   bool // removed from the list, perhaps only by an outage of the store
	writes   writes
}

// New returns a registrar without a configuration and upstreams.
func New(cfg Config) *Registrar {
	return &Registrar{cfg: cfg, entries: map[UpstreamID]*entry{}, byService: map[ServiceName][]*Upstream{}, removed: map[UpstreamID]Upstream{}}
}

// Configuration returns the configuration in force, nil before the first.
func (r *Registrar) Configuration() *Configuration {
	return r.configuration
}

// Install puts c in force if its version is higher than that of the configuration
// in force, and reports whether it did.
func (r *Registrar) Install(c *Configuration) bool {
	if r.configuration != nil && c.Version <= r.configuration.Version {
		return false
	}
	c.index()
	r.configuration = c
	return true
}

// SetStoreReachable records at time now whether the store answers. An outage lasts
// from the first call with false to the next one with true, unless a batch of changes shows
// that the store was there for others.
func (r *Registrar) SetStoreReachable(now time.Duration, up bool) {
	if up && r.storeDown {
		r.storeReturnedAt = now
	}
	if up == r.storeDown {
		for _, e := range r.entries {
			e.writes.counting = false // heartbeats may be missing in between
		}
	}
	r.storeDown = !up
	r.hadOutage = r.hadOutage || !up
}

// StoreRestored records at time now that the store was restored from a backup. Entries
// that it lost are kept like those that expire in an outage, until their upstreams have
// had time to write them again.
func (r *Registrar) StoreRestored(now time.Duration) {
	r.restored, r.restoredAt = true, now
	for _, e := range r.entries {
		e.writes = writes{}
	}
}

// StoreDown reports whether the store is in an outage.
func (r *Registrar) StoreDown() bool {
	return r.storeDown
}

// mayHaveLapsed reports whether entries that are removed now may have expired only
// because their instances could not reach the store, or may be lost with a restore.
func (r *Registrar) mayHaveLapsed(now time.Duration) bool {
	return r.storeDown || r.hadOutage && now < r.storeReturnedAt+r.cfg.OutageGrace || r.mayBeLost(now)
}

// mayBeLost reports whether entries that are removed now may be lost with a restore.
func (r *Registrar) mayBeLost(now time.Duration) bool {
	return r.restored && now < r.restoredAt+r.cfg.OutageGrace
}

// Apply applies changes of the list in their order, which were made at an unknown time.
func (r *Registrar) Apply(now time.Duration, changes []Change) {
	r.ApplySince(now, unknownTime, changes)
}

// ApplySince applies changes of the list in their order, all of which were made later than
// since. During an outage and its grace period, a ready upstream whose entry may have expired
// stays when it is removed, until Expire.
func (r *Registrar) ApplySince(now, since time.Duration, changes []Change) {
	if r.storeDown && r.servedOthers(now, since, changes) {
		r.storeDown = false // only this process did not reach it
	}
	for _, change := range changes {
		e := r.entries[change.ID]
		if change.Upstream != nil {
			r.upsert(e, change.Upstream)
			if e = r.entries[change.ID]; e != nil && e.upstream.SameIncarnation(change.Upstream) && e.upstream.Heartbeat == change.Upstream.Heartbeat {
				e.writes.record(now, since, e.upstream.Heartbeat)
			}
			continue
		}
		if e == nil {
			continue
		}
		silent := !e.writes.within(now, silentHeartbeats*r.heartbeatPeriod-silenceMargin)
		if r.mayHaveLapsed(now) && e.upstream.State == Ready && (silent || r.mayBeLost(now)) {
			e.lapsed = true
			continue
		}
		r.remove(change.ID)
	}
	if !r.storeDown {
		r.measureHeartbeats()
	}
	r.rebuildIndex()
}

// upsert stores an entry unless a newer one of the instance is known or has been
// removed. Here e is the stored entry, nil without one.
func (r *Registrar) upsert(e *entry, u *Upstream) {
	if e != nil && u.older(&e.upstream) {
		return
	}
	if last, ok := r.removed[u.ID]; ok {
		if !last.older(u) {
			return
		}
		delete(r.removed, u.ID)
	}
	stored := &entry{upstream: *u}
	if e != nil && e.upstream.SameIncarnation(u) {
		stored.writes = e.writes
	}
	r.entries[u.ID] = stored
}

// remove deletes an entry and remembers it, so that a late heartbeat does not
// restore it.
func (r *Registrar) remove(id UpstreamID) {
	if len(r.removed) >= maxRemoved {
		clear(r.removed)
	}
	r.removed[id] = r.entries[id].upstream
	delete(r.entries, id)
}

// Replace applies the whole list. Entries that are not in it count as removed, at an unknown
// time.
func (r *Registrar) Replace(now time.Duration, entries []Change) {
	listed := map[UpstreamID]bool{}
	for _, c := range entries {
		listed[c.ID] = true
	}
	changes := entries
	for id := range r.entries {
		if !listed[id] {
			changes = append(changes, Change{ID: id})
		}
	}
	r.Apply(now, changes)
}

// Expire removes the entries that did not come back within the grace period of an
// outage, and reports whether there were any.
func (r *Registrar) Expire(now time.Duration) bool {
	if r.mayHaveLapsed(now) {
		return false
	}
	dropped := false
	for id, e := range r.entries {
		if e.lapsed {
			r.remove(id)
			dropped = true
		}
	}
	if dropped {
		r.rebuildIndex()
	}
	return dropped
}

// rebuildIndex groups the upstreams by service. Of instances with the same
// address, only the newest is live.
func (r *Registrar) rebuildIndex() {
	r.byService = map[ServiceName][]*Upstream{}
	latest := map[string]int64{} // incarnation of the newest instance by address
	for _, e := range r.entries {
		latest[e.upstream.Address] = max(latest[e.upstream.Address], e.upstream.Incarnation)
	}
	for _, e := range r.entries {
		u := &e.upstream
		if u.Incarnation < latest[u.Address] {
			continue // a newer instance has the address
		}
		r.byService[u.Service] = append(r.byService[u.Service], u)
	}
	for _, group := range r.byService {
		slices.SortFunc(group, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Upstreams lists the live instances of a service, sorted by ID.
func (r *Registrar) Upstreams(s ServiceName) []*Upstream {
	return r.byService[s]
}

// All lists the live instances of all services, in no particular order.
func (r *Registrar) All() []*Upstream {
	var all []*Upstream
	for _, g := range r.byService {
		all = append(all, g...)
	}
	return all
}

// ByAddress returns the live instance at an address, nil without one. Ready
// instances are preferred.
func (r *Registrar) ByAddress(address string) *Upstream {
	var found *Upstream
	for _, g := range r.byService {
		for _, u := range g {
			if u.Address == address && (found == nil || u.State == Ready && u.Incarnation >= found.Incarnation) {
				found = u
			}
		}
	}
	return found
}
