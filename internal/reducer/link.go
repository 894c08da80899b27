package reducer

import (
	"slices"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/pkg/configurator"
)

func (e *Entry) dial(p *peer) {
	p.epoch++
	p.state = linkDialing
	e.emit(Dial{p.upstream.Name, p.upstream.Address, p.epoch, e.follower.State().Version})
}

func (e *Entry) linked(ev Linked) {
	p := e.peers[ev.Peer]
	if p == nil || ev.Epoch != p.epoch || p.state != linkDialing {
		e.Counters.Stale++
		e.emit(Hangup{ev.Peer, ev.Epoch})
		return
	}
	restarted := p.known && p.incarnation != ev.Incarnation
	p.state = linkUp
	p.heard, p.sent, p.used = e.now, e.now, e.now
	p.pause, p.suspect = 0, 0
	p.incarnation, p.known = ev.Incarnation, true
	if restarted {
		p.leaving = false
		p.orphans = nil
		e.setHolds(p, nil)
		p.told = false
		e.moveAll(p, true)
	}
	for _, id := range p.orphans {
		e.cancel(p, id)
	}
	p.orphans = nil
	for _, id := range sortedAttempts(p.open) {
		e.Counters.Resumed++
		e.emit(SendUp{ev.Peer, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Resume{Resume: &linkpb.Resume{Attempt: string(id), Next: p.open[id].next}}}})
	}
	pending := p.pending
	p.pending = nil
	for _, r := range pending {
		if !r.closed {
			e.submit(r, p)
		}
	}
}

func (e *Entry) unlinked(ev Unlinked) {
	p := e.peers[ev.Peer]
	if p == nil || ev.Epoch != p.epoch || p.state == linkDown {
		return
	}
	e.drop(p)
}

// drop notes the loss of a connection or a failed dial.
func (e *Entry) drop(p *peer) {
	if p.state == linkUp {
		p.lostAt = e.now
		p.dialAt = e.now
	} else {
		p.pause = min(max(2*p.pause, redialPeriod), redialLimit)
		p.dialAt = e.now + e.router.Jitter(p.pause)
		p.suspect = e.now + suspectPeriod
	}
	p.state = linkDown
	p.leaving = false // the next connection tells
	e.reroute(p)
}

// reroute sends requests that wait for a connection elsewhere.
func (e *Entry) reroute(p *peer) {
	pending := p.pending
	p.pending = nil
	for _, r := range pending {
		r.target = nil
		r.avoid = p.upstream.Name
		e.hold(r)
	}
}

// tickPeer replaces silent connections, dials, beats and gives attempts up.
func (e *Entry) tickPeer(p *peer) {
	busy := len(p.open) > 0 || len(p.pending) > 0 || len(p.orphans) > 0
	switch p.state {
	case linkUp:
		e.tickUp(p, busy)
	case linkDown:
		if busy && e.now >= p.dialAt {
			e.Counters.Redialled++
			e.dial(p)
		}
	}
	if p.state != linkUp && len(p.open) > 0 {
		e.moveAll(p, false)
	}
	e.expireOpen(p)
}

func (e *Entry) tickUp(p *peer, busy bool) {
	if e.now-max(p.heard, p.busyAt) > p.silence() {
		e.note(Note{Name: "connection silent", Peer: string(p.upstream.Name)})
		e.emit(Hangup{p.upstream.Name, p.epoch})
		e.drop(p)
		return
	}
	if !busy && e.now-p.used > idleClose {
		e.emit(Hangup{p.upstream.Name, p.epoch})
		p.state = linkDown
		return
	}
	if e.now-p.sent < p.period() {
		return
	}
	p.sent = e.now
	e.emit(SendUp{p.upstream.Name, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Beat{Beat: &linkpb.Beat{Version: uint64(e.follower.State().Version)}}}})
}

// moveAll moves or gives up the attempts of a peer that is out of reach, or
// that lost its state in a restart.
func (e *Entry) moveAll(p *peer, restarted bool) {
	for _, id := range sortedAttempts(p.open) {
		r := p.open[id]
		limit := giveUpAfter
		if r.Repeatable {
			limit = moveAfter
		}
		if restarted || e.now-p.lostAt > limit {
			e.Counters.Moved++
			e.lose(r, classifier.Lost)
		}
	}
}

// expireOpen ends attempts whose deadline has passed.
func (e *Entry) expireOpen(p *peer) {
	for _, id := range sortedAttempts(p.open) {
		if r := p.open[id]; e.now >= r.deadline {
			e.expire(r)
		}
	}
}

func (e *Entry) heard(ev Heard) {
	p := e.peers[ev.Peer]
	if p == nil || p.epoch != ev.Epoch || p.state != linkUp {
		e.Counters.Stale++
		return
	}
	p.heard = e.now
	switch m := ev.Down.Kind.(type) {
	case *linkpb.Down_Head:
		p.report(e.now, m.Head.Load)
		if r := e.current(p, m.Head.Attempt, 0); r != nil {
			e.headed(r, m.Head)
		}
	case *linkpb.Down_Chunk:
		r := e.current(p, m.Chunk.Attempt, m.Chunk.Seq)
		if r == nil && e.cfg.Hooks.OldChunks {
			r = e.requestOf(m.Chunk.Attempt)
		}
		if r != nil {
			e.chunked(r, m.Chunk)
		}
	case *linkpb.Down_End:
		p.report(e.now, m.End.Load)
		if r := e.current(p, m.End.Attempt, m.End.Seq); r != nil {
			e.ended(r, m.End)
		} else {
			e.emit(SendUp{p.upstream.Name, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Ack{Ack: &linkpb.Ack{Attempt: m.End.Attempt, Next: m.End.Seq + 1}}}})
		}
	case *linkpb.Down_Load:
		p.report(e.now, m.Load)
	case *linkpb.Down_Holds:
		gained := e.setHolds(p, m.Holds.Residents)
		p.told = true
		e.relieve(p, gained)
	case *linkpb.Down_Beat:
		e.compareVersions(p, configurator.Version(m.Beat.Version))
	case *linkpb.Down_Document:
		e.learn(m.Document)
	}
}

// current returns the request of an attempt if message seq is the next one of
// its current attempt.
func (e *Entry) current(p *peer, attempt string, seq uint64) *request {
	r := p.open[AttemptID(attempt)]
	if r == nil || seq != r.next {
		e.Counters.Stale++
		return nil
	}
	return r
}

// requestOf finds the request of any of its attempts.
func (e *Entry) requestOf(attempt string) *request {
	for i := len(attempt) - 1; i > 0; i-- {
		if attempt[i] == '.' {
			return e.requests[RequestID(attempt[:i])]
		}
	}
	return nil
}

// compareVersions hands the configuration to an agent that lags.
func (e *Entry) compareVersions(p *peer, theirs configurator.Version) {
	if theirs >= e.follower.State().Version {
		return
	}
	data, hash := e.follower.State().Snapshot()
	e.emit(SendUp{p.upstream.Name, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Document{Document: &linkpb.Document{Snapshot: data, Hash: hash}}}})
}

// setHolds replaces what a runner is known to hold, updates the index of
// holders, and returns what is new.
func (e *Entry) setHolds(p *peer, residents []string) []configurator.ModelName {
	var gained []configurator.ModelName
	for _, name := range residents {
		if m := configurator.ModelName(name); !p.holds[m] {
			gained = append(gained, m)
		}
	}
	for m := range p.holds {
		e.holders[m] = slices.DeleteFunc(e.holders[m], func(o *peer) bool { return o == p })
	}
	clear(p.holds)
	for _, name := range residents {
		m := configurator.ModelName(name)
		p.holds[m] = true
		e.holders[m] = append(e.holders[m], p)
	}
	return gained
}

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
