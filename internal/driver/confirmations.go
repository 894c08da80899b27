package driver

import (
	"time"

	"golang.org/x/sys/unix"
)

// confirmations tells whether the configuration in force is known to be the newest one, or
// was so a short time ago. The time that the instance was suspended counts.
type confirmations struct {
	maxAge   time.Duration // zero if the configuration always counts as current
	clock    func() time.Duration
	at       time.Duration // on clock; zero before the first
	unusable bool          // the newest configuration can't be decoded
}

func newConfirmations(maxAge time.Duration) confirmations {
	return confirmations{maxAge: maxAge, clock: bootTime}
}

// confirm records that the configuration in force was the newest one at a time on clock.
func (c *confirmations) confirm(at time.Duration) {
	if !c.unusable {
		c.at = max(c.at, at)
	}
}

// current reports whether the last confirmation is recent.
func (c *confirmations) current() bool {
	return c.maxAge == 0 || c.at > 0 && c.clock()-c.at < c.maxAge
}

// neverConfirmed is the age of a configuration that was never known to be the newest one.
const neverConfirmed = -time.Millisecond

// age returns how long ago the configuration in force was known to be the newest one, or
// neverConfirmed.
func (c *confirmations) age() time.Duration {
	if c.at == 0 {
		return neverConfirmed
	}
	return c.clock() - c.at
}

// bootTime returns the time since the instance started. Unlike the clock of package time it
// also runs while the instance is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // nothing is confirmed then
	}
	return time.Duration(t.Nano())
}
