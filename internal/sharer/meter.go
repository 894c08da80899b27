package sharer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Timing and limits of a Meter.
const (
	rateTime     = 4 * time.Second // over which rates are averaged
	burstTime    = time.Second     // over which a share that was not used may be used later
	burstWork    = 3.0             // requests that may always be within a share at once
	servedShare  = 0.9             // of the arriving work; while more is served, there is room for all
	forgetFactor = 1e-3            // of a request; a workspace that sends fewer per second is forgotten
)

// Meter tells which requests lie beyond the share of their workspace while less work is
// served than arrives. The share is max-min fair: those who want less than an equal part, by
// weight, get all they want, and the others the same level. Its zero value is ready for use.
//
// Unlike the tags of a Clock it does not need competing requests to wait at the same
// place: where each of many senders has few requests, those beyond the share can be
// marked, so that a server that knows nothing of workspaces takes them last.
type Meter struct {
	flows  map[registrar.WorkspaceName]*meterFlow
	served rate
	level  float64 // work per second and weight of the workspaces with a full share, +Inf if there is room for all
	part   float64 // of the arriving work that is served
	rows   []meterRow
}

// meterFlow is the state of one workspace.
type meterFlow struct {
	arrived rate
	weight  float64
	largest float64 // work of a request lately
	credit  float64 // work within the share that has not been used
	at      time.Duration
}

// meterRow is a workspace in the computation of the level.
type meterRow struct{ rate, weight float64 }

// rate is a rate of work per second, averaged over rateTime.
type rate struct {
	value float64
	at    time.Duration
}

func (r *rate) decay(now time.Duration) {
	r.value *= math.Exp(-float64(now-r.at) / float64(rateTime))
	r.at = now
}

func (r *rate) add(now time.Duration, work float64) {
	r.decay(now)
	r.value += work / rateTime.Seconds()
}

// Arrive records an arrived request and reports whether it lies beyond the share of its
// workspace. The weight must be positive.
func (m *Meter) Arrive(now time.Duration, w registrar.WorkspaceName, weight, work float64) bool {
	f := m.flows[w]
	if f == nil {
		if m.flows == nil {
			m.flows, m.level = map[registrar.WorkspaceName]*meterFlow{}, math.Inf(1)
		}
		f = &meterFlow{arrived: rate{at: now}, at: now, credit: burstWork * work}
		m.flows[w] = f
	}
	f.weight = weight
	f.arrived.add(now, work)
	f.largest = max(work, f.largest*math.Exp(-float64(now-f.at)/float64(rateTime)))
	most := max(m.share(f)*burstTime.Seconds(), burstWork*f.largest)
	if math.IsInf(m.level, 1) {
		f.credit = burstWork * f.largest
	} else {
		f.credit = min(f.credit+m.share(f)*(now-f.at).Seconds(), most)
	}
	f.at = now
	if math.IsInf(m.level, 1) {
		return false
	}
	if f.credit < work {
		return true
	}
	f.credit -= work
	return false
}

// share returns the work per second that a workspace gets of the room.
func (m *Meter) share(f *meterFlow) float64 {
	return max(m.level*f.weight, FloorShare*m.part*f.arrived.value)
}

// Serve records that a request was served.
func (m *Meter) Serve(now time.Duration, work float64) {
	m.served.add(now, work)
}

// Load is what a Meter knows of a workspace.
type Load struct {
	Workspace registrar.WorkspaceName
	Rate      float64 // arriving work per second
	Share     float64 // work per second that it gets of the room, zero if there is room for all
}

// Loads returns the workspaces that sent requests lately, in the order of their names.
func (m *Meter) Loads(now time.Duration) []Load {
	all := make([]Load, 0, len(m.flows))
	for w, f := range m.flows {
		f.arrived.decay(now)
		l := Load{Workspace: w, Rate: f.arrived.value}
		if !math.IsInf(m.level, 1) {
			l.Share = m.share(f)
		}
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b Load) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return all
}

// Update computes the shares from the rates of the last seconds. It is called
// periodically.
func (m *Meter) Update(now time.Duration) {
	m.served.decay(now)
	m.rows = m.rows[:0]
	total := 0.0
	for w, f := range m.flows {
		f.arrived.decay(now)
		if f.arrived.value < forgetFactor*f.largest {
			delete(m.flows, w)
			continue
		}
		m.rows = append(m.rows, meterRow{f.arrived.value, f.weight})
	}
	slices.SortFunc(m.rows, func(a, b meterRow) int {
		return cmp.Or(cmp.Compare(a.rate/a.weight, b.rate/b.weight), cmp.Compare(a.weight, b.weight))
	})
	weight := 0.0
	for _, row := range m.rows {
		total += row.rate
		weight += row.weight
	}
	m.level, m.part = math.Inf(1), 1
	if len(m.rows) < 2 || m.served.value >= servedShare*total {
		return
	}
	m.part = m.served.value / total
	left := m.served.value
	for _, row := range m.rows {
		if row.rate*weight > left*row.weight {
			m.level = left / weight
			return
		}
		left -= row.rate
		weight -= row.weight
	}
}
