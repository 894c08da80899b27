package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// BenchmarkEntryEvents runs whole streams of 32 tokens through an entry's
// reducer alone.
func BenchmarkEntryEvents(b *testing.B) {
	e := NewEntry(EntryConfig{ID: "e", Seed: 1})
	change := configurator.Diff("first", configurator.State{}, worldConfiguration())
	e.Reduce(0, Read{recorder.Batch{Next: 1, Records: []recorder.Record{{ID: "first", Kind: recorder.Change, Change: &change}}}})
	class, _ := e.follower.State().Config.Class("desk")
	for _, name := range e.runners {
		e.peers[name].state, e.peers[name].epoch = linkUp, 1
		e.setHolds(e.peers[name], []string{"m1", "m2", "m3"})
	}
	data := []byte("data: {}\n\n")
	events := 0
	reduce := func(ev Event) []Effect {
		events++
		return e.Reduce(time.Second, ev)
	}
	b.ReportAllocs()
	for b.Loop() {
		id := RequestID(fmt.Sprint(events))
		var sent SendUp
		for _, ef := range reduce(Arrived{Request{ID: id, Caller: "c", Class: class, Model: "m1", Repeatable: true, Stream: true}}) {
			if s, ok := ef.(SendUp); ok {
				sent = s
			}
		}
		attempt := sent.Up.GetSubmit().Attempt
		reduce(Heard{sent.Peer, 1, &linkpb.Down{Kind: &linkpb.Down_Head{Head: &linkpb.Head{Attempt: attempt, Status: 200}}}})
		for seq := range uint64(32) {
			reduce(Heard{sent.Peer, 1, &linkpb.Down{Kind: &linkpb.Down_Chunk{Chunk: &linkpb.Chunk{Attempt: attempt, Seq: seq + 1, Data: data, Text: "word", Tokens: 1}}}})
		}
		reduce(Heard{sent.Peer, 1, &linkpb.Down{Kind: &linkpb.Down_End{End: &linkpb.End{Attempt: attempt, Seq: 33, Ran: "yes"}}}})
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
