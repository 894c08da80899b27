package relayer

import (
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

// stallTimer calls a function when an upstream has sent no part of its response
// for a while, and again after each further gapTimeout. It is safe for concurrent
// use.
type stallTimer struct {
	mu         sync.Mutex
	timer      *time.Timer // nil if the send has no FirstTimeout
	gapTimeout time.Duration
	stopped    bool
}

// newStallTimer starts a timer with the timeouts of e.
func newStallTimer(e dispatcher.Send, onStall func()) *stallTimer {
	s := &stallTimer{gapTimeout: e.GapTimeout}
	if e.FirstTimeout <= 0 {
		return s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(e.FirstTimeout, func() {
		onStall()
		s.reset()
	})
	return s
}

// reset restarts the timer with gapTimeout; it does nothing after stop.
func (s *stallTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil && !s.stopped {
		s.timer.Reset(s.gapTimeout)
	}
}

// stop stops the timer for good.
func (s *stallTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
