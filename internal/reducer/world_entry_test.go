package reducer

import (
	"slices"
)

func (w *world) tellEntry(p *entryProc, ev Event) {
	if p.dead {
		return
	}
	effects := slices.Clone(p.e.Reduce(w.now-p.start, ev))
	if w.record {
		p.trace = append(p.trace, traced{w.now - p.start, ev, describe(effects)})
	}
	for _, ef := range effects {
		w.entryEffect(p, ef)
	}
}

func (w *world) entryEffect(p *entryProc, effect Effect) {
	switch ef := effect.(type) {
	case Dial:
		w.dial(p, ef)
	case Hangup:
		for _, c := range w.conns {
			if c.entry == p && c.peer == ef.Peer && c.epoch == ef.Epoch {
				w.hangup(c)
			}
		}
	case SendUp:
		for _, c := range w.conns {
			if c.entry == p && c.peer == ef.Peer && c.epoch == ef.Epoch && c.state != "closed" {
				c.up = append(c.up, ef.Up)
			}
		}
	case Reply:
		w.request(ef.ID).replied = true
	case Push:
		t := w.request(ef.ID)
		t.parts = append(t.parts, string(ef.Data))
		w.tellEntry(p, Consumed{ef.ID, ef.Next})
	case Stop:
		w.killEntry(p)
	case Close:
		t := w.request(ef.ID)
		if t.done {
			panic("a request was answered twice")
		}
		t.done, t.kind, t.ran = true, ef.Kind, ef.Ran
		w.counts["answer "+string(ef.Kind)+" "+string(ef.Ran)]++
		w.counts["error "+string(ef.Kind)]++
	}
}
