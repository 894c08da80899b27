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

// cluster runs the reducers of entries and agents on the virtual clock and simulates
// what their effects act on: connections, the log, the list of instances and the
// engines.
type cluster struct {
	clock           *clock
	cfg             configurator.Configuration
	scenario        Scenario
	rnd             *rand.Rand
	sim             *simulation
	entries         []*entryNode
	agents          []*agentNode
	records         []recorder.Record // of the log, by offset
	openRequests    map[reducer.RequestID]*trackedRequest
	lastIncarnation uint64 // of the agents; entries have incarnation 1
}

// entryNode is an entry with its connections and its position in the log.
type entryNode struct {
	entry       *reducer.Entry
	connections map[configurator.UpstreamName]*connection
	nextOffset  recorder.Offset
}

// connection connects an entry to one incarnation of an agent.
type connection struct {
	epoch       reducer.Epoch
	node        *agentNode
	incarnation uint64
	open        bool // false after the entry has closed it
}

// agentNode is a runner: an agent, its position in the log, and its engine.
type agentNode struct {
	agent       *reducer.Agent
	name        configurator.UpstreamName
	engine      *engine
	incarnation uint64
	failed      bool
	startedAt   time.Duration // the agent counts time from here
	nextOffset  recorder.Offset
	running     map[reducer.AttemptID]*sequence // attempts in the engine
}

// newCluster returns a cluster whose log begins with a change that writes the whole
// configuration.
func newCluster(cfg configurator.Configuration, s Scenario, sim *simulation, seed uint64) *cluster {
	c := &cluster{
		clock: sim.clock, cfg: cfg, scenario: s, rnd: rand.New(rand.NewPCG(seed, 5)), sim: sim, openRequests: map[reducer.RequestID]*trackedRequest{}, lastIncarnation: 1,
	}
	initialChange := configurator.Diff("first", configurator.State{}, cfg)
	c.records = append(c.records, recorder.Record{ID: "first", Kind: recorder.KindChange, Change: &initialChange, LogTimeMs: 1})
	for _, e := range sim.engines {
		n := &agentNode{name: e.upstream.Name, engine: e}
		c.startAgent(n, seed)
		c.agents = append(c.agents, n)
	}
	for i := range entryCount {
		n := &entryNode{connections: map[configurator.UpstreamName]*connection{}}
		n.entry = reducer.NewEntry(reducer.EntryConfig{
			ID: reducer.EntryID(fmt.Sprintf("entry-%d", i)), Domain: cfg.Upstreams[i].Domain, Seed: seed + uint64(i),
		})
		c.entries = append(c.entries, n)
	}
	c.clock.after(0, c.tick)
	c.clock.after(0, c.listInstances)
	return c
}

// startAgent starts a new incarnation of an agent.
func (c *cluster) startAgent(n *agentNode, seed uint64) {
	c.lastIncarnation++
	n.incarnation, n.failed, n.startedAt, n.nextOffset = c.lastIncarnation, false, c.clock.now, 0
	n.running = map[reducer.AttemptID]*sequence{}
	n.agent = reducer.NewAgent(reducer.AgentConfig{Upstream: n.name, Incarnation: reducer.Incarnation(n.incarnation), Retention: time.Hour, Seed: seed + n.incarnation})
}

// tick gives all running processes the new records of the log and a Tick, and repeats
// after reducer.TickPeriod.
func (c *cluster) tick() {
	for _, n := range c.entries {
		c.readLog(&n.nextOffset, func(ev reducer.Event) { c.deliverToEntry(n, ev) })
		c.deliverToEntry(n, reducer.Tick{})
	}
	for _, n := range c.agents {
		if n.failed {
			continue
		}
		c.readLog(&n.nextOffset, func(ev reducer.Event) { c.deliverToAgent(n, ev) })
		c.deliverToAgent(n, reducer.Tick{})
	}
	c.clock.after(reducer.TickPeriod, c.tick)
}

// logUnavailable reports whether the scenario has a log outage now.
func (c *cluster) logUnavailable() bool {
	traceTime := c.clock.now - warmUpTime
	return traceTime >= c.scenario.LogOutage[0] && traceTime < c.scenario.LogOutage[1]
}

// readLog delivers the records from nextOffset on and advances it.
func (c *cluster) readLog(nextOffset *recorder.Offset, deliver func(reducer.Event)) {
	if c.logUnavailable() || int(*nextOffset) >= len(c.records) {
		return
	}
	batch := recorder.Batch{NextOffset: recorder.Offset(len(c.records)), LogTimeMs: c.clock.now.Milliseconds(), Records: c.records[*nextOffset:]}
	*nextOffset = batch.NextOffset
	deliver(reducer.RecordsRead{Stream: recorder.MainStream, Batch: batch})
}

// listInstances gives all processes the list of instances every second, delayed by
// instanceListDelay.
func (c *cluster) listInstances() {
	live := map[configurator.UpstreamName]bool{}
	for _, n := range c.agents {
		live[n.name] = !n.failed
	}
	c.clock.after(instanceListDelay, func() {
		for _, n := range c.entries {
			c.deliverToEntry(n, reducer.UpstreamsListed{Live: live})
		}
		for _, n := range c.agents {
			if !n.failed {
				c.deliverToAgent(n, reducer.UpstreamsListed{Live: live})
			}
		}
	})
	c.clock.after(time.Second, c.listInstances)
}

// submit sends request number i to an entry; the entries take turns.
func (c *cluster) submit(i int, t *trackedRequest) {
	n := c.entries[i%len(c.entries)]
	class, _ := c.cfg.Class(t.request.Caller.Class)
	id := reducer.RequestID(fmt.Sprint("r", i))
	c.openRequests[id] = t
	c.deliverToEntry(n, reducer.RequestArrived{Request: reducer.Request{
		ID: id, Caller: t.request.Caller.Name, Class: class, FailFast: t.request.Caller.FailFast, Model: t.request.Model, Method: "POST",
		Repeatable: true, Stream: true, PromptTokens: t.request.PromptTokens,
	}})
}

// failRunner fails a runner's agent and engine until restartDelay has passed. The
// entries connected to the agent see their connections end.
func (c *cluster) failRunner(n *agentNode, seed uint64) {
	n.failed = true
	n.engine.fail()
	for _, entry := range c.entries {
		conn := entry.connections[n.name]
		if conn == nil || conn.node != n || conn.incarnation != n.incarnation {
			continue
		}
		epoch := conn.epoch
		c.clock.after(networkDelay, func() { c.deliverToEntry(entry, reducer.AgentDisconnected{Peer: n.name, Epoch: epoch}) })
	}
	c.clock.after(restartDelay, func() {
		n.engine.failed = false
		c.startAgent(n, seed)
	})
}

// deliverToEntry passes an event to an entry and runs the effects.
func (c *cluster) deliverToEntry(n *entryNode, ev reducer.Event) {
	for _, ef := range slices.Clone(n.entry.Reduce(c.clock.now, ev)) {
		c.runEntryEffect(n, ef)
	}
}

// runEntryEffect carries out an effect of an entry. Effects that the simulation has no
// counterpart for are ignored.
func (c *cluster) runEntryEffect(n *entryNode, effect reducer.Effect) {
	switch ef := effect.(type) {
	case reducer.Dial:
		c.dial(n, ef)
	case reducer.CloseConnection:
		if conn := n.connections[ef.Peer]; conn != nil && conn.epoch == ef.Epoch {
			conn.open = false
		}
	case reducer.SendToAgent:
		c.sendToAgent(n, ef)
	case reducer.WriteBody:
		t := c.openRequests[ef.ID]
		if t.firstChunkAt == 0 {
			t.firstChunkAt = c.clock.now
		}
		t.lastChunkAt = c.clock.now
		c.deliverToEntry(n, reducer.BodyConsumed{ID: ef.ID, Next: ef.Next})
	case reducer.EndResponse:
		t := c.openRequests[ef.ID]
		t.ended, t.complete = true, ef.Kind == classifier.None
		delete(c.openRequests, ef.ID)
	}
}

// dial connects an entry to an agent after a round trip.
func (c *cluster) dial(n *entryNode, d reducer.Dial) {
	i := slices.IndexFunc(c.agents, func(agent *agentNode) bool { return agent.name == d.Peer })
	agent := c.agents[i]
	c.clock.after(2*networkDelay, func() {
		if agent.failed {
			c.deliverToEntry(n, reducer.AgentDisconnected{Peer: d.Peer, Epoch: d.Epoch})
			return
		}
		n.connections[d.Peer] = &connection{epoch: d.Epoch, node: agent, incarnation: agent.incarnation, open: true}
		c.deliverToAgent(agent, reducer.EntryConnected{Entry: c.entryID(n), Incarnation: 1, Epoch: d.Epoch, Version: d.Version})
		c.deliverToEntry(n, reducer.AgentConnected{Peer: d.Peer, Epoch: d.Epoch, Incarnation: reducer.Incarnation(agent.incarnation)})
	})
}

func (c *cluster) entryID(n *entryNode) reducer.EntryID {
	return reducer.EntryID(fmt.Sprintf("entry-%d", slices.Index(c.entries, n)))
}

// sendToAgent delivers a message after networkDelay, unless the connection is closed
// or the agent fails before.
func (c *cluster) sendToAgent(n *entryNode, ef reducer.SendToAgent) {
	conn := n.connections[ef.Peer]
	if conn == nil || conn.epoch != ef.Epoch || !conn.open {
		return
	}
	c.clock.after(networkDelay, func() {
		if !conn.node.failed && conn.node.incarnation == conn.incarnation {
			c.deliverToAgent(conn.node, reducer.MessageFromEntry{Entry: c.entryID(n), Epoch: ef.Epoch, Message: ef.Message})
		}
	})
}

// deliverToAgent passes an event to an agent and runs the effects.
func (c *cluster) deliverToAgent(n *agentNode, ev reducer.Event) {
	for _, ef := range slices.Clone(n.agent.Reduce(c.clock.now-n.startedAt, ev)) {
		c.runAgentEffect(n, ef)
	}
}

// deliverToAgentAfter delivers an event after d, unless the agent has failed since.
func (c *cluster) deliverToAgentAfter(n *agentNode, d time.Duration, ev func() reducer.Event) {
	incarnation := n.incarnation
	c.clock.after(d, func() {
		if !n.failed && n.incarnation == incarnation {
			c.deliverToAgent(n, ev())
		}
	})
}

// runAgentEffect carries out an effect of an agent. Effects that the simulation has no
// counterpart for are ignored.
func (c *cluster) runAgentEffect(n *agentNode, effect reducer.Effect) {
	switch ef := effect.(type) {
	case reducer.SendToEntry:
		c.sendToEntry(n, ef)
	case reducer.Forward:
		c.runAttempt(n, ef)
	case reducer.Abort:
		if s := n.running[ef.Attempt]; s != nil {
			s.ended = true
			delete(n.running, ef.Attempt)
		}
		c.deliverToAgentAfter(n, 0, func() reducer.Event {
			return reducer.ResponseFinished{Attempt: ef.Attempt, Kind: classifier.Cancelled, Ran: classifier.RanUnknown}
		})
	case reducer.Order:
		c.sendOrder(n, ef)
	case reducer.PollEngine:
		requestedAt := c.clock.now - n.startedAt
		report := n.engine.report()
		c.deliverToAgentAfter(n, 2*networkDelay, func() reducer.Event { return reducer.EngineReported{Report: report, RequestedAt: requestedAt} })
	case reducer.QueryResidents:
		c.queryResidents(n, ef)
	case reducer.Append:
		c.appendRecord(n, ef.Record)
	}
}

// sendToEntry delivers a message after networkDelay, unless the connection is closed
// before.
func (c *cluster) sendToEntry(n *agentNode, ef reducer.SendToEntry) {
	for _, entry := range c.entries {
		conn := entry.connections[n.name]
		if c.entryID(entry) != ef.Entry || conn == nil || conn.epoch != ef.Epoch || conn.incarnation != n.incarnation {
			continue
		}
		c.clock.after(networkDelay, func() {
			if conn.open {
				c.deliverToEntry(entry, reducer.MessageFromAgent{Peer: n.name, Epoch: ef.Epoch, Message: ef.Message})
			}
		})
	}
}

// runAttempt runs an attempt in the engine, which refuses it if the model is not
// resident.
func (c *cluster) runAttempt(n *agentNode, f reducer.Forward) {
	m := configurator.ModelName(f.Submit.Model)
	if !n.engine.canServe(m) {
		c.deliverToAgentAfter(n, networkDelay, func() reducer.Event {
			return reducer.ResponseFinished{Attempt: f.Attempt, Kind: classifier.Loading, Ran: classifier.RanNo}
		})
		return
	}
	t := c.openRequests[reducer.RequestID(f.Submit.Request)]
	if t == nil {
		c.deliverToAgentAfter(n, networkDelay, func() reducer.Event {
			return reducer.ResponseFinished{Attempt: f.Attempt, Kind: classifier.Cancelled, Ran: classifier.RanUnknown}
		})
		return
	}
	c.deliverToAgent(n, reducer.ResponseStarted{Attempt: f.Attempt, Status: 200})
	// Every chunk counts as one token in messages, so Tokens is the number of chunks
	// that the caller has received from earlier attempts.
	s := &sequence{model: m, promptLeft: t.request.PromptTokens, outputLeft: max(1, t.request.OutputTokens-int(f.Submit.Tokens)*tokensPerChunk)}
	s.emit = func(int) {
		c.deliverToAgent(n, reducer.ResponseChunk{Attempt: f.Attempt, Data: []byte("x"), Text: "x", Tokens: 1})
	}
	s.finish = func() {
		delete(n.running, f.Attempt)
		c.deliverToAgent(n, reducer.ResponseFinished{Attempt: f.Attempt, Kind: classifier.None, Ran: classifier.RanYes})
	}
	n.running[f.Attempt] = s
	n.engine.add(s)
}

// sendOrder sends an order to the engine. At half of the OrderLossRate it is lost, and
// at the other half it is executed after 2 s; in both cases the agent learns after 1 s
// that the outcome is unknown.
func (c *cluster) sendOrder(n *agentNode, o reducer.Order) {
	draw := c.rnd.Float64()
	outcomeUnknown := func() reducer.Event { return reducer.OrderCompleted{Number: o.Number, Outcome: reducer.OrderUnknown} }
	switch {
	case draw < c.scenario.OrderLossRate/2:
		c.deliverToAgentAfter(n, time.Second, outcomeUnknown)
	case draw < c.scenario.OrderLossRate:
		c.clock.after(2*time.Second, func() { n.engine.execute(o) })
		c.deliverToAgentAfter(n, time.Second, outcomeUnknown)
	default:
		c.deliverToAgentAfter(n, networkDelay, func() reducer.Event {
			outcome, highest := n.engine.execute(o)
			return reducer.OrderCompleted{Number: o.Number, Outcome: outcome, HighestSeen: highest}
		})
	}
}

// execute carries out an order and returns the outcome and the highest order number
// seen. A fenced engine refuses an order with a number below the highest.
func (e *engine) execute(o reducer.Order) (reducer.OrderOutcome, reserver.OrderNumber) {
	if e.failed || e.upstream.Fenced && o.Number < e.highestNumber {
		return reducer.OrderRefused, e.highestNumber
	}
	e.highestNumber = max(e.highestNumber, o.Number)
	switch o.Op {
	case reserver.Load:
		if !e.load(o.Model, o.Bytes) {
			return reducer.OrderRefused, e.highestNumber
		}
	case reserver.Unload:
		e.unload(o.Model)
	}
	return reducer.OrderAccepted, e.highestNumber
}

// queryResidents asks the agent of another runner for its residents, in a round trip.
func (c *cluster) queryResidents(n *agentNode, q reducer.QueryResidents) {
	c.deliverToAgentAfter(n, 2*networkDelay, func() reducer.Event {
		for _, other := range c.agents {
			if other.name != q.Upstream || other.failed {
				continue
			}
			ev := reducer.ResidentsReceived{Upstream: q.Upstream}
			for _, m := range other.agent.Residents().Residents {
				ev.Residents = append(ev.Residents, configurator.ModelName(m))
			}
			return ev
		}
		return reducer.ResidentsReceived{Upstream: q.Upstream, Err: errors.New("agent is unreachable")}
	})
}

// appendRecord appends a record to the log and acknowledges it after logLatency.
func (c *cluster) appendRecord(n *agentNode, r recorder.Record) {
	if c.logUnavailable() {
		c.deliverToAgentAfter(n, logLatency, func() reducer.Event { return reducer.Appended{ID: r.ID, Err: errors.New("log is unavailable")} })
		return
	}
	r.Offset = recorder.Offset(len(c.records))
	r.LogTimeMs = c.clock.now.Milliseconds() + 1
	c.records = append(c.records, r)
	c.deliverToAgentAfter(n, logLatency, func() reducer.Event { return reducer.Appended{ID: r.ID, Offset: r.Offset} })
}
