package stocker

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// engine describes the runners of the steward's service, nil before the
// configuration and the list are known.
func (s *Stocker) engine() *registrar.Engine {
	if s.current == nil || s.self == nil {
		return nil
	}
	return s.current.Services[s.self.Service].Engine
}

// decide gives the next order, if there is reason for one.
func (s *Stocker) decide() {
	e := s.engine()
	if e == nil || !s.settled || s.fence == 0 || s.sending || s.now < s.pause || s.state.Draining || s.self.State != registrar.Ready {
		return
	}
	if s.adapter(e) || s.state.Busy {
		return
	}
	s.model(e)
}

// free is the memory that is not taken by what the runner holds or fetches.
func (s *Stocker) free(e *registrar.Engine) registrar.Megabytes {
	free := e.Weights
	for _, h := range s.state.Holdings {
		m := e.Models[h.Model]
		free -= m.Weights + m.Adapter*registrar.Megabytes(len(h.Adapters))
	}
	for _, c := range s.state.Coming {
		free -= e.Models[c.Model].Adapter
	}
	return free
}

// adapter orders a wanted adapter and tells whether it gave an order.
func (s *Stocker) adapter(e *registrar.Engine) bool {
	s.wants = slices.DeleteFunc(s.wants, func(w want) bool { return s.now-w.at > wantLife || s.present(w.adapter) })
	if len(s.wants) == 0 || len(s.state.Coming) >= comingBound {
		return false
	}
	resident := len(s.state.Coming)
	for _, h := range s.state.Holdings {
		resident += len(h.Adapters)
	}
	for _, w := range s.wants {
		if !s.holds(w.adapter.Model) || w.adapter.Model == s.leaving {
			continue
		}
		if resident < e.AdapterSlots && s.free(e) >= e.Models[w.adapter.Model].Adapter {
			s.send(Load, w.adapter.Model, w.adapter.Name, "wanted")
			return true
		}
		if oldest, ok := s.oldestAdapter(); ok {
			s.send(Unload, oldest.Model, oldest.Name, "for "+string(w.adapter.Model)+"/"+string(w.adapter.Name))
			s.used[oldest] = s.now // the next one goes if this one is in use
			return true
		}
	}
	return false
}

// present tells whether an adapter is held or on its way.
func (s *Stocker) present(a registrar.AdapterID) bool {
	if slices.Contains(s.state.Coming, a) {
		return true
	}
	return slices.ContainsFunc(s.state.Holdings, func(h registrar.Holding) bool {
		return h.Model == a.Model && slices.Contains(h.Adapters, a.Name)
	})
}

// oldestAdapter returns the held adapter that was wanted longest ago.
func (s *Stocker) oldestAdapter() (registrar.AdapterID, bool) {
	var oldest registrar.AdapterID
	found := false
	for _, h := range s.state.Holdings {
		for _, name := range h.Adapters {
			a := registrar.AdapterID{Model: h.Model, Name: name}
			if !found || s.used[a] < s.used[oldest] {
				oldest, found = a, true
			}
		}
	}
	return oldest, found
}

// model orders a model to come or to make way.
func (s *Stocker) model(e *registrar.Engine) {
	v := s.view(e)
	m, reason := s.missing(v)
	spare := func(x registrar.ModelName) bool { return v.copies[x] > 1 }
	if m == "" {
		m, reason = s.short(v)
		spare = func(x registrar.ModelName) bool {
			return v.copies[x] > v.targets[x] && v.value(x, -1)*gain < v.value(m, 1)
		}
	}
	if m == "" || !s.mayLoad(e, v, m) {
		return
	}
	if s.free(e) >= e.Models[m].Weights {
		if !slices.Contains(s.state.Warm, m) && !slices.Contains(s.state.Disk, m) {
			s.stored = s.now
		}
		s.send(Load, m, "", reason)
		return
	}
	if victim, ok := s.victim(v, spare); ok {
		s.leaving = victim
		s.tell()
		s.send(Unload, victim, "", "for "+string(m))
	}
}

// view is what a steward knows of all runners of the service.
type view struct {
	runners []*registrar.Upstream // that take work
	holders map[registrar.ModelName][]configurator.UpstreamName
	copies  map[registrar.ModelName]int
	rates   map[registrar.ModelName]float64
	waiting map[registrar.ModelName]int
	targets map[registrar.ModelName]int
	models  []registrar.ModelName // by name
}

// value is the demand that each copy serves if there were more of them.
func (v *view) value(m registrar.ModelName, more int) float64 {
	return v.rates[m] / float64(max(1, v.copies[m]+more))
}

func (s *Stocker) view(e *registrar.Engine) *view {
	v := &view{
		holders: map[registrar.ModelName][]configurator.UpstreamName{}, copies: map[registrar.ModelName]int{},
		rates: map[registrar.ModelName]float64{}, waiting: map[registrar.ModelName]int{}, targets: map[registrar.ModelName]int{},
	}
	for m := range e.Models {
		v.models = append(v.models, m)
	}
	slices.Sort(v.models)
	for _, u := range s.peers {
		if u.State != registrar.Ready {
			continue
		}
		v.runners = append(v.runners, u)
		for _, h := range s.holdingsOf(u) {
			v.holders[h.Model] = append(v.holders[h.Model], configurator.UpstreamName(u.ID))
			v.copies[h.Model]++
		}
	}
	for _, d := range s.demands {
		if s.now-d.at > demandLife {
			continue
		}
		for _, m := range d.all {
			v.rates[m.Model] += m.Rate
			v.waiting[m.Model] += m.Waiting
		}
	}
	v.aim(e)
	return v
}

// holdingsOf prefers the runner's own state to its entry in the list.
func (s *Stocker) holdingsOf(u *registrar.Upstream) []registrar.Holding {
	if u == s.self {
		return s.state.Holdings
	}
	return u.Holdings
}

// aim spreads the places of all runners over the models: one copy for each, and
// the others by demand for a copy.
func (v *view) aim(e *registrar.Engine) {
	var largest registrar.Megabytes
	for _, m := range e.Models {
		largest = max(largest, m.Weights)
	}
	if largest <= 0 || len(v.runners) == 0 {
		return
	}
	places := len(v.runners) * int(e.Weights/largest)
	for _, m := range v.models {
		v.targets[m] = 1
		places--
	}
	for ; places > 0; places-- {
		best := registrar.ModelName("")
		for _, m := range v.models {
			if v.targets[m] >= len(v.runners) || v.rates[m] < busyRate*float64(v.targets[m]) {
				continue
			}
			if best == "" || v.rates[m]/float64(v.targets[m]) > v.rates[best]/float64(v.targets[best]) {
				best = m
			}
		}
		if best == "" {
			return
		}
		v.targets[best]++
	}
}

// missing returns a model without any copy that this runner should take.
func (s *Stocker) missing(v *view) (registrar.ModelName, string) {
	var lacking []registrar.ModelName
	for _, m := range v.models {
		if v.copies[m] > 0 {
			delete(s.lacking, m)
			continue
		}
		if _, ok := s.lacking[m]; !ok {
			s.lacking[m] = s.now
		}
		lacking = append(lacking, m)
	}
	slices.SortStableFunc(lacking, func(a, b registrar.ModelName) int {
		return cmp.Or(cmp.Compare(v.waiting[b], v.waiting[a]), cmp.Compare(v.rates[b], v.rates[a]))
	})
	for _, m := range lacking {
		since := s.now - s.lacking[m]
		if s.rank(v, m) <= int(since/takeover) {
			return m, "no copy"
		}
	}
	return "", ""
}

// rank counts the runners that go before this one for a further copy.
func (s *Stocker) rank(v *view, m registrar.ModelName) int {
	own := s.order(s.self, m)
	rank := 0
	for _, u := range v.runners {
		if u != s.self && !u.Holds(m) && s.order(u, m).before(own) {
			rank++
		}
	}
	return rank
}

// order ranks a runner for a copy: those with the weights at hand go first.
type order struct {
	tier  int
	score uint64
}

func (o order) before(other order) bool {
	return o.tier < other.tier || o.tier == other.tier && o.score > other.score
}

func (s *Stocker) order(u *registrar.Upstream, m registrar.ModelName) order {
	o := order{tier: 2, score: placer.Score(string(m), string(u.ID))}
	switch {
	case slices.Contains(u.Warm, m):
		o.tier = 0
	case slices.Contains(u.Disk, m):
		o.tier = 1
	}
	return o
}

// short returns the model whose copies serve most, if this runner should take a
// further one.
func (s *Stocker) short(v *view) (registrar.ModelName, string) {
	var best registrar.ModelName
	for _, m := range v.models {
		if v.copies[m] >= v.targets[m] || s.holds(m) || s.rank(v, m) >= v.targets[m]-v.copies[m] {
			continue
		}
		if best == "" || v.value(m, 0) > v.value(best, 0) {
			best = m
		}
	}
	return best, "demand"
}

// victim returns the held model that serves least among those that may go. The
// first holder in the rendezvous order keeps its copy, so that the last two
// copies never go together.
func (s *Stocker) victim(v *view, spare func(registrar.ModelName) bool) (registrar.ModelName, bool) {
	var best registrar.ModelName
	for _, h := range s.state.Holdings {
		m := h.Model
		if !spare(m) || placer.Rank(string(m), v.holders[m])[0] == configurator.UpstreamName(s.self.ID) {
			continue
		}
		if best == "" || v.value(m, 0) < v.value(best, 0) {
			best = m
		}
	}
	return best, best != ""
}

// mayLoad tells whether the weight store has room for this runner's load. Each
// runner begins so few that all together stay below its limit.
func (s *Stocker) mayLoad(e *registrar.Engine, v *view, m registrar.ModelName) bool {
	if slices.Contains(s.state.Warm, m) || slices.Contains(s.state.Disk, m) {
		return true
	}
	limit := e.LoadRate * loadWindow.Seconds()
	share := max(1, float64(len(v.runners))/max(1, limit))
	return s.now-s.stored >= time.Duration(share*float64(loadWindow))
}

// loadTime is how long a load of the model takes here.
func (s *Stocker) loadTime(m registrar.ModelName) time.Duration {
	e := s.engine()
	if e == nil {
		return 0
	}
	switch {
	case slices.Contains(s.state.Warm, m):
		return e.Models[m].WarmLoad
	case slices.Contains(s.state.Disk, m):
		return e.Models[m].DiskLoad
	}
	return e.Models[m].Load
}
