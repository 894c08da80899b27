package dispatcher

import (
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

// handleConfigured puts a configuration in force. Waiting requests whose key it does not
// have are refused.
func (d *Dispatcher) handleConfigured(c *registrar.Configuration) {
	d.configuration = c
	d.refuseWithoutKey()
}

// handleKeysConfirmed records whether the keys in the configuration are known to be current.
func (d *Dispatcher) handleKeysConfirmed(confirmed bool) {
	d.keysUnconfirmed = !confirmed
	d.refuseWithoutKey()
}

// refuseWithoutKey refuses the waiting requests that may not be sent for want of a valid
// key. Those that an upstream has are left to it.
func (d *Dispatcher) refuseWithoutKey() {
	for _, r := range d.requestsByID() {
		if r.upstream == nil {
			d.refuseForKey(r)
		}
	}
}

// refuseForKey refuses a request that is under way at no upstream if it may not be sent for
// want of a valid key, and reports whether it did.
func (d *Dispatcher) refuseForKey(r *request) bool {
	kind := d.keyRefusal(r)
	if kind == classifier.None {
		return false
	}
	d.Counters.Revoked++
	r.lastCause = "its key is not valid any more"
	if kind == classifier.Stale {
		r.lastCause = "its key may not be valid any more"
	}
	d.refuse(r, kind, 0)
	return true
}

// keyRefusal returns why a request may not be sent for want of a valid key, and None if it
// may. A stream that has begun goes on: it was sent while its key was valid, and its caller
// would lose the part that it has.
func (d *Dispatcher) keyRefusal(r *request) classifier.Kind {
	if r.Workspace == nil || r.Route.Public || r.answerBegan {
		return classifier.None
	}
	if d.keysUnconfirmed {
		return classifier.Stale
	}
	if !d.configuration.HasWorkspaces() {
		return classifier.None
	}
	if _, held := d.configuration.Workspace(r.Key); !held {
		return classifier.Denied
	}
	return classifier.None
}
