package reducer

import (
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// departedAfter is how long an upstream must be missing from the list before its
// home copies are placed elsewhere. The list lags behind, and a restart must not
// move copies.
const departedAfter = 40 * time.Second

// livenessTracker records which upstreams the platform's list of instances shows as
// live.
type livenessTracker struct {
	absentSince map[configurator.UpstreamName]time.Duration // upstreams that are not listed as live
	departed    map[configurator.UpstreamName]bool          // those absent for departedAfter or longer
}

// update applies a new list and reports whether an upstream departed or returned.
func (t *livenessTracker) update(now time.Duration, upstreams []configurator.Upstream, ev UpstreamsListed) bool {
	if ev.Live == nil {
		return false
	}
	absentSince := map[configurator.UpstreamName]time.Duration{}
	departed := map[configurator.UpstreamName]bool{}
	changed := false
	for _, u := range upstreams {
		if ev.Live[u.Name] {
			changed = changed || t.departed[u.Name]
			continue
		}
		since, known := t.absentSince[u.Name]
		if !known {
			since = now
		}
		absentSince[u.Name] = since
		if now-since >= departedAfter {
			departed[u.Name] = true
			changed = changed || !t.departed[u.Name]
		}
	}
	t.absentSince, t.departed = absentSince, departed
	return changed
}

// listed reports whether the last list shows an upstream as live.
func (t *livenessTracker) listed(u configurator.UpstreamName) bool {
	_, absent := t.absentSince[u]
	return !absent
}

// placeable reports whether home copies may be placed on an upstream.
func (t *livenessTracker) placeable(u configurator.UpstreamName) bool {
	return !t.departed[u]
}
