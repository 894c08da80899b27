package budgeter

import (
	"slices"
	"time"
)

// MinSuspectBytes is the least number of bytes that may crash an upstream that holds them; a
// crash under less has other causes.
const MinSuspectBytes Bytes = 128 << 10

// Limits of what is learned from crashes of upstreams.
const (
	crashesToLearn          = 2 // under so many bytes, since one may have another cause
	crashesToRefuse         = 3 // under one request of a size, each sent after the one before was known
	crashMemory             = 5 * time.Minute
	boundRaisePeriod        = 30 * time.Second // without a crash, until a bound is raised
	boundRaise              = 1.25
	boundFraction           = 2  // a bound is 1/boundFraction of the bytes of the smallest crash
	forgottenMultiple Bytes = 16 // of the smallest crash, at which a bound that was raised is forgotten
	maxAlone                = 64 // crashes under one request that are remembered
)

// Bearing is what a gateway knows of the request bytes that an upstream of a service can
// hold for it. No upstream tells its memory; crashes under many bytes do, unless others
// answered under as many. Other gateways hold requests there too, and learn from the same
// crash, each for its own part.
//
// The zero Bearing knows nothing and allows everything.
type Bearing struct {
	crashes   int // under at least MinSuspectBytes
	crashedAt time.Duration
	smallest  Bytes // of those crashes
	bound     Bytes // zero while too little is known
	raisedAt  time.Duration
	levels    levels

	alone     []Bytes // sizes of requests under which alone upstreams crashed, ascending
	aloneAt   time.Duration
	carried   Bytes // size of the largest request that an upstream has answered lately
	carriedAt time.Duration
}

// Crash is the end of an upstream that held requests of this gateway.
type Crash struct {
	Held     Bytes // of these requests
	Requests int
	SentAt   time.Duration // when the first one was sent that broke off
}

// Crashed records the end of an upstream. It reports whether the bound changes.
func (b *Bearing) Crashed(now time.Duration, c Crash) bool {
	if c.Held < MinSuspectBytes {
		return false
	}
	if c.Requests == 1 {
		b.crashedAlone(now, c)
	}
	b.levels.crash(now, c.Held)
	if b.levels.usual(now, c.Held) {
		return false
	}
	if b.crashes > 0 && now-b.crashedAt >= crashMemory {
		b.forgetBound()
	}
	if b.crashes++; b.crashes == 1 || c.Held < b.smallest {
		b.smallest = c.Held
	}
	b.crashedAt, b.raisedAt = now, now
	if b.crashes < crashesToLearn {
		return false
	}
	b.bound = max(MinSuspectBytes, b.smallest/boundFraction)
	return true
}

// crashedAlone records a crash under one request. Of requests that were under way together
// one crash counts, as upstreams may crash together for another cause.
func (b *Bearing) crashedAlone(now time.Duration, c Crash) {
	if len(b.alone) > 0 && now-b.aloneAt >= crashMemory {
		b.alone = nil
	}
	if b.carries(now, c.Held) || len(b.alone) > 0 && c.SentAt < b.aloneAt || len(b.alone) >= maxAlone {
		return
	}
	i, _ := slices.BinarySearch(b.alone, c.Held)
	b.alone = slices.Insert(b.alone, i, c.Held)
	b.aloneAt = now
}

// Answered records that an upstream has answered a request of a size. It held at least so
// many bytes of this gateway when the request was sent.
func (b *Bearing) Answered(now time.Duration, held, size Bytes) {
	if held < MinSuspectBytes {
		return
	}
	b.levels.answer(now, held)
	if size >= b.carried || now-b.carriedAt >= crashMemory {
		b.carried, b.carriedAt = size, now
	}
	b.alone = slices.DeleteFunc(b.alone, func(crashed Bytes) bool { return crashed <= size })
}

// carries reports whether an upstream has answered a request at least as large lately.
func (b *Bearing) carries(now time.Duration, size Bytes) bool {
	return size <= b.carried && now-b.carriedAt < crashMemory
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

// Suspects reports whether a request of that size may be too large for any upstream, so that
// one at a time is to be sent.
func (b *Bearing) Suspects(now time.Duration, size Bytes) bool {
	return b.crashesUpTo(now, size) > 0
}

// TooLarge reports whether requests of that size crash upstreams that hold nothing else of
// this gateway: several did, one after the other, and none was answered.
func (b *Bearing) TooLarge(now time.Duration, size Bytes) bool {
	return b.crashesUpTo(now, size) >= crashesToRefuse
}

// crashesUpTo returns the number of crashes under a single request that was no larger.
func (b *Bearing) crashesUpTo(now time.Duration, size Bytes) int {
	if len(b.alone) == 0 || now-b.aloneAt >= crashMemory || b.carries(now, size) {
		return 0
	}
	n, _ := slices.BinarySearch(b.alone, size+1)
	return n
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
			b.forgetBound()
		}
	}
}

func (b *Bearing) forgetBound() {
	b.crashes, b.crashedAt, b.smallest, b.bound, b.raisedAt = 0, 0, 0, 0, 0
}
