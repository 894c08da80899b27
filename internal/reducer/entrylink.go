package reducer

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// entryLink is an agent's view of an entry.
type entryLink struct {
	incarnation     Incarnation
	epoch           Epoch
	up              bool
	attemptsDropped bool // attempts were forgotten while it was out of reach
	lastReceived    time.Duration
	lastSent        time.Duration
	disconnectedAt  time.Duration
	openAttempts    int
	sentLoad        linkpb.Load // last one sent
	loadSentAt      time.Duration
}

// handleEntryConnected starts a connection of an entry. Older connections of the entry are
// not listened to any more.
func (a *Agent) handleEntryConnected(ev EntryConnected) {
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
		a.cancelOrphans(l)
		l = &entryLink{}
		a.entries[ev.Entry] = l
	}
	l.incarnation, l.epoch, l.up = ev.Incarnation, ev.Epoch, true
	l.lastReceived, l.lastSent = a.now, a.now
	a.sendResidents(ev.Entry, l)
	a.sendLoadSummary(ev.Entry, l, true)
	a.sendConfigurationIfOlder(ev.Entry, l, ev.Version)
}

func (a *Agent) handleEntryDisconnected(ev EntryDisconnected) {
	l := a.entries[ev.Entry]
	if l == nil || l.epoch != ev.Epoch || !l.up {
		return
	}
	l.up = false
	l.disconnectedAt = a.now
}

func (a *Agent) sendToEntry(entry EntryID, l *entryLink, down *linkpb.Down) {
	if l.up {
		a.emit(SendToEntry{entry, l.epoch, down})
	}
}

// tickEntries beats, and forgets entries that stay out of reach.
func (a *Agent) tickEntries() {
	for _, id := range a.entryIDs() {
		l := a.entries[id]
		if !l.up {
			if l.openAttempts > 0 && a.now-l.disconnectedAt > orphanTimeout {
				a.cancelOrphans(l)
			}
			continue
		}
		a.sendLoadSummary(id, l, false)
		period := idleBeatInterval
		if l.openAttempts > 0 {
			period = agentBeatInterval
		}
		if a.now-l.lastSent >= period {
			l.lastSent = a.now
			a.sendToEntry(id, l, &linkpb.Down{Kind: &linkpb.Down_Beat{Beat: &linkpb.Beat{Version: uint64(a.follower.State().Version)}}})
		}
		if l.openAttempts > 0 && a.now-l.lastReceived > orphanTimeout {
			l.up, l.disconnectedAt = false, a.now
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

func (a *Agent) sendLoadSummaries(force bool) {
	for _, id := range a.entryIDs() {
		a.sendLoadSummary(id, a.entries[id], force)
	}
}

// loadSummaryInterval spaces the load summaries that go to one entry besides those that
// heads and ends carry along.
const loadSummaryInterval = 2 * time.Second

func (a *Agent) sendLoadSummary(id EntryID, l *entryLink, force bool) {
	queued, active := uint32(a.queue.Len()+len(a.cold)), uint32(a.active)
	leaving := a.draining || a.engineUnavailable()
	same := l.sentLoad.Queued == queued && l.sentLoad.Active == active && l.sentLoad.Leaving == leaving
	urgent := l.sentLoad.Leaving != leaving
	if !force && (same || !urgent && (l.openAttempts == 0 || a.now-l.loadSentAt < loadSummaryInterval)) {
		return
	}
	l.sentLoad.Queued, l.sentLoad.Active, l.sentLoad.Leaving = queued, active, leaving
	l.loadSentAt, l.lastSent = a.now, a.now
	a.sendToEntry(id, l, &linkpb.Down{Kind: &linkpb.Down_Load{Load: a.loadSummary()}})
}

// loadSummary summarises what the upstream has to do.
func (a *Agent) loadSummary() *linkpb.Load {
	return &linkpb.Load{Queued: uint32(a.queue.Len() + len(a.cold)), Active: uint32(a.active), Leaving: a.draining || a.engineUnavailable()}
}

func (a *Agent) sendResidents(id EntryID, l *entryLink) {
	if a.ledger == nil {
		return
	}
	holds := &linkpb.Holds{Free: int64(a.ledger.Free())}
	for _, m := range a.ledger.Residents() {
		holds.Residents = append(holds.Residents, string(m))
	}
	a.sendToEntry(id, l, &linkpb.Down{Kind: &linkpb.Down_Holds{Holds: holds}})
}

// sendConfigurationIfOlder hands the configuration to an entry that lags.
func (a *Agent) sendConfigurationIfOlder(id EntryID, l *entryLink, theirs configurator.Version) {
	if theirs >= a.follower.State().Version {
		return
	}
	data, hash := a.follower.State().Snapshot()
	a.sendToEntry(id, l, &linkpb.Down{Kind: &linkpb.Down_Document{Document: &linkpb.Document{Snapshot: data, Hash: hash}}})
}
