package reducer

import (
	"fmt"
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

// keeping is an agent's part in repeating records before the log drops them.
type keeping struct {
	tickAt   time.Duration
	dueSince time.Duration // zero while nothing is due
	serial   int
}

// read restarts the wait when another agent has repeated records.
func (k *keeping) read(r recorder.Record) {
	if r.Kind == recorder.State || r.Kind == recorder.Claims {
		k.dueSince = 0
	}
}

// appended restarts the wait when an append failed.
func (k *keeping) appended(ev Appended) {
	if ev.Err != nil {
		k.dueSince = 0
	}
}

// tickKeeper repeats the configuration and open claims once half of the log's
// retention has passed. The agents take turns in rendezvous order, so that one
// of them does it.
func (a *Agent) tickKeeper() {
	k := &a.keeper
	if a.cfg.Retention == 0 || a.now-k.tickAt < keepPeriod {
		return
	}
	k.tickAt = a.now
	stateDue := a.follower.Due(a.cfg.Retention)
	claims := a.claims.Snapshot(a.follower.LogTime() - a.cfg.Retention/2)
	if !stateDue && len(claims) == 0 {
		k.dueSince = 0
		return
	}
	if k.dueSince == 0 {
		k.dueSince = a.now
	}
	if a.now-k.dueSince < time.Duration(a.keeperRank())*keepStep {
		return
	}
	k.dueSince = 0
	if stateDue {
		data, hash := a.follower.State().Snapshot()
		a.repeatRecord(recorder.Record{Kind: recorder.State, State: &recorder.Snapshot{Data: data, Hash: hash}})
	}
	if len(claims) > 0 {
		a.repeatRecord(recorder.Record{Kind: recorder.Claims, Claims: claims[:min(len(claims), maxKept)]})
	}
}

func (a *Agent) repeatRecord(r recorder.Record) {
	a.keeper.serial++
	a.Counters.Appends++
	r.ID = fmt.Sprintf("%s/%d/keep/%d", a.cfg.Upstream, a.cfg.Incarnation, a.keeper.serial)
	a.emit(Append{r})
}

// keeperRank is this agent's place among the live agents in rendezvous order.
func (a *Agent) keeperRank() int {
	var names []configurator.UpstreamName
	for _, u := range a.follower.State().Config.Upstreams {
		if a.roster.listed(u.Name) {
			names = append(names, u.Name)
		}
	}
	for i, u := range placer.Rank("keeper", names) {
		if u == a.cfg.Upstream {
			return i
		}
	}
	return len(names)
}
