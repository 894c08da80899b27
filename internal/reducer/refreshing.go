package reducer

import (
	"fmt"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Timing of refreshes, which append records again before the log drops them.
const (
	refreshInterval = time.Second     // between two checks for records that are due
	rankStep        = 2 * time.Second // between the turns of two agents of successive rank
)

// maxRefreshedClaims is the largest number of claims in one refreshed record.
const maxRefreshedClaims = 2000

// rankDelay delays the refresh of a record by the rank of the agent, so that agents
// of lower rank go first.
type rankDelay struct {
	dueSince time.Duration // zero while the record is not due
}

// expired reports whether a record has been due for rank times rankStep, and if so
// restarts the delay.
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

// logRefresher is an agent's state of refreshing records before the log drops them.
type logRefresher struct {
	checkedAt   time.Duration
	stateDelay  rankDelay
	claimsDelay rankDelay
	serial      int // of the last refreshed record, for its ID
}

// tickRefresh appends the configuration and the open claims again once half of the
// log's retention has passed. The agents that read a stream wait by their rank in
// rendezvous order, so that normally one of them refreshes it.
func (a *Agent) tickRefresh() {
	r := &a.refresher
	if a.cfg.Retention == 0 || a.upstream.Name == "" || a.now-r.checkedAt < refreshInterval {
		return
	}
	r.checkedAt = a.now
	anyUpstream := func(configurator.Upstream) bool { return true }
	if r.stateDelay.expired(a.now, a.follower.SnapshotDue(a.cfg.Retention), a.refreshRank(anyUpstream)) {
		data, hash := a.follower.State().Snapshot()
		a.refreshRecord(recorder.MainStream, recorder.Record{Kind: recorder.KindState, State: &recorder.Snapshot{Data: data, Hash: hash}})
	}
	claims := a.claimTable.Snapshot(a.follower.LogTime() - a.cfg.Retention/2)
	sameGroup := func(u configurator.Upstream) bool {
		return u.Role == a.upstream.Role && u.Service == a.upstream.Service
	}
	if r.claimsDelay.expired(a.now, len(claims) > 0, a.refreshRank(sameGroup)) {
		a.refreshRecord(a.keyed.stream, recorder.Record{Kind: recorder.KindClaims, Claims: claims[:min(len(claims), maxRefreshedClaims)]})
	}
}

func (a *Agent) refreshRecord(stream recorder.Stream, r recorder.Record) {
	a.refresher.serial++
	a.Counters.Appends++
	r.ID = fmt.Sprintf("%s/%d/keep/%d", a.cfg.Upstream, a.cfg.Incarnation, a.refresher.serial)
	a.emit(Append{stream, r})
}

// refreshRank returns this agent's rank, from 0, among the listed agents of a group
// in rendezvous order.
func (a *Agent) refreshRank(inGroup func(configurator.Upstream) bool) int {
	var names []configurator.UpstreamName
	for _, u := range a.follower.State().Config.Upstreams {
		if inGroup(u) && a.liveness.listed(u.Name) {
			names = append(names, u.Name)
		}
	}
	ranked := placer.Rank("keeper", names)
	return max(0, slices.Index(ranked, a.cfg.Upstream))
}
