package reducer

import (
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// goneAfter is how long an upstream is not listed as live before its home
// copies are placed elsewhere. The list lags, and a restart must cause no moves.
const goneAfter = 40 * time.Second

// roster is what the platform's list has shown of the upstreams.
type roster struct {
	absent map[configurator.UpstreamName]time.Duration // since when not listed as live
	gone   map[configurator.UpstreamName]bool
}

// update takes over a list and tells whether upstreams went or came back.
func (r *roster) update(now time.Duration, upstreams []configurator.Upstream, listed Listed) bool {
	if listed.Live == nil {
		return false
	}
	absent := map[configurator.UpstreamName]time.Duration{}
	gone := map[configurator.UpstreamName]bool{}
	changed := false
	for _, u := range upstreams {
		if listed.Live[u.Name] {
			changed = changed || r.gone[u.Name]
			continue
		}
		since, known := r.absent[u.Name]
		if !known {
			since = now
		}
		absent[u.Name] = since
		if now-since >= goneAfter {
			gone[u.Name] = true
			changed = changed || !r.gone[u.Name]
		}
	}
	r.absent, r.gone = absent, gone
	return changed
}

// listed tells whether the list shows an upstream as live.
func (r *roster) listed(u configurator.UpstreamName) bool {
	_, absent := r.absent[u]
	return !absent
}

// placeable tells whether home copies are placed on an upstream.
func (r *roster) placeable(u configurator.UpstreamName) bool {
	return !r.gone[u]
}
