package evaluator

import (
	"container/heap"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// clock runs events in the order of their times.
type clock struct {
	now   time.Duration
	queue agenda
	seq   uint64
}

type appointment struct {
	at  time.Duration
	seq uint64
	do  func()
}

type agenda []appointment

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].seq < a[j].seq
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds an appointment.
func (a *agenda) Push(x any) { *a = append(*a, x.(appointment)) }

// Pop removes the last appointment.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, appointment{c.now + d, c.seq, do})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(appointment)
		c.now = next.at
		next.do()
	}
	c.now = end
}

// store is the weight store on the virtual clock.
type store struct {
	clock   *clock
	limits  configurator.StoreLimits
	tokens  float64
	filled  time.Duration
	active  int
	transit int
}

// begin starts a load and returns how long it takes, or false when refused.
func (s *store) begin(b configurator.Bytes, adapter bool) (time.Duration, bool) {
	if adapter {
		s.transit++
		return stretch(adapterLoad, s.transit, s.limits.ConcurrentAdapterLoads), true
	}
	s.tokens = min(storeBurst, s.tokens+(s.clock.now-s.filled).Seconds()*s.limits.ModelLoadRate)
	s.filled = s.clock.now
	if s.tokens < 1 {
		return 0, false
	}
	s.tokens--
	s.active++
	return stretch(time.Duration(float64(b)/weightSpeed*float64(time.Second)), s.active, s.limits.ConcurrentModelLoads), true
}

func stretch(full time.Duration, n, limit int) time.Duration {
	return time.Duration(float64(full) * max(1, float64(n)/float64(limit)))
}

// sequence is a request inside an engine.
type sequence struct {
	model  configurator.ModelName
	prompt int // tokens still to prefill
	output int // tokens still to decode
	part   int // tokens since the last part
	emit   func(tokens int)
	done   func()
	gone   bool
}

// engine is a model engine with continuous batching.
type engine struct {
	clock     *clock
	store     *store
	upstream  configurator.Upstream
	bases     map[configurator.ModelName]configurator.ModelName
	residents map[configurator.ModelName]configurator.Bytes
	loading   map[configurator.ModelName]configurator.Bytes
	number    reserver.OrderNumber
	running   []*sequence
	stepping  bool
	life      int // counts deaths
	dead      bool
	busy      time.Duration
	peak      configurator.Bytes
	moves     Moves
	changed   func() // residents changed
}

func (e *engine) has(m configurator.ModelName) bool {
	return !e.dead && e.residents[m] > 0 && e.residents[e.bases[m]] > 0
}

func (e *engine) add(s *sequence) {
	e.running = append(e.running, s)
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// step decodes one token for each sequence and prefills a chunk of prompts.
func (e *engine) step() {
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.gone })
	if len(e.running) == 0 || e.dead {
		e.stepping = false
		return
	}
	budget := prefillChunk
	var ready []*sequence
	for _, s := range e.running {
		if s.prompt > 0 {
			n := min(budget, s.prompt)
			s.prompt -= n
			budget -= n
		}
		if s.prompt == 0 {
			ready = append(ready, s)
		}
	}
	took := stepBase + time.Duration(len(ready))*stepSequence + time.Duration(prefillChunk-budget)*stepPrefill
	e.busy += took
	life := e.life
	e.clock.after(took, func() {
		if e.life != life {
			return
		}
		for _, s := range ready {
			e.decode(s)
		}
		e.step()
	})
}

func (e *engine) decode(s *sequence) {
	if s.gone {
		return
	}
	s.output--
	s.part++
	first := s.part == 1 && s.emit != nil
	if first || s.part > tokensPart || s.output <= 0 {
		s.emit(1)
		s.part = 1
	}
	if s.output <= 0 {
		s.gone = true
		s.done()
	}
}

// load starts to load a model or adapter and tells whether it was accepted.
func (e *engine) load(m configurator.ModelName, b configurator.Bytes) bool {
	if e.dead {
		return false
	}
	if e.residents[m] > 0 || e.loading[m] > 0 {
		return true
	}
	adapter := e.bases[m] != m
	if adapter && e.residents[e.bases[m]] == 0 {
		return false
	}
	took, ok := e.store.begin(b, adapter)
	if !ok {
		e.moves.Refused++
		return false
	}
	if adapter {
		e.moves.Adapters++
	} else {
		e.moves.Loads++
	}
	e.loading[m] = b
	e.measure()
	life := e.life
	e.clock.after(took, func() {
		if adapter {
			e.store.transit--
		} else {
			e.store.active--
		}
		if e.life != life || e.loading[m] == 0 {
			return
		}
		delete(e.loading, m)
		e.residents[m] = b
		e.measure()
		e.changed()
	})
	return true
}

// unload frees a model with the adapters that depend on it.
func (e *engine) unload(m configurator.ModelName) {
	if e.residents[m] > 0 && e.bases[m] == m {
		e.moves.Unloads++
	}
	for name := range e.residents {
		if name == m || e.bases[m] == m && e.bases[name] == m {
			delete(e.residents, name)
		}
	}
	delete(e.loading, m)
	e.changed()
}

func (e *engine) used() configurator.Bytes {
	var sum configurator.Bytes
	for _, b := range e.residents {
		sum += b
	}
	for _, b := range e.loading {
		sum += b
	}
	return sum
}

func (e *engine) measure() {
	e.peak = max(e.peak, e.used())
}

// kill loses everything that the engine holds and runs.
func (e *engine) kill() {
	e.life++
	e.dead = true
	e.stepping = false
	e.running = nil
	clear(e.residents)
	clear(e.loading)
	e.changed()
}

func (e *engine) report() reserver.EngineReport {
	r := reserver.EngineReport{HighestNumber: e.number, Active: len(e.running)}
	for m, b := range e.residents {
		r.Residents = append(r.Residents, reserver.ModelSize{Model: m, Bytes: b})
	}
	for m, b := range e.loading {
		r.Loading = append(r.Loading, reserver.ModelSize{Model: m, Bytes: b})
	}
	return r
}
