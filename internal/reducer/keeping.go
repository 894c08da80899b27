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
	refreshInterval = time.Second
	rankStep        = 2 * time.Second // pause between two agents of the rendezvous order
)

// maxRefreshedClaims bounds the claims in one repeated record.
const maxRefreshedClaims = 2000

// rankDelay is one kind of record that an agent may have to repeat.
type rankDelay struct {
	dueSince time.Duration // when it fell due, zero while it is not
}

// expired tells whether the agent of a rank has to repeat records that are due.
func (d *rankDelay) expired(now time.Duration, due bool, rank int) bool {
	if !due {
		d.dueSince = 0
		return false
	}
	if d.dueSince == 0 {
		d.dueSince = now
	}
	if now-d.dueSince < time.Duration(rank)*rankStep {
		return false
	}
	d.dueSince = 0
	return true
}

// logRefresher is an agent's part in repeating records before the log drops them.
type logRefresher struct {
	checkedAt   time.Duration
	stateDelay  rankDelay
	claimsDelay rankDelay
	serial      int
}

// tickRefresh repeats the configuration and open claims once half of the log's
// retention has passed. The agents that read a stream take turns in rendezvous
// order, so that one of them does it.
func (a *Agent) tickRefresh() {
	k := &a.refresher
	if a.cfg.Retention == 0 || a.upstream.Name == "" || a.now-k.checkedAt < refreshInterval {
		return
	}
	k.checkedAt = a.now
	everyone := func(configurator.Upstream) bool { return true }
	if k.stateDelay.expired(a.now, a.follower.SnapshotDue(a.cfg.Retention), a.refreshRank(everyone)) {
		data, hash := a.follower.State().Snapshot()
		a.refreshRecord(recorder.Main, recorder.Record{Kind: recorder.State, State: &recorder.Snapshot{Data: data, Hash: hash}})
	}
	claims := a.claimTable.Snapshot(a.follower.LogTime() - a.cfg.Retention/2)
	group := func(u configurator.Upstream) bool {
		return u.Role == a.upstream.Role && u.Service == a.upstream.Service
	}
	if k.claimsDelay.expired(a.now, len(claims) > 0, a.refreshRank(group)) {
		a.refreshRecord(a.keyed.stream, recorder.Record{Kind: recorder.Claims, Claims: claims[:min(len(claims), maxRefreshedClaims)]})
	}
}

func (a *Agent) refreshRecord(stream recorder.Stream, r recorder.Record) {
	a.refresher.serial++
	a.Counters.Appends++
	r.ID = fmt.Sprintf("%s/%d/keep/%d", a.cfg.Upstream, a.cfg.Incarnation, a.refresher.serial)
	a.emit(Append{stream, r})
}

// refreshRank is this agent's place among the live agents of a group in
// rendezvous order.
func (a *Agent) refreshRank(group func(configurator.Upstream) bool) int {
	var names []configurator.UpstreamName
	for _, u := range a.follower.State().Config.Upstreams {
		if group(u) && a.liveness.listed(u.Name) {
			names = append(names, u.Name)
		}
	}
	ranked := placer.Rank("keeper", names)
	return max(0, slices.Index(ranked, a.cfg.Upstream))
}
