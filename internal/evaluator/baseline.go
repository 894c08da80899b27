package evaluator

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// baseline is a simple policy that sees everything at once and loses no
// message. Each runner has a queue in order of arrival.
type baseline struct {
	clock  *clock
	cfg    configurator.Configuration
	meter  *meter
	sizes  map[configurator.ModelName]configurator.Bytes
	turn   int
	static bool // least outstanding work among home copies, no loads
	homes  map[configurator.ModelName][]configurator.UpstreamName
	nodes  []*baselineNode
}

type baselineNode struct {
	engine *engine
	queue  []*observed
	active int
	used   map[configurator.ModelName]time.Duration
	inUse  map[configurator.ModelName]int
}

// retryLoad is how long a refused load waits.
const retryLoad = 200 * time.Millisecond

func (b *baseline) arrive(o *observed) {
	n := b.choose(o)
	if n == nil {
		b.clock.after(retryLoad, func() { b.arrive(o) })
		return
	}
	n.queue = append(n.queue, o)
	b.pump(n)
}

func (b *baseline) choose(o *observed) *baselineNode {
	if !b.static {
		for range b.nodes {
			b.turn++
			if n := b.nodes[b.turn%len(b.nodes)]; !n.engine.dead {
				return n
			}
		}
		return nil
	}
	var best *baselineNode
	for _, n := range b.nodes {
		if !n.engine.has(o.call.Model) {
			continue
		}
		if best == nil || len(n.queue)+n.active < len(best.queue)+best.active {
			best = n
		}
	}
	return best
}

// pump starts what can run, and loads what the first waiting call needs.
func (b *baseline) pump(n *baselineNode) {
	for len(n.queue) > 0 && n.active < n.engine.upstream.Slots && !n.engine.dead {
		i := slices.IndexFunc(n.queue, func(o *observed) bool { return n.engine.has(o.call.Model) })
		if i < 0 {
			b.fetch(n, n.queue[0].call.Model)
			return
		}
		o := n.queue[i]
		n.queue = slices.Delete(n.queue, i, i+1)
		b.run(n, o)
		if i > 0 {
			b.fetch(n, n.queue[0].call.Model)
		}
	}
}

func (b *baseline) run(n *baselineNode, o *observed) {
	m := o.call.Model
	n.active++
	n.inUse[n.engine.bases[m]]++
	n.used[m], n.used[n.engine.bases[m]] = b.clock.now, b.clock.now
	s := &sequence{model: m, prompt: o.call.Prompt, output: max(1, o.call.Output)}
	s.emit = func(int) {
		if o.first == 0 {
			o.first = b.clock.now
		}
		o.last = b.clock.now
	}
	s.done = func() {
		n.active--
		n.inUse[n.engine.bases[m]]--
		o.done, o.whole = true, true
		b.pump(n)
	}
	n.engine.add(s)
}

// fetch loads a model with its base and unloads the least recently used ones.
func (b *baseline) fetch(n *baselineNode, m configurator.ModelName) {
	base := n.engine.bases[m]
	if n.engine.residents[base] == 0 {
		m = base
	}
	if n.engine.loading[m] > 0 || n.engine.residents[m] > 0 {
		return
	}
	for n.engine.used()+b.sizes[m] > n.engine.upstream.WeightMemory {
		v := b.victim(n, base)
		if v == "" {
			return
		}
		n.engine.unload(v)
	}
	if !n.engine.load(m, b.sizes[m]) {
		b.clock.after(retryLoad, func() { b.pump(n) })
	}
}

func (b *baseline) victim(n *baselineNode, keep configurator.ModelName) configurator.ModelName {
	var victim configurator.ModelName
	for _, model := range b.cfg.Models {
		m := model.Name
		if m == keep || n.engine.residents[m] == 0 || n.inUse[m] > 0 {
			continue
		}
		if victim == "" || n.used[m] < n.used[victim] {
			victim = m
		}
	}
	return victim
}

// die loses what a runner holds; its calls start again elsewhere.
func (b *baseline) die(n *baselineNode) {
	n.engine.kill()
	lost := n.queue
	n.queue, n.active = nil, 0
	clear(n.inUse)
	for _, o := range lost {
		b.arrive(o)
	}
	b.clock.after(restartAfter, func() {
		n.engine.dead = false
		if b.static {
			b.restore(n)
		}
	})
}

// restore loads the home copies of a runner that came back.
func (b *baseline) restore(n *baselineNode) {
	missing := false
	for _, m := range b.cfg.Models {
		if slices.Contains(b.homes[m.Name], n.engine.upstream.Name) && n.engine.residents[m.Name] == 0 {
			missing = true
			n.engine.load(m.Name, m.Bytes)
		}
	}
	for _, a := range b.cfg.Adapters {
		if n.engine.residents[a.Model] > 0 && n.engine.residents[a.Name] == 0 {
			missing = true
			n.engine.load(a.Name, a.Bytes)
		}
	}
	if missing && !n.engine.dead {
		b.clock.after(retryLoad, func() { b.restore(n) })
	}
}
