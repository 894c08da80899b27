// Package tracker remembers which software release of which service began each stream, so
// that a stream that is resumed goes on there. Releases of two services are never the same,
// whatever their names.
//
// Usage:
//
//	t := tracker.New()
//	t.Record(now, tracker.Origin{Stream: tracker.NewStreamID("59f24632afe5ceab"), Release: "v1", Service: "llm"})
//	origin, ok := t.Origin("59f24632afe5ceab")
//
// A gateway records the streams that it has begun and tells two stewards, which it chooses
// by rendezvous hashing of the stream, or writes them to the platform's store if no steward
// reports. A gateway that does not know a stream asks them, or reads them there.
package tracker

import (
	"crypto/sha256"
	"encoding/base64"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

const (
	generationTime = time.Minute // for which streams are remembered at least; longer than any stream and the retries of its caller take
	maxStreams     = 50_000      // of one generation
)

// StreamID identifies a stream by the caller's attempt that brought its first event.
type StreamID string

// maxPlainID is the longest attempt ID that stands for itself; many StreamIDs share a record.
const maxPlainID = 64

// digestPrefix begins the StreamIDs of other attempts.
const digestPrefix = "sha256:"

// NewStreamID returns the StreamID of a caller's attempt. An ID that is long or no text is
// replaced by a digest.
func NewStreamID(attempt string) StreamID {
	plain := len(attempt) <= maxPlainID && !strings.HasPrefix(attempt, digestPrefix)
	if plain && !strings.ContainsFunc(attempt, func(r rune) bool { return r < ' ' || r > '~' }) {
		return StreamID(attempt)
	}
	digest := sha256.Sum256([]byte(attempt))
	return StreamID(digestPrefix + base64.RawURLEncoding.EncodeToString(digest[:]))
}

// Origin says which release of a service began a stream. It is sent between processes with
// the numbers of the cbor tags for names.
type Origin struct {
	Stream  StreamID              `json:"stream" cbor:"1,keyasint"`
	Release registrar.Release     `json:"release" cbor:"2,keyasint"`
	Service registrar.ServiceName `json:"service,omitempty" cbor:"3,keyasint,omitempty"` // empty from earlier builds
}

// Absence says that a steward does not know a stream, and which releases may have begun it.
type Absence struct {
	Stream   StreamID              `json:"stream" cbor:"1,keyasint"`
	Releases []registrar.Release   `json:"releases" cbor:"2,keyasint"`                    // of Service
	Service  registrar.ServiceName `json:"service,omitempty" cbor:"3,keyasint,omitempty"` // that was asked about, empty from earlier builds
}

// Tracker holds the origins of streams for generationTime. It is not safe for concurrent
// use.
type Tracker struct {
	current, previous map[StreamID]Origin
	rotatedAt         time.Duration
}

// New returns a tracker without streams.
func New() *Tracker {
	return &Tracker{current: map[StreamID]Origin{}}
}

// Record stores an origin. The first one of a stream stays.
func (t *Tracker) Record(now time.Duration, o Origin) {
	if now-t.rotatedAt >= generationTime || len(t.current) >= maxStreams {
		t.previous, t.current, t.rotatedAt = t.current, map[StreamID]Origin{}, now
	}
	if _, known := t.Origin(o.Stream); !known {
		t.current[o.Stream] = o
	}
}

// Origin returns the origin of a stream, and false if it is not known.
func (t *Tracker) Origin(id StreamID) (Origin, bool) {
	if o, ok := t.current[id]; ok {
		return o, true
	}
	o, ok := t.previous[id]
	return o, ok
}

// Origins returns the origins of all streams, those of the current generation last.
func (t *Tracker) Origins() []Origin {
	return slices.AppendSeq(slices.Collect(maps.Values(t.previous)), maps.Values(t.current))
}
