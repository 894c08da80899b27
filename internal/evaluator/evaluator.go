package evaluator

import (
	"time"

	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Policy names a column of the table.
type Policy string

// The policies that are compared.
const (
	Egretwall  Policy = "egretwall"
	RoundRobin Policy = "round robin, LRU"
	Static     Policy = "least outstanding, static"
	Bound      Policy = "bound: all resident everywhere"
)

// Policies lists the columns.
func Policies() []Policy {
	return []Policy{Egretwall, RoundRobin, Static, Bound}
}

// Run measures a policy in a scenario. Bound sees everything at once and has
// accelerator memory without limit; no policy that must load models beats it.
func Run(p Policy, cfg configurator.Configuration, s Scenario, trace []Call, seed uint64) *Result {
	m := prepare(cfg)
	homes := m.place()
	if !s.Cold {
		m.preload(homes)
	}
	var arrive func(int, *observed)
	var die func(i int)
	if p == Egretwall {
		c := newCluster(cfg, s, m, seed)
		arrive = c.arrive
		die = func(i int) { c.die(c.agents[i], seed) }
	} else {
		if p == Bound {
			m.fill()
		}
		b := newBaseline(cfg, m, homes, p != RoundRobin)
		arrive = func(_ int, o *observed) { b.arrive(o) }
		die = func(i int) { b.die(b.nodes[i]) }
		if s.Cold && b.static {
			for _, n := range b.nodes {
				b.restore(n)
			}
		}
	}
	m.look()
	for i, call := range trace {
		call.At += warmUp
		o := &observed{call: call}
		m.calls = append(m.calls, o)
		m.clock.after(call.At, func() { arrive(i, o) })
	}
	if s.Deaths != nil {
		m.clock.after(warmUp+s.DeathAt, func() {
			for i, e := range m.engines {
				if s.Deaths(i, string(e.upstream.Domain)) {
					die(i)
				}
			}
		})
	}
	length := warmUp + s.Length + drain
	m.clock.runUntil(length)
	return m.result(string(p), s.Name, length)
}

// prepare builds the engines of a configuration's runners.
func prepare(cfg configurator.Configuration) *meter {
	m := &meter{clock: &clock{}, cfg: cfg, lackFrom: map[configurator.ModelName]time.Duration{}}
	bases := map[configurator.ModelName]configurator.ModelName{}
	for _, model := range cfg.Models {
		bases[model.Name] = model.Name
	}
	for _, a := range cfg.Adapters {
		bases[a.Name] = a.Model
	}
	weights := &store{clock: m.clock, limits: cfg.Store, tokens: storeBurst}
	for _, u := range cfg.Upstreams {
		if u.Role != configurator.Runner {
			continue
		}
		m.engines = append(m.engines, &engine{
			clock: m.clock, store: weights, upstream: u, bases: bases, changed: m.look,
			residents: map[configurator.ModelName]configurator.Bytes{}, loading: map[configurator.ModelName]configurator.Bytes{},
		})
	}
	return m
}

// place returns the home copies of all models.
func (m *meter) place() placer.Placement {
	return placer.Place(&m.cfg, func(configurator.UpstreamName) bool { return true })
}

// preload puts the home copies in place, for all policies alike.
func (m *meter) preload(homes placer.Placement) {
	byName := map[configurator.UpstreamName]*engine{}
	for _, e := range m.engines {
		byName[e.upstream.Name] = e
	}
	for _, model := range m.cfg.Models {
		for _, u := range homes[model.Name] {
			byName[u].residents[model.Name] = model.Bytes
		}
	}
	for _, a := range m.cfg.Adapters {
		for _, u := range homes[a.Model] {
			byName[u].residents[a.Name] = a.Bytes
		}
	}
	for _, e := range m.engines {
		e.measure()
	}
}

// fill makes all models resident on all runners.
func (m *meter) fill() {
	for _, e := range m.engines {
		for _, model := range m.cfg.Models {
			e.residents[model.Name] = model.Bytes
		}
		for _, a := range m.cfg.Adapters {
			e.residents[a.Name] = a.Bytes
		}
	}
}

func newBaseline(cfg configurator.Configuration, m *meter, homes placer.Placement, static bool) *baseline {
	b := &baseline{clock: m.clock, cfg: cfg, meter: m, static: static, homes: homes, sizes: map[configurator.ModelName]configurator.Bytes{}}
	for _, model := range cfg.Models {
		b.sizes[model.Name] = model.Bytes
	}
	for _, a := range cfg.Adapters {
		b.sizes[a.Name] = a.Bytes
	}
	for _, e := range m.engines {
		n := &baselineNode{engine: e, used: map[configurator.ModelName]time.Duration{}, inUse: map[configurator.ModelName]int{}}
		e.changed = func() {
			m.look()
			b.clock.after(0, func() { b.pump(n) })
		}
		b.nodes = append(b.nodes, n)
	}
	return b
}
