package relayer

import (
	"sync/atomic"
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
)

// Waits for room.
const (
	answerPatience   = time.Second // an upstream may wait no longer for its answer to be read
	answerPollPeriod = 10 * time.Millisecond
	admitPatience    = 150 * time.Millisecond // for an intake that has been ended to be given back
	shortTime        = time.Second            // after requests lacked room, for which less may be held of incomplete answers
	fillerFactor     = 2                      // an intake is ended for another that would be so many times smaller
)

// smallIntake is the size of an intake, in bytes, up to which it always has room, and is not ended for
// a request, which would need as much.
const smallIntake = int(budgeter.RequestSize)

// sender is who sends the bytes of intakes: an upstream, or the host of a caller.
type sender string

// intake counts what is held of a message until it is complete: headers, a body, and what has
// come of an event. Without room its sender waits or, if it is the largest one of the sender
// that fills most, its message is given up.
type intake struct {
	account *account
	purpose budgeter.Purpose
	sender  sender
	abort   func()      // gives up the message
	waiting atomic.Bool // for room

	// Guarded by account.mu.
	size    int
	ended   bool
	settled bool // the message is complete
}

// intakes are the intakes of one sender that may be ended.
type intakes struct {
	size    int // of those that have not been ended
	members map[*intake]struct{}
}

// fillerSize is the least size of what is ended for others.
type fillerSize struct {
	message int
	sender  int // of all messages of its sender
}

// search is the last search for intakes to end.
type search struct {
	at    time.Time
	found bool // some were ended
}

// senders are the intakes of one purpose.
type senders map[sender]*intakes

func (a *account) newIntake(p budgeter.Purpose, from sender, abort func()) *intake {
	return &intake{account: a, purpose: p, sender: from, abort: abort}
}

// take reserves n further bytes. It waits for room, but not longer than answerPatience.
func (i *intake) take(n int) error {
	start := time.Now()
	return i.takeWhile(n, func() bool { return time.Since(start) < answerPatience })
}

// takeWhile reserves n further bytes. It waits for room as long as patient returns true.
func (i *intake) takeWhile(n int, patient func() bool) error {
	defer i.waiting.Store(false)
	for {
		taken, fillers := i.account.takeIn(i, n)
		if taken {
			return nil
		}
		i.waiting.Store(true)
		abortAll(fillers)
		if i.cause(nil) != nil || !patient() {
			return errResponseMemory
		}
		time.Sleep(answerPollPeriod)
	}
}

// deliver calls write, which passes on what has come. Meanwhile, the bytes count as unread by the
// caller, and the message is not given up for others unless it was before.
func (i *intake) deliver(write func() error) error {
	if i.complete(budgeter.Stream) {
		defer i.reopen()
	}
	return write()
}

// tryTake reserves n further bytes and reports whether there is room.
func (i *intake) tryTake(n int) bool {
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	if i.ended || n > 0 && !i.account.account.Take(i.purpose, budgeter.Bytes(n)) {
		return false
	}
	i.account.resize(i, n)
	return true
}

// protect keeps a message from being given up for others. It reports whether that was done in
// time.
func (i *intake) protect() bool {
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	if i.ended {
		return false
	}
	i.account.forget(i)
	i.settled = true
	return true
}

// count adds n bytes that have been reserved otherwise.
func (i *intake) count(n int) {
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	i.account.resize(i, n)
}

// give gives back n bytes.
func (i *intake) give(n int) {
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	i.account.account.Release(i.purpose, budgeter.Bytes(n))
	i.account.resize(i, -n)
}

// settle keeps a complete answer from being given up for others. Its bytes are held until
// close. It reports whether the answer was complete before it was given up.
func (i *intake) settle() bool {
	return i.complete(budgeter.Answer)
}

// complete keeps a message from being given up for others, and counts its bytes for another
// purpose. It reports whether that was done in time.
func (i *intake) complete(p budgeter.Purpose) bool {
	if !i.protect() {
		return false
	}
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	i.account.account.Move(i.purpose, p, budgeter.Bytes(i.size))
	i.purpose = p
	return true
}

// reopen undoes complete, for a message of which more comes.
func (i *intake) reopen() {
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	i.account.account.Move(i.purpose, budgeter.Incoming, budgeter.Bytes(i.size))
	size := i.size
	i.purpose, i.size, i.settled = budgeter.Incoming, 0, false
	i.account.resize(i, size)
}

// hand returns another intake with all bytes of a complete answer, which outlives the send.
func (i *intake) hand() *intake {
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	kept := &intake{account: i.account, purpose: i.purpose, sender: i.sender, size: i.size, settled: true}
	i.size = 0
	return kept
}

// close gives back all bytes. It may be called more than once.
func (i *intake) close() {
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	i.account.account.Release(i.purpose, budgeter.Bytes(i.size))
	i.account.forget(i)
	i.size = 0
}

// release stops counting bytes that are given back otherwise, and reports whether the message
// was given up.
func (i *intake) release() (ended bool) {
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	i.account.forget(i)
	i.size, i.settled = 0, true
	return i.ended
}

// cause returns why a read failed: the message was given up, or err.
func (i *intake) cause(err error) error {
	i.account.mu.Lock()
	defer i.account.mu.Unlock()
	if i.ended {
		return errResponseMemory
	}
	return err
}

// grow returns a copy of a buffer with another capacity, for which take has reserved the bytes.
// The buffer must not be used any more.
func (i *intake) grow(buf []byte, size int, take func(n int) error) ([]byte, error) {
	if err := take(size); err != nil {
		return buf, err
	}
	larger := append(make([]byte, 0, size), buf...)
	i.give(cap(buf))
	return larger, nil
}

func abortAll(fillers []*intake) {
	for _, i := range fillers {
		i.abort()
	}
}

// takeIn reserves n further bytes for an intake that has not been ended. If there is no room,
// it returns the intakes to end.
func (a *account) takeIn(i *intake, n int) (taken bool, fillers []*intake) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i.ended {
		return false, nil
	}
	if i.size+n <= smallIntake {
		a.account.Add(i.purpose, budgeter.Bytes(n))
		a.resize(i, n)
		return true, nil
	}
	a.account.SetShort(time.Now().Before(a.shortUntil))
	if a.within(i, n) && a.account.Take(i.purpose, budgeter.Bytes(n)) {
		a.resize(i, n)
		return true, nil
	}
	fillers, _ = a.endFillers(i.purpose, a.leastFiller(i, n))
	return false, fillers
}

// leastFiller returns the least size of what is ended for n further bytes of an intake. The store and
// other processes are asked again for what they have sent, so it is their sum that counts. The
// caller holds mu.
func (a *account) leastFiller(i *intake, n int) fillerSize {
	if i.purpose != budgeter.Control {
		return fillerSize{message: fillerFactor * (i.size + n)}
	}
	return fillerSize{sender: fillerFactor * (a.ofSender(i) + n)}
}

// within reports whether the sender of an intake may send n further bytes. The store and other
// processes leave room to each other. The caller holds mu.
func (a *account) within(i *intake, n int) bool {
	if i.purpose != budgeter.Control {
		return true
	}
	held := budgeter.Bytes(a.ofSender(i))
	return held+budgeter.Bytes(n) <= a.account.PeerLimit(held)
}

// ofSender returns the size of the intakes of an intake's sender that have not been ended. The
// caller holds mu.
func (a *account) ofSender(i *intake) int {
	if all := a.intakes[i.purpose][i.sender]; all != nil {
		return all.size
	}
	return 0
}

// endFillers ends the largest intakes of a purpose that have at least the given sizes, as many
// as make headroom together with those that have been ended before, and returns them. It
// reports whether that makes room, or did so just before. The caller holds mu.
func (a *account) endFillers(p budgeter.Purpose, least fillerSize) (ended []*intake, room bool) {
	last := a.searches[p]
	now := time.Now()
	if now.Sub(last.at) < answerPollPeriod {
		return nil, last.found
	}
	for freed, headroom := a.ending[p], int(a.account.Headroom()); freed < headroom; {
		filler := a.intakes[p].largest(least)
		if filler == nil {
			break
		}
		filler.ended = true
		a.intakes[p][filler.sender].size -= filler.size
		a.ending[p] += filler.size
		freed += filler.size
		ended = append(ended, filler)
	}
	a.searches[p] = search{now, len(ended) > 0}
	return ended, len(ended) > 0
}

// largest returns the largest intake of the sender that fills most, among the senders of a size or
// more that have one of a size or more that has not been ended. It returns nil if none has.
func (s senders) largest(least fillerSize) *intake {
	var filler *intake
	fullest := -1
	for _, all := range s {
		if all.size <= fullest || all.size < least.sender {
			continue
		}
		if i := all.largest(least.message); i != nil {
			filler, fullest = i, all.size
		}
	}
	return filler
}

// largest returns the largest intake that has not been ended, nil without one of a size or more.
func (all *intakes) largest(size int) *intake {
	var largest *intake
	for i := range all.members {
		if !i.ended && i.size >= size && (largest == nil || i.size > largest.size) {
			largest = i
		}
	}
	return largest
}

// resize changes the size of an intake. The caller holds mu.
func (a *account) resize(i *intake, n int) {
	i.size += n
	if i.settled || n == 0 {
		return
	}
	all := a.intakes[i.purpose][i.sender]
	if all == nil {
		all = &intakes{members: map[*intake]struct{}{}}
		a.intakes[i.purpose][i.sender] = all
	}
	all.members[i] = struct{}{}
	if i.ended {
		a.ending[i.purpose] += n
	} else {
		all.size += n
	}
}

// forget removes an intake from those that may be ended. The caller holds mu.
func (a *account) forget(i *intake) {
	all := a.intakes[i.purpose][i.sender]
	if all == nil {
		return
	}
	if _, ok := all.members[i]; !ok {
		return
	}
	delete(all.members, i)
	if i.ended {
		a.ending[i.purpose] -= i.size
	} else {
		all.size -= i.size
	}
	if len(all.members) == 0 {
		delete(a.intakes[i.purpose], i.sender)
	}
}
