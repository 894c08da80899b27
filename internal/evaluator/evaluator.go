package evaluator

import (
	"time"

	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Policy is the name of a policy, as printed in the table and in JSON.
type Policy string

// The policies that are compared.
const (
	Egretwall              Policy = "egretwall"                      // the reducers of this project
	RoundRobinLRU          Policy = "round robin, LRU"               // runners in turn; each loads what it lacks and evicts the least recently used model
	StaticLeastOutstanding Policy = "least outstanding, static"      // home copies only; routes to the runner with the fewest requests
	UpperBound             Policy = "bound: all resident everywhere" // all models resident on all runners until a runner restarts
)

// Policies lists the policies in the order of the table.
func Policies() []Policy {
	return []Policy{Egretwall, RoundRobinLRU, StaticLeastOutstanding, UpperBound}
}

// Run simulates a policy in a scenario and measures it. UpperBound knows the state
// of all runners at once and starts with all models resident on all runners, without
// a limit of accelerator memory. As long as no runner fails, no policy that has to
// load models does better.
func Run(p Policy, cfg configurator.Configuration, s Scenario, trace []Request, seed uint64) *Result {
	sim := newSimulation(cfg)
	homes := sim.homeCopies()
	if !s.ColdStart {
		sim.loadHomeCopies(homes)
	}
	var submit func(int, *trackedRequest)
	var failRunner func(i int)
	if p == Egretwall {
		c := newCluster(cfg, s, sim, seed)
		submit = c.submit
		failRunner = func(i int) { c.failRunner(c.agents[i], seed) }
	} else {
		if p == UpperBound {
			sim.loadAllModels()
		}
		b := newBaseline(cfg, sim, homes, p != RoundRobinLRU)
		submit = func(_ int, t *trackedRequest) { b.submit(t) }
		failRunner = func(i int) { b.failRunner(b.runners[i]) }
		if s.ColdStart && b.static {
			for _, r := range b.runners {
				b.loadHomeCopies(r)
			}
		}
	}
	sim.updateAvailability()
	for i, request := range trace {
		request.ArrivesAt += warmUpTime
		t := &trackedRequest{request: request}
		sim.requests = append(sim.requests, t)
		sim.clock.after(request.ArrivesAt, func() { submit(i, t) })
	}
	if s.Fails != nil {
		sim.clock.after(warmUpTime+s.FailureAt, func() {
			for i, e := range sim.engines {
				if s.Fails(i, string(e.upstream.Domain)) {
					failRunner(i)
				}
			}
		})
	}
	duration := warmUpTime + s.Duration + drainTime
	sim.clock.runUntil(duration)
	return sim.result(string(p), s.Name, duration)
}

// newSimulation returns a simulation with an engine for each runner of the
// configuration. The engines are empty and share one weight store.
func newSimulation(cfg configurator.Configuration) *simulation {
	s := &simulation{clock: &clock{}, cfg: cfg, unavailableSince: map[configurator.ModelName]time.Duration{}}
	baseModels := map[configurator.ModelName]configurator.ModelName{}
	for _, model := range cfg.Models {
		baseModels[model.Name] = model.Name
	}
	for _, a := range cfg.Adapters {
		baseModels[a.Name] = a.Model
	}
	weights := &weightStore{clock: s.clock, limits: cfg.Store, loadTokens: modelLoadBurst}
	for _, u := range cfg.Upstreams {
		if u.Role != configurator.Runner {
			continue
		}
		s.engines = append(s.engines, &engine{
			clock: s.clock, store: weights, upstream: u, baseModels: baseModels, residentsChanged: s.updateAvailability,
			residents: map[configurator.ModelName]configurator.Bytes{}, loading: map[configurator.ModelName]configurator.Bytes{},
		})
	}
	return s
}

// homeCopies returns the runners of the home copies of all models.
func (s *simulation) homeCopies() placer.Placement {
	return placer.Place(&s.cfg, func(configurator.UpstreamName) bool { return true })
}

// loadHomeCopies makes the home copies and their adapters resident at once. All
// policies start from this state unless the scenario is a cold start.
func (s *simulation) loadHomeCopies(homes placer.Placement) {
	byName := map[configurator.UpstreamName]*engine{}
	for _, e := range s.engines {
		byName[e.upstream.Name] = e
	}
	for _, model := range s.cfg.Models {
		for _, u := range homes[model.Name] {
			byName[u].residents[model.Name] = model.Bytes
		}
	}
	for _, a := range s.cfg.Adapters {
		for _, u := range homes[a.Model] {
			byName[u].residents[a.Name] = a.Bytes
		}
	}
	for _, e := range s.engines {
		e.updatePeak()
	}
}

// loadAllModels makes all models and adapters resident on all runners at once.
func (s *simulation) loadAllModels() {
	for _, e := range s.engines {
		for _, model := range s.cfg.Models {
			e.residents[model.Name] = model.Bytes
		}
		for _, a := range s.cfg.Adapters {
			e.residents[a.Name] = a.Bytes
		}
	}
}

// newBaseline returns a baseline on the engines of a simulation: least outstanding
// requests among the resident copies if static is set, round robin otherwise.
func newBaseline(cfg configurator.Configuration, sim *simulation, homeCopies placer.Placement, static bool) *baseline {
	b := &baseline{clock: sim.clock, cfg: cfg, sim: sim, static: static, homeCopies: homeCopies, sizes: map[configurator.ModelName]configurator.Bytes{}}
	for _, model := range cfg.Models {
		b.sizes[model.Name] = model.Bytes
	}
	for _, a := range cfg.Adapters {
		b.sizes[a.Name] = a.Bytes
	}
	for _, e := range sim.engines {
		r := &baselineRunner{engine: e, lastUsed: map[configurator.ModelName]time.Duration{}, activeByBase: map[configurator.ModelName]int{}}
		e.residentsChanged = func() {
			sim.updateAvailability()
			b.clock.after(0, func() { b.startQueued(r) })
		}
		b.runners = append(b.runners, r)
	}
	return b
}
