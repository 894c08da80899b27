// Package follower derives the configuration in force from the log of changes.
//
// Usage:
//
//	f := follower.New()
//	changed := f.Apply(now, batch)
//	cfg := &f.State().Config
//
// Every process applies the changes in log order by the same rule, so that all reach
// the same configuration. A process that can't read the log from its first record
// waits for a snapshot of the state, in the log or from a peer, and keeps later
// changes pending until then. A Currency tells for how long the configuration has been known to
// be the newest one.
package follower

import (
	"time"

	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// maxVerdicts bounds the verdicts kept for Report; the oldest are dropped.
const maxVerdicts = 100

// Origin is the source of the configuration in force.
type Origin string

// The origins of a configuration.
const (
	OriginNone Origin = "none"
	OriginLog  Origin = "log"
	OriginPeer Origin = "peer"
)

// Follower holds the configuration in force. It is not safe for concurrent use.
type Follower struct {
	state           configurator.State
	synced          bool              // the state includes all records before next
	pending         []recorder.Record // changes read before the follower was synced
	readFrom        recorder.Offset   // all records from this offset up to next have been read
	next            recorder.Offset   // of the next read
	verdicts        []configurator.Verdict
	changedAt       time.Duration // process time at which the version came in force
	origin          Origin
	gaps            int   // times that the log dropped records before they were read
	logMillis       int64 // latest time of the log's clock, in ms
	persistedMillis int64 // log time of the last snapshot or accepted change, in ms
	allowRollback   bool  // test hook, see AllowRollback
}

// New returns a follower with an empty configuration of version 0.
func New() *Follower {
	return &Follower{origin: OriginNone}
}

// AllowRollback is a test hook that makes the follower adopt older states too.
func (f *Follower) AllowRollback() {
	f.allowRollback = true
}

// State returns the state in force. Apply and Adopt overwrite it.
func (f *Follower) State() *configurator.State {
	return &f.state
}

// Synced reports whether the state includes all records before NextOffset.
func (f *Follower) Synced() bool {
	return f.synced
}

// NextOffset returns the offset from which to read the next batch.
func (f *Follower) NextOffset() recorder.Offset {
	return f.next
}

// Apply applies a batch read from NextOffset and reports whether the configuration in
// force changed.
func (f *Follower) Apply(now time.Duration, b recorder.Batch) bool {
	before := f.state.Version
	f.detectGap(b.FirstOffset)
	for _, r := range b.Records {
		if r.Offset < f.next {
			continue
		}
		f.logMillis = max(f.logMillis, r.LogTimeMs)
		f.applyRecord(now, r)
	}
	f.logMillis = max(f.logMillis, b.LogTimeMs)
	f.next = max(f.next, b.NextOffset)
	if f.synced {
		f.state.Offset = max(f.state.Offset, uint64(f.next))
	}
	return f.recordOrigin(now, before, OriginLog)
}

// detectGap skips records that the log dropped before they were read, given the offset
// of the first record in the log. Unless the state includes them, the follower is then
// unsynced until it adopts a snapshot that does. A follower that reads the log from
// its first record is synced from the start.
func (f *Follower) detectGap(first recorder.Offset) {
	if f.next == 0 && first == 0 {
		f.synced = true
	}
	if first <= f.next {
		return
	}
	f.gaps++
	f.readFrom, f.next = first, first
	f.pending = nil
	f.synced = f.state.Offset >= uint64(first)
}

func (f *Follower) applyRecord(now time.Duration, r recorder.Record) {
	switch r.Kind {
	case recorder.KindState:
		f.persistedMillis = r.LogTimeMs
		f.adopt(r.State.Data, r.State.Hash)
	case recorder.KindChange:
		if !f.synced {
			f.pending = append(f.pending, r)
			return
		}
		f.applyChange(r)
	}
}

// Adopt replaces the state by the snapshot of a peer if that is newer, and reports
// whether the configuration in force changed. It returns an error if the snapshot
// can't be decoded or doesn't match the hash.
func (f *Follower) Adopt(now time.Duration, data []byte, hash uint64) (bool, error) {
	before := f.state.Version
	err := f.adopt(data, hash)
	return f.recordOrigin(now, before, OriginPeer), err
}

// adopt replaces the state by a newer snapshot or, while the follower is unsynced, by
// one of the same version. A snapshot that includes all records before readFrom makes
// the follower synced, and the pending changes are applied to it.
func (f *Follower) adopt(data []byte, hash uint64) error {
	s, err := configurator.Restore(data, hash)
	if err != nil {
		return err
	}
	if f.allowRollback {
		f.state = s
		return nil
	}
	isNewer := s.Version > f.state.Version
	if isNewer || s.Version == f.state.Version && !f.synced {
		f.state = s
	}
	if f.synced || s.Version < f.state.Version || s.Offset < uint64(f.readFrom) {
		return nil
	}
	f.synced = true
	pending := f.pending
	f.pending = nil
	for _, r := range pending {
		f.applyChange(r)
	}
	return nil
}

// applyChange decides on a change and records the verdict. Changes that the state
// already includes are skipped.
func (f *Follower) applyChange(r recorder.Record) {
	if uint64(r.Offset) < f.state.Offset {
		return
	}
	next, verdict := f.state.Apply(*r.Change)
	next.Offset = uint64(r.Offset) + 1
	f.state = next
	f.verdicts = append(f.verdicts, verdict)
	if verdict.Accepted {
		f.persistedMillis = r.LogTimeMs
	}
	if len(f.verdicts) > maxVerdicts {
		f.verdicts = f.verdicts[1:]
	}
}

// recordOrigin records the origin and the time of a new version, and reports whether
// the version differs from before.
func (f *Follower) recordOrigin(now time.Duration, before configurator.Version, from Origin) bool {
	if f.state.Version == before {
		return false
	}
	f.changedAt = now
	f.origin = from
	return true
}

// LogTime returns the latest known time of the log's clock.
func (f *Follower) LogTime() time.Duration {
	return time.Duration(f.logMillis) * time.Millisecond
}

// SnapshotDue reports whether the state must be appended to the log again, given the
// time for which the log keeps a record. That is the case when half of that time has
// passed since the last snapshot or accepted change.
func (f *Follower) SnapshotDue(retention time.Duration) bool {
	if f.state.Version == 0 {
		return false
	}
	return time.Duration(f.logMillis-f.persistedMillis)*time.Millisecond > retention/2
}

// Report describes the configuration of a process to operators.
type Report struct {
	Version  configurator.Version   `json:"version"`
	Hash     uint64                 `json:"hash"` // of the configuration
	Origin   Origin                 `json:"origin"`
	Since    time.Duration          `json:"since"`    // process time at which the version came in force
	Offset   recorder.Offset        `json:"offset"`   // of the next read
	Gaps     int                    `json:"gaps"`     // times that the log dropped records before they were read
	Verdicts []configurator.Verdict `json:"verdicts"` // on the latest changes, oldest first
}

// Report returns the version, origin and hash of the configuration in force, the next
// log offset, the number of gaps and the latest verdicts.
func (f *Follower) Report() Report {
	return Report{f.state.Version, f.state.Hash(), f.origin, f.changedAt, f.next, f.gaps, f.verdicts}
}
