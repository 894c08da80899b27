package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// newTestEntry returns an entry with the test configuration, and a function that
// sends it a request for a model.
func newTestEntry(t *testing.T) (*Entry, func(m configurator.ModelName) []Effect) {
	e := NewEntry(EntryConfig{ID: "e", Domain: "ra", Seed: 1})
	change := configurator.Diff("first", configurator.State{}, worldConfiguration())
	e.Reduce(0, RecordsRead{recorder.MainStream, recorder.Batch{NextOffset: 1, Records: []recorder.Record{{ID: "first", Kind: recorder.KindChange, Change: &change}}}})
	class, ok := e.follower.State().Config.Class("desk")
	require.True(t, ok)
	n := 0
	return e, func(m configurator.ModelName) []Effect {
		n++
		return e.Reduce(time.Second, RequestArrived{Request{ID: RequestID(fmt.Sprint(n)), Caller: "c", Class: class, Model: m, Repeatable: true}})
	}
}

// Requests must also go to a home runner that is not connected yet, or its copy
// would stay unused after the first runner has reported.
func TestHomesThatHaveNotReportedAreUsedToo(t *testing.T) {
	e, send := newTestEntry(t)
	homes := e.homes["m2"]
	require.Len(t, homes, 2)
	e.peers[homes[0]].state, e.peers[homes[0]].epoch = linkUp, 1
	e.Reduce(time.Second, MessageFromAgent{homes[0], 1, &linkpb.Down{Kind: &linkpb.Down_Holds{Holds: &linkpb.Holds{Residents: []string{"m2"}}}}})
	dialled := false
	for range 10 {
		for _, ef := range send("m2") {
			if d, ok := ef.(Dial); ok && d.Peer == homes[1] {
				dialled = true
			}
		}
	}
	require.True(t, dialled, "all requests go to the runner that connected first")
}

// An attempt that does not count as a try, because its agent was leaving, must not
// pass its id on to the next one.
func TestAttemptsOfOneRequestHaveDifferentIDs(t *testing.T) {
	e, send := newTestEntry(t)
	for _, name := range e.runners {
		e.peers[name].state, e.peers[name].epoch = linkUp, 1
	}
	seen := map[string]bool{}
	effects := slices.Clone(send("m2"))
	for range 3 {
		i := slices.IndexFunc(effects, func(ef Effect) bool {
			s, ok := ef.(SendToAgent)
			return ok && s.Message.GetSubmit() != nil
		})
		require.GreaterOrEqual(t, i, 0)
		sent := effects[i].(SendToAgent)
		id := sent.Message.GetSubmit().Attempt
		require.False(t, seen[id], "an agent that still knows attempt %s would ignore it", id)
		seen[id] = true
		end := &linkpb.End{Attempt: id, Error: "leaving", Ran: "no"}
		effects = slices.Clone(e.Reduce(time.Second, MessageFromAgent{sent.Peer, 1, &linkpb.Down{Kind: &linkpb.Down_End{End: end}}}))
	}
	require.Len(t, seen, 3)
}

func TestDrainingAgentTakesNoNewWork(t *testing.T) {
	a := NewAgent(AgentConfig{Upstream: "sa", Incarnation: 1, Seed: 1})
	change := configurator.Diff("first", configurator.State{}, worldConfiguration())
	a.Reduce(0, RecordsRead{recorder.MainStream, recorder.Batch{NextOffset: 1, Records: []recorder.Record{{ID: "first", Kind: recorder.KindChange, Change: &change}}}})
	a.Reduce(0, EntryConnected{"e", 1, 1, 1})
	submit := func(id string) []Effect {
		return append([]Effect{}, a.Reduce(time.Second, MessageFromEntry{"e", 1, &linkpb.Up{Kind: &linkpb.Up_Submit{Submit: &linkpb.Submit{
			Attempt: id, Class: "desk", BudgetMs: 5000, Method: "POST",
		}}}})...)
	}
	require.IsType(t, Forward{}, submit("before")[0])
	announced := false
	for _, ef := range append([]Effect{}, a.Reduce(time.Second, Drain{})...) {
		if s, ok := ef.(SendToEntry); ok && s.Message.GetLoad().GetLeaving() {
			announced = true
		}
		require.NotEqual(t, Stop{}, ef, "an attempt is still running")
	}
	require.True(t, announced, "entries must be told at once that the agent drains")
	end := submit("after")[0].(SendToEntry).Message.GetEnd()
	require.Equal(t, "leaving", end.Error)
	require.Equal(t, "no", end.Ran)
	a.Reduce(time.Second, MessageFromEntry{"e", 1, &linkpb.Up{Kind: &linkpb.Up_Ack{Ack: &linkpb.Ack{Attempt: "after", Next: 1}}}})
	a.Reduce(time.Second, ResponseFinished{"before", "", "yes"})
	last := a.Reduce(time.Second, MessageFromEntry{"e", 1, &linkpb.Up{Kind: &linkpb.Up_Ack{Ack: &linkpb.Ack{Attempt: "before", Next: 1}}}})
	require.Equal(t, []Effect{Stop{}}, append([]Effect{}, last...))
}

func TestRequestWaitsForAnUpstreamAndIsAnsweredAtItsDeadline(t *testing.T) {
	e, send := newTestEntry(t)
	effects := slices.Clone(send("m2"))
	var end *EndResponse
	for now := time.Second; now < 10*time.Second && end == nil; now += TickPeriod {
		var next []Effect
		for _, ef := range effects {
			switch ef := ef.(type) {
			case Dial:
				next = append(next, e.Reduce(now, AgentDisconnected{ef.Peer, ef.Epoch})...)
			case EndResponse:
				end = &ef
			}
		}
		effects = append(next, e.Reduce(now, Tick{})...)
	}
	require.NotNil(t, end, "the caller has no response")
	require.Equal(t, "no", string(end.Ran))
	require.Positive(t, end.RetryAfter)
}
