package reducer

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// world connects real reducers over a model of the network, the log and the
// upstreams. Everything that happens is drawn by rapid.
type world struct {
	rt      *rapid.T
	now     time.Duration
	hooks   Hooks
	entries []*entryProc
	agents  []*agentProc // current ones by slot, then paused former ones
	conns   []*conn
	log     worldLog
	engines []*worldEngine
	runs    []*upstreamRun
	ops     []*op
	serial  int
	record  bool
	keep    time.Duration // for which the log keeps records
	counts  map[string]int
}

type entryProc struct {
	e     *Entry
	inc   Incarnation
	start time.Duration
	pos   recorder.Offset
	slot  int
	dead  bool
	trace []traced
}

type agentProc struct {
	a      *Agent
	inc    Incarnation
	start  time.Duration
	pos    recorder.Offset
	slot   int
	dead   bool
	paused bool
	trace  []traced
}

// conn is a connection with the messages under way on it.
type conn struct {
	entry  *entryProc
	agent  *agentProc
	epoch  Epoch
	peer   configurator.UpstreamName
	opened time.Duration
	state  string // opening, open, silent, closed
	hello  bool   // Opened has been delivered
	linked bool
	up     []*linkpb.Up
	down   []*linkpb.Down
}

type worldLog struct {
	records   []recorder.Record
	streams   []recorder.Stream // of the records; the streams share their offsets
	down      bool
	ambiguous bool
}

// upstreamRun is an attempt at an upstream.
type upstreamRun struct {
	by      *agentProc
	attempt AttemptID
	submit  *linkpb.Submit
	step    int
	over    bool
}

// op is what a caller wants; requests with one key share it.
type op struct {
	name       string
	key        string
	model      configurator.ModelName
	caller     configurator.CallerName
	repeatable bool
	runs       int
	requests   []*told
}

// told is a request of an op and what its caller was told.
type told struct {
	id       RequestID
	at       *entryProc
	begun    time.Duration
	replied  bool
	parts    []string
	done     bool
	kind     classifier.Kind
	ran      classifier.Ran
	deserted bool // its entry died or its caller left
}

const (
	worldParts   = 4
	worldRunners = 3
	openLimit    = 400 * time.Millisecond
	callLimit    = time.Second
	flightTime   = 2 * time.Second
)

func worldConfiguration() configurator.Configuration {
	cfg := configurator.Configuration{
		Name: "world", Window: 3_600_000, Store: configurator.Store{Rate: 1, Active: 1, Transit: 1},
		Classes: []configurator.Class{{Name: "desk", First: 2000, Gap: 100, Whole: 8000}},
		Models:  []configurator.Model{{Name: "m1", Bytes: 40, Copies: 1}, {Name: "m2", Bytes: 40, Copies: 2}, {Name: "m3", Bytes: 40, Copies: 1}},
		Callers: []configurator.Caller{{Name: "c", Key: configurator.HashKey("c"), Class: "desk", Limit: 1000}, {Name: "small", Key: configurator.HashKey("small"), Class: "desk", Limit: 1}},
	}
	for i, name := range []configurator.UpstreamName{"ra", "rb", "rc"} {
		cfg.Upstreams = append(cfg.Upstreams, configurator.Upstream{
			Name: name, Role: configurator.Runner, Domain: configurator.DomainName(name), Address: "127.0.0.1:1",
			Accelerators: 1, Memory: 80, Slots: 3, Fenced: i != 1, Lease: 3000, Flight: 2000,
		})
	}
	for _, name := range []configurator.UpstreamName{"sa", "sb"} {
		cfg.Upstreams = append(cfg.Upstreams, configurator.Upstream{
			Name: name, Role: configurator.Service, Service: "billing", Domain: configurator.DomainName(name), Address: "127.0.0.1:1", Slots: 3,
		})
	}
	return cfg
}

func newWorld(rt *rapid.T, hooks Hooks, counts map[string]int) *world {
	w := &world{rt: rt, hooks: hooks, counts: counts, now: time.Second, keep: time.Hour}
	cfg := worldConfiguration()
	change := configurator.Diff("first", configurator.State{}, cfg)
	w.append(recorder.Main, recorder.Record{ID: "first", Kind: recorder.Change, Change: &change})
	for i, u := range cfg.Upstreams {
		w.engines = append(w.engines, &worldEngine{
			upstream: u, residents: map[configurator.ModelName]configurator.Bytes{}, loading: map[configurator.ModelName]configurator.Bytes{},
		})
		w.agents = append(w.agents, w.newAgent(i))
	}
	for i := range 2 {
		w.entries = append(w.entries, w.newEntry(i))
	}
	for range 150 {
		w.calm(20 * time.Millisecond)
	}
	return w
}

func (w *world) next() int {
	w.serial++
	return w.serial
}

func (w *world) newAgent(slot int) *agentProc {
	inc := Incarnation(w.next())
	p := &agentProc{inc: inc, start: w.now, slot: slot}
	p.a = NewAgent(AgentConfig{Upstream: w.engines[slot].upstream.Name, Incarnation: inc, Retention: w.keep, Seed: uint64(inc), Hooks: w.hooks})
	return p
}

func (w *world) newEntry(slot int) *entryProc {
	inc := Incarnation(w.next())
	p := &entryProc{inc: inc, start: w.now, slot: slot}
	p.e = NewEntry(EntryConfig{ID: EntryID(fmt.Sprintf("entry-%d", slot)), Domain: "ra", Seed: uint64(inc), Hooks: w.hooks})
	return p
}

func (w *world) append(stream recorder.Stream, r recorder.Record) recorder.Offset {
	r.Offset = recorder.Offset(len(w.log.records))
	r.Time = w.now.Milliseconds()
	w.log.records = append(w.log.records, r)
	w.log.streams = append(w.log.streams, stream)
	return r.Offset
}

// claims names the stream of claims that an agent reads, before it is told so.
func (p *agentProc) claims() recorder.Stream {
	return recorder.ClaimsOf([]string{"models", "models", "models", "billing", "billing"}[p.slot])
}

func (w *world) request(id RequestID) *told {
	for _, o := range w.ops {
		for _, t := range o.requests {
			if t.id == id {
				return t
			}
		}
	}
	panic("an answer to no request")
}

func (w *world) dial(p *entryProc, d Dial) {
	c := &conn{entry: p, epoch: d.Epoch, peer: d.Peer, opened: w.now, state: "opening"}
	for _, a := range w.agents {
		if !a.dead && a.a.cfg.Upstream == d.Peer && w.current(a) {
			c.agent = a
		}
	}
	w.conns = append(w.conns, c)
}

// current tells whether p is the process that new connections reach.
func (w *world) current(p *agentProc) bool {
	return w.agents[p.slot] == p
}

// hangup closes a connection from the entry's side; the agent learns of it
// unless the connection is silent.
func (w *world) hangup(c *conn) {
	if c.state == "closed" {
		return
	}
	silent := c.state == "silent"
	c.state = "closed"
	if c.agent != nil && c.hello && !silent {
		w.tellAgent(c.agent, Closed{c.entry.e.cfg.ID, c.epoch})
	}
}

// cut breaks a connection; both sides learn of it.
func (w *world) cut(c *conn) {
	if c.state == "closed" {
		return
	}
	w.hangup(c)
	w.tellEntry(c.entry, Unlinked{c.peer, c.epoch})
}

// carry delivers up to n messages each way on a connection.
func (w *world) carry(c *conn, n int) {
	if c.state == "silent" || c.state == "closed" || c.agent == nil || c.agent.dead || c.agent.paused || c.entry.dead {
		return
	}
	if !c.hello {
		c.hello = true
		w.tellAgent(c.agent, Opened{c.entry.e.cfg.ID, c.entry.inc, c.epoch, c.entry.e.follower.State().Version})
	}
	if !c.linked {
		c.linked = true
		if c.state == "opening" {
			c.state = "open"
		}
		w.tellEntry(c.entry, Linked{c.peer, c.epoch, c.agent.inc})
	}
	for range n {
		if len(c.up) > 0 && c.state != "closed" {
			m := c.up[0]
			c.up = c.up[1:]
			w.tellAgent(c.agent, Told{c.entry.e.cfg.ID, c.epoch, m})
		}
		if len(c.down) > 0 && c.state != "closed" {
			m := c.down[0]
			c.down = c.down[1:]
			w.tellEntry(c.entry, Heard{c.peer, c.epoch, m})
		}
	}
}

func (w *world) killAgent(p *agentProc) {
	p.dead = true
	for _, r := range w.runs {
		if r.by == p {
			r.over = true
		}
	}
	for _, c := range w.conns {
		if c.agent == p && c.state != "closed" {
			silent := c.state == "silent"
			c.state = "closed"
			if !silent {
				w.tellEntry(c.entry, Unlinked{c.peer, c.epoch})
			}
		}
	}
}

func (w *world) killEntry(p *entryProc) {
	p.dead = true
	for _, o := range w.ops {
		for _, t := range o.requests {
			if t.at == p && !t.done {
				t.deserted = true
			}
		}
	}
	for _, c := range w.conns {
		if c.entry == p {
			w.hangup(c)
		}
	}
}

func (w *world) readLog(pos *recorder.Offset, tell func(Event), claims recorder.Stream) {
	if w.log.down {
		return
	}
	first := 0
	for first < len(w.log.records) && w.log.records[first].Time < (w.now-w.keep).Milliseconds() {
		first++
	}
	from := max(first, int(*pos))
	batch := recorder.Batch{First: recorder.Offset(first), Next: recorder.Offset(len(w.log.records)), Time: w.now.Milliseconds()}
	records := map[recorder.Stream][]recorder.Record{}
	for i := from; i < len(w.log.records); i++ {
		records[w.log.streams[i]] = append(records[w.log.streams[i]], w.log.records[i])
	}
	*pos = batch.Next
	for _, stream := range []recorder.Stream{recorder.Main, claims} {
		if stream != "" {
			batch.Records = records[stream]
			tell(Read{stream, batch})
		}
	}
}

// tick lets time pass for everyone who is awake.
func (w *world) tick(d time.Duration) {
	w.now += d
	for _, p := range w.entries {
		w.tellEntry(p, Tick{})
	}
	for _, p := range slices.Clone(w.agents) {
		if !p.paused {
			w.tellAgent(p, Tick{})
		}
	}
	for _, c := range slices.Clone(w.conns) {
		if c.state != "closed" && !c.linked && w.now-c.opened > openLimit {
			w.cut(c)
		}
	}
	w.conns = slices.DeleteFunc(w.conns, func(c *conn) bool { return c.state == "closed" })
	for _, e := range w.engines {
		w.expireFlights(e)
	}
}

// calm lets everything work for a while.
func (w *world) calm(d time.Duration) {
	w.tick(d)
	for _, p := range w.entries {
		w.readLog(&p.pos, func(ev Event) { w.tellEntry(p, ev) }, "")
	}
	for _, p := range slices.Clone(w.agents) {
		if !p.paused && !p.dead {
			w.readLog(&p.pos, func(ev Event) { w.tellAgent(p, ev) }, p.claims())
		}
	}
	for _, c := range slices.Clone(w.conns) {
		w.carry(c, 50)
	}
	for _, e := range w.engines {
		for len(e.flying) > 0 && !e.flying[0].landed {
			w.landOne(e, 0, true)
			if len(e.flying) > 0 && e.flying[0].landed {
				break
			}
		}
		for m, b := range e.loading {
			e.residents[m] = b
		}
		clear(e.loading)
	}
	for _, r := range slices.Clone(w.runs) {
		if !r.by.paused {
			w.progress(r)
		}
	}
	w.runs = slices.DeleteFunc(w.runs, func(r *upstreamRun) bool { return r.over })
}
