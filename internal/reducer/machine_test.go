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

// stepMix lists what may happen, as often as it is likely.
type stepMix []string

// allSteps lets everything fail.
var allSteps = stepMix{
	"tick", "carry", "carry", "progress", "read", "arrive", "arrive", "tick", "carry", "read", "land", "repeat", "repeat", "tick", "tick", "carry",
	"carry", "progress", "progress", "land", "loaded", "leave", "silence", "cut", "upstream lost", "late answer",
	"agent killed", "agent drained", "agent usurped", "agent paused", "entry killed", "log down", "log ambiguous", "log fine", "listed", "orders lost",
	"arrive small", "arrive missing", "conflict", "entry drained", "agents drained", "reconfigure",
}

// engineSteps stresses what engines hold: orders are slow and their answers get lost.
var engineSteps = stepMix{
	"tick", "late answer", "calm", "arrive model", "late answer", "arrive model", "tick", "loaded", "tick", "land", "progress", "calm",
	"agent killed", "agent usurped", "agent paused", "orders lost", "listed", "reconfigure",
}

// step draws one thing that happens.
func (w *world) step(kinds stepMix) {
	w.restartStopped()
	kind := rapid.SampledFrom(kinds).Draw(w.rt, "step")
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

// injectFault breaks a process.
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
		p.paused = true // wakes in the end, or when paused again
		w.agents[slot] = w.newAgent(slot)
		w.agents = append(w.agents, p)
	case "entry killed":
		i := rapid.IntRange(0, len(w.entries)-1).Draw(w.rt, "entry")
		w.killEntry(w.entries[i])
		w.entries[i] = w.newEntry(i)
	}
}

// restartStopped starts new processes in place of those that have stopped.
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

func pick[T any](w *world, label string, list []T) *T {
	if len(list) == 0 {
		return nil
	}
	return &list[rapid.IntRange(0, len(list)-1).Draw(w.rt, label)]
}

// startRequest starts a request of a new op.
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

// reconfigure publishes a change that moves copies: a model comes or goes, a copy
// count or the weight of moves changes.
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
		cfg.Moves = 1 - cfg.Moves
	}
	change := configurator.Diff(fmt.Sprint("change", w.nextSerial()), *base, cfg)
	w.append(recorder.Main, recorder.Record{ID: change.ID, Kind: recorder.Change, Change: &change})
}

// sendConflicting sends the key of an earlier op with another body.
func (w *world) sendConflicting() {
	for _, o := range w.ops {
		if o.key != "" {
			twin := &op{name: fmt.Sprintf("op%d", w.nextSerial()), key: o.key, caller: o.caller}
			w.ops = append(w.ops, twin)
			w.sendRequest(twin)
			return
		}
	}
}

// resendKeyed sends the key of an earlier op again.
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
	t := &clientRequest{id: RequestID(fmt.Sprintf("e%d-r%d", p.incarnation, w.nextSerial())), entry: p, sentAt: w.now}
	o.requests = append(o.requests, t)
	class, _ := p.reducer.follower.State().Config.Class("desk")
	r := Request{
		ID: t.id, Caller: o.caller, Class: class, Method: "POST", Path: "/x", Body: []byte(o.name), Key: o.key, Repeatable: o.repeatable,
		Model: o.model, Stream: o.model != "" && len(o.name)%2 == 0,
	}
	if o.model == "" {
		r.Service = "billing"
	}
	if class.Name == "" {
		r.Class = configurator.Class{Name: "desk", First: 2000, Gap: 100, Whole: 8000}
	}
	w.tellEntry(p, RequestArrived{r})
}

// closeRequest lets a caller close a request.
func (w *world) closeRequest() {
	if o := pick(w, "op", w.ops); o != nil {
		t := (*o).requests[len((*o).requests)-1]
		if !t.done && !t.abandoned {
			t.abandoned = true
			w.tellEntry(t.entry, CallerGone{t.id})
		}
	}
}

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

// runToCompletion ends all faults and lets every request come to its end.
func (w *world) runToCompletion() {
	w.log.down, w.log.ambiguous = false, false
	for _, p := range w.agents {
		p.paused = false
	}
	for range 700 {
		w.runHealthy(20 * time.Millisecond)
	}
}

// verify compares what callers were told with what upstreams have run, at any
// time.
func (w *world) verify() error {
	for _, e := range w.engines {
		if e.upstream.Role == configurator.Runner && e.used() > e.upstream.Memory {
			return fmt.Errorf("%s uses %d of %d bytes", e.upstream.Name, e.used(), e.upstream.Memory)
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
		for _, t := range o.requests {
			if err := w.verifyAnswer(o, t); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) verifyAnswer(o *op, t *clientRequest) error {
	want := make([]string, responseParts)
	for i := range want {
		want[i] = fmt.Sprintf("%s/%d;", o.name, i+1)
	}
	got, whole := strings.Join(t.parts, ""), strings.Join(want, "")
	if !strings.HasPrefix(whole, got) {
		return fmt.Errorf("%s of %s got %q", t.id, o.name, got)
	}
	if t.done && t.kind == classifier.None && got != whole {
		return fmt.Errorf("%s of %s ended with %q", t.id, o.name, got)
	}
	if t.done && t.ran == classifier.RanNo && o.runs > 0 && !o.runExplained() {
		return fmt.Errorf("%s of %s was told that it did not run (%s)", t.id, o.name, t.kind)
	}
	return nil
}

// runExplained tells whether another request of the op may account for its run.
func (o *op) runExplained() bool {
	return slices.ContainsFunc(o.requests, func(t *clientRequest) bool { return !t.done || t.ran != classifier.RanNo })
}

// verifyEnd checks that every request has been answered.
func (w *world) verifyEnd() error {
	for _, o := range w.ops {
		for _, t := range o.requests {
			if !t.done && !t.abandoned {
				return fmt.Errorf("%s of %s has no answer", t.id, o.name)
			}
		}
	}
	return w.verify()
}

// runHistory draws a history and returns the first broken promise.
func runHistory(rt *rapid.T, kinds stepMix, hooks TestHooks, counts map[string]int) error {
	w := newWorld(rt, hooks, counts)
	for range rapid.IntRange(20, 150).Draw(rt, "steps") {
		w.step(kinds)
		counts["steps"]++
		if err := w.verify(); err != nil {
			return err
		}
	}
	w.runToCompletion()
	return w.verifyEnd()
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		kinds := rapid.SampledFrom([]stepMix{allSteps, allSteps, engineSteps}).Draw(rt, "profile")
		require.NoError(rt, runHistory(rt, kinds, TestHooks{}, counts))
	})
	if os.Getenv("EGRETWALL_SUMMARY") != "" {
		printCounts(t, counts)
	}
}

// answeredKinds are the error kinds that reducers answer with.
var answeredKinds = []classifier.Kind{
	classifier.Missing, classifier.Conflict, classifier.Limited, classifier.Busy, classifier.Late, classifier.Leaving, classifier.Loading,
	classifier.Unclaimed, classifier.Claimed, classifier.Expired, classifier.Lost, classifier.Broken,
}

// printCounts prints how often each thing happened and fails when one never did.
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
