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
	m, reason := s.missing(e, v)
	if m == "" {
		m, reason = s.short(e, v)
	}
	if m != s.claim.model {
		s.claim = claim{}
	}
	if m == "" {
		return
	}
	if s.free(e) >= e.Models[m].Weights {
		if s.turn(e, m) {
			s.send(Load, m, "", reason)
		}
		return
	}
	if !s.atHand(m) && s.storeLoads(false) >= s.storeLimit(e) {
		return
	}
	if victim, ok := s.victim(v, m); ok {
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
		if p := s.peerOf(u); p != nil && p.report.Loading != "" {
			v.copies[p.report.Loading]++
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
	if p := s.peerOf(u); p != nil {
		return p.report.Holdings
	}
	return u.Holdings
}

// peerOf returns what the steward of a runner said lately, nil when it is silent.
func (s *Stocker) peerOf(u *registrar.Upstream) *peer {
	p := s.others[u.Address]
	if u == s.self || p == nil || p.report.Born != u.Born || s.now-p.at >= peerLife {
		return nil
	}
	return p
}

// takes tells whether a runner could take a copy of the model: it has memory
// left, or holds something that may make way.
func (s *Stocker) takes(e *registrar.Engine, v *view, u *registrar.Upstream, m registrar.ModelName) bool {
	free := e.Weights
	spare := false
	for _, h := range s.holdingsOf(u) {
		if h.Model == m {
			return false
		}
		free -= e.Models[h.Model].Weights
		spare = spare || v.spare(h.Model, m) && !v.first(h.Model, u)
	}
	if p := s.peerOf(u); p != nil && p.report.Loading != "" {
		return false
	}
	return spare || free >= e.Models[m].Weights
}

// spare tells whether a copy of a model may make way for one of another.
func (v *view) spare(held, m registrar.ModelName) bool {
	if v.copies[m] == 0 {
		return v.copies[held] > 1
	}
	return v.copies[held] > v.targets[held] && v.value(held, -1)*gain < v.value(m, 1)
}

// first tells whether the runner is the first holder of the model in the
// rendezvous order. It keeps its copy, so that the last two never go together.
func (v *view) first(m registrar.ModelName, u *registrar.Upstream) bool {
	return placer.Rank(string(m), v.holders[m])[0] == configurator.UpstreamName(u.ID)
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
func (s *Stocker) missing(e *registrar.Engine, v *view) (registrar.ModelName, string) {
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
		if s.rank(e, v, m) <= int(since/takeover) {
			return m, "no copy"
		}
	}
	return "", ""
}

// rank counts the runners that go before this one for a further copy.
func (s *Stocker) rank(e *registrar.Engine, v *view, m registrar.ModelName) int {
	own := s.order(s.self, m)
	rank := 0
	for _, u := range v.runners {
		if u != s.self && s.takes(e, v, u, m) && s.order(u, m).before(own) {
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
func (s *Stocker) short(e *registrar.Engine, v *view) (registrar.ModelName, string) {
	var best registrar.ModelName
	for _, m := range v.models {
		if v.copies[m] >= v.targets[m] || s.holds(m) || s.rank(e, v, m) >= v.targets[m]-v.copies[m] {
			continue
		}
		if best == "" || v.value(m, 0) > v.value(best, 0) {
			best = m
		}
	}
	return best, "demand"
}

// victim returns the held model that serves least among those that may make way
// for m.
func (s *Stocker) victim(v *view, m registrar.ModelName) (registrar.ModelName, bool) {
	var best registrar.ModelName
	for _, h := range s.state.Holdings {
		if !v.spare(h.Model, m) || v.first(h.Model, s.self) {
			continue
		}
		if best == "" || v.value(h.Model, 0) < v.value(best, 0) {
			best = h.Model
		}
	}
	return best, best != ""
}

// atHand tells whether a load of the model needs nothing from the weight store.
func (s *Stocker) atHand(m registrar.ModelName) bool {
	return slices.Contains(s.state.Warm, m) || slices.Contains(s.state.Disk, m)
}

// storeLimit is the number of loads from the weight store that all runners may
// begin within the window.
func (s *Stocker) storeLimit(e *registrar.Engine) int {
	return int(e.LoadRate * s.cfg.Window.Seconds())
}

// storeLoads counts the loads that others have begun within the window, with
// claims also those that go before this one's.
func (s *Stocker) storeLoads(claims bool) int {
	n := 0
	for address, p := range s.others {
		switch {
		case p.storing && s.now-p.stored < s.cfg.Window:
			n++
		case claims && p.report.Claimed && s.now-p.at < peerLife && address < s.cfg.Address:
			n++
		}
	}
	return n
}

// turn tells whether the load of a model may begin. A load from the weight
// store is announced first; when too many are, those of the lowest addresses
// go. A new steward does not know of the loads before its start.
func (s *Stocker) turn(e *registrar.Engine, m registrar.ModelName) bool {
	if s.atHand(m) {
		return true
	}
	if s.now-s.born < s.cfg.Window || s.storing && s.now-s.stored < s.cfg.Window {
		return false
	}
	if s.storeLoads(false) >= s.storeLimit(e) {
		s.claim = claim{}
		return false
	}
	if s.claim.model == "" {
		s.claim = claim{m, s.now}
		s.tell()
		return false
	}
	if s.now-s.claim.at < claimDelay || s.storeLoads(true) >= s.storeLimit(e) {
		return false
	}
	s.claim = claim{}
	s.stored, s.storing = s.now, true
	return true
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
