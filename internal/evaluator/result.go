package evaluator

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// Moves counts what engines were ordered to do.
type Moves struct {
	Loads    int `json:"loads"`
	Unloads  int `json:"unloads"`
	Adapters int `json:"adapters"`
	Refused  int `json:"refused"` // loads that the store refused
}

// ClassResult is what callers of a class saw.
type ClassResult struct {
	Class    configurator.ClassName `json:"class"`
	Sent     int                    `json:"sent"`
	Within   int                    `json:"within"`
	First95  float64                `json:"first95"` // ms
	Longest  float64                `json:"longest"` // s to the first token
	firsts   []time.Duration
	failures int
}

// Result is the outcome of a policy in a scenario.
type Result struct {
	Policy       string         `json:"policy"`
	Scenario     string         `json:"scenario"`
	Classes      []*ClassResult `json:"classes"`
	Share        float64        `json:"share"`      // of requests within target
	Attainment   float64        `json:"attainment"` // share per accelerator
	Moves        Moves          `json:"moves"`
	Unreachable  float64        `json:"unreachable"` // model-seconds without a copy
	Over         int64          `json:"over"`        // overcommitted bytes
	Busy         float64        `json:"busy"`        // share of time that engines work
	Accelerators int            `json:"accelerators"`
}

// observed is one request as its caller sees it.
type observed struct {
	call  Call
	first time.Duration // time of the first token, zero without one
	last  time.Duration
	done  bool
	whole bool
}

// meter collects what callers see and what engines hold.
type meter struct {
	clock   *clock
	cfg     configurator.Configuration
	engines []*engine
	calls   []*observed

	lackFrom map[configurator.ModelName]time.Duration
	lack     time.Duration
}

// look notes models that are resident nowhere.
func (m *meter) look() {
	for _, model := range m.cfg.Models {
		held := slices.ContainsFunc(m.engines, func(e *engine) bool { return e.has(model.Name) })
		since, lacking := m.lackFrom[model.Name]
		switch {
		case held && lacking:
			m.lack += m.clock.now - since
			delete(m.lackFrom, model.Name)
		case !held && !lacking:
			m.lackFrom[model.Name] = m.clock.now
		}
	}
}

func (m *meter) result(policy, scenario string, length time.Duration) *Result {
	r := &Result{Policy: policy, Scenario: scenario}
	for _, c := range m.cfg.Classes {
		r.Classes = append(r.Classes, &ClassResult{Class: c.Name})
	}
	sent, within := 0, 0
	for _, o := range m.calls {
		i := slices.IndexFunc(r.Classes, func(c *ClassResult) bool { return c.Class == o.call.Caller.Class })
		r.Classes[i].add(o, m.cfg.Classes[i])
	}
	for _, c := range r.Classes {
		c.finish()
		sent += c.Sent
		within += c.Within
	}
	for _, e := range m.engines {
		r.Accelerators += e.upstream.Accelerators
		r.Moves.Loads += e.moves.Loads
		r.Moves.Unloads += e.moves.Unloads
		r.Moves.Adapters += e.moves.Adapters
		r.Moves.Refused += e.moves.Refused
		r.Over += max(0, int64(e.peak-e.upstream.WeightMemory))
		r.Busy += e.busy.Seconds() / length.Seconds() / float64(len(m.engines))
	}
	for _, model := range m.cfg.Models {
		if since, lacking := m.lackFrom[model.Name]; lacking {
			m.lack += m.clock.now - since
		}
	}
	r.Unreachable = m.lack.Seconds()
	r.Share = float64(within) / float64(max(1, sent))
	r.Attainment = r.Share / float64(max(1, r.Accelerators))
	return r
}

// add judges one request by the targets of its class.
func (c *ClassResult) add(o *observed, target configurator.Class) {
	c.Sent++
	if o.first > 0 {
		c.firsts = append(c.firsts, o.first-o.call.At)
	}
	if !o.whole || o.first == 0 {
		c.failures++
		return
	}
	gap := time.Duration(0)
	if o.call.Output > 1 {
		gap = (o.last - o.first) / time.Duration(o.call.Output-1)
	}
	if o.first-o.call.At <= target.TargetFirstToken.Duration() && gap <= target.TargetGap.Duration() && o.last-o.call.At <= target.Timeout.Duration() {
		c.Within++
	}
}

func (c *ClassResult) finish() {
	if len(c.firsts) == 0 {
		return
	}
	slices.Sort(c.firsts)
	c.First95 = float64(c.firsts[len(c.firsts)*95/100].Microseconds()) / 1000
	c.Longest = c.firsts[len(c.firsts)-1].Seconds()
}
