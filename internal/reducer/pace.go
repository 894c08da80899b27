package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/router"
)

// pace spaces the load orders of an agent. The pause grows with each refusal
// of the weight store and shrinks with each accepted order, so that agents
// which do not talk to each other share the store's rate.
type pace struct {
	pause time.Duration
	from  time.Duration // no order before
}

// slow doubles the pause after a refusal.
func (p *pace) slow(now time.Duration, r *router.Router) {
	p.pause = min(max(2*p.pause, loadPause), loadLimit)
	p.from = now + r.Jitter(p.pause)
}

// ease shortens the pause after an accepted order.
func (p *pace) ease(now time.Duration, r *router.Router) {
	p.pause = p.pause * 3 / 4
	if p.pause < loadPause {
		p.pause = 0
	}
	p.from = now + r.Jitter(p.pause)
}
