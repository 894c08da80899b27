package tracker

import (
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Limits of the questions that a Keeper remembers.
const (
	questionMemory = 2 * time.Second // a gateway repeats its question for less
	maxQuestions   = 10_000
)

// Keeper is what a steward knows of the streams of its service. Its answers depend only on
// what was true when a question came or later: a steward that was cut off, or stood still, may
// not have seen yet which releases have joined. It is not safe for concurrent use.
type Keeper struct {
	Streams  *Tracker
	Releases *Releases

	loaded          bool                       // the origins in the store have been read
	listConfirmedAt time.Duration              // as of which the list is known
	askedAt         map[StreamID]time.Duration // first questions about streams that are not known
}

// NewKeeper returns a keeper that knows nothing.
func NewKeeper() *Keeper {
	return &Keeper{Streams: New(), Releases: NewReleases(), askedAt: map[StreamID]time.Duration{}}
}

// ConfirmList records that Releases tells the list as it was at a time or later.
func (k *Keeper) ConfirmList(at time.Duration) {
	k.listConfirmedAt = max(k.listConfirmedAt, at)
}

// Load records the origins that the store has.
func (k *Keeper) Load(now time.Duration, origins []Origin) {
	k.loaded = true
	for _, o := range origins {
		k.Streams.Record(now, o)
		k.Releases.See(now, []registrar.Release{o.Release})
	}
}

// Answer is the answer to a question about a stream. If neither Origin nor Absence is set,
// the question is to be repeated after the sources in question have been read.
type Answer struct {
	Origin     *Origin
	Absence    *Absence
	ReadList   bool // the list of upstreams must be read
	ReadStored bool // the origins in the store must be read
}

// Ask answers the question which release began a stream.
func (k *Keeper) Ask(now time.Duration, id StreamID) Answer {
	if release, known := k.Streams.Release(id); known {
		delete(k.askedAt, id)
		return Answer{Origin: &Origin{Stream: id, Release: release}}
	}
	askedAt, asked := k.askedAt[id]
	if !asked || now-askedAt >= questionMemory {
		askedAt = now
		k.remember(now, id)
	}
	a := Answer{ReadList: k.listConfirmedAt < askedAt, ReadStored: !k.loaded && !k.onlyRelease(now)}
	if !a.ReadList && !a.ReadStored {
		a.Absence = &Absence{Stream: id, Releases: k.Releases.Recent(now)}
	}
	return a
}

func (k *Keeper) remember(now time.Duration, id StreamID) {
	if len(k.askedAt) >= maxQuestions {
		clear(k.askedAt)
	}
	for other, at := range k.askedAt {
		if now-at >= questionMemory {
			delete(k.askedAt, other)
		}
	}
	k.askedAt[id] = now
}

// onlyRelease reports whether one release alone may have begun streams, whatever the store
// holds.
func (k *Keeper) onlyRelease(now time.Duration) bool {
	return k.Releases.Complete(now) && len(k.Releases.Recent(now)) == 1
}
