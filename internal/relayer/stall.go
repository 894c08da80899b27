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

	eventAt      time.Time     // of the last reset, zero before the first
	longestPause time.Duration // between two resets
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
		s.restart()
	})
	return s
}

// reset records that a part of the response has come, and restarts the timer.
func (s *stallTimer) reset() {
	s.mu.Lock()
	now := time.Now()
	if !s.eventAt.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.eventAt))
	}
	s.eventAt = now
	s.mu.Unlock()
	s.restart()
}

// pause returns the longest time between two parts of the response.
func (s *stallTimer) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestPause
}

// restart restarts the timer with gapTimeout; it does nothing after stop.
func (s *stallTimer) restart() {
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
