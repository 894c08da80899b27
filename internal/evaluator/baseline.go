package evaluator

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// baseline is a simple policy that knows the state of all runners at once and loses
// no message. Each runner has a queue in order of arrival.
type baseline struct {
	clock  *clock
	cfg    configurator.Configuration
	sim    *simulation
	sizes  map[configurator.ModelName]configurator.Bytes // of models and adapters
	cursor int                                           // of the round robin over runners
	// static routes to the runner with the fewest requests among those that hold the
	// model, and loads only home copies. Otherwise the runners take turns and load
	// what they lack.
	static     bool
	homeCopies map[configurator.ModelName][]configurator.UpstreamName
	runners    []*baselineRunner
}

// baselineRunner is a runner with the requests routed to it.
type baselineRunner struct {
	engine       *engine
	queue        []*trackedRequest
	active       int                                      // running requests
	lastUsed     map[configurator.ModelName]time.Duration // start of the last request, by model or adapter
	activeByBase map[configurator.ModelName]int           // running requests, by base model
}

// loadRetryDelay is the time until a refused load is tried again, and until a request
// that no runner can take is routed again.
const loadRetryDelay = 200 * time.Millisecond

// submit routes a request to the queue of a runner.
func (b *baseline) submit(t *trackedRequest) {
	r := b.chooseRunner(t)
	if r == nil {
		b.clock.after(loadRetryDelay, func() { b.submit(t) })
		return
	}
	r.queue = append(r.queue, t)
	b.startQueued(r)
}

// chooseRunner returns the runner for a request, nil if there is none now.
func (b *baseline) chooseRunner(t *trackedRequest) *baselineRunner {
	if !b.static {
		for range b.runners {
			b.cursor++
			if r := b.runners[b.cursor%len(b.runners)]; !r.engine.failed {
				return r
			}
		}
		return nil
	}
	var best *baselineRunner
	for _, r := range b.runners {
		if !r.engine.canServe(t.request.Model) {
			continue
		}
		if best == nil || len(r.queue)+r.active < len(best.queue)+best.active {
			best = r
		}
	}
	return best
}

// startQueued starts the queued requests whose model is resident while slots are free,
// and loads the model of the first request left in the queue.
func (b *baseline) startQueued(r *baselineRunner) {
	for len(r.queue) > 0 && r.active < r.engine.upstream.Slots && !r.engine.failed {
		i := slices.IndexFunc(r.queue, func(t *trackedRequest) bool { return r.engine.canServe(t.request.Model) })
		if i < 0 {
			b.loadModel(r, r.queue[0].request.Model)
			return
		}
		t := r.queue[i]
		r.queue = slices.Delete(r.queue, i, i+1)
		b.start(r, t)
		if i > 0 {
			b.loadModel(r, r.queue[0].request.Model)
		}
	}
}

// start runs a request on the engine of a runner.
func (b *baseline) start(r *baselineRunner, t *trackedRequest) {
	m := t.request.Model
	r.active++
	r.activeByBase[r.engine.baseModels[m]]++
	r.lastUsed[m], r.lastUsed[r.engine.baseModels[m]] = b.clock.now, b.clock.now
	s := &sequence{model: m, promptLeft: t.request.PromptTokens, outputLeft: max(1, t.request.OutputTokens)}
	s.emit = func(int) {
		if t.firstChunkAt == 0 {
			t.firstChunkAt = b.clock.now
		}
		t.lastChunkAt = b.clock.now
	}
	s.finish = func() {
		r.active--
		r.activeByBase[r.engine.baseModels[m]]--
		t.ended, t.complete = true, true
		b.startQueued(r)
	}
	r.engine.add(s)
}

// loadModel starts to load the base model of m or, if that is resident, m itself. It
// unloads the least recently used models that are not in use to make room.
func (b *baseline) loadModel(r *baselineRunner, m configurator.ModelName) {
	base := r.engine.baseModels[m]
	if r.engine.residents[base] == 0 {
		m = base
	}
	if r.engine.loading[m] > 0 || r.engine.residents[m] > 0 {
		return
	}
	for r.engine.usedBytes()+b.sizes[m] > r.engine.upstream.WeightMemory {
		victim := b.leastRecentlyUsed(r, base)
		if victim == "" {
			return
		}
		r.engine.unload(victim)
	}
	if !r.engine.load(m, b.sizes[m]) {
		b.clock.after(loadRetryDelay, func() { b.startQueued(r) })
	}
}

// leastRecentlyUsed returns the resident model other than keep that has no running
// request and was used longest ago, or an empty name.
func (b *baseline) leastRecentlyUsed(r *baselineRunner, keep configurator.ModelName) configurator.ModelName {
	var victim configurator.ModelName
	for _, model := range b.cfg.Models {
		m := model.Name
		if m == keep || r.engine.residents[m] == 0 || r.activeByBase[m] > 0 {
			continue
		}
		if victim == "" || r.lastUsed[m] < r.lastUsed[victim] {
			victim = m
		}
	}
	return victim
}

// failRunner fails a runner until restartDelay has passed. Its queued requests are
// routed again; its running requests never complete.
func (b *baseline) failRunner(r *baselineRunner) {
	r.engine.fail()
	queued := r.queue
	r.queue, r.active = nil, 0
	clear(r.activeByBase)
	for _, t := range queued {
		b.submit(t)
	}
	b.clock.after(restartDelay, func() {
		r.engine.failed = false
		if b.static {
			b.loadHomeCopies(r)
		}
	})
}

// loadHomeCopies loads the missing home copies of a runner and then their adapters,
// and tries again until all are resident.
func (b *baseline) loadHomeCopies(r *baselineRunner) {
	missing := false
	for _, m := range b.cfg.Models {
		if slices.Contains(b.homeCopies[m.Name], r.engine.upstream.Name) && r.engine.residents[m.Name] == 0 {
			missing = true
			r.engine.load(m.Name, m.Bytes)
		}
	}
	for _, a := range b.cfg.Adapters {
		if r.engine.residents[a.Model] > 0 && r.engine.residents[a.Name] == 0 {
			missing = true
			r.engine.load(a.Name, a.Bytes)
		}
	}
	if missing && !r.engine.failed {
		b.clock.after(loadRetryDelay, func() { b.loadHomeCopies(r) })
	}
}
