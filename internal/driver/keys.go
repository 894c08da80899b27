package driver

import (
	"time"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

// KeysConfirmed reports whether the keys in the configuration are known to be current.
func (g *Gateway) KeysConfirmed() bool {
	g.syncer.mu.Lock()
	defer g.syncer.mu.Unlock()
	return g.syncer.confirmations.current()
}

// ConfigurationAge returns how long ago the store confirmed the configuration in force,
// negative if it never did.
func (g *Gateway) ConfigurationAge() time.Duration {
	g.syncer.mu.Lock()
	defer g.syncer.mu.Unlock()
	return g.syncer.confirmations.age()
}

// Outdated reports whether a newer configuration has been known to exist for so long that it
// should be in force. What the one in force allows may not be allowed any more.
func (g *Gateway) Outdated() bool {
	g.syncer.mu.Lock()
	defer g.syncer.mu.Unlock()
	return g.syncer.lag() >= g.cfg.MaxApplyDelay/2
}

// MayLag reports whether a newer configuration may have to be in force: one is known to
// exist, or the store has not confirmed the one in force for long.
func (g *Gateway) MayLag() bool {
	g.syncer.mu.Lock()
	defer g.syncer.mu.Unlock()
	age := g.syncer.confirmations.age()
	return g.syncer.behind() || age == neverConfirmed || age > g.cfg.MaxApplyDelay
}

// refreshKeys tells the dispatcher whether the keys in the configuration are known to be
// current if that has changed. The caller holds syncer.mu.
func (g *Gateway) refreshKeys() {
	confirmed := g.syncer.confirmations.current()
	if confirmed == g.keysConfirmed {
		return
	}
	g.keysConfirmed = confirmed
	g.cfg.Log.Logger.Warn().Bool("confirmed", confirmed).Int64("version", g.version()).Msg("keys confirmed or not")
	g.apply(dispatcher.KeysConfirmed{Confirmed: confirmed})
}
