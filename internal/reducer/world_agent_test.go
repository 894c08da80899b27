package reducer

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

func (w *world) tellAgent(p *agentProc, ev Event) {
	if p.dead {
		return
	}
	effects := slices.Clone(p.a.Reduce(w.now-p.start, ev))
	if w.record {
		p.trace = append(p.trace, traced{w.now - p.start, ev, describe(effects)})
	}
	for _, ef := range effects {
		w.agentEffect(p, ef)
	}
}

func (w *world) agentEffect(p *agentProc, effect Effect) {
	switch ef := effect.(type) {
	case SendDown:
		for _, c := range w.conns {
			if c.agent == p && c.entry.e.cfg.ID == ef.Entry && c.epoch == ef.Epoch && c.hello && c.state != "closed" {
				c.down = append(c.down, ef.Down)
			}
		}
	case Pass:
		w.pass(p, ef)
	case Abort:
		for _, r := range w.runs {
			if r.by == p && r.attempt == ef.Attempt && !r.over {
				r.over = true
				w.tellAgent(p, Finished{ef.Attempt, classifier.Cancelled, classifier.RanUnknown})
			}
		}
	case Order:
		if ef.Before > 0 && w.now-p.start >= ef.Before {
			w.tellAgent(p, Ordered{Number: ef.Number, Outcome: Unsent})
			return
		}
		e := w.engines[p.slot]
		e.flying = append(e.flying, flight{order: ef, by: p, sent: w.now, expires: w.now + flightTime - 10*time.Millisecond})
	case Ask:
		e := w.engines[p.slot]
		asked := w.now - p.start
		w.tellAgent(p, Reported{Report: e.report(), Asked: asked})
	case Look:
		for _, o := range w.agents {
			if !o.dead && !o.paused && o.a.cfg.Upstream == ef.Upstream {
				holds := o.a.Holds()
				ev := Looked{Upstream: ef.Upstream}
				for _, m := range holds.Residents {
					ev.Residents = append(ev.Residents, configurator.ModelName(m))
				}
				w.tellAgent(p, ev)
				return
			}
		}
	case Append:
		w.appendFor(ef.Stream, ef.Record, func(ev Event) { w.tellAgent(p, ev) })
	case Stop:
		w.killAgent(p)
	}
}

func (w *world) appendFor(stream recorder.Stream, r recorder.Record, tell func(Event)) {
	if w.log.down {
		tell(Appended{ID: r.ID, Err: errors.New("down")})
		return
	}
	offset := w.append(stream, r)
	if w.log.ambiguous {
		w.counts["append ambiguous"]++
		tell(Appended{ID: r.ID, Err: errors.New("lost")})
		return
	}
	tell(Appended{ID: r.ID, Offset: offset})
}

// pass lets the upstream run an attempt.
func (w *world) pass(p *agentProc, ef Pass) {
	e := w.engines[p.slot]
	if m := configurator.ModelName(ef.Submit.Model); m != "" && e.residents[m] == 0 {
		w.tellAgent(p, Finished{ef.Attempt, classifier.Loading, classifier.RanNo})
		return
	}
	o := w.opOf(ef.Submit)
	o.runs++
	w.runs = append(w.runs, &upstreamRun{by: p, attempt: ef.Attempt, submit: ef.Submit})
}

func (w *world) opOf(s *linkpb.Submit) *op {
	for _, o := range w.ops {
		if o.name == string(s.Body) {
			return o
		}
	}
	panic("an attempt of no op")
}

// progress lets an upstream answer a little more; the answer's parts follow
// from the request.
func (w *world) progress(r *upstreamRun) {
	first := int(r.submit.Tokens)
	switch {
	case r.over:
	case r.step == 0:
		w.tellAgent(r.by, Began{Attempt: r.attempt, Status: 200})
	case first+r.step <= worldParts:
		part := fmt.Sprintf("%s/%d;", r.submit.Body, first+r.step)
		w.tellAgent(r.by, Piece{Attempt: r.attempt, Data: []byte(part), Text: part, Tokens: 1})
	default:
		r.over = true
		w.tellAgent(r.by, Finished{r.attempt, classifier.None, classifier.RanYes})
	}
	r.step++
}
