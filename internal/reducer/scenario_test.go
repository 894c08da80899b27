package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// request sends a stream for a model through the first entry.
func (w *world) stream(model configurator.ModelName) (*op, *told) {
	o := &op{name: fmt.Sprintf("op%d", w.next()), repeatable: true, model: model}
	w.ops = append(w.ops, o)
	p := w.entries[0]
	t := &told{id: RequestID(fmt.Sprintf("r%d", w.next())), at: p}
	o.requests = append(o.requests, t)
	class, _ := p.e.follower.State().Config.Class("desk")
	w.tellEntry(p, Arrived{Request{ID: t.id, Caller: "c", Class: class, Model: model, Method: "POST", Body: []byte(o.name), Repeatable: true, Stream: true}})
	return o, t
}

// oldChunks lets a connection go silent until its attempt has moved, and then
// delivers a chunk of the old attempt over a new connection.
func oldChunks(hooks Hooks) error {
	w := newWorld(nil, hooks, map[string]int{})
	_, t := w.stream("m2")
	for range 20 {
		w.calm(20 * time.Millisecond)
		if len(t.parts) >= 1 {
			break
		}
	}
	old := w.runs[0]
	w.agents[old.by.slot].paused = false
	for _, c := range w.conns {
		if c.agent == old.by {
			c.state = "silent"
		}
	}
	reopening := func() bool {
		return slices.ContainsFunc(w.conns, func(c *conn) bool { return c.agent == old.by && c.state == "opening" })
	}
	for range 200 { // until the attempt has moved and its old agent is dialled again
		if w.entries[0].e.Counters.Moved > 0 && reopening() {
			break
		}
		w.tick(20 * time.Millisecond)
		for _, c := range w.conns {
			if c.agent != old.by {
				w.carry(c, 5)
			}
		}
	}
	for _, c := range w.conns {
		if c.agent == old.by && c.state == "opening" {
			w.carry(c, 0)
			w.progress(old)
			for _, down := range c.down {
				w.tellEntry(c.entry, Heard{c.peer, c.epoch, down})
			}
			c.down = nil
		}
	}
	w.settle()
	return w.verifyEnd()
}

// lostOrder loses the answer to a load order that is still under way, and asks
// for another model.
func lostOrder(hooks Hooks) error {
	const inc = 9
	a := NewAgent(AgentConfig{Upstream: "ra", Incarnation: inc, Seed: 1, Hooks: hooks})
	change := configurator.Diff("first", configurator.State{}, worldConfiguration())
	lease := &recorder.LeaseRecord{Upstream: "ra", Term: inc, Millis: 3000}
	a.Reduce(0, Read{recorder.Main, recorder.Batch{Next: 2, Records: []recorder.Record{
		{ID: "first", Kind: recorder.Change, Change: &change}, {Offset: 1, ID: "l", Kind: recorder.Lease, Lease: lease},
	}}})
	a.Reduce(0, Opened{"e", 1, 1, 1})
	for _, m := range []string{"m1", "m2", "m3"} {
		a.Reduce(0, Told{"e", 1, &linkpb.Up{Kind: &linkpb.Up_Submit{Submit: &linkpb.Submit{
			Attempt: m, Model: m, Class: "desk", BudgetMs: 8000, Repeatable: true,
		}}}})
	}
	ordered := configurator.Bytes(0)
	for now := 20 * time.Millisecond; now < 4*time.Second; now += 20 * time.Millisecond {
		for _, ef := range append([]Effect{}, a.Reduce(now, Tick{})...) {
			switch ef := ef.(type) {
			case Ask: // the engine has seen the touch and nothing else
				a.Reduce(now, Reported{Report: reserver.Report{Number: a.lease.touch}, Asked: now})
			case Order:
				if ef.Op == reserver.Load {
					ordered += ef.Bytes
					a.Reduce(now, Ordered{Number: ef.Number, Outcome: Unknown})
				}
			}
		}
		if ordered > 80 {
			return fmt.Errorf("%d bytes are ordered for 80", ordered)
		}
	}
	if ordered < 80 {
		return fmt.Errorf("only %d bytes were ordered", ordered)
	}
	return nil
}

func TestChunksOfAbandonedAttemptsAreDropped(t *testing.T) {
	require.NoError(t, oldChunks(Hooks{}))
	require.Error(t, oldChunks(Hooks{OldChunks: true}))
}

func TestLostOrdersKeepTheirReservation(t *testing.T) {
	require.NoError(t, lostOrder(Hooks{}))
	require.ErrorContains(t, lostOrder(Hooks{ForgetOrders: true}), "bytes are ordered for 80")
}

// An attempt that waits for its model beside an engine that has died goes back
// to its entry at once, not at its deadline.
func TestWaitingAttemptsLeaveASilentEngine(t *testing.T) {
	const inc = 9
	a := NewAgent(AgentConfig{Upstream: "ra", Incarnation: inc, Seed: 1})
	change := configurator.Diff("first", configurator.State{}, worldConfiguration())
	a.Reduce(0, Read{recorder.Main, recorder.Batch{Next: 1, Records: []recorder.Record{{ID: "first", Kind: recorder.Change, Change: &change}}}})
	a.Reduce(0, Opened{"e", 1, 1, 1})
	a.Reduce(0, Reported{Report: reserver.Report{}, Asked: 0}) // the only one before the engine dies
	submit := &linkpb.Submit{Attempt: "x", Model: "m1", Class: "desk", BudgetMs: 8000, Repeatable: true}
	a.Reduce(0, Told{"e", 1, &linkpb.Up{Kind: &linkpb.Up_Submit{Submit: submit}}})
	for now := TickPeriod; now < engineSilent+200*time.Millisecond; now += TickPeriod {
		for _, ef := range a.Reduce(now, Tick{}) {
			down, ok := ef.(SendDown)
			if !ok {
				continue
			}
			if end := down.Down.GetEnd(); end != nil {
				require.Equal(t, string(classifier.Busy), end.Error)
				require.Equal(t, string(classifier.RanNo), end.Ran)
				return
			}
		}
	}
	t.Fatal("the attempt still waits")
}
