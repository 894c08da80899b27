package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/router"
)

// loadBackoff spaces the load orders of an agent. The pause grows with each refusal
// of the weight store and shrinks with each accepted order, so that agents
// which do not talk to each other share the store's rate.
type loadBackoff struct {
	delay     time.Duration
	notBefore time.Duration // no order before
}

// increase doubles the pause after a refusal.
func (p *loadBackoff) increase(now time.Duration, r *router.Router) {
	p.delay = min(max(2*p.delay, minLoadBackoff), maxLoadBackoff)
	p.notBefore = now + r.Jitter(p.delay)
}

// decrease shortens the pause after an accepted order.
func (p *loadBackoff) decrease(now time.Duration, r *router.Router) {
	p.delay = p.delay * 3 / 4
	if p.delay < minLoadBackoff {
		p.delay = 0
	}
	p.notBefore = now + r.Jitter(p.delay)
}
