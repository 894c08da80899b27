package reducer

import (
	"slices"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// dial starts to connect to an agent under a new epoch.
func (e *Entry) dial(p *peer) {
	p.epoch++
	p.state = linkDialing
	e.emit(Dial{p.upstream.Name, p.upstream.Address, p.epoch, e.follower.State().Version})
}

// handleAgentConnected resumes the open attempts over a new connection, or moves
// them if the agent has restarted, and then submits what waited for the
// connection.
func (e *Entry) handleAgentConnected(ev AgentConnected) {
	p := e.peers[ev.Peer]
	if p == nil || ev.Epoch != p.epoch || p.state != linkDialing {
		e.Counters.Stale++
		e.emit(CloseConnection{ev.Peer, ev.Epoch})
		return
	}
	restarted := p.incarnationKnown && p.incarnation != ev.Incarnation
	p.state = linkUp
	p.lastReceived, p.lastBeat, p.lastUsed = e.now, e.now, e.now
	p.dialBackoff, p.avoidUntil = 0, 0
	p.incarnation, p.incarnationKnown = ev.Incarnation, true
	if restarted {
		p.leaving = false
		p.pendingCancels = nil
		e.setResidents(p, nil)
		p.residentsKnown = false
		e.moveAttempts(p, true)
	}
	for _, id := range p.pendingCancels {
		e.sendCancel(p, id)
	}
	p.pendingCancels = nil
	for _, id := range sortedAttempts(p.openAttempts) {
		e.Counters.Resumed++
		e.emit(SendToAgent{ev.Peer, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Resume{Resume: &linkpb.Resume{Attempt: string(id), Next: p.openAttempts[id].nextSeq}}}})
	}
	pending := p.pendingRequests
	p.pendingRequests = nil
	for _, r := range pending {
		if !r.closed {
			e.submit(r, p)
		}
	}
}

func (e *Entry) handleAgentDisconnected(ev AgentDisconnected) {
	p := e.peers[ev.Peer]
	if p == nil || ev.Epoch != p.epoch || p.state == linkDown {
		return
	}
	e.markDisconnected(p)
}

// markDisconnected handles a lost connection or a failed dial. A lost connection may
// be dialled again at once; after a failed dial the backoff grows and new attempts
// avoid the peer for unreachablePeriod.
func (e *Entry) markDisconnected(p *peer) {
	if p.state == linkUp {
		p.disconnectedAt = e.now
		p.nextDial = e.now
	} else {
		p.dialBackoff = min(max(2*p.dialBackoff, minDialBackoff), maxDialBackoff)
		p.nextDial = e.now + e.router.Jitter(p.dialBackoff)
		p.avoidUntil = e.now + unreachablePeriod
	}
	p.state = linkDown
	p.leaving = false // unknown until the agent reports it over the next connection
	e.reroute(p)
}

// reroute returns the requests that wait for a connection to the retry queue, to
// be sent to another upstream.
func (e *Entry) reroute(p *peer) {
	pending := p.pendingRequests
	p.pendingRequests = nil
	for _, r := range pending {
		r.pendingPeer = nil
		r.avoidUpstream = p.upstream.Name
		e.backOff(r)
	}
}

// tickPeer maintains the connection to a peer, and moves or expires its open attempts.
func (e *Entry) tickPeer(p *peer) {
	busy := len(p.openAttempts) > 0 || len(p.pendingRequests) > 0 || len(p.pendingCancels) > 0
	switch p.state {
	case linkUp:
		e.tickConnected(p, busy)
	case linkDown:
		if busy && e.now >= p.nextDial {
			e.Counters.Redialled++
			e.dial(p)
		}
	}
	if p.state != linkUp && len(p.openAttempts) > 0 {
		e.moveAttempts(p, false)
	}
	e.expireAttempts(p)
}

// tickConnected closes a connection that is silent or has been idle for long, and
// sends heartbeats. The silence of a peer counts at the earliest from when it became
// busy, because its agent sends less often while nothing is open.
func (e *Entry) tickConnected(p *peer, busy bool) {
	if e.now-max(p.lastReceived, p.busySince) > p.silenceTimeout() {
		e.logEvent(LogEvent{Name: "connection silent", Peer: string(p.upstream.Name)})
		e.emit(CloseConnection{p.upstream.Name, p.epoch})
		e.markDisconnected(p)
		return
	}
	if !busy && e.now-p.lastUsed > idleCloseTimeout {
		e.emit(CloseConnection{p.upstream.Name, p.epoch})
		p.state = linkDown
		return
	}
	if e.now-p.lastBeat < p.beatInterval() {
		return
	}
	p.lastBeat = e.now
	e.emit(SendToAgent{p.upstream.Name, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Beat{Beat: &linkpb.Beat{Version: uint64(e.follower.State().Version)}}}})
}

// moveAttempts retries elsewhere, or fails, the attempts of a peer that has been
// disconnected for too long or has lost its state in a restart. Repeatable
// attempts are moved sooner than others, which may still be resumed.
func (e *Entry) moveAttempts(p *peer, restarted bool) {
	for _, id := range sortedAttempts(p.openAttempts) {
		r := p.openAttempts[id]
		limit := giveUpTimeout
		if r.Repeatable {
			limit = moveTimeout
		}
		if restarted || e.now-p.disconnectedAt > limit {
			e.Counters.Moved++
			e.handleLostAttempt(r, classifier.Lost)
		}
	}
}

// expireAttempts fails the requests whose deadline passed during an attempt.
func (e *Entry) expireAttempts(p *peer) {
	for _, id := range sortedAttempts(p.openAttempts) {
		if r := p.openAttempts[id]; e.now >= r.deadline {
			e.expire(r)
		}
	}
}

// handleMessage applies a message from the current connection of a peer. An End
// that is not the next message of an open attempt is acknowledged too, so that the
// agent can drop the attempt.
func (e *Entry) handleMessage(ev MessageFromAgent) {
	p := e.peers[ev.Peer]
	if p == nil || p.epoch != ev.Epoch || p.state != linkUp {
		e.Counters.Stale++
		return
	}
	p.lastReceived = e.now
	switch m := ev.Message.Kind.(type) {
	case *linkpb.Down_Head:
		p.updateLoad(e.now, m.Head.Load)
		if r := e.currentRequest(p, m.Head.Attempt, 0); r != nil {
			e.handleHead(r, m.Head)
		}
	case *linkpb.Down_Chunk:
		r := e.currentRequest(p, m.Chunk.Attempt, m.Chunk.Seq)
		if r == nil && e.cfg.Hooks.AcceptStaleChunks {
			r = e.requestOfAttempt(m.Chunk.Attempt)
		}
		if r != nil {
			e.handleChunk(r, m.Chunk)
		}
	case *linkpb.Down_End:
		p.updateLoad(e.now, m.End.Load)
		if r := e.currentRequest(p, m.End.Attempt, m.End.Seq); r != nil {
			e.handleEnd(r, m.End)
		} else {
			e.emit(SendToAgent{p.upstream.Name, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Ack{Ack: &linkpb.Ack{Attempt: m.End.Attempt, Next: m.End.Seq + 1}}}})
		}
	case *linkpb.Down_Load:
		p.updateLoad(e.now, m.Load)
	case *linkpb.Down_Holds:
		gained := e.setResidents(p, m.Holds.Residents)
		p.residentsKnown = true
		e.recallQueued(p, gained)
	case *linkpb.Down_Beat:
		e.sendConfigurationIfOlder(p, configurator.Version(m.Beat.Version))
	case *linkpb.Down_Document:
		e.adoptConfiguration(m.Document)
	}
}

// currentRequest returns the request of an attempt if that is still open at p and
// seq is its next message, and nil otherwise.
func (e *Entry) currentRequest(p *peer, attempt string, seq uint64) *request {
	r := p.openAttempts[AttemptID(attempt)]
	if r == nil || seq != r.nextSeq {
		e.Counters.Stale++
		return nil
	}
	return r
}

// requestOfAttempt returns the request of a current or earlier attempt, by the id
// before the last dot, and nil if it is not open.
func (e *Entry) requestOfAttempt(attempt string) *request {
	for i := len(attempt) - 1; i > 0; i-- {
		if attempt[i] == '.' {
			return e.requests[RequestID(attempt[:i])]
		}
	}
	return nil
}

// sendConfigurationIfOlder sends the configuration to an agent with an older version.
func (e *Entry) sendConfigurationIfOlder(p *peer, version configurator.Version) {
	if version >= e.follower.State().Version {
		return
	}
	data, hash := e.follower.State().Snapshot()
	e.emit(SendToAgent{p.upstream.Name, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Document{Document: &linkpb.Document{Snapshot: data, Hash: hash}}}})
}

// setResidents replaces the models and adapters that a runner is known to hold,
// updates the index of holders, and returns those that are new.
func (e *Entry) setResidents(p *peer, residents []string) []configurator.ModelName {
	var gained []configurator.ModelName
	for _, name := range residents {
		if m := configurator.ModelName(name); !p.residents[m] {
			gained = append(gained, m)
		}
	}
	for m := range p.residents {
		e.holders[m] = slices.DeleteFunc(e.holders[m], func(o *peer) bool { return o == p })
	}
	clear(p.residents)
	for _, name := range residents {
		m := configurator.ModelName(name)
		p.residents[m] = true
		e.holders[m] = append(e.holders[m], p)
	}
	return gained
}

// sortedAttempts lists the attempts in a fixed order, to keep the reducer
// deterministic.
func sortedAttempts(open map[AttemptID]*request) []AttemptID {
	if len(open) == 0 {
		return nil
	}
	ids := make([]AttemptID, 0, len(open))
	for id := range open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
