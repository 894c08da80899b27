// Package detector tells whether a process is short of processor time.
//
// Usage:
//
//	d := detector.New(detector.Config{Period: period, Tolerance: 500 * time.Millisecond})
//	for range ticker.C { // of that period
//		d.Observe(now())
//	}
//	if d.Short() { ... } // refuse work
//
// A tick waits for the processor behind everything else that could run, so its delay is the
// time that each step of any work waits. A single late tick may be a pause of the instance;
// two in a row are a shortage, which ends when little work is left. A Detector is safe for
// concurrent use.
package detector

import (
	"sync"
	"time"
)

// endShare is the share of the tolerance below which the delay of a tick ends a shortage.
const endShare = 0.25

// Config configures a Detector.
type Config struct {
	Period    time.Duration // between ticks
	Tolerance time.Duration // delay of a tick from which on it counts as late
}

// Detector tells whether ticks are late.
type Detector struct {
	cfg Config

	mu        sync.Mutex
	observed  bool
	tickAt    time.Duration    // of the last tick
	delays    [2]time.Duration // of the last two ticks, the newer one first
	short     bool
	shortAt   time.Duration // of the last tick of a shortage
	everShort bool          // shortAt is set
}

// New returns a detector that has seen no tick.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg}
}

// Observe records that a tick has come.
func (d *Detector) Observe(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.observed {
		d.delays = [2]time.Duration{max(0, now-d.tickAt-d.cfg.Period), d.delays[0]}
	}
	d.observed, d.tickAt = true, now
	switch {
	case min(d.delays[0], d.delays[1]) >= d.cfg.Tolerance:
		d.short = true
	case float64(d.delays[0]) < endShare*float64(d.cfg.Tolerance):
		d.short = false
	}
	if d.short {
		d.shortAt, d.everShort = now, true
	}
}

// Short reports whether processor time is short.
func (d *Detector) Short() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.short
}

// ShortWithin reports whether processor time has been short in the last age before now.
func (d *Detector) ShortWithin(now, age time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.everShort && now-d.shortAt < age
}

// Delay returns the delay of the last tick.
func (d *Detector) Delay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delays[0]
}
