package reducer

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/seeder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

func TestMain(m *testing.M) { seeder.Main(m, 1000) }

// stepMix lists the steps to draw from; a step that is listed twice is drawn twice as
// often.
type stepMix []string

// allSteps includes every kind of fault. "carry" delivers messages of a connection,
// "progress" advances a response, "read" lets a process read the log, "land" delivers
// an order to its engine and "late answer" does so without telling the sender, "repeat"
// sends a key again, "listed" sends a new list of live upstreams, and "agent usurped"
// pauses an agent and starts its replacement.
var allSteps = stepMix{
	"tick", "carry", "carry", "progress", "read", "arrive", "arrive", "tick", "carry", "read", "land", "repeat", "repeat", "tick", "tick", "carry",
	"carry", "progress", "progress", "land", "loaded", "leave", "silence", "cut", "upstream lost", "late answer",
	"agent killed", "agent drained", "agent usurped", "agent paused", "entry killed", "log down", "log ambiguous", "log fine", "listed", "orders lost",
	"arrive small", "arrive missing", "conflict", "entry drained", "agents drained", "reconfigure",
}

// engineSteps stresses the orders to engines: they arrive late and their responses get
// lost. "calm" runs the world without faults for 100 ms.
var engineSteps = stepMix{
	"tick", "late answer", "calm", "arrive model", "late answer", "arrive model", "tick", "loaded", "tick", "land", "progress", "calm",
	"agent killed", "agent usurped", "agent paused", "orders lost", "listed", "reconfigure",
}

// step draws one step and carries it out.
func (w *world) step(mix stepMix) {
	w.restartStopped()
	kind := rapid.SampledFrom(mix).Draw(w.rt, "step")
	w.counts["event "+kind]++
	switch kind {
	case "arrive":
		w.startRequest(rapid.SampledFrom([]string{"keyed", "keyed", "once", "get", "stream", "whole"}).Draw(w.rt, "op"))
	case "arrive model":
		w.startRequest("stream")
	case "reconfigure":
		w.reconfigure()
	case "arrive small":
		w.startRequest("small")
	case "arrive missing":
		w.startRequest("missing")
	case "conflict":
		w.sendConflicting()
	case "entry drained":
		w.tellEntry(*pick(w, "entry", w.entries), Drain{})
	case "agents drained":
		for _, p := range w.agents[:len(w.engines)] {
			w.tellAgent(p, Drain{})
		}
	case "calm":
		w.runHealthy(100 * time.Millisecond)
	case "repeat":
		w.resendKeyed()
	case "tick":
		w.tick(time.Duration(rapid.SampledFrom([]int{20, 20, 100, 300, 700}).Draw(w.rt, "ms")) * time.Millisecond)
	case "read":
		w.readLogOnce()
	case "carry":
		if c := pick(w, "conn", w.conns); c != nil {
			w.deliver(*c, rapid.IntRange(1, 8).Draw(w.rt, "n"))
		}
	case "progress":
		if r := pick(w, "run", w.runs); r != nil && !(*r).agent.paused {
			w.advanceRun(*r)
		}
	case "land", "late answer":
		if e := pick(w, "engine", w.engines[:runnerCount]); len((*e).inFlight) > 0 {
			w.deliverOrder(*e, rapid.IntRange(0, len((*e).inFlight)-1).Draw(w.rt, "order"), kind == "land")
		}
	case "loaded":
		e := *pick(w, "engine", w.engines[:runnerCount])
		for m, b := range e.loading {
			e.residents[m] = b
		}
		clear(e.loading)
	case "leave":
		w.closeRequest()
	case "silence":
		if c := pick(w, "conn", w.conns); c != nil && (*c).state == "open" {
			(*c).state = "silent"
		}
	case "cut":
		if c := pick(w, "conn", w.conns); c != nil {
			w.breakConn(*c)
		}
	case "upstream lost":
		if r := pick(w, "run", w.runs); r != nil && !(*r).finished {
			(*r).finished = true
			w.tellAgent((*r).agent, ResponseFinished{(*r).attempt, classifier.Lost, classifier.RanUnknown})
		}
	case "orders lost":
		e := *pick(w, "engine", w.engines[:runnerCount])
		e.inFlight = nil
	case "log down", "log ambiguous", "log fine":
		w.log.down, w.log.ambiguous = kind == "log down", kind == "log ambiguous"
	case "listed":
		live := map[configurator.UpstreamName]bool{}
		for _, e := range w.engines {
			live[e.upstream.Name] = rapid.IntRange(0, 3).Draw(w.rt, "live") > 0
		}
		for _, p := range w.entries {
			w.tellEntry(p, UpstreamsListed{live})
		}
	default:
		w.injectFault(kind)
	}
}

// injectFault kills, drains, pauses or replaces one process.
func (w *world) injectFault(kind string) {
	slot := rapid.IntRange(0, len(w.engines)-1).Draw(w.rt, "slot")
	p := w.agents[slot]
	switch kind {
	case "agent killed":
		w.killAgent(p)
		w.agents[slot] = w.newAgent(slot)
	case "agent drained":
		w.tellAgent(p, Drain{})
	case "agent paused":
		p.paused = !p.paused
	case "agent usurped":
		p.paused = true // the replaced agent runs on when runToCompletion unpauses it
		w.agents[slot] = w.newAgent(slot)
		w.agents = append(w.agents, p)
	case "entry killed":
		i := rapid.IntRange(0, len(w.entries)-1).Draw(w.rt, "entry")
		w.killEntry(w.entries[i])
		w.entries[i] = w.newEntry(i)
	}
}

// restartStopped replaces processes that have stopped by new ones.
func (w *world) restartStopped() {
	for i, p := range w.entries {
		if p.dead {
			w.entries[i] = w.newEntry(i)
		}
	}
	for i, p := range w.agents[:len(w.engines)] {
		if p.dead {
			w.agents[i] = w.newAgent(i)
		}
	}
}

// pick draws an element of list and returns nil if the list is empty.
func pick[T any](w *world, label string, list []T) *T {
	if len(list) == 0 {
		return nil
	}
	return &list[rapid.IntRange(0, len(list)-1).Draw(w.rt, label)]
}

// startRequest sends the first request of a new op of the given kind.
func (w *world) startRequest(kind string) {
	o := &op{name: fmt.Sprintf("op%d", w.nextSerial()), caller: "c"}
	switch kind {
	case "keyed":
		o.key = o.name
	case "get":
		o.repeatable = true
	case "small":
		o.repeatable, o.caller = true, "small"
	case "missing":
		o.repeatable, o.model = true, "nosuch"
	case "stream", "whole":
		o.repeatable = true
		o.model = rapid.SampledFrom([]configurator.ModelName{"m1", "m2", "m3"}).Draw(w.rt, "model")
	}
	w.ops = append(w.ops, o)
	w.sendRequest(o)
}

// reconfigure publishes a change that moves copies: it adds or removes a model, or
// changes a model's number of copies, its size or the weight of moves.
func (w *world) reconfigure() {
	base := w.entries[0].reducer.follower.State()
	if base.Version == 0 || w.log.down {
		return
	}
	cfg, _ := configurator.Join(base.Items)
	switch rapid.IntRange(0, 3).Draw(w.rt, "change") {
	case 0:
		i := slices.IndexFunc(cfg.Models, func(m configurator.Model) bool { return m.Name == "m4" })
		if i >= 0 {
			cfg.Models = slices.Delete(cfg.Models, i, i+1)
		} else {
			cfg.Models = append(cfg.Models, configurator.Model{Name: "m4", Bytes: 40, Copies: 1})
		}
	case 1:
		cfg.Models[0].Copies = 3 - cfg.Models[0].Copies
	case 2:
		cfg.Models[1].Bytes = 60 - cfg.Models[1].Bytes // 40 or 20
	case 3:
		cfg.MoveWeight = 1 - cfg.MoveWeight
	}
	change := configurator.Diff(fmt.Sprint("change", w.nextSerial()), *base, cfg)
	w.append(recorder.MainStream, recorder.Record{ID: change.ID, Kind: recorder.KindChange, Change: &change})
}

// sendConflicting sends a request with the key of an earlier op and another body.
func (w *world) sendConflicting() {
	for _, o := range w.ops {
		if o.key != "" {
			conflicting := &op{name: fmt.Sprintf("op%d", w.nextSerial()), key: o.key, caller: o.caller}
			w.ops = append(w.ops, conflicting)
			w.sendRequest(conflicting)
			return
		}
	}
}

// resendKeyed sends another request of an earlier op with a key.
func (w *world) resendKeyed() {
	var keyed []*op
	for _, o := range w.ops {
		if o.key != "" {
			keyed = append(keyed, o)
		}
	}
	if o := pick(w, "op", keyed); o != nil {
		w.sendRequest(*o)
	}
}

func (w *world) sendRequest(o *op) {
	p := *pick(w, "entry", w.entries)
	req := &clientRequest{id: RequestID(fmt.Sprintf("e%d-r%d", p.incarnation, w.nextSerial())), entry: p, sentAt: w.now}
	o.requests = append(o.requests, req)
	class, _ := p.reducer.follower.State().Config.Class("desk")
	r := Request{
		ID: req.id, Caller: o.caller, Class: class, Method: "POST", Path: "/x", Body: []byte(o.name), Key: o.key, Repeatable: o.repeatable,
		Model: o.model, Stream: o.model != "" && len(o.name)%2 == 0,
	}
	if o.model == "" {
		r.Service = "billing"
	}
	if class.Name == "" {
		r.Class = configurator.Class{Name: "desk", TargetFirstToken: 2000, TargetGap: 100, Timeout: 8000}
	}
	w.tellEntry(p, RequestArrived{r})
}

// closeRequest has a caller close the last request of an op.
func (w *world) closeRequest() {
	if o := pick(w, "op", w.ops); o != nil {
		req := (*o).requests[len((*o).requests)-1]
		if !req.done && !req.abandoned {
			req.abandoned = true
			w.tellEntry(req.entry, CallerGone{req.id})
		}
	}
}

// readLogOnce lets one process read the log.
func (w *world) readLogOnce() {
	if rapid.Bool().Draw(w.rt, "entry") {
		p := *pick(w, "entry", w.entries)
		w.readLog(&p.logOffset, func(ev Event) { w.tellEntry(p, ev) }, "")
		return
	}
	p := *pick(w, "agent", w.agents)
	if !p.paused && !p.dead {
		w.readLog(&p.logOffset, func(ev Event) { w.tellAgent(p, ev) }, p.claimStream())
	}
}

// runToCompletion ends all faults and runs the world for 14 s, longer than the
// deadline of any request.
func (w *world) runToCompletion() {
	w.log.down, w.log.ambiguous = false, false
	for _, p := range w.agents {
		p.paused = false
	}
	for range 700 {
		w.runHealthy(20 * time.Millisecond)
	}
}

// verify checks the invariants that hold at any time: engines stay within their
// memory, a request that is not repeatable runs at most once, and what callers were
// told agrees with what upstreams have run.
func (w *world) verify() error {
	for _, e := range w.engines {
		if e.upstream.Role == configurator.Runner && e.used() > e.upstream.WeightMemory {
			return fmt.Errorf("%s uses %d of %d bytes", e.upstream.Name, e.used(), e.upstream.WeightMemory)
		}
	}
	byKey := map[string]int{}
	for _, o := range w.ops {
		if o.key != "" {
			byKey[o.key] += o.runs
		}
		if !o.repeatable && o.runs > 1 || byKey[o.key] > 1 {
			return fmt.Errorf("%s ran %d times", o.name, max(o.runs, byKey[o.key]))
		}
		for _, req := range o.requests {
			if err := w.verifyAnswer(o, req); err != nil {
				return err
			}
		}
	}
	return nil
}

// verifyAnswer checks that a caller got a prefix of the response, and the whole of it
// if the request succeeded. A request reported as not run must not have run, unless
// another request of the op explains the run.
func (w *world) verifyAnswer(o *op, req *clientRequest) error {
	want := make([]string, responseParts)
	for i := range want {
		want[i] = fmt.Sprintf("%s/%d;", o.name, i+1)
	}
	got, whole := strings.Join(req.parts, ""), strings.Join(want, "")
	if !strings.HasPrefix(whole, got) {
		return fmt.Errorf("%s of %s got %q", req.id, o.name, got)
	}
	if req.done && req.kind == classifier.None && got != whole {
		return fmt.Errorf("%s of %s ended with %q", req.id, o.name, got)
	}
	if req.done && req.ran == classifier.RanNo && o.runs > 0 && !o.runExplained() {
		return fmt.Errorf("%s of %s was told that it did not run (%s)", req.id, o.name, req.kind)
	}
	return nil
}

// runExplained reports whether a run of the op may belong to one of its requests: one
// that has no answer yet or was not reported as not run.
func (o *op) runExplained() bool {
	return slices.ContainsFunc(o.requests, func(req *clientRequest) bool { return !req.done || req.ran != classifier.RanNo })
}

// verifyEnd checks that every request whose caller still waits has been answered, and
// the invariants of verify.
func (w *world) verifyEnd() error {
	for _, o := range w.ops {
		for _, req := range o.requests {
			if !req.done && !req.abandoned {
				return fmt.Errorf("%s of %s has no answer", req.id, o.name)
			}
		}
	}
	return w.verify()
}

// runHistory runs 20 to 150 random steps and then the world to completion. It returns
// the first violated invariant.
func runHistory(rt *rapid.T, mix stepMix, hooks TestHooks, counts map[string]int) error {
	w := newWorld(rt, hooks, counts)
	for range rapid.IntRange(20, 150).Draw(rt, "steps") {
		w.step(mix)
		counts["steps"]++
		if err := w.verify(); err != nil {
			return err
		}
	}
	w.runToCompletion()
	return w.verifyEnd()
}

// TestPromisesHoldUnderFaults checks the invariants of verify and verifyEnd over
// random histories with faults of processes, connections, engines and the log.
func TestPromisesHoldUnderFaults(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		mix := rapid.SampledFrom([]stepMix{allSteps, allSteps, engineSteps}).Draw(rt, "profile")
		require.NoError(rt, runHistory(rt, mix, TestHooks{}, counts))
	})
	if os.Getenv("EGRETWALL_SUMMARY") != "" {
		printCounts(t, counts)
	}
}

// answeredKinds lists the error kinds that entries answer requests with.
var answeredKinds = []classifier.Kind{
	classifier.Missing, classifier.Conflict, classifier.Limited, classifier.Busy, classifier.Late, classifier.Leaving, classifier.Loading,
	classifier.Unclaimed, classifier.Claimed, classifier.Expired, classifier.Lost, classifier.Broken,
}

// printCounts prints how often each step, answer and fault occurred, and fails if a
// step or an error kind never did.
func printCounts(t *testing.T, counts map[string]int) {
	for _, kind := range append(slices.Clone(allSteps), engineSteps...) {
		counts["event "+kind] += 0
	}
	for _, k := range answeredKinds {
		counts["error "+string(k)] += 0
	}
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("%8d %s\n", counts[name], name)
		require.NotZero(t, counts[name], name)
	}
}
