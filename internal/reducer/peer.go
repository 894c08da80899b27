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
	upstream    configurator.Upstream
	state       linkState
	epoch       Epoch
	incarnation Incarnation
	known       bool // incarnation is known

	heard   time.Duration // last message
	sent    time.Duration // last beat
	used    time.Duration // last submit or end
	busyAt  time.Duration // when it last got its first open attempt
	lostAt  time.Duration // when the connection was lost; valid while state is not up
	dialAt  time.Duration // next dial
	pause   time.Duration // pause after the next failed dial
	suspect time.Duration // avoided until then

	failures int // attempts lost in a row

	leaving bool // said by the agent
	removed bool // not configured any more
	queued  int
	active  int
	loadAt  time.Duration
	others  int // attempts of other entries at loadAt
	open    map[AttemptID]*request
	pending []*request // requests that wait for the connection
	orphans []AttemptID
	holds   map[configurator.ModelName]bool
	told    bool // it has said what it holds
}

// usable tells whether new attempts may go to the peer. An open connection
// counts more than the platform's list, which lags.
func (p *peer) usable(now time.Duration, listed bool) bool {
	return p.reachable(now) && (listed || p.state == linkUp)
}

// reachable tells whether a connection to the peer may be tried.
func (p *peer) reachable(now time.Duration) bool {
	return !p.leaving && !p.removed && now >= p.suspect
}

// report takes over the agent's summary of its work.
func (p *peer) report(now time.Duration, load *linkpb.Load) {
	if load == nil {
		return
	}
	p.queued, p.active, p.loadAt = int(load.Queued), int(load.Active), now
	p.leaving = load.Leaving
	p.others = max(0, p.queued+p.active-len(p.open))
}

// fail lets new attempts avoid the peer for a while.
func (p *peer) fail(now time.Duration) {
	eject := min(ejectPeriod<<min(p.failures, 8), ejectLimit)
	p.failures++
	p.suspect = max(p.suspect, now+eject)
}

func (p *peer) silence() time.Duration {
	if len(p.open) > 0 || len(p.pending) > 0 {
		return silentAfter
	}
	return idleSilent
}

func (p *peer) period() time.Duration {
	if len(p.open) > 0 {
		return answerPeriod
	}
	return idlePeriod
}
