package reducer

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// entryLink is an agent's view of an entry.
type entryLink struct {
	incarnation Incarnation
	epoch       Epoch
	up          bool
	swept       bool // attempts were forgotten while it was out of reach
	heard       time.Duration
	sent        time.Duration
	lostAt      time.Duration
	open        int
	load        linkpb.Load // last one sent
	loadAt      time.Duration
}

// opened starts a connection of an entry. Older connections of the entry are
// not listened to any more.
func (a *Agent) opened(ev Opened) {
	l := a.entries[ev.Entry]
	if l == nil {
		l = &entryLink{}
		a.entries[ev.Entry] = l
	}
	if l.incarnation == ev.Incarnation && ev.Epoch <= l.epoch {
		a.Counters.Stale++
		return
	}
	if l.incarnation != ev.Incarnation {
		a.orphan(l)
		l = &entryLink{}
		a.entries[ev.Entry] = l
	}
	l.incarnation, l.epoch, l.up = ev.Incarnation, ev.Epoch, true
	l.heard, l.sent = a.now, a.now
	a.sendHolds(ev.Entry, l)
	a.sendLoad(ev.Entry, l, true)
	a.compareVersions(ev.Entry, l, ev.Version)
}

func (a *Agent) closed(ev Closed) {
	l := a.entries[ev.Entry]
	if l == nil || l.epoch != ev.Epoch || !l.up {
		return
	}
	l.up = false
	l.lostAt = a.now
}

func (a *Agent) send(entry EntryID, l *entryLink, down *linkpb.Down) {
	if l.up {
		a.emit(SendDown{entry, l.epoch, down})
	}
}

// tickEntries beats, and forgets entries that stay out of reach.
func (a *Agent) tickEntries() {
	for _, id := range a.entryIDs() {
		l := a.entries[id]
		if !l.up {
			if l.open > 0 && a.now-l.lostAt > orphanAfter {
				a.orphan(l)
			}
			continue
		}
		a.sendLoad(id, l, false)
		period := idlePeriod
		if l.open > 0 {
			period = beatPeriod
		}
		if a.now-l.sent >= period {
			l.sent = a.now
			a.send(id, l, &linkpb.Down{Kind: &linkpb.Down_Beat{Beat: &linkpb.Beat{Version: uint64(a.follower.State().Version)}}})
		}
		if l.open > 0 && a.now-l.heard > orphanAfter {
			l.up, l.lostAt = false, a.now
		}
	}
}

func (a *Agent) entryIDs() []EntryID {
	ids := make([]EntryID, 0, len(a.entries))
	for id := range a.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (a *Agent) sendLoads(force bool) {
	for _, id := range a.entryIDs() {
		a.sendLoad(id, a.entries[id], force)
	}
}

// loadPeriod spaces the load summaries that go to one entry besides those that
// heads and ends carry along.
const loadPeriod = 2 * time.Second

func (a *Agent) sendLoad(id EntryID, l *entryLink, force bool) {
	queued, active := uint32(a.queue.Len()+len(a.cold)), uint32(a.active)
	leaving := a.draining || a.unfit()
	same := l.load.Queued == queued && l.load.Active == active && l.load.Leaving == leaving
	urgent := l.load.Leaving != leaving
	if !force && (same || !urgent && (l.open == 0 || a.now-l.loadAt < loadPeriod)) {
		return
	}
	l.load.Queued, l.load.Active, l.load.Leaving = queued, active, leaving
	l.loadAt, l.sent = a.now, a.now
	a.send(id, l, &linkpb.Down{Kind: &linkpb.Down_Load{Load: a.work()}})
}

// work summarises what the upstream has to do.
func (a *Agent) work() *linkpb.Load {
	return &linkpb.Load{Queued: uint32(a.queue.Len() + len(a.cold)), Active: uint32(a.active), Leaving: a.draining || a.unfit()}
}

func (a *Agent) sendHolds(id EntryID, l *entryLink) {
	if a.ledger == nil {
		return
	}
	holds := &linkpb.Holds{Free: int64(a.ledger.Free())}
	for _, m := range a.ledger.Residents() {
		holds.Residents = append(holds.Residents, string(m))
	}
	a.send(id, l, &linkpb.Down{Kind: &linkpb.Down_Holds{Holds: holds}})
}

// compareVersions hands the configuration to an entry that lags.
func (a *Agent) compareVersions(id EntryID, l *entryLink, theirs configurator.Version) {
	if theirs >= a.follower.State().Version {
		return
	}
	data, hash := a.follower.State().Snapshot()
	a.send(id, l, &linkpb.Down{Kind: &linkpb.Down_Document{Document: &linkpb.Document{Snapshot: data, Hash: hash}}})
}
