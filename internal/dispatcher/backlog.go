package dispatcher

import (
	"slices"
	"time"
)

// pendingStart is a send to a runner whose answer has not begun.
type pendingStart struct {
	id       RequestID
	sentAt   time.Duration
	priority int // that the request was sent with
}

// startWindow limits the sends of one gateway to a runner whose answers have not begun.
// It grows while answers begin soon and shrinks when they don't, like the congestion
// window of TCP.
//
// Below 1 it spaces the sends: the next one follows the last after the time that answers
// take to begin, divided by the size.
type startWindow struct {
	size     float64
	shrunkAt time.Duration
	sentAt   time.Duration // of the last send
	delay    time.Duration // until the last answer began
	usedUpAt time.Duration // when it last kept back a send, negative before
	begunAt  time.Duration // latest time of sending among the sends that have begun, negative without one
}

// grow enlarges the window, by one for a window of answers that begin soon.
func (w *startWindow) grow() {
	w.size = min(w.size*startWindowGrowth, w.size+1/w.size, maxStartWindow)
}

// spaced reports whether the next send must wait for its time.
func (w *startWindow) spaced(now time.Duration) bool {
	return w.size < 1 && now-w.sentAt < min(time.Duration(float64(w.delay)/w.size), maxStartSpacing)
}

// shrink reduces the window once for the sends of one window.
func (w *startWindow) shrink(now, sentAt time.Duration) {
	if sentAt >= w.shrunkAt {
		w.size, w.shrunkAt = max(w.size*startWindowShrink, minStartWindow), now
	}
}

// backlog tracks the sends to a runner whose answers have not begun. A runner reads the
// prompts of waiting requests one after the other, so the time until answers begin shows
// how many it can take, whatever the speed of the engine and of the model. Runners admit
// urgent requests first, so each priority has a window, in which more urgent sends count
// too.
type backlog struct {
	pending []pendingStart // in the order of sending
	windows [latePriority + 1]startWindow
}

func newBacklog() backlog {
	b := backlog{}
	for i := range b.windows {
		b.windows[i] = startWindow{size: initialStartWindow, begunAt: -1, usedUpAt: -1}
	}
	return b
}

// add records a send.
func (b *backlog) add(s pendingStart) {
	b.pending = append(b.pending, s)
	b.windows[s.priority].sentAt = s.sentAt
}

// end records that a send ended. If its answer has not begun within limit, that shrinks
// the window like an answer that began late.
func (b *backlog) end(id RequestID, now, limit time.Duration) {
	i := slices.IndexFunc(b.pending, func(s pendingStart) bool { return s.id == id })
	if i < 0 {
		return
	}
	if s := b.pending[i]; now-s.sentAt > limit {
		b.windows[s.priority].shrink(now, s.sentAt)
	}
	b.pending = slices.Delete(b.pending, i, i+1)
}

// begin records that the answer to a send began. The window of its priority shrinks if
// that took longer than limit, at most once for the sends of one window, and otherwise
// grows if it has kept back a send since.
func (b *backlog) begin(id RequestID, now, limit time.Duration) {
	i := slices.IndexFunc(b.pending, func(s pendingStart) bool { return s.id == id })
	if i < 0 {
		return
	}
	s := b.pending[i]
	w := &b.windows[s.priority]
	w.delay = now - s.sentAt
	switch {
	case now-s.sentAt > limit:
		w.shrink(now, s.sentAt)
	case w.usedUpAt >= s.sentAt:
		w.grow()
	}
	b.pending = slices.Delete(b.pending, i, i+1)
	for p := range s.priority + 1 {
		b.windows[p].begunAt = max(b.windows[p].begunAt, s.sentAt)
	}
}

// overtaken reports whether a later send that is no more urgent has begun, so that the
// answer to this one may be lost.
func (b *backlog) overtaken(s pendingStart) bool {
	return s.sentAt <= b.windows[s.priority].begunAt
}

// full reports whether a further send of the priority would wait too long: the window is
// used up, or the oldest send has waited longer than limit. Sends before lostBefore are
// known not to wait at the runner.
func (b *backlog) full(now, limit, lostBefore time.Duration, priority int) bool {
	w := &b.windows[priority]
	if w.spaced(now) {
		return true
	}
	n := 0
	for _, s := range b.pending {
		if s.priority > priority || b.overtaken(s) || s.sentAt < lostBefore {
			continue
		}
		if now-s.sentAt > limit {
			return true
		}
		n++
	}
	if float64(n) < w.size {
		return false
	}
	w.usedUpAt = now
	return true
}

// backlogged reports whether a request would wait too long at the runner for its answer
// to begin.
func (d *Dispatcher) backlogged(r *request, u *upstream) bool {
	lostBefore := time.Duration(-1)
	if u.reported && u.report.Waiting == 0 && !u.unresponsive(d.now) {
		lostBefore = u.reportedAt - reportDelay
	}
	return u.backlog.full(d.now, r.startLimit(), lostBefore, d.priority(r))
}

// startLimit returns how long the answer to the request may take to begin after its send.
func (r *request) startLimit() time.Duration {
	return time.Duration(float64(r.Route.TargetLatency) * maxStartShare)
}

// recordStart records that the answer to a send began.
func (d *Dispatcher) recordStart(r *request) {
	r.upstream.backlog.begin(r.ID, d.now, r.startLimit())
	if r.share.beyond {
		return // it waits for others
	}
	delay := r.startDelay()
	*delay += (d.now - r.sentAt - *delay) / startDelaySamples
}
