package dispatcher

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// server is an upstream as a gateway knows it.
type server struct {
	info      registrar.Upstream
	open      int // own sends under way
	failures  int // recent ones
	avoid     time.Duration
	full      time.Duration // it refused for want of room until then
	report    Report
	told      bool
	at        time.Duration // of the report
	ownThen   int           // own sends under way when the report came
	allotment allotment
	wanted    map[lane]time.Duration
	listed    bool
	gone      bool // another instance answers at its address
	absent    bool // nothing listened at its address when its last heartbeat was lastBeat
	lastBeat  int64
	errors    average // share of the sends that failed lately
}

// list takes over the live upstreams.
func (d *Dispatcher) list(all []*registrar.Upstream) {
	for _, s := range d.servers {
		s.listed = false
	}
	d.groups, d.index = map[registrar.ServiceName][]*server{}, nil
	for _, u := range all {
		s := d.servers[u.ID]
		if s == nil || !s.info.SameIncarnation(u) {
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
		if s.info.Address != rep.Address || rep.Incarnation != s.info.Incarnation || s.told && rep.Sequence < s.report.Sequence {
			continue
		}
		if rep.Partial {
			if !s.told {
				continue // the whole report comes within a second
			}
			rep.Residents = s.report.Residents
		}
		if !sameModels(s.report.Residents, rep.Residents) {
			d.index = nil
		}
		s.report, s.told, s.at, s.ownThen, s.allotment.drawn = rep, true, d.now, s.open, false
	}
}

func sameModels(a, b []registrar.ResidentModel) bool {
	return slices.EqualFunc(a, b, func(x, y registrar.ResidentModel) bool { return x.Model == y.Model })
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

// silent tells whether the upstream, or the steward beside it, has stopped
// answering.
func (s *server) silent(now time.Duration) bool {
	return s.told && (s.report.Unreachable || now-s.at >= silentReports)
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
func (s *server) holdings(now time.Duration) []registrar.ResidentModel {
	if s.fresh(now) {
		return s.report.Residents
	}
	return s.info.Residents
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
	s.report.Residents = without(s.report.Residents, m, a)
	s.info.Residents = without(s.info.Residents, m, a)
}

// without returns the holdings less a model or, when a is set, less its adapter.
func without(holdings []registrar.ResidentModel, m registrar.ModelName, a registrar.AdapterName) []registrar.ResidentModel {
	kept := make([]registrar.ResidentModel, 0, len(holdings))
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

// result records whether a send succeeded.
func (s *server) result(now time.Duration, failed bool) {
	rate := s.errorRate(now) * (1 - errorShare)
	if failed {
		rate += errorShare
	}
	s.errors.value = rate
}

// errorRate is the share of sends that failed lately. It falls with time, so
// that an upstream that gets little work because of it is tried again.
func (s *server) errorRate(now time.Duration) float64 {
	s.errors.life = errorLife
	s.errors.decay(now)
	return s.errors.value
}

// fail counts a failure and avoids the upstream for a while.
func (s *server) fail(now time.Duration) {
	s.result(now, true)
	s.failures++
	pause := min(avoidFirst<<min(s.failures-1, 8), avoidLimit)
	s.avoid = max(s.avoid, now+pause)
}

// takes tells whether the upstream may get new work.
func (s *server) takes() bool {
	if s.absent && s.info.Heartbeat <= s.lastBeat {
		return false
	}
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
