package reducer

import (
	"slices"
)

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
		t := w.findRequest(ef.ID)
		t.parts = append(t.parts, string(ef.Data))
		w.tellEntry(p, BodyConsumed{ef.ID, ef.Next})
	case Stop:
		w.killEntry(p)
	case EndResponse:
		t := w.findRequest(ef.ID)
		if t.done {
			panic("a request was answered twice")
		}
		t.done, t.kind, t.ran = true, ef.Kind, ef.Ran
		w.counts["answer "+string(ef.Kind)+" "+string(ef.Ran)]++
		w.counts["error "+string(ef.Kind)]++
	}
}
