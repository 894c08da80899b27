package evaluator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// cluster connects real reducers on the virtual clock.
type cluster struct {
	clock   *clock
	cfg     configurator.Configuration
	s       Scenario
	rnd     *rand.Rand
	meter   *meter
	entries []*entryNode
	agents  []*agentNode
	records []recorder.Record
	open    map[reducer.RequestID]*observed
	life    uint64
}

type entryNode struct {
	e     *reducer.Entry
	links map[configurator.UpstreamName]*link
	pos   recorder.Offset
}

// link is a connection between an entry and one run of an agent.
type link struct {
	epoch reducer.Epoch
	agent *agentNode
	life  uint64
	up    bool
}

type agentNode struct {
	a      *reducer.Agent
	name   configurator.UpstreamName
	engine *engine
	life   uint64
	dead   bool
	born   time.Duration
	pos    recorder.Offset
	runs   map[reducer.AttemptID]*sequence
}

func newCluster(cfg configurator.Configuration, s Scenario, m *meter, seed uint64) *cluster {
	c := &cluster{
		clock: m.clock, cfg: cfg, s: s, rnd: rand.New(rand.NewPCG(seed, 5)), meter: m, open: map[reducer.RequestID]*observed{}, life: 1,
	}
	change := configurator.Diff("first", configurator.State{}, cfg)
	c.records = append(c.records, recorder.Record{ID: "first", Kind: recorder.KindChange, Change: &change, LogTimeMs: 1})
	for _, e := range m.engines {
		n := &agentNode{name: e.upstream.Name, engine: e}
		c.birth(n, seed)
		c.agents = append(c.agents, n)
	}
	for i := range entries {
		n := &entryNode{links: map[configurator.UpstreamName]*link{}}
		n.e = reducer.NewEntry(reducer.EntryConfig{
			ID: reducer.EntryID(fmt.Sprintf("entry-%d", i)), Domain: cfg.Upstreams[i].Domain, Seed: seed + uint64(i),
		})
		c.entries = append(c.entries, n)
	}
	c.clock.after(0, c.tick)
	c.clock.after(0, c.list)
	return c
}

func (c *cluster) birth(n *agentNode, seed uint64) {
	c.life++
	n.life, n.dead, n.born, n.pos = c.life, false, c.clock.now, 0
	n.runs = map[reducer.AttemptID]*sequence{}
	n.a = reducer.NewAgent(reducer.AgentConfig{Upstream: n.name, Incarnation: reducer.Incarnation(n.life), Retention: time.Hour, Seed: seed + n.life})
}

// tick moves the time of all processes.
func (c *cluster) tick() {
	for _, n := range c.entries {
		c.readLog(&n.pos, func(ev reducer.Event) { c.tellEntry(n, ev) })
		c.tellEntry(n, reducer.Tick{})
	}
	for _, n := range c.agents {
		if n.dead {
			continue
		}
		c.readLog(&n.pos, func(ev reducer.Event) { c.tellAgent(n, ev) })
		c.tellAgent(n, reducer.Tick{})
	}
	c.clock.after(reducer.TickPeriod, c.tick)
}

func (c *cluster) logDown() bool {
	at := c.clock.now - warmUp
	return at >= c.s.LogDown[0] && at < c.s.LogDown[1]
}

func (c *cluster) readLog(pos *recorder.Offset, tell func(reducer.Event)) {
	if c.logDown() || int(*pos) >= len(c.records) {
		return
	}
	batch := recorder.Batch{NextOffset: recorder.Offset(len(c.records)), LogTimeMs: c.clock.now.Milliseconds(), Records: c.records[*pos:]}
	*pos = batch.NextOffset
	tell(reducer.RecordsRead{Stream: recorder.MainStream, Batch: batch})
}

// list shows the instances as they were listLag ago.
func (c *cluster) list() {
	live := map[configurator.UpstreamName]bool{}
	for _, n := range c.agents {
		live[n.name] = !n.dead
	}
	c.clock.after(listLag, func() {
		for _, n := range c.entries {
			c.tellEntry(n, reducer.UpstreamsListed{Live: live})
		}
		for _, n := range c.agents {
			if !n.dead {
				c.tellAgent(n, reducer.UpstreamsListed{Live: live})
			}
		}
	})
	c.clock.after(time.Second, c.list)
}

// arrive sends a call through an entry, in turn.
func (c *cluster) arrive(i int, o *observed) {
	n := c.entries[i%len(c.entries)]
	class, _ := c.cfg.Class(o.call.Caller.Class)
	id := reducer.RequestID(fmt.Sprint("r", i))
	c.open[id] = o
	c.tellEntry(n, reducer.RequestArrived{Request: reducer.Request{
		ID: id, Caller: o.call.Caller.Name, Class: class, FailFast: o.call.Caller.FailFast, Model: o.call.Model, Method: "POST",
		Repeatable: true, Stream: true, PromptTokens: o.call.Prompt,
	}})
}

// die ends a runner's instance; it comes back empty.
func (c *cluster) die(n *agentNode, seed uint64) {
	n.dead = true
	n.engine.kill()
	for _, e := range c.entries {
		l := e.links[n.name]
		if l == nil || l.agent != n || l.life != n.life {
			continue
		}
		epoch := l.epoch
		c.clock.after(network, func() { c.tellEntry(e, reducer.AgentDisconnected{Peer: n.name, Epoch: epoch}) })
	}
	c.clock.after(restartAfter, func() {
		n.engine.dead = false
		c.birth(n, seed)
	})
}

func (c *cluster) tellEntry(n *entryNode, ev reducer.Event) {
	for _, ef := range slices.Clone(n.e.Reduce(c.clock.now, ev)) {
		c.entryEffect(n, ef)
	}
}

func (c *cluster) entryEffect(n *entryNode, effect reducer.Effect) {
	switch ef := effect.(type) {
	case reducer.Dial:
		c.dial(n, ef)
	case reducer.CloseConnection:
		if l := n.links[ef.Peer]; l != nil && l.epoch == ef.Epoch {
			l.up = false
		}
	case reducer.SendToAgent:
		c.sendUp(n, ef)
	case reducer.WriteBody:
		o := c.open[ef.ID]
		if o.first == 0 {
			o.first = c.clock.now
		}
		o.last = c.clock.now
		c.tellEntry(n, reducer.BodyConsumed{ID: ef.ID, Next: ef.Next})
	case reducer.EndResponse:
		o := c.open[ef.ID]
		o.done, o.whole = true, ef.Kind == classifier.None
		delete(c.open, ef.ID)
	}
}

func (c *cluster) dial(n *entryNode, d reducer.Dial) {
	i := slices.IndexFunc(c.agents, func(a *agentNode) bool { return a.name == d.Peer })
	a := c.agents[i]
	c.clock.after(2*network, func() {
		if a.dead {
			c.tellEntry(n, reducer.AgentDisconnected{Peer: d.Peer, Epoch: d.Epoch})
			return
		}
		n.links[d.Peer] = &link{epoch: d.Epoch, agent: a, life: a.life, up: true}
		c.tellAgent(a, reducer.EntryConnected{Entry: c.idOf(n), Incarnation: 1, Epoch: d.Epoch, Version: d.Version})
		c.tellEntry(n, reducer.AgentConnected{Peer: d.Peer, Epoch: d.Epoch, Incarnation: reducer.Incarnation(a.life)})
	})
}

func (c *cluster) idOf(n *entryNode) reducer.EntryID {
	return reducer.EntryID(fmt.Sprintf("entry-%d", slices.Index(c.entries, n)))
}

func (c *cluster) sendUp(n *entryNode, s reducer.SendToAgent) {
	l := n.links[s.Peer]
	if l == nil || l.epoch != s.Epoch || !l.up {
		return
	}
	c.clock.after(network, func() {
		if !l.agent.dead && l.agent.life == l.life {
			c.tellAgent(l.agent, reducer.MessageFromEntry{Entry: c.idOf(n), Epoch: s.Epoch, Message: s.Message})
		}
	})
}

func (c *cluster) tellAgent(n *agentNode, ev reducer.Event) {
	for _, ef := range slices.Clone(n.a.Reduce(c.clock.now-n.born, ev)) {
		c.agentEffect(n, ef)
	}
}

// later tells an agent something unless it has died meanwhile.
func (c *cluster) later(n *agentNode, d time.Duration, ev func() reducer.Event) {
	life := n.life
	c.clock.after(d, func() {
		if !n.dead && n.life == life {
			c.tellAgent(n, ev())
		}
	})
}

func (c *cluster) agentEffect(n *agentNode, effect reducer.Effect) {
	switch ef := effect.(type) {
	case reducer.SendToEntry:
		c.sendDown(n, ef)
	case reducer.Forward:
		c.pass(n, ef)
	case reducer.Abort:
		if s := n.runs[ef.Attempt]; s != nil {
			s.gone = true
			delete(n.runs, ef.Attempt)
		}
		c.later(n, 0, func() reducer.Event {
			return reducer.ResponseFinished{Attempt: ef.Attempt, Kind: classifier.Cancelled, Ran: classifier.RanUnknown}
		})
	case reducer.Order:
		c.order(n, ef)
	case reducer.PollEngine:
		asked := c.clock.now - n.born
		report := n.engine.report()
		c.later(n, 2*network, func() reducer.Event { return reducer.EngineReported{Report: report, RequestedAt: asked} })
	case reducer.QueryResidents:
		c.look(n, ef)
	case reducer.Append:
		c.append(n, ef.Record)
	}
}

func (c *cluster) sendDown(n *agentNode, s reducer.SendToEntry) {
	for _, e := range c.entries {
		l := e.links[n.name]
		if c.idOf(e) != s.Entry || l == nil || l.epoch != s.Epoch || l.life != n.life {
			continue
		}
		c.clock.after(network, func() {
			if l.up {
				c.tellEntry(e, reducer.MessageFromAgent{Peer: n.name, Epoch: s.Epoch, Message: s.Message})
			}
		})
	}
}

// pass runs an attempt in the engine.
func (c *cluster) pass(n *agentNode, p reducer.Forward) {
	m := configurator.ModelName(p.Submit.Model)
	if !n.engine.has(m) {
		c.later(n, network, func() reducer.Event {
			return reducer.ResponseFinished{Attempt: p.Attempt, Kind: classifier.Loading, Ran: classifier.RanNo}
		})
		return
	}
	o := c.open[reducer.RequestID(p.Submit.Request)]
	if o == nil {
		c.later(n, network, func() reducer.Event {
			return reducer.ResponseFinished{Attempt: p.Attempt, Kind: classifier.Cancelled, Ran: classifier.RanUnknown}
		})
		return
	}
	c.tellAgent(n, reducer.ResponseStarted{Attempt: p.Attempt, Status: 200})
	s := &sequence{model: m, prompt: o.call.Prompt, output: max(1, o.call.Output-int(p.Submit.Tokens)*tokensPart)}
	s.emit = func(int) {
		c.tellAgent(n, reducer.ResponseChunk{Attempt: p.Attempt, Data: []byte("x"), Text: "x", Tokens: 1})
	}
	s.done = func() {
		delete(n.runs, p.Attempt)
		c.tellAgent(n, reducer.ResponseFinished{Attempt: p.Attempt, Kind: classifier.None, Ran: classifier.RanYes})
	}
	n.runs[p.Attempt] = s
	n.engine.add(s)
}

// order delivers an order; some are lost, and some arrive late and unanswered.
func (c *cluster) order(n *agentNode, o reducer.Order) {
	fate := c.rnd.Float64()
	lost := func() reducer.Event { return reducer.OrderCompleted{Number: o.Number, Outcome: reducer.OrderUnknown} }
	switch {
	case fate < c.s.LostRate/2:
		c.later(n, time.Second, lost)
	case fate < c.s.LostRate:
		c.clock.after(2*time.Second, func() { n.engine.land(o) })
		c.later(n, time.Second, lost)
	default:
		c.later(n, network, func() reducer.Event {
			outcome, highest := n.engine.land(o)
			return reducer.OrderCompleted{Number: o.Number, Outcome: outcome, HighestSeen: highest}
		})
	}
}

// land carries out an order as an engine does.
func (e *engine) land(o reducer.Order) (reducer.OrderOutcome, reserver.OrderNumber) {
	if e.dead || e.upstream.Fenced && o.Number < e.number {
		return reducer.OrderRefused, e.number
	}
	e.number = max(e.number, o.Number)
	switch o.Op {
	case reserver.Load:
		if !e.load(o.Model, o.Bytes) {
			return reducer.OrderRefused, e.number
		}
	case reserver.Unload:
		e.unload(o.Model)
	}
	return reducer.OrderAccepted, e.number
}

func (c *cluster) look(n *agentNode, l reducer.QueryResidents) {
	c.later(n, 2*network, func() reducer.Event {
		for _, o := range c.agents {
			if o.name != l.Upstream || o.dead {
				continue
			}
			ev := reducer.ResidentsReceived{Upstream: l.Upstream}
			for _, m := range o.a.Residents().Residents {
				ev.Residents = append(ev.Residents, configurator.ModelName(m))
			}
			return ev
		}
		return reducer.ResidentsReceived{Upstream: l.Upstream, Err: errors.New("out of reach")}
	})
}

func (c *cluster) append(n *agentNode, r recorder.Record) {
	if c.logDown() {
		c.later(n, logDelay, func() reducer.Event { return reducer.Appended{ID: r.ID, Err: errors.New("down")} })
		return
	}
	r.Offset = recorder.Offset(len(c.records))
	r.LogTimeMs = c.clock.now.Milliseconds() + 1
	c.records = append(c.records, r)
	c.later(n, logDelay, func() reducer.Event { return reducer.Appended{ID: r.ID, Offset: r.Offset} })
}
