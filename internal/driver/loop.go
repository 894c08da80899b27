// Package driver runs the processes of the system: entries, agents, gateways and
// stewards. Each has a deterministic state machine (of package reducer, dispatcher or
// reconciler), to which the driver passes events one at a time and whose effects it
// carries out.
//
// Usage:
//
//	e, err := driver.NewEntry(driver.EntryConfig{...})
//	err = e.Run(ctx) // returns when ctx ends or the entry has drained
//
// An effect never blocks the state machine: operations that may wait run in
// goroutines of their own and report their result with an event.
package driver

import (
	"context"
	"time"

	"github.com/egretwall/egretwall/internal/reducer"
)

// eventQueueSize is the number of events that may wait for the reducer.
const eventQueueSize = 8192

// eventLoop serializes access to a reducer and provides its clock.
type eventLoop struct {
	start       time.Time
	events      chan reducer.Event
	inspections chan func()
	done        chan struct{}
	reduce      func(time.Duration, reducer.Event) []reducer.Effect
	execute     func(reducer.Effect)
}

func newEventLoop(reduce func(time.Duration, reducer.Event) []reducer.Effect, execute func(reducer.Effect)) *eventLoop {
	return &eventLoop{
		start:       time.Now(),
		events:      make(chan reducer.Event, eventQueueSize),
		inspections: make(chan func()),
		done:        make(chan struct{}),
		reduce:      reduce,
		execute:     execute,
	}
}

// now returns the time since the loop was created, the clock of the reducer.
func (l *eventLoop) now() time.Duration {
	return time.Since(l.start)
}

// post queues an event and waits for room in the queue; once the loop has ended, it
// drops the event.
func (l *eventLoop) post(ev reducer.Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// inspect runs f on the loop's goroutine between two events and reports whether it ran,
// which it does not once the loop has ended.
func (l *eventLoop) inspect(f func()) bool {
	ran := make(chan struct{})
	call := func() {
		f()
		close(ran)
	}
	select {
	case l.inspections <- call:
		<-ran
		return true
	case <-l.done:
		return false
	}
}

// serve handles events, with a Tick every reducer.TickPeriod, until ctx ends.
func (l *eventLoop) serve(ctx context.Context) {
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
		case f := <-l.inspections:
			f()
		}
	}
}

func (l *eventLoop) step(ev reducer.Event) {
	for _, effect := range l.reduce(l.now(), ev) {
		l.execute(effect)
	}
}
