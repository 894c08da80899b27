package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/router"
)

// loadBackoff delays the load orders of an agent. The delay grows with each
// refused, unsent or lost order and shrinks with each accepted one, so that agents
// share the rate of the weight store without coordination.
type loadBackoff struct {
	delay     time.Duration
	notBefore time.Duration // no load order before
}

// increase doubles the delay after a failed order.
func (b *loadBackoff) increase(now time.Duration, r *router.Router) {
	b.delay = min(max(2*b.delay, minLoadBackoff), maxLoadBackoff)
	b.notBefore = now + r.Jitter(b.delay)
}

// decrease shortens the delay by a quarter after an accepted order.
func (b *loadBackoff) decrease(now time.Duration, r *router.Router) {
	b.delay = b.delay * 3 / 4
	if b.delay < minLoadBackoff {
		b.delay = 0
	}
	b.notBefore = now + r.Jitter(b.delay)
}
