package dispatcher

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// server is an upstream as a gateway knows it.
type server struct {
	info     registrar.Upstream
	open     int // own sends under way
	failures int // recent ones
	avoid    time.Duration
	full     time.Duration // it refused for want of room until then
	report   Report
	told     bool
	at       time.Duration // of the report
	ownThen  int           // own sends under way when the report came
	wanted   map[lane]time.Duration
	listed   bool
	gone     bool // another instance answers at its address
}

// list takes over the live upstreams.
func (d *Dispatcher) list(all []*registrar.Upstream) {
	for _, s := range d.servers {
		s.listed = false
	}
	d.groups = map[registrar.ServiceName][]*server{}
	for _, u := range all {
		s := d.servers[u.ID]
		if s == nil || !s.info.Same(u) {
			if s != nil {
				s.listed = false
			}
			s = &server{wanted: map[lane]time.Duration{}}
			d.servers[u.ID] = s
		}
		s.info = *u
		s.listed = true
		d.groups[u.Service] = append(d.groups[u.Service], s)
	}
	for id, s := range d.servers {
		if !s.listed {
			delete(d.servers, id)
		}
	}
}

func (d *Dispatcher) report(rep Report) {
	if rep.Gateways > 0 {
		d.gateways = rep.Gateways
	}
	for _, s := range d.servers {
		if s.info.Address != rep.Address || rep.Born != s.info.Born || s.told && rep.Sequence < s.report.Sequence {
			continue
		}
		s.report, s.told, s.at, s.ownThen = rep, true, d.now, s.open
	}
}

func (d *Dispatcher) reportAge(s *server) time.Duration {
	if s == nil || !s.told {
		return 0
	}
	return d.now - s.at
}

// fresh tells whether the report still describes the load.
func (s *server) fresh(now time.Duration) bool {
	return s.told && now-s.at < reportLife
}

// load estimates the requests at the upstream and those among them that wait
// there, of all gateways. The others are taken to have sent as much since the
// report as this one has, so that they don't all fill the same free slots.
func (s *server) load(now time.Duration, gateways int) (all, waiting float64) {
	if !s.fresh(now) {
		return float64(s.open * max(1, gateways)), 0
	}
	since := s.open - s.ownThen
	if since > 0 {
		since *= max(1, gateways)
	}
	all = max(float64(s.open), float64(s.report.Running+s.report.Waiting+since))
	return all, float64(s.report.Waiting + max(0, since))
}

// holdings lists what the upstream holds by the newest source.
func (s *server) holdings(now time.Duration) []registrar.Holding {
	if s.fresh(now) {
		return s.report.Holdings
	}
	return s.info.Holdings
}

// has tells whether the model is held, and whether the adapter is.
func (s *server) has(now time.Duration, m registrar.ModelName, a registrar.AdapterName) (model, adapter bool) {
	for _, h := range s.holdings(now) {
		if h.Model == m {
			return true, a == "" || slices.Contains(h.Adapters, a)
		}
	}
	return false, false
}

// lacks records that the upstream answered that it doesn't hold something.
func (s *server) lacks(m registrar.ModelName, a registrar.AdapterName) {
	s.report.Holdings = without(s.report.Holdings, m, a)
	s.info.Holdings = without(s.info.Holdings, m, a)
}

// without returns the holdings less a model or, when a is set, less its adapter.
func without(holdings []registrar.Holding, m registrar.ModelName, a registrar.AdapterName) []registrar.Holding {
	kept := make([]registrar.Holding, 0, len(holdings))
	for _, h := range holdings {
		if h.Model == m && a == "" {
			continue
		}
		if h.Model == m {
			h.Adapters = slices.DeleteFunc(slices.Clone(h.Adapters), func(x registrar.AdapterName) bool { return x == a })
		}
		kept = append(kept, h)
	}
	return kept
}

// strikes counts a failure that the upstream answered itself.
func (s *server) strikes(time.Duration) {
	s.failures++
}

// fail counts a failure and avoids the upstream for a while.
func (s *server) fail(now time.Duration) {
	s.failures++
	pause := min(avoidFirst<<min(s.failures-1, 8), avoidLimit)
	s.avoid = max(s.avoid, now+pause)
}

// takes tells whether the upstream may get new work.
func (s *server) takes() bool {
	return s.listed && !s.gone && s.info.State == registrar.Ready && (!s.told || !s.report.Draining)
}

// slots counts the work units that the upstream runs at once.
func (d *Dispatcher) slots(s *server) int {
	if d.current != nil {
		if e := d.current.Services[s.info.Service].Engine; e != nil && e.Slots > 0 {
			return e.Slots
		}
	}
	return max(1, s.info.Slots)
}
