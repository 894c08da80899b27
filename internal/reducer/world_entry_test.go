package reducer

import (
	"slices"
)

// tellEntry applies an event to an entry and carries out its effects.
func (w *world) tellEntry(p *entryProc, ev Event) {
	if p.dead {
		return
	}
	effects := slices.Clone(p.reducer.Reduce(w.now-p.startedAt, ev))
	if w.recordTrace {
		p.trace = append(p.trace, tracedEvent{w.now - p.startedAt, ev, formatEffects(effects)})
	}
	for _, ef := range effects {
		w.entryEffect(p, ef)
	}
}

func (w *world) entryEffect(p *entryProc, effect Effect) {
	switch ef := effect.(type) {
	case Dial:
		w.dial(p, ef)
	case CloseConnection:
		for _, c := range w.conns {
			if c.entry == p && c.peer == ef.Peer && c.epoch == ef.Epoch {
				w.closeConn(c)
			}
		}
	case SendToAgent:
		for _, c := range w.conns {
			if c.entry == p && c.peer == ef.Peer && c.epoch == ef.Epoch && c.state != "closed" {
				c.toAgent = append(c.toAgent, ef.Message)
			}
		}
	case WriteHeader:
		w.findRequest(ef.ID).headerReceived = true
	case WriteBody:
		req := w.findRequest(ef.ID)
		req.parts = append(req.parts, string(ef.Data))
		w.tellEntry(p, BodyConsumed{ef.ID, ef.Next})
	case Stop:
		w.killEntry(p)
	case EndResponse:
		req := w.findRequest(ef.ID)
		if req.done {
			panic("a request got two responses")
		}
		req.done, req.kind, req.ran = true, ef.Kind, ef.Ran
		w.counts["answer "+string(ef.Kind)+" "+string(ef.Ran)]++
		w.counts["error "+string(ef.Kind)]++
	}
}
