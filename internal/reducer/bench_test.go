package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// BenchmarkEntryEvents runs complete streams of 32 tokens through the reducer of
// an entry, without network or clock.
func BenchmarkEntryEvents(b *testing.B) {
	e := NewEntry(EntryConfig{ID: "e", Seed: 1})
	change := configurator.Diff("first", configurator.State{}, worldConfiguration())
	e.Reduce(0, RecordsRead{recorder.MainStream, recorder.Batch{NextOffset: 1, Records: []recorder.Record{{ID: "first", Kind: recorder.KindChange, Change: &change}}}})
	class, _ := e.follower.State().Config.Class("desk")
	for _, name := range e.runners {
		e.peers[name].state, e.peers[name].epoch = linkUp, 1
		e.setResidents(e.peers[name], []string{"m1", "m2", "m3"})
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
		var sent SendToAgent
		for _, ef := range reduce(RequestArrived{Request{ID: id, Caller: "c", Class: class, Model: "m1", Repeatable: true, Stream: true}}) {
			if s, ok := ef.(SendToAgent); ok {
				sent = s
			}
		}
		attempt := sent.Message.GetSubmit().Attempt
		reduce(MessageFromAgent{sent.Peer, 1, &linkpb.Down{Kind: &linkpb.Down_Head{Head: &linkpb.Head{Attempt: attempt, Status: 200}}}})
		for seq := range uint64(32) {
			reduce(MessageFromAgent{sent.Peer, 1, &linkpb.Down{Kind: &linkpb.Down_Chunk{Chunk: &linkpb.Chunk{Attempt: attempt, Seq: seq + 1, Data: data, Text: "word", Tokens: 1}}}})
		}
		reduce(MessageFromAgent{sent.Peer, 1, &linkpb.Down{Kind: &linkpb.Down_End{End: &linkpb.End{Attempt: attempt, Seq: 33, Ran: "yes"}}}})
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}

// entryWithRunners returns an entry that is connected to the given number of
// runners, each holding its home copies.
func entryWithRunners(b *testing.B, runners int) *Entry {
	cfg := worldConfiguration()
	cfg.Upstreams, cfg.Models = nil, nil
	for i := range runners {
		cfg.Upstreams = append(cfg.Upstreams, configurator.Upstream{
			Name: configurator.UpstreamName(fmt.Sprintf("r%03d", i)), Role: configurator.Runner, Domain: configurator.DomainName(fmt.Sprintf("d%d", i%6)),
			Address: "127.0.0.1:1", Accelerators: 4, WeightMemory: 160, Slots: 32, Fenced: true, Lease: 1, MaxDeliveryDelay: 1,
		})
	}
	for i := range runners * 14 / 10 {
		cfg.Models = append(cfg.Models, configurator.Model{Name: configurator.ModelName(fmt.Sprintf("m%03d", i)), Bytes: 30, Copies: 2})
	}
	e := NewEntry(EntryConfig{ID: "e", Seed: 1})
	change := configurator.Diff("first", configurator.State{}, cfg)
	e.Reduce(0, RecordsRead{recorder.MainStream, recorder.Batch{NextOffset: 1, Records: []recorder.Record{{ID: "first", Kind: recorder.KindChange, Change: &change}}}})
	residents := map[configurator.UpstreamName][]string{}
	for m, homes := range e.homes {
		for _, u := range homes {
			residents[u] = append(residents[u], string(m))
		}
	}
	for _, name := range e.runners {
		e.peers[name].state, e.peers[name].epoch = linkUp, 1
		e.setResidents(e.peers[name], residents[name])
	}
	return e
}

// BenchmarkChoose measures one routing decision.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 75, 300, 600} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			e := entryWithRunners(b, n)
			r := &request{Request: Request{Model: "m007", Repeatable: true}}
			b.ReportAllocs()
			for b.Loop() {
				if e.choosePeer(r) == nil {
					b.Fatal("no runner")
				}
			}
		})
	}
}

// BenchmarkTick measures one tick of an entry without requests.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{12, 75, 300, 600} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			e := entryWithRunners(b, n)
			for b.Loop() {
				e.Reduce(time.Second, Tick{})
			}
		})
	}
}
