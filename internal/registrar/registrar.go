package registrar

import (
	"cmp"
	"slices"
	"time"
)

// removedBound is the number of removed instances that are remembered; late
// heartbeats come within seconds of the removal.
const removedBound = 2000

// Config configures a Registrar.
type Config struct {
	// OutageGrace is how long after the store's return an entry that lapsed
	// meanwhile may still be missing.
	OutageGrace time.Duration
}

// Registrar holds the configuration in force and the list of upstreams. It is
// not safe for concurrent use.
type Registrar struct {
	cfg       Config
	current   *Configuration
	entries   map[UpstreamID]*entry
	down      bool
	returned  time.Duration // when the store was last reached after an outage
	suspended bool          // an outage has happened
	groups    map[ServiceName][]*Upstream
	removed   map[UpstreamID]Upstream // their last words, so that late heartbeats don't bring them back
}

type entry struct {
	upstream Upstream
	lapsed   bool // removed around an outage of the store
}

// New returns a registrar that knows nothing yet.
func New(cfg Config) *Registrar {
	return &Registrar{cfg: cfg, entries: map[UpstreamID]*entry{}, groups: map[ServiceName][]*Upstream{}, removed: map[UpstreamID]Upstream{}}
}

// Configuration returns the one in force, nil before the first.
func (r *Registrar) Configuration() *Configuration {
	return r.current
}

// Install puts a configuration in force unless a newer or equal one is, and
// tells whether it did.
func (r *Registrar) Install(c *Configuration) bool {
	if r.current != nil && c.Version <= r.current.Version {
		return false
	}
	c.index()
	r.current = c
	return true
}

// SetStoreReachable records whether the store answers.
func (r *Registrar) SetStoreReachable(now time.Duration, up bool) {
	if up && r.down {
		r.returned = now
	}
	r.down = !up
	r.suspended = r.suspended || !up
}

// StoreDown tells whether the store doesn't answer.
func (r *Registrar) StoreDown() bool {
	return r.down
}

// around tells whether a removal may be the effect of an outage.
func (r *Registrar) around(now time.Duration) bool {
	return r.down || r.suspended && now < r.returned+r.cfg.OutageGrace
}

// Apply takes over changes of the list in their order.
func (r *Registrar) Apply(now time.Duration, changes []Change) {
	for _, c := range changes {
		e := r.entries[c.ID]
		if c.Upstream != nil {
			r.accept(e, c.Upstream)
			continue
		}
		if e == nil {
			continue
		}
		if r.around(now) && e.upstream.State == Ready {
			e.lapsed = true
			continue
		}
		r.remove(c.ID)
	}
	r.regroup()
}

// accept takes over an entry unless something newer is known of the instance.
func (r *Registrar) accept(e *entry, u *Upstream) {
	if e != nil && u.older(&e.upstream) {
		return
	}
	if last, ok := r.removed[u.ID]; ok {
		if !last.older(u) {
			return
		}
		delete(r.removed, u.ID)
	}
	r.entries[u.ID] = &entry{upstream: *u}
}

func (r *Registrar) remove(id UpstreamID) {
	if len(r.removed) >= removedBound {
		clear(r.removed)
	}
	r.removed[id] = r.entries[id].upstream
	delete(r.entries, id)
}

// Replace takes over the whole list.
func (r *Registrar) Replace(now time.Duration, all []Change) {
	listed := map[UpstreamID]bool{}
	for _, c := range all {
		listed[c.ID] = true
	}
	changes := all
	for id := range r.entries {
		if !listed[id] {
			changes = append(changes, Change{ID: id})
		}
	}
	r.Apply(now, changes)
}

// Expire drops the entries that have not come back after an outage and tells
// whether there were any.
func (r *Registrar) Expire(now time.Duration) bool {
	if r.around(now) {
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
		r.regroup()
	}
	return dropped
}

func (r *Registrar) regroup() {
	r.groups = map[ServiceName][]*Upstream{}
	latest := map[string]int64{} // start of the newest instance by address
	for _, e := range r.entries {
		latest[e.upstream.Address] = max(latest[e.upstream.Address], e.upstream.Incarnation)
	}
	for _, e := range r.entries {
		u := &e.upstream
		if u.Incarnation < latest[u.Address] {
			continue // its address belongs to another instance now
		}
		r.groups[u.Service] = append(r.groups[u.Service], u)
	}
	for _, g := range r.groups {
		slices.SortFunc(g, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Upstreams lists the instances of a service by id.
func (r *Registrar) Upstreams(s ServiceName) []*Upstream {
	return r.groups[s]
}

// All lists the instances of all services, in no order.
func (r *Registrar) All() []*Upstream {
	var all []*Upstream
	for _, g := range r.groups {
		all = append(all, g...)
	}
	return all
}

// ByAddress returns the instance of an address; ready ones go before others.
func (r *Registrar) ByAddress(address string) *Upstream {
	var found *Upstream
	for _, g := range r.groups {
		for _, u := range g {
			if u.Address == address && (found == nil || u.State == Ready && u.Incarnation >= found.Incarnation) {
				found = u
			}
		}
	}
	return found
}
