package budgeter

import "time"

// Limits of what is learned from crashes of upstreams.
const (
	minSuspectBytes   Bytes = 128 << 10 // held by an upstream; a crash under less has other causes
	crashesToLearn          = 2         // under so many bytes, since one may have another cause
	crashMemory             = 5 * time.Minute
	boundRaisePeriod        = 30 * time.Second // without a crash, until a bound is raised
	boundRaise              = 1.25
	boundFraction           = 2  // a bound is 1/boundFraction of the bytes of the smallest crash
	forgottenMultiple Bytes = 16 // of the smallest crash, at which a bound that was raised is forgotten
)

// Bearing is what a gateway knows of the request bytes that an upstream of a service can
// hold for it. No upstream tells its memory; crashes under many bytes do. Other gateways
// hold requests there too, and learn from the same crash, each for its own part.
//
// The zero Bearing knows nothing and allows everything.
type Bearing struct {
	crashes   int // under at least minSuspectBytes
	crashedAt time.Duration
	smallest  Bytes // of those crashes
	bound     Bytes // zero while too little is known
	raisedAt  time.Duration
	alone     int   // of those crashes, under one request
	tooLarge  Bytes // the smallest of these requests
}

// Crashed records the end of an upstream that held so many bytes of so many requests of
// this gateway. It reports whether the bound changes.
func (b *Bearing) Crashed(now time.Duration, held Bytes, requests int) bool {
	if held < minSuspectBytes {
		return false
	}
	if b.crashes > 0 && now-b.crashedAt >= crashMemory {
		*b = Bearing{}
	}
	if b.crashes++; b.crashes == 1 || held < b.smallest {
		b.smallest = held
	}
	if requests == 1 {
		if b.alone++; b.alone == 1 || held < b.tooLarge {
			b.tooLarge = held
		}
	}
	b.crashedAt, b.raisedAt = now, now
	if b.crashes < crashesToLearn {
		return false
	}
	b.bound = max(minSuspectBytes, b.smallest/boundFraction)
	return true
}

// Allows reports whether an upstream that holds so many bytes may get a further request.
// One that holds nothing gets any.
func (b *Bearing) Allows(now time.Duration, held, size Bytes) bool {
	if b.bound == 0 || held == 0 {
		return true
	}
	b.raise(now)
	return b.bound == 0 || held+size <= b.bound
}

// TooLarge reports whether requests of that size have crashed upstreams that held nothing
// else of this gateway.
func (b *Bearing) TooLarge(now time.Duration, size Bytes) bool {
	return b.alone >= crashesToLearn && now-b.crashedAt < crashMemory && size >= b.tooLarge
}

// Bound returns how many bytes an upstream may hold, zero without a bound.
func (b *Bearing) Bound() Bytes {
	return b.bound
}

// raise raises the bound for the time without a crash.
func (b *Bearing) raise(now time.Duration) {
	for b.bound > 0 && now-b.raisedAt >= boundRaisePeriod {
		b.raisedAt += boundRaisePeriod
		b.bound = Bytes(float64(b.bound) * boundRaise)
		if b.bound >= b.smallest*forgottenMultiple {
			*b = Bearing{}
		}
	}
}
