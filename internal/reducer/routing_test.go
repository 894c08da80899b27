package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// routed starts an entry of the test configuration and returns it with a
// function that sends a request for a model.
func routed(t *testing.T) (*Entry, func(m configurator.ModelName) []Effect) {
	e := NewEntry(EntryConfig{ID: "e", Domain: "ra", Seed: 1})
	change := configurator.Diff("first", configurator.State{}, worldConfiguration())
	e.Reduce(0, Read{recorder.Main, recorder.Batch{Next: 1, Records: []recorder.Record{{ID: "first", Kind: recorder.Change, Change: &change}}}})
	class, ok := e.follower.State().Config.Class("desk")
	require.True(t, ok)
	n := 0
	return e, func(m configurator.ModelName) []Effect {
		n++
		return e.Reduce(time.Second, Arrived{Request{ID: RequestID(fmt.Sprint(n)), Caller: "c", Class: class, Model: m, Repeatable: true}})
	}
}

func TestHomesThatHaveNotReportedAreUsedToo(t *testing.T) {
	e, send := routed(t)
	homes := e.homes["m2"]
	require.Len(t, homes, 2)
	e.peers[homes[0]].state, e.peers[homes[0]].epoch = linkUp, 1
	e.Reduce(time.Second, Heard{homes[0], 1, &linkpb.Down{Kind: &linkpb.Down_Holds{Holds: &linkpb.Holds{Residents: []string{"m2"}}}}})
	dialled := false
	for range 10 {
		for _, ef := range send("m2") {
			if d, ok := ef.(Dial); ok && d.Peer == homes[1] {
				dialled = true
			}
		}
	}
	require.True(t, dialled, "all requests go to the copy that was linked first")
}

func TestAttemptsOfOneRequestHaveDifferentIDs(t *testing.T) {
	e, send := routed(t)
	for _, name := range e.runners {
		e.peers[name].state, e.peers[name].epoch = linkUp, 1
	}
	seen := map[string]bool{}
	effects := append([]Effect{}, send("m2")...)
	for range 3 {
		for _, ef := range append([]Effect{}, effects...) {
			s, ok := ef.(SendUp)
			if !ok || s.Up.GetSubmit() == nil {
				continue
			}
			id := s.Up.GetSubmit().Attempt
			require.False(t, seen[id], "an agent that still keeps %s would ignore it", id)
			seen[id] = true
			end := &linkpb.End{Attempt: id, Error: "leaving", Ran: "no"}
			effects = append([]Effect{}, e.Reduce(time.Second, Heard{s.Peer, 1, &linkpb.Down{Kind: &linkpb.Down_End{End: end}}})...)
			break
		}
	}
	require.Len(t, seen, 3)
}
