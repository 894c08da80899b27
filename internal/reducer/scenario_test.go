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
func (w *world) sendStream(model configurator.ModelName) (*op, *clientRequest) {
	o := &op{name: fmt.Sprintf("op%d", w.nextSerial()), repeatable: true, model: model}
	w.ops = append(w.ops, o)
	p := w.entries[0]
	t := &clientRequest{id: RequestID(fmt.Sprintf("r%d", w.nextSerial())), entry: p}
	o.requests = append(o.requests, t)
	class, _ := p.reducer.follower.State().Config.Class("desk")
	w.tellEntry(p, RequestArrived{Request{ID: t.id, Caller: "c", Class: class, Model: model, Method: "POST", Body: []byte(o.name), Repeatable: true, Stream: true}})
	return o, t
}

// deliverStaleChunk lets a connection go silent until its attempt has moved, and then
// delivers a chunk of the old attempt over a new connection.
func deliverStaleChunk(hooks TestHooks) error {
	w := newWorld(nil, hooks, map[string]int{})
	_, t := w.sendStream("m2")
	for range 20 {
		w.runHealthy(20 * time.Millisecond)
		if len(t.parts) >= 1 {
			break
		}
	}
	old := w.runs[0]
	w.agents[old.agent.slot].paused = false
	for _, c := range w.conns {
		if c.agent == old.agent {
			c.state = "silent"
		}
	}
	reopening := func() bool {
		return slices.ContainsFunc(w.conns, func(c *conn) bool { return c.agent == old.agent && c.state == "opening" })
	}
	for range 200 { // until the attempt has moved and its old agent is dialled again
		if w.entries[0].reducer.Counters.Moved > 0 && reopening() {
			break
		}
		w.tick(20 * time.Millisecond)
		for _, c := range w.conns {
			if c.agent != old.agent {
				w.deliver(c, 5)
			}
		}
	}
	for _, c := range w.conns {
		if c.agent == old.agent && c.state == "opening" {
			w.deliver(c, 0)
			w.advanceRun(old)
			for _, down := range c.toEntry {
				w.tellEntry(c.entry, MessageFromAgent{c.peer, c.epoch, down})
			}
			c.toEntry = nil
		}
	}
	w.runToCompletion()
	return w.verifyEnd()
}

// loseLoadAnswer loses the answer to a load order that is still under way, and asks
// for another model.
func loseLoadAnswer(hooks TestHooks) error {
	const inc = 9
	a := NewAgent(AgentConfig{Upstream: "ra", Incarnation: inc, Seed: 1, Hooks: hooks})
	change := configurator.Diff("first", configurator.State{}, worldConfiguration())
	lease := &recorder.LeaseRecord{Upstream: "ra", Term: inc, Millis: 3000}
	a.Reduce(0, RecordsRead{recorder.Main, recorder.Batch{Next: 2, Records: []recorder.Record{
		{ID: "first", Kind: recorder.Change, Change: &change}, {Offset: 1, ID: "l", Kind: recorder.Lease, Lease: lease},
	}}})
	a.Reduce(0, EntryConnected{"e", 1, 1, 1})
	for _, m := range []string{"m1", "m2", "m3"} {
		a.Reduce(0, MessageFromEntry{"e", 1, &linkpb.Up{Kind: &linkpb.Up_Submit{Submit: &linkpb.Submit{
			Attempt: m, Model: m, Class: "desk", BudgetMs: 8000, Repeatable: true,
		}}}})
	}
	ordered := configurator.Bytes(0)
	for now := 20 * time.Millisecond; now < 4*time.Second; now += 20 * time.Millisecond {
		for _, ef := range append([]Effect{}, a.Reduce(now, Tick{})...) {
			switch ef := ef.(type) {
			case PollEngine: // the engine has seen the touch and nothing else
				a.Reduce(now, EngineReported{Report: reserver.EngineReport{HighestNumber: a.lease.touchNumber}, RequestedAt: now})
			case Order:
				if ef.Op == reserver.Load {
					ordered += ef.Bytes
					a.Reduce(now, OrderCompleted{Number: ef.Number, Outcome: OrderUnknown})
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
	require.NoError(t, deliverStaleChunk(TestHooks{}))
	require.Error(t, deliverStaleChunk(TestHooks{AcceptStaleChunks: true}))
}

func TestLostOrdersKeepTheirReservation(t *testing.T) {
	require.NoError(t, loseLoadAnswer(TestHooks{}))
	require.ErrorContains(t, loseLoadAnswer(TestHooks{ForgetLostOrders: true}), "bytes are ordered for 80")
}

// An attempt that waits for its model beside an engine that has died goes back
// to its entry at once, not at its deadline.
func TestWaitingAttemptsLeaveASilentEngine(t *testing.T) {
	const inc = 9
	a := NewAgent(AgentConfig{Upstream: "ra", Incarnation: inc, Seed: 1})
	change := configurator.Diff("first", configurator.State{}, worldConfiguration())
	a.Reduce(0, RecordsRead{recorder.Main, recorder.Batch{Next: 1, Records: []recorder.Record{{ID: "first", Kind: recorder.Change, Change: &change}}}})
	a.Reduce(0, EntryConnected{"e", 1, 1, 1})
	a.Reduce(0, EngineReported{Report: reserver.EngineReport{}, RequestedAt: 0}) // the only one before the engine dies
	submit := &linkpb.Submit{Attempt: "x", Model: "m1", Class: "desk", BudgetMs: 8000, Repeatable: true}
	a.Reduce(0, MessageFromEntry{"e", 1, &linkpb.Up{Kind: &linkpb.Up_Submit{Submit: submit}}})
	for now := TickPeriod; now < engineReportTimeout+200*time.Millisecond; now += TickPeriod {
		for _, ef := range a.Reduce(now, Tick{}) {
			down, ok := ef.(SendToEntry)
			if !ok {
				continue
			}
			if end := down.Message.GetEnd(); end != nil {
				require.Equal(t, string(classifier.Busy), end.Error)
				require.Equal(t, string(classifier.RanNo), end.Ran)
				return
			}
		}
	}
	t.Fatal("the attempt still waits")
}
