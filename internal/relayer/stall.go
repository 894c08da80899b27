package relayer

import (
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

// stall calls report when nothing of an answer has come for a while, and again
// after each further gap.
type stall struct {
	mu      sync.Mutex
	timer   *time.Timer // nil when the send has no limits
	gap     time.Duration
	stopped bool
}

// newStall watches a send by its limits.
func newStall(e dispatcher.Send, report func()) *stall {
	s := &stall{gap: e.GapTimeout}
	if e.FirstTimeout <= 0 {
		return s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(e.FirstTimeout, func() {
		report()
		s.progress()
	})
	return s
}

// progress starts the gap anew.
func (s *stall) progress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil && !s.stopped {
		s.timer.Reset(s.gap)
	}
}

// stop ends the watch.
func (s *stall) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
