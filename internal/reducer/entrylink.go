package reducer

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// entryLink is an agent's view of one incarnation of an entry.
type entryLink struct {
	incarnation     Incarnation
	epoch           Epoch // of the current or last connection
	up              bool
	attemptsDropped bool // attempts were dropped while the entry was unreachable
	lastReceived    time.Duration
	lastSent        time.Duration
	disconnectedAt  time.Duration // valid while up is false
	openAttempts    int
	sentLoad        linkpb.Load // last load summary sent
	loadSentAt      time.Duration
}

// handleEntryConnected makes a new connection the current one of its entry. Messages
// of the entry's older connections are ignored from then on.
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

// tickEntries sends load summaries and heartbeats, treats silent connections as
// lost, and cancels the attempts of entries that stay unreachable.
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

// loadSummaryInterval is the least time between two load summaries to one entry, not
// counting those that response heads and ends carry.
const loadSummaryInterval = 2 * time.Second

// sendLoadSummary sends a load summary to an entry if force is set or the load has
// changed. A change other than of Leaving is sent only to an entry with open
// attempts and at most once per loadSummaryInterval.
func (a *Agent) sendLoadSummary(id EntryID, l *entryLink, force bool) {
	queued, active := uint32(a.queue.Len()+len(a.cold)), uint32(a.active)
	leaving := a.draining || a.engineUnavailable()
	unchanged := l.sentLoad.Queued == queued && l.sentLoad.Active == active && l.sentLoad.Leaving == leaving
	leavingChanged := l.sentLoad.Leaving != leaving
	if !force && (unchanged || !leavingChanged && (l.openAttempts == 0 || a.now-l.loadSentAt < loadSummaryInterval)) {
		return
	}
	l.sentLoad.Queued, l.sentLoad.Active, l.sentLoad.Leaving = queued, active, leaving
	l.loadSentAt, l.lastSent = a.now, a.now
	a.sendToEntry(id, l, &linkpb.Down{Kind: &linkpb.Down_Load{Load: a.loadSummary()}})
}

// loadSummary returns the numbers of waiting and forwarded attempts and whether the
// agent refuses new ones.
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

// sendConfigurationIfOlder sends the configuration to an entry with an older version.
func (a *Agent) sendConfigurationIfOlder(id EntryID, l *entryLink, version configurator.Version) {
	if version >= a.follower.State().Version {
		return
	}
	data, hash := a.follower.State().Snapshot()
	a.sendToEntry(id, l, &linkpb.Down{Kind: &linkpb.Down_Document{Document: &linkpb.Document{Snapshot: data, Hash: hash}}})
}
