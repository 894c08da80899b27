package evaluator

import (
	"container/heap"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// clock is a virtual clock. It runs functions in the order of their times, and those
// of the same time in the order in which they were scheduled.
type clock struct {
	now    time.Duration // since the start of the simulation
	timers timerHeap
	seq    uint64 // of the last timer
}

// timer is a function that is scheduled on the clock.
type timer struct {
	at  time.Duration
	seq uint64
	fn  func()
}

// timerHeap implements heap.Interface; the earliest timer comes first.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// after schedules fn to run when d has passed.
func (c *clock) after(d time.Duration, fn func()) {
	c.seq++
	heap.Push(&c.timers, timer{c.now + d, c.seq, fn})
}

// runUntil runs all functions that are due until end and sets the time to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		next := heap.Pop(&c.timers).(timer)
		c.now = next.at
		next.fn()
	}
	c.now = end
}

// weightStore simulates the weight store that all runners load from. A token bucket
// limits the rate at which model loads start.
type weightStore struct {
	clock              *clock
	limits             configurator.StoreLimits
	loadTokens         float64       // model loads that may start now
	refilledAt         time.Duration // when loadTokens was last updated
	activeModelLoads   int
	activeAdapterLoads int
}

// startLoad starts a load and returns how long it takes, or false if the rate limit
// refuses it. Adapter loads are never refused.
func (s *weightStore) startLoad(size configurator.Bytes, adapter bool) (time.Duration, bool) {
	if adapter {
		s.activeAdapterLoads++
		return contendedLoadTime(adapterLoadTime, s.activeAdapterLoads, s.limits.ConcurrentAdapterLoads), true
	}
	s.loadTokens = min(modelLoadBurst, s.loadTokens+(s.clock.now-s.refilledAt).Seconds()*s.limits.ModelLoadRate)
	s.refilledAt = s.clock.now
	if s.loadTokens < 1 {
		return 0, false
	}
	s.loadTokens--
	s.activeModelLoads++
	return contendedLoadTime(time.Duration(float64(size)/weightBytesPerSecond*float64(time.Second)), s.activeModelLoads, s.limits.ConcurrentModelLoads), true
}

// contendedLoadTime returns the duration of a load that takes uncontended when it runs
// alone. Up to limit concurrent loads run at full speed; more share the bandwidth.
func contendedLoadTime(uncontended time.Duration, loads, limit int) time.Duration {
	return time.Duration(float64(uncontended) * max(1, float64(loads)/float64(limit)))
}

// sequence is a request inside an engine.
type sequence struct {
	model       configurator.ModelName
	promptLeft  int              // tokens still to prefill
	outputLeft  int              // tokens still to decode
	chunkTokens int              // zero before the first chunk, then one more than the tokens decoded since the last chunk
	emit        func(chunks int) // sends chunks of the response; always called with 1
	finish      func()           // called after the last token
	ended       bool             // complete or aborted
}

// engine simulates the model engine of a runner, with continuous batching.
type engine struct {
	clock            *clock
	store            *weightStore
	upstream         configurator.Upstream
	baseModels       map[configurator.ModelName]configurator.ModelName // by model or adapter; a model is its own base
	residents        map[configurator.ModelName]configurator.Bytes     // sizes of the resident models and adapters
	loading          map[configurator.ModelName]configurator.Bytes     // sizes of those being loaded
	highestNumber    reserver.OrderNumber                              // highest order number seen
	running          []*sequence
	stepping         bool // a step is under way
	incarnation      int  // number of failures so far; steps and loads of an earlier incarnation are dropped
	failed           bool
	busyTime         time.Duration      // total time of all steps
	peakBytes        configurator.Bytes // maximum of usedBytes
	counters         EngineCounters
	residentsChanged func() // called after each change of residents
}

// canServe reports whether m and its base model are resident.
func (e *engine) canServe(m configurator.ModelName) bool {
	return !e.failed && e.residents[m] > 0 && e.residents[e.baseModels[m]] > 0
}

// add adds a sequence to the batch; its prefill starts with the next step.
func (e *engine) add(s *sequence) {
	e.running = append(e.running, s)
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// step prefills up to prefillTokensPerStep prompt tokens, decodes one token for each
// sequence whose prompt is prefilled, and starts the next step.
func (e *engine) step() {
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.ended })
	if len(e.running) == 0 || e.failed {
		e.stepping = false
		return
	}
	prefillBudget := prefillTokensPerStep
	var decoding []*sequence
	for _, s := range e.running {
		if s.promptLeft > 0 {
			n := min(prefillBudget, s.promptLeft)
			s.promptLeft -= n
			prefillBudget -= n
		}
		if s.promptLeft == 0 {
			decoding = append(decoding, s)
		}
	}
	stepTime := decodeStepBase + time.Duration(len(decoding))*decodeStepPerSequence + time.Duration(prefillTokensPerStep-prefillBudget)*prefillPerToken
	e.busyTime += stepTime
	incarnation := e.incarnation
	e.clock.after(stepTime, func() {
		if e.incarnation != incarnation {
			return
		}
		for _, s := range decoding {
			e.decode(s)
		}
		e.step()
	})
}

// decode generates one token. The first token is a chunk of its own, so that it
// reaches the caller at once.
func (e *engine) decode(s *sequence) {
	if s.ended {
		return
	}
	s.outputLeft--
	s.chunkTokens++
	first := s.chunkTokens == 1 && s.emit != nil
	if first || s.chunkTokens > tokensPerChunk || s.outputLeft <= 0 {
		s.emit(1)
		s.chunkTokens = 1
	}
	if s.outputLeft <= 0 {
		s.ended = true
		s.finish()
	}
}

// load starts to load a model or adapter and reports whether it was accepted. An
// adapter is refused while its base model is not resident.
func (e *engine) load(m configurator.ModelName, size configurator.Bytes) bool {
	if e.failed {
		return false
	}
	if e.residents[m] > 0 || e.loading[m] > 0 {
		return true
	}
	adapter := e.baseModels[m] != m
	if adapter && e.residents[e.baseModels[m]] == 0 {
		return false
	}
	loadTime, ok := e.store.startLoad(size, adapter)
	if !ok {
		e.counters.RefusedLoads++
		return false
	}
	if adapter {
		e.counters.AdapterLoads++
	} else {
		e.counters.ModelLoads++
	}
	e.loading[m] = size
	e.updatePeak()
	incarnation := e.incarnation
	e.clock.after(loadTime, func() {
		if adapter {
			e.store.activeAdapterLoads--
		} else {
			e.store.activeModelLoads--
		}
		if e.incarnation != incarnation || e.loading[m] == 0 {
			return
		}
		delete(e.loading, m)
		e.residents[m] = size
		e.updatePeak()
		e.residentsChanged()
	})
	return true
}

// unload removes a model or adapter; with a model, the adapters based on it go too.
func (e *engine) unload(m configurator.ModelName) {
	if e.residents[m] > 0 && e.baseModels[m] == m {
		e.counters.ModelUnloads++
	}
	for name := range e.residents {
		if name == m || e.baseModels[m] == m && e.baseModels[name] == m {
			delete(e.residents, name)
		}
	}
	delete(e.loading, m)
	e.residentsChanged()
}

// usedBytes returns the memory of everything that is resident or being loaded.
func (e *engine) usedBytes() configurator.Bytes {
	var sum configurator.Bytes
	for _, b := range e.residents {
		sum += b
	}
	for _, b := range e.loading {
		sum += b
	}
	return sum
}

func (e *engine) updatePeak() {
	e.peakBytes = max(e.peakBytes, e.usedBytes())
}

// fail crashes the engine: it loses its residents and sequences and accepts nothing
// until failed is reset.
func (e *engine) fail() {
	e.incarnation++
	e.failed = true
	e.stepping = false
	e.running = nil
	clear(e.residents)
	clear(e.loading)
	e.residentsChanged()
}

func (e *engine) report() reserver.EngineReport {
	r := reserver.EngineReport{HighestNumber: e.highestNumber, Active: len(e.running)}
	for m, b := range e.residents {
		r.Residents = append(r.Residents, reserver.ModelSize{Model: m, Bytes: b})
	}
	for m, b := range e.loading {
		r.Loading = append(r.Loading, reserver.ModelSize{Model: m, Bytes: b})
	}
	return r
}
