package evaluator

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// EngineCounters counts the loads and unloads of engines.
type EngineCounters struct {
	ModelLoads   int `json:"loads"`    // started
	ModelUnloads int `json:"unloads"`  // of resident models
	AdapterLoads int `json:"adapters"` // started
	RefusedLoads int `json:"refused"`  // model loads that the rate limit of the store refused
}

// ClassResult is the outcome of the requests of a class, as its callers see it.
type ClassResult struct {
	Class                configurator.ClassName `json:"class"`
	Sent                 int                    `json:"sent"`    // requests
	WithinTargets        int                    `json:"within"`  // complete responses within all targets of the class
	FirstTokenP95Ms      float64                `json:"first95"` // 95th percentile of the time to the first token, in milliseconds
	MaxFirstTokenSeconds float64                `json:"longest"` // maximum of the time to the first token
	firstTokenLatencies  []time.Duration
	failures             int // responses that are incomplete or have no token
}

// Result is the outcome of a policy in a scenario.
type Result struct {
	Policy                   string         `json:"policy"`
	Scenario                 string         `json:"scenario"`
	Classes                  []*ClassResult `json:"classes"`
	ShareWithinTargets       float64        `json:"share"`      // of all requests
	AttainmentPerAccelerator float64        `json:"attainment"` // ShareWithinTargets divided by Accelerators
	Counters                 EngineCounters `json:"moves"`
	UnavailableSeconds       float64        `json:"unreachable"`  // time during which a model is resident nowhere, summed over the models
	OvercommittedBytes       int64          `json:"over"`         // peak excess over the memory for weights, summed over the runners
	Utilization              float64        `json:"busy"`         // share of time during which engines compute
	Accelerators             int            `json:"accelerators"` // of all runners
}

// trackedRequest is a request with the progress of its response as the caller sees it.
type trackedRequest struct {
	request      Request       // its ArrivesAt counts from the start of the simulation
	firstChunkAt time.Duration // zero before the first token
	lastChunkAt  time.Duration
	ended        bool
	complete     bool // ended without an error
}

// simulation is the state that all policies share: the clock, the engines, and what is
// measured of requests and models.
type simulation struct {
	clock    *clock
	cfg      configurator.Configuration
	engines  []*engine
	requests []*trackedRequest

	unavailableSince map[configurator.ModelName]time.Duration // by model that is resident nowhere
	unavailableTime  time.Duration                            // of earlier periods, summed over the models
}

// updateAvailability accounts for the models that are resident nowhere. It is called
// after every change of residents.
func (s *simulation) updateAvailability() {
	for _, model := range s.cfg.Models {
		available := slices.ContainsFunc(s.engines, func(e *engine) bool { return e.canServe(model.Name) })
		since, unavailable := s.unavailableSince[model.Name]
		switch {
		case available && unavailable:
			s.unavailableTime += s.clock.now - since
			delete(s.unavailableSince, model.Name)
		case !available && !unavailable:
			s.unavailableSince[model.Name] = s.clock.now
		}
	}
}

// result evaluates the simulation after its end.
func (s *simulation) result(policy, scenario string, duration time.Duration) *Result {
	r := &Result{Policy: policy, Scenario: scenario}
	for _, c := range s.cfg.Classes {
		r.Classes = append(r.Classes, &ClassResult{Class: c.Name})
	}
	sent, withinTargets := 0, 0
	for _, t := range s.requests {
		i := slices.IndexFunc(r.Classes, func(c *ClassResult) bool { return c.Class == t.request.Caller.Class })
		r.Classes[i].addRequest(t, s.cfg.Classes[i])
	}
	for _, c := range r.Classes {
		c.computeLatencies()
		sent += c.Sent
		withinTargets += c.WithinTargets
	}
	for _, e := range s.engines {
		r.Accelerators += e.upstream.Accelerators
		r.Counters.ModelLoads += e.counters.ModelLoads
		r.Counters.ModelUnloads += e.counters.ModelUnloads
		r.Counters.AdapterLoads += e.counters.AdapterLoads
		r.Counters.RefusedLoads += e.counters.RefusedLoads
		r.OvercommittedBytes += max(0, int64(e.peakBytes-e.upstream.WeightMemory))
		r.Utilization += e.busyTime.Seconds() / duration.Seconds() / float64(len(s.engines))
	}
	for _, model := range s.cfg.Models {
		if since, unavailable := s.unavailableSince[model.Name]; unavailable {
			s.unavailableTime += s.clock.now - since
		}
	}
	r.UnavailableSeconds = s.unavailableTime.Seconds()
	r.ShareWithinTargets = float64(withinTargets) / float64(max(1, sent))
	r.AttainmentPerAccelerator = r.ShareWithinTargets / float64(max(1, r.Accelerators))
	return r
}

// addRequest counts a request and compares its time to the first token, the mean gap
// between tokens and the total time with the targets of its class.
func (c *ClassResult) addRequest(t *trackedRequest, class configurator.Class) {
	c.Sent++
	if t.firstChunkAt > 0 {
		c.firstTokenLatencies = append(c.firstTokenLatencies, t.firstChunkAt-t.request.ArrivesAt)
	}
	if !t.complete || t.firstChunkAt == 0 {
		c.failures++
		return
	}
	meanGap := time.Duration(0)
	if t.request.OutputTokens > 1 {
		meanGap = (t.lastChunkAt - t.firstChunkAt) / time.Duration(t.request.OutputTokens-1)
	}
	if t.firstChunkAt-t.request.ArrivesAt <= class.TargetFirstToken.Duration() && meanGap <= class.TargetGap.Duration() && t.lastChunkAt-t.request.ArrivesAt <= class.Timeout.Duration() {
		c.WithinTargets++
	}
}

// computeLatencies sets the latencies when all requests are added. They stay zero if
// none has a token.
func (c *ClassResult) computeLatencies() {
	if len(c.firstTokenLatencies) == 0 {
		return
	}
	slices.Sort(c.firstTokenLatencies)
	c.FirstTokenP95Ms = float64(c.firstTokenLatencies[len(c.firstTokenLatencies)*95/100].Microseconds()) / 1000
	c.MaxFirstTokenSeconds = c.firstTokenLatencies[len(c.firstTokenLatencies)-1].Seconds()
}
