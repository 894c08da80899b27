package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// linkState is the state of an entry's connection to an agent.
type linkState string

const (
	linkDown    linkState = "down"
	linkDialing linkState = "dialing"
	linkUp      linkState = "up"
)

// peer is an entry's view of an agent and its upstream.
type peer struct {
	upstream         configurator.Upstream
	state            linkState
	epoch            Epoch
	incarnation      Incarnation
	incarnationKnown bool // false before the first connection

	lastReceived   time.Duration // last message from the agent
	lastBeat       time.Duration // last heartbeat sent
	lastUsed       time.Duration // when an attempt last began or ended
	busySince      time.Duration // when the number of open attempts last rose from zero
	disconnectedAt time.Duration // valid while state is not linkUp
	nextDial       time.Duration // no dial before
	dialBackoff    time.Duration // upper bound of the last pause between dials
	avoidUntil     time.Duration // gets no new attempts before

	consecutiveFailures int // attempts lost since the last complete response

	leaving         bool // the agent takes no new attempts
	removed         bool // not in the configuration any more
	queued          int  // reported attempts of all entries that wait at the agent
	active          int  // reported attempts of all entries that run
	loadReportedAt  time.Duration
	otherAttempts   int // queued and active ones of other entries at loadReportedAt
	openAttempts    map[AttemptID]*request
	pendingRequests []*request  // to be submitted once connected
	pendingCancels  []AttemptID // to be cancelled once connected
	residents       map[configurator.ModelName]bool
	residentsKnown  bool // the agent has reported its residents
}

// usable reports whether new attempts may go to the peer. An open connection
// overrides the platform's list, which lags behind.
func (p *peer) usable(now time.Duration, listed bool) bool {
	return p.reachable(now) && (listed || p.state == linkUp)
}

// reachable reports whether the peer may be tried, whatever the platform's list shows.
func (p *peer) reachable(now time.Duration) bool {
	return !p.leaving && !p.removed && now >= p.avoidUntil
}

// updateLoad applies an agent's load report; nil is no report.
func (p *peer) updateLoad(now time.Duration, load *linkpb.Load) {
	if load == nil {
		return
	}
	p.queued, p.active, p.loadReportedAt = int(load.Queued), int(load.Active), now
	p.leaving = load.Leaving
	p.otherAttempts = max(0, p.queued+p.active-len(p.openAttempts))
}

// eject keeps new attempts away from the peer for a while, twice as long with
// each failure in a row.
func (p *peer) eject(now time.Duration) {
	period := min(minEjection<<min(p.consecutiveFailures, 8), maxEjection)
	p.consecutiveFailures++
	p.avoidUntil = max(p.avoidUntil, now+period)
}

// silenceTimeout returns how long a connection may be silent before it is replaced.
func (p *peer) silenceTimeout() time.Duration {
	if len(p.openAttempts) > 0 || len(p.pendingRequests) > 0 {
		return busySilenceTimeout
	}
	return idleSilenceTimeout
}

// beatInterval returns the time between two heartbeats to the agent.
func (p *peer) beatInterval() time.Duration {
	if len(p.openAttempts) > 0 {
		return entryBeatInterval
	}
	return idleBeatInterval
}
