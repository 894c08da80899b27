// Package follower derives the configuration in force from the log.
//
// Usage:
//
//	f := follower.New()
//	changed := f.Apply(now, batch)
//	cfg := &f.State().Config
//
// Every process applies the changes in log order by the same rule. A process
// that can't see the log's beginning waits for a repeated state, in the log or
// from a peer, and holds later changes back until then.
package follower

import (
	"time"

	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// maxVerdicts bounds the decisions kept for operators.
const maxVerdicts = 100

// Origin tells where the configuration in force came from.
type Origin string

// The origins of a configuration.
const (
	OriginNone Origin = "none"
	OriginLog  Origin = "log"
	OriginPeer Origin = "peer"
)

// Follower holds the configuration in force. It is not safe for concurrent use.
type Follower struct {
	state    configurator.State
	based    bool              // the state includes all records before next
	held     []recorder.Record // changes read while there is no base
	start    recorder.Offset   // all records from here to next were read
	next     recorder.Offset
	verdicts []configurator.Verdict
	since    time.Duration
	origin   Origin
	gaps     int
	latest   int64 // the log's clock, in ms
	renewed  int64 // log time of the last record that carries the state
	revert   bool
}

// New returns a follower of an empty configuration.
func New() *Follower {
	return &Follower{origin: OriginNone}
}

// AllowRollback makes the follower adopt older states; a test hook.
func (f *Follower) AllowRollback() {
	f.revert = true
}

// State returns the accepted configuration.
func (f *Follower) State() *configurator.State {
	return &f.state
}

// NextOffset returns the offset to read on from.
func (f *Follower) NextOffset() recorder.Offset {
	return f.next
}

// Apply takes over a batch read from Next and tells whether the configuration
// in force changed.
func (f *Follower) Apply(now time.Duration, b recorder.Batch) bool {
	before := f.state.Version
	f.locate(b.FirstOffset)
	for _, r := range b.Records {
		if r.Offset < f.next {
			continue
		}
		f.latest = max(f.latest, r.LogTimeMs)
		f.record(now, r)
	}
	f.latest = max(f.latest, b.LogTimeMs)
	f.next = max(f.next, b.NextOffset)
	if f.based {
		f.state.Offset = max(f.state.Offset, uint64(f.next))
	}
	return f.note(now, before, OriginLog)
}

// locate notices records that the log dropped before they were read.
func (f *Follower) locate(first recorder.Offset) {
	if f.next == 0 && first == 0 {
		f.based = true
	}
	if first <= f.next {
		return
	}
	f.gaps++
	f.start, f.next = first, first
	f.held = nil
	f.based = f.state.Offset >= uint64(first)
}

func (f *Follower) record(now time.Duration, r recorder.Record) {
	switch r.Kind {
	case recorder.KindState:
		f.renewed = r.LogTimeMs
		f.adopt(r.State.Data, r.State.Hash)
	case recorder.KindChange:
		if !f.based {
			f.held = append(f.held, r)
			return
		}
		f.decide(r)
	}
}

// Adopt takes over a peer's state when it is newer than the own one.
func (f *Follower) Adopt(now time.Duration, data []byte, hash uint64) (bool, error) {
	before := f.state.Version
	err := f.adopt(data, hash)
	return f.note(now, before, OriginPeer), err
}

// adopt replaces a state that is not newer. A state that takes all records
// before the ones read here into account is a base for the changes held back.
func (f *Follower) adopt(data []byte, hash uint64) error {
	s, err := configurator.Restore(data, hash)
	if err != nil {
		return err
	}
	if f.revert {
		f.state = s
		return nil
	}
	newer := s.Version > f.state.Version
	if newer || s.Version == f.state.Version && !f.based {
		f.state = s
	}
	if f.based || s.Version < f.state.Version || s.Offset < uint64(f.start) {
		return nil
	}
	f.based = true
	held := f.held
	f.held = nil
	for _, r := range held {
		f.decide(r)
	}
	return nil
}

func (f *Follower) decide(r recorder.Record) {
	if uint64(r.Offset) < f.state.Offset {
		return
	}
	next, verdict := f.state.Apply(*r.Change)
	next.Offset = uint64(r.Offset) + 1
	f.state = next
	f.verdicts = append(f.verdicts, verdict)
	if verdict.Accepted {
		f.renewed = r.LogTimeMs
	}
	if len(f.verdicts) > maxVerdicts {
		f.verdicts = f.verdicts[1:]
	}
}

func (f *Follower) note(now time.Duration, before configurator.Version, from Origin) bool {
	if f.state.Version == before {
		return false
	}
	f.since = now
	f.origin = from
	return true
}

// LogTime returns the log's clock as far as it is known.
func (f *Follower) LogTime() time.Duration {
	return time.Duration(f.latest) * time.Millisecond
}

// SnapshotDue tells whether the state must be appended again: retention is the time
// for which the log keeps a record.
func (f *Follower) SnapshotDue(retention time.Duration) bool {
	if f.state.Version == 0 {
		return false
	}
	return time.Duration(f.latest-f.renewed)*time.Millisecond > retention/2
}

// Report is what an operator reads about the configuration of a process.
type Report struct {
	Version  configurator.Version   `json:"version"`
	Hash     uint64                 `json:"hash"`
	Origin   Origin                 `json:"origin"`
	Since    time.Duration          `json:"since"` // process time at which the version came in force
	Offset   recorder.Offset        `json:"offset"`
	Gaps     int                    `json:"gaps"`
	Verdicts []configurator.Verdict `json:"verdicts"`
}

// Report describes the configuration in force.
func (f *Follower) Report() Report {
	return Report{f.state.Version, f.state.Hash(), f.origin, f.since, f.next, f.gaps, f.verdicts}
}
