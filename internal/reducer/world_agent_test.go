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

// tellAgent passes an event to an agent's reducer and carries out the effects.
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
		e.inFlight = append(e.inFlight, sentOrder{order: ef, sender: p, sentAt: w.now, expiresAt: w.now + maxOrderDelay - 10*time.Millisecond})
	case PollEngine:
		e := w.engines[p.slot]
		requestedAt := w.now - p.startedAt
		w.tellAgent(p, EngineReported{Report: e.report(), RequestedAt: requestedAt})
	case QueryResidents:
		for _, other := range w.agents {
			if !other.dead && !other.paused && other.reducer.cfg.Upstream == ef.Upstream {
				holds := other.reducer.Residents()
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

// appendAndAnswer appends a record and tells the result. While the log is ambiguous,
// the record is appended but the answer is an error.
func (w *world) appendAndAnswer(stream recorder.Stream, r recorder.Record, tell func(Event)) {
	if w.log.down {
		tell(Appended{ID: r.ID, Err: errors.New("log unavailable")})
		return
	}
	offset := w.append(stream, r)
	if w.log.ambiguous {
		w.counts["append ambiguous"]++
		tell(Appended{ID: r.ID, Err: errors.New("answer lost")})
		return
	}
	tell(Appended{ID: r.ID, Offset: offset})
}

// startRun starts an attempt at its upstream, which refuses it if the model is not
// resident.
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

// opOf finds the op whose name is the body of a submit.
func (w *world) opOf(s *linkpb.Submit) *op {
	for _, o := range w.ops {
		if o.name == string(s.Body) {
			return o
		}
	}
	panic("submit body matches no op")
}

// advanceRun sends the next event of an upstream's response: its start, a part or its
// end. The parts depend only on the request, so that any attempt can continue them.
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
