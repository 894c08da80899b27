package driver

import (
	"net/netip"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

const (
	claimLifetime = 3 * time.Second // several messages of a peer, some of which may be lost
	maxHeard      = 100             // versions whose first announcement is remembered
)

// announcements tells for how long it has been known that a newer configuration than the one
// in force exists, from what peers announce and from responses of the store that bring one. A
// single message may be an odd one; versions that were announced again count.
type announcements struct {
	claims   map[netip.AddrPort]claim
	heard    []heardVersion    // newer than the one in force
	unusable registrar.Version // the newest one that can't be decoded; older ones don't count either

	pendingSince time.Duration // when the store began to send one; zero if it does not
	pendingAt    time.Duration // when the last part of it came
	pendingEnd   int64         // end of the store's topic then
	installedEnd int64         // pendingEnd when a version of a peer came in force
}

// claim is what a peer announced last.
type claim struct {
	version registrar.Version
	at      time.Duration
	refuted bool // the peer did not have it
}

// heardVersion is a version that was announced.
type heardVersion struct {
	version  registrar.Version
	at       time.Duration // of the first announcement
	repeated bool          // there was another one
}

func newAnnouncements() announcements {
	return announcements{claims: map[netip.AddrPort]claim{}}
}

// announce records the version that a peer has announced, and reports whether it is newer than
// all before.
func (a *announcements) announce(now time.Duration, peer netip.AddrPort, v, inForce registrar.Version) bool {
	refuted := a.claims[peer].refuted && a.claims[peer].version == v
	a.claims[peer] = claim{version: v, at: now, refuted: refuted}
	if v <= inForce {
		return false
	}
	a.heard = slices.DeleteFunc(a.heard, func(h heardVersion) bool { return !h.repeated && now-h.at >= claimLifetime })
	newest := inForce
	for i := range a.heard {
		if a.heard[i].version == v {
			a.heard[i].repeated = true
			return false
		}
		newest = max(newest, a.heard[i].version)
	}
	if len(a.heard) < maxHeard {
		a.heard = append(a.heard, heardVersion{version: v, at: now})
	}
	return v > newest
}

// exists reports whether a newer version than the one in force may exist, also if nobody
// announces it any more.
func (a *announcements) exists(now time.Duration, inForce registrar.Version) bool {
	return slices.ContainsFunc(a.heard, func(h heardVersion) bool {
		return h.version > inForce && (h.repeated || now-h.at < claimLifetime)
	})
}

// refute records that a peer did not have the version that it announced.
func (a *announcements) refute(peer netip.AddrPort, v registrar.Version) {
	if c := a.claims[peer]; c.version == v {
		c.refuted = true
		a.claims[peer] = c
	}
}

// pending records that the store sends records before end which were not read before. They may
// hold the version in force, if that came from a peer meanwhile.
func (a *announcements) pending(now time.Duration, end int64) {
	a.pendingEnd = end
	if end <= a.installedEnd {
		return
	}
	if a.pendingSince == 0 || now-a.pendingAt >= claimLifetime {
		a.pendingSince = now
	}
	a.pendingAt = now
}

// installed records that a version is in force.
func (a *announcements) installed(v registrar.Version, source configurationSource) {
	a.heard = slices.DeleteFunc(a.heard, func(h heardVersion) bool { return h.version <= v })
	a.pendingSince = 0
	if source == fromPeer {
		a.installedEnd = a.pendingEnd
	}
}

// restored records that the store has come back from an older copy, whose offsets are others.
func (a *announcements) restored() { a.pendingSince, a.pendingEnd, a.installedEnd = 0, 0, 0 }

// read records that all records of the store have been read.
func (a *announcements) read() { a.pendingSince = 0 }

// heardAt returns when a newer version was first announced, or now.
func (a *announcements) heardAt(now time.Duration) time.Duration {
	at := now
	for _, h := range a.heard {
		at = min(at, h.at)
	}
	return at
}

// lag returns how long it has been known that a newer version than the one in force exists,
// zero if none is known to. An announcement counts while peers go on repeating it.
func (a *announcements) lag(now time.Duration, inForce registrar.Version) time.Duration {
	since, newest := now, inForce
	if a.pendingSince > 0 && now-a.pendingAt < claimLifetime {
		since = a.pendingSince
	}
	for peer, c := range a.claims {
		if now-c.at >= claimLifetime {
			delete(a.claims, peer)
			continue
		}
		if !c.refuted && c.version > a.unusable && a.repeated(c.version) {
			newest = max(newest, c.version)
		}
	}
	for _, h := range a.heard {
		if h.version > inForce && h.version <= newest {
			since = min(since, h.at)
		}
	}
	return now - since
}

func (a *announcements) repeated(v registrar.Version) bool {
	return slices.ContainsFunc(a.heard, func(h heardVersion) bool { return h.version == v && h.repeated })
}
