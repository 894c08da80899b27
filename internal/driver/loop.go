// Package driver runs a reducer: it feeds events to it one at a time and
// carries out the effects.
//
// Usage:
//
//	e, err := driver.NewEntry(driver.EntryConfig{...})
//	err = e.Run(ctx) // returns when ctx ends or the entry has drained
//
// No effect blocks the reducer: whatever may wait runs in a goroutine of its
// own and reports back with an event.
package driver

import (
	"context"
	"time"

	"github.com/egretwall/egretwall/internal/reducer"
)

// eventBuffer is the number of events that may wait for the reducer.
const eventBuffer = 8192

// loop owns a reducer and its clock.
type loop struct {
	start  time.Time
	events chan reducer.Event
	calls  chan func()
	done   chan struct{}
	reduce func(time.Duration, reducer.Event) []reducer.Effect
	run    func(reducer.Effect)
}

func newLoop(reduce func(time.Duration, reducer.Event) []reducer.Effect, run func(reducer.Effect)) *loop {
	return &loop{
		start:  time.Now(),
		events: make(chan reducer.Event, eventBuffer),
		calls:  make(chan func()),
		done:   make(chan struct{}),
		reduce: reduce,
		run:    run,
	}
}

// now returns the time since the process started.
func (l *loop) now() time.Duration {
	return time.Since(l.start)
}

// post queues an event; it drops it when the loop has ended.
func (l *loop) post(ev reducer.Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// inspect runs f between two events and tells whether it did.
func (l *loop) inspect(f func()) bool {
	ran := make(chan struct{})
	call := func() {
		f()
		close(ran)
	}
	select {
	case l.calls <- call:
		<-ran
		return true
	case <-l.done:
		return false
	}
}

// serve handles events until ctx ends.
func (l *loop) serve(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(reducer.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			l.step(ev)
		case <-ticker.C:
			l.step(reducer.Tick{})
		case f := <-l.calls:
			f()
		}
	}
}

func (l *loop) step(ev reducer.Event) {
	for _, effect := range l.reduce(l.now(), ev) {
		l.run(effect)
	}
}
