package watcher

import (
	"errors"
	"sync"
)

// ErrRestored is returned by a Store for an answer that it gave before it was restored,
// when a later answer has shown the restore already. What the answer says may be lost.
var ErrRestored = errors.New("the store has been restored from a backup since this answer")

// Era counts how often the store has been restored from a backup, after which it lacks
// the newest records and gives out their offsets again. It is zero for a store that does
// not tell.
type Era int64

// Position is a position in a topic: an offset is valid in the era in which it was given out.
type Position struct {
	Era    Era
	Offset int64
}

// EraTracker keeps the highest era that any answer of a store has shown. It is safe for
// concurrent use.
type EraTracker struct {
	mu      sync.Mutex
	current Era
	risen   chan struct{} // closed when current rises
}

// NewEraTracker returns a tracker at era zero.
func NewEraTracker() *EraTracker {
	return &EraTracker{risen: make(chan struct{})}
}

// Observe records the era of an answer. It returns ErrRestored if an earlier answer has
// shown a higher one.
func (t *EraTracker) Observe(e Era) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e < t.current {
		return ErrRestored
	}
	if e > t.current {
		t.current = e
		close(t.risen)
		t.risen = make(chan struct{})
	}
	return nil
}

// Current returns the highest era so far and a channel that is closed when it rises.
func (t *EraTracker) Current() (Era, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current, t.risen
}
