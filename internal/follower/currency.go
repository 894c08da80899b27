package follower

import "time"

// MaxApplyDelay is the longest time from the append of a change until the configuration with it
// is in force everywhere.
const MaxApplyDelay = 5 * time.Second

// Currency tells for how long the configuration in force has been known to be the newest one.
// The zero value was never confirmed. Times are of one clock of the process.
type Currency struct {
	at        time.Duration
	confirmed bool
}

// Confirm records that the configuration in force was the newest one at a time.
func (c *Currency) Confirm(at time.Duration) {
	c.at, c.confirmed = max(c.at, at), true
}

// MayLag reports whether a newer configuration may have to be in force, so that what is unknown
// here may be known elsewhere.
func (c Currency) MayLag(now time.Duration) bool {
	return !c.confirmed || now-c.at > MaxApplyDelay
}
