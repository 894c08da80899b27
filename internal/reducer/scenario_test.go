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

// sendStream sends a streaming request for a model to the first entry.
func (w *world) sendStream(model configurator.ModelName) (*op, *clientRequest) {
	o := &op{name: fmt.Sprintf("op%d", w.nextSerial()), repeatable: true, model: model}
	w.ops = append(w.ops, o)
	p := w.entries[0]
	req := &clientRequest{id: RequestID(fmt.Sprintf("r%d", w.nextSerial())), entry: p}
	o.requests = append(o.requests, req)
	class, _ := p.reducer.follower.State().Config.Class("desk")
	w.tellEntry(p, RequestArrived{Request{ID: req.id, Caller: "c", Class: class, Model: model, Method: "POST", Body: []byte(o.name), Repeatable: true, Stream: true}})
	return o, req
}

// deliverStaleChunk makes a connection silent until its attempt has moved to
// another agent, and then delivers a chunk of the old attempt over a new connection.
func deliverStaleChunk(hooks TestHooks) error {
	w := newWorld(nil, hooks, map[string]int{})
	_, req := w.sendStream("m2")
	for range 20 {
		w.runHealthy(20 * time.Millisecond)
		if len(req.parts) >= 1 {
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

// loseLoadResponses loses the responses to load orders that may still take effect,
// while requests wait for three models of 40 bytes and only two fit into memory.
func loseLoadResponses(hooks TestHooks) error {
	const incarnation = 9
	a := NewAgent(AgentConfig{Upstream: "ra", Incarnation: incarnation, Seed: 1, Hooks: hooks})
	change := configurator.Diff("first", configurator.State{}, worldConfiguration())
	lease := &recorder.LeaseRecord{Upstream: "ra", Incarnation: incarnation, DurationMs: 3000}
	a.Reduce(0, RecordsRead{recorder.MainStream, recorder.Batch{NextOffset: 2, Records: []recorder.Record{
		{ID: "first", Kind: recorder.KindChange, Change: &change}, {Offset: 1, ID: "l", Kind: recorder.KindLease, Lease: lease},
	}}})
	a.Reduce(0, EntryConnected{"e", 1, 1, 1})
	for _, m := range []string{"m1", "m2", "m3"} {
		a.Reduce(0, MessageFromEntry{"e", 1, &linkpb.Up{Kind: &linkpb.Up_Submit{Submit: &linkpb.Submit{
			Attempt: m, Model: m, Class: "desk", BudgetMs: 8000, Repeatable: true,
		}}}})
	}
	orderedBytes := configurator.Bytes(0)
	for now := 20 * time.Millisecond; now < 4*time.Second; now += 20 * time.Millisecond {
		for _, ef := range append([]Effect{}, a.Reduce(now, Tick{})...) {
			switch ef := ef.(type) {
			case PollEngine: // the engine has seen the touch order and no other
				a.Reduce(now, EngineReported{Report: reserver.EngineReport{HighestNumber: a.lease.touchNumber}, RequestedAt: now})
			case Order:
				if ef.Op == reserver.Load {
					orderedBytes += ef.Bytes
					a.Reduce(now, OrderCompleted{Number: ef.Number, Outcome: OrderUnknown})
				}
			}
		}
		if orderedBytes > 80 {
			return fmt.Errorf("%d bytes are ordered for 80", orderedBytes)
		}
	}
	if orderedBytes < 80 {
		return fmt.Errorf("only %d bytes were ordered", orderedBytes)
	}
	return nil
}

func TestChunksOfAbandonedAttemptsAreDropped(t *testing.T) {
	require.NoError(t, deliverStaleChunk(TestHooks{}))
	require.Error(t, deliverStaleChunk(TestHooks{AcceptStaleChunks: true}))
}

func TestLostOrdersKeepTheirReservation(t *testing.T) {
	require.NoError(t, loseLoadResponses(TestHooks{}))
	require.ErrorContains(t, loseLoadResponses(TestHooks{ForgetLostOrders: true}), "bytes are ordered for 80")
}

// An attempt that waits for its model is refused as soon as the engine is found
// silent, not at its deadline, so that the entry can try another runner.
func TestWaitingAttemptsLeaveASilentEngine(t *testing.T) {
	const incarnation = 9
	a := NewAgent(AgentConfig{Upstream: "ra", Incarnation: incarnation, Seed: 1})
	change := configurator.Diff("first", configurator.State{}, worldConfiguration())
	a.Reduce(0, RecordsRead{recorder.MainStream, recorder.Batch{NextOffset: 1, Records: []recorder.Record{{ID: "first", Kind: recorder.KindChange, Change: &change}}}})
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
	t.Fatal("the attempt is still waiting")
}
