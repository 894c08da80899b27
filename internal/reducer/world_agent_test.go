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
	effects := slices.Clone(p.reducer.Reduce(w.now-p.startedAt, ev))
	if w.recordTrace {
		p.trace = append(p.trace, tracedEvent{w.now - p.startedAt, ev, formatEffects(effects)})
	}
	for _, ef := range effects {
		w.agentEffect(p, ef)
	}
}

func (w *world) agentEffect(p *agentProc, effect Effect) {
	switch ef := effect.(type) {
	case SendToEntry:
		for _, c := range w.conns {
			if c.agent == p && c.entry.reducer.cfg.ID == ef.Entry && c.epoch == ef.Epoch && c.agentNotified && c.state != "closed" {
				c.toEntry = append(c.toEntry, ef.Message)
			}
		}
	case Forward:
		w.startRun(p, ef)
	case Abort:
		for _, r := range w.runs {
			if r.agent == p && r.attempt == ef.Attempt && !r.finished {
				r.finished = true
				w.tellAgent(p, ResponseFinished{ef.Attempt, classifier.Cancelled, classifier.RanUnknown})
			}
		}
	case Order:
		if ef.Expires > 0 && w.now-p.startedAt >= ef.Expires {
			w.tellAgent(p, OrderCompleted{Number: ef.Number, Outcome: OrderUnsent})
			return
		}
		e := w.engines[p.slot]
		e.inFlight = append(e.inFlight, sentOrder{order: ef, sender: p, sentAt: w.now, expiresAt: w.now + orderFlight - 10*time.Millisecond})
	case PollEngine:
		e := w.engines[p.slot]
		asked := w.now - p.startedAt
		w.tellAgent(p, EngineReported{Report: e.report(), RequestedAt: asked})
	case QueryResidents:
		for _, o := range w.agents {
			if !o.dead && !o.paused && o.reducer.cfg.Upstream == ef.Upstream {
				holds := o.reducer.Residents()
				ev := ResidentsReceived{Upstream: ef.Upstream}
				for _, m := range holds.Residents {
					ev.Residents = append(ev.Residents, configurator.ModelName(m))
				}
				w.tellAgent(p, ev)
				return
			}
		}
	case Append:
		w.appendAndAnswer(ef.Stream, ef.Record, func(ev Event) { w.tellAgent(p, ev) })
	case Stop:
		w.killAgent(p)
	}
}

func (w *world) appendAndAnswer(stream recorder.Stream, r recorder.Record, tell func(Event)) {
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

// startRun lets the upstream run an attempt.
func (w *world) startRun(p *agentProc, ef Forward) {
	e := w.engines[p.slot]
	if m := configurator.ModelName(ef.Submit.Model); m != "" && e.residents[m] == 0 {
		w.tellAgent(p, ResponseFinished{ef.Attempt, classifier.Loading, classifier.RanNo})
		return
	}
	o := w.opOf(ef.Submit)
	o.runs++
	w.runs = append(w.runs, &upstreamRun{agent: p, attempt: ef.Attempt, submit: ef.Submit})
}

func (w *world) opOf(s *linkpb.Submit) *op {
	for _, o := range w.ops {
		if o.name == string(s.Body) {
			return o
		}
	}
	panic("an attempt of no op")
}

// advanceRun lets an upstream answer a little more; the answer's parts follow
// from the request.
func (w *world) advanceRun(r *upstreamRun) {
	first := int(r.submit.Tokens)
	switch {
	case r.finished:
	case r.step == 0:
		w.tellAgent(r.agent, ResponseStarted{Attempt: r.attempt, Status: 200})
	case first+r.step <= responseParts:
		part := fmt.Sprintf("%s/%d;", r.submit.Body, first+r.step)
		w.tellAgent(r.agent, ResponseChunk{Attempt: r.attempt, Data: []byte(part), Text: part, Tokens: 1})
	default:
		r.finished = true
		w.tellAgent(r.agent, ResponseFinished{r.attempt, classifier.None, classifier.RanYes})
	}
	r.step++
}
