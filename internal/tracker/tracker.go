// Package tracker remembers which software release began each stream, so that a stream
// that is resumed goes on at the same release.
//
// Usage:
//
//	t := tracker.New()
//	t.Record(now, tracker.Origin{Stream: "59f24632afe5ceab", Release: "v1"})
//	release, ok := t.Release("59f24632afe5ceab")
//
// A gateway records the streams that it has begun and tells two stewards, which it chooses
// by rendezvous hashing of the stream. A gateway that does not know a stream asks them.
package tracker

import (
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

const (
	generationTime = time.Minute // for which streams are remembered at least; longer than any stream and the retries of its caller take
	maxStreams     = 50_000      // of one generation
)

// StreamID identifies a stream by the caller's attempt that brought its first event.
type StreamID string

// Origin says which release began a stream. It is sent between processes with the numbers
// of the cbor tags for names.
type Origin struct {
	Stream  StreamID          `json:"stream" cbor:"1,keyasint"`
	Release registrar.Release `json:"release" cbor:"2,keyasint"`
}

// Absence says that a steward does not know a stream, and which releases may have begun it.
type Absence struct {
	Stream   StreamID            `json:"stream" cbor:"1,keyasint"`
	Releases []registrar.Release `json:"releases" cbor:"2,keyasint"`
}

// Tracker holds the origins of streams for generationTime. It is not safe for concurrent
// use.
type Tracker struct {
	current, previous map[StreamID]registrar.Release
	rotatedAt         time.Duration
}

// New returns a tracker without streams.
func New() *Tracker {
	return &Tracker{current: map[StreamID]registrar.Release{}}
}

// Record stores an origin. The first one of a stream stays.
func (t *Tracker) Record(now time.Duration, o Origin) {
	if now-t.rotatedAt >= generationTime || len(t.current) >= maxStreams {
		t.previous, t.current, t.rotatedAt = t.current, map[StreamID]registrar.Release{}, now
	}
	if _, known := t.Release(o.Stream); !known {
		t.current[o.Stream] = o.Release
	}
}

// Release returns the release that began a stream, and false if it is not known.
func (t *Tracker) Release(id StreamID) (registrar.Release, bool) {
	if release, ok := t.current[id]; ok {
		return release, true
	}
	release, ok := t.previous[id]
	return release, ok
}

// Origins returns the origins of all streams, in no order.
func (t *Tracker) Origins() []Origin {
	all := make([]Origin, 0, len(t.current)+len(t.previous))
	for _, generation := range []map[StreamID]registrar.Release{t.previous, t.current} {
		for id, release := range generation {
			all = append(all, Origin{id, release})
		}
	}
	return all
}
