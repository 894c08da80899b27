package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/pkg/configurator"
)

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
	incarnationKnown bool // incarnation is known

	lastReceived   time.Duration // last message
	lastBeat       time.Duration // last beat
	lastUsed       time.Duration // last submit or end
	busySince      time.Duration // when it last got its first open attempt
	disconnectedAt time.Duration // when the connection was lost; valid while state is not up
	nextDial       time.Duration // next dial
	dialBackoff    time.Duration // pause after the next failed dial
	avoidUntil     time.Duration // avoided until then

	consecutiveFailures int // attempts lost in a row

	leaving         bool // said by the agent
	removed         bool // not configured any more
	queued          int
	active          int
	loadReportedAt  time.Duration
	otherAttempts   int // attempts of other entries at loadAt
	openAttempts    map[AttemptID]*request
	pendingRequests []*request // requests that wait for the connection
	pendingCancels  []AttemptID
	residents       map[configurator.ModelName]bool
	residentsKnown  bool // it has said what it holds
}

// usable tells whether new attempts may go to the peer. An open connection
// counts more than the platform's list, which lags.
func (p *peer) usable(now time.Duration, listed bool) bool {
	return p.reachable(now) && (listed || p.state == linkUp)
}

// reachable tells whether a connection to the peer may be tried.
func (p *peer) reachable(now time.Duration) bool {
	return !p.leaving && !p.removed && now >= p.avoidUntil
}

// updateLoad takes over the agent's summary of its work.
func (p *peer) updateLoad(now time.Duration, load *linkpb.Load) {
	if load == nil {
		return
	}
	p.queued, p.active, p.loadReportedAt = int(load.Queued), int(load.Active), now
	p.leaving = load.Leaving
	p.otherAttempts = max(0, p.queued+p.active-len(p.openAttempts))
}

// eject lets new attempts avoid the peer for a while.
func (p *peer) eject(now time.Duration) {
	eject := min(minEjection<<min(p.consecutiveFailures, 8), maxEjection)
	p.consecutiveFailures++
	p.avoidUntil = max(p.avoidUntil, now+eject)
}

func (p *peer) silenceTimeout() time.Duration {
	if len(p.openAttempts) > 0 || len(p.pendingRequests) > 0 {
		return busySilenceTimeout
	}
	return idleSilenceTimeout
}

func (p *peer) beatInterval() time.Duration {
	if len(p.openAttempts) > 0 {
		return entryBeatInterval
	}
	return idleBeatInterval
}
