package reducer

import (
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// departedAfter is how long an upstream is not listed as live before its home
// copies are placed elsewhere. The list lags, and a restart must cause no moves.
const departedAfter = 40 * time.Second

// livenessTracker is what the platform's list has shown of the upstreams.
type livenessTracker struct {
	absentSince map[configurator.UpstreamName]time.Duration // since when not listed as live
	departed    map[configurator.UpstreamName]bool
}

// update takes over a list and tells whether upstreams went or came back.
func (r *livenessTracker) update(now time.Duration, upstreams []configurator.Upstream, listed UpstreamsListed) bool {
	if listed.Live == nil {
		return false
	}
	absent := map[configurator.UpstreamName]time.Duration{}
	gone := map[configurator.UpstreamName]bool{}
	changed := false
	for _, u := range upstreams {
		if listed.Live[u.Name] {
			changed = changed || r.departed[u.Name]
			continue
		}
		since, known := r.absentSince[u.Name]
		if !known {
			since = now
		}
		absent[u.Name] = since
		if now-since >= departedAfter {
			gone[u.Name] = true
			changed = changed || !r.departed[u.Name]
		}
	}
	r.absentSince, r.departed = absent, gone
	return changed
}

// listed tells whether the list shows an upstream as live.
func (r *livenessTracker) listed(u configurator.UpstreamName) bool {
	_, absent := r.absentSince[u]
	return !absent
}

// placeable tells whether home copies are placed on an upstream.
func (r *livenessTracker) placeable(u configurator.UpstreamName) bool {
	return !r.departed[u]
}
