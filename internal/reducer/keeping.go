package reducer

import (
	"fmt"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Timing of repeated records.
const (
	keepPeriod = time.Second
	keepStep   = 2 * time.Second // pause between two agents of the rendezvous order
)

// maxKept bounds the claims in one repeated record.
const maxKept = 2000

// duty is one kind of record that an agent may have to repeat.
type duty struct {
	since time.Duration // when it fell due, zero while it is not
}

// turn tells whether the agent of a rank has to repeat records that are due.
func (d *duty) turn(now time.Duration, due bool, rank int) bool {
	if !due {
		d.since = 0
		return false
	}
	if d.since == 0 {
		d.since = now
	}
	if now-d.since < time.Duration(rank)*keepStep {
		return false
	}
	d.since = 0
	return true
}

// keeping is an agent's part in repeating records before the log drops them.
type keeping struct {
	tickAt time.Duration
	state  duty
	claims duty
	serial int
}

// tickKeeper repeats the configuration and open claims once half of the log's
// retention has passed. The agents that read a stream take turns in rendezvous
// order, so that one of them does it.
func (a *Agent) tickKeeper() {
	k := &a.keeper
	if a.cfg.Retention == 0 || a.upstream.Name == "" || a.now-k.tickAt < keepPeriod {
		return
	}
	k.tickAt = a.now
	everyone := func(configurator.Upstream) bool { return true }
	if k.state.turn(a.now, a.follower.Due(a.cfg.Retention), a.keeperRank(everyone)) {
		data, hash := a.follower.State().Snapshot()
		a.repeatRecord(recorder.Main, recorder.Record{Kind: recorder.State, State: &recorder.Snapshot{Data: data, Hash: hash}})
	}
	claims := a.claims.Snapshot(a.follower.LogTime() - a.cfg.Retention/2)
	group := func(u configurator.Upstream) bool {
		return u.Role == a.upstream.Role && u.Service == a.upstream.Service
	}
	if k.claims.turn(a.now, len(claims) > 0, a.keeperRank(group)) {
		a.repeatRecord(a.claim.stream, recorder.Record{Kind: recorder.Claims, Claims: claims[:min(len(claims), maxKept)]})
	}
}

func (a *Agent) repeatRecord(stream recorder.Stream, r recorder.Record) {
	a.keeper.serial++
	a.Counters.Appends++
	r.ID = fmt.Sprintf("%s/%d/keep/%d", a.cfg.Upstream, a.cfg.Incarnation, a.keeper.serial)
	a.emit(Append{stream, r})
}

// keeperRank is this agent's place among the live agents of a group in
// rendezvous order.
func (a *Agent) keeperRank(group func(configurator.Upstream) bool) int {
	var names []configurator.UpstreamName
	for _, u := range a.follower.State().Config.Upstreams {
		if group(u) && a.roster.listed(u.Name) {
			names = append(names, u.Name)
		}
	}
	ranked := placer.Rank("keeper", names)
	return max(0, slices.Index(ranked, a.cfg.Upstream))
}
