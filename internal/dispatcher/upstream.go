package dispatcher

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// upstream is what the gateway knows of one incarnation of an upstream.
type upstream struct {
	info                registrar.Upstream
	inFlight            int            // sends of this gateway under way
	consecutiveFailures int            // failed sends since an answer last began or completed
	answeredAt          time.Duration  // when it last answered a request completely
	avoidUntil          time.Duration  // after failed sends; until then it is used only if there is no other upstream
	fullUntil           time.Duration  // after it refused a request; until then it gets no requests
	heldBytes           budgeter.Bytes // of the bodies of these sends
	report              Report
	reported            bool          // report is set
	reportedAt          time.Duration // when report came
	inFlightAtReport    int           // inFlight when report came
	quota               sendQuota
	adapterRequestedAt  map[queueKey]time.Duration // when its steward was last asked for an adapter
	listed              bool                       // by the last UpstreamsListed
	restriction
	permits            permitState
	backlog            backlog
	replaced           bool // another instance answers at its address
	outdated           bool // its steward reports a later incarnation, whose release the list does not tell yet
	connectionRefused  bool // nothing listened at its address when its last heartbeat was heartbeatAtRefusal
	heartbeatAtRefusal int64
	failureRate        decayingRate // share of recent sends that failed, from 0 to 1
}

// handleUpstreamsListed replaces the set of live upstreams. A new incarnation starts
// without the report and statistics of its predecessor.
func (d *Dispatcher) handleUpstreamsListed(all []*registrar.Upstream) {
	d.releases.List(d.now, all)
	for _, u := range d.upstreams {
		u.listed = false
	}
	d.upstreamsByService, d.holdersByModel = map[registrar.ServiceName][]*upstream{}, nil
	for _, entry := range all {
		u := d.upstreams[entry.ID]
		if u == nil || !u.info.SameIncarnation(entry) {
			if u != nil {
				u.listed = false
			}
			u = d.newUpstream(entry)
			d.upstreams[entry.ID] = u
		}
		u.info = *entry
		u.listed = true
		d.upstreamsByService[entry.Service] = append(d.upstreamsByService[entry.Service], u)
	}
	for id, u := range d.upstreams {
		if !u.listed {
			delete(d.upstreams, id)
		}
	}
}

// handleReport stores a report unless it is of another incarnation or older than the
// last one.
func (d *Dispatcher) handleReport(report Report) {
	if report.Gateways > 0 {
		d.gatewayCount = report.Gateways
	}
	for _, u := range d.upstreams {
		if u.info.Address == report.Address && u.info.Incarnation > 0 {
			u.outdated = report.Incarnation > u.info.Incarnation
		}
		if u.info.Address != report.Address || report.Incarnation != u.info.Incarnation || u.reported && report.Sequence < u.report.Sequence {
			continue
		}
		if report.Partial {
			if !u.reported {
				continue // a report with Residents follows within a second
			}
			report.Residents = u.report.Residents
		}
		if !sameModels(u.report.Residents, report.Residents) {
			d.holdersByModel = nil
		}
		if report.Draining && !u.leaving {
			d.restrict(u.info.ID, restriction{incarnation: u.info.Incarnation, leaving: true, pausedUntil: u.pausedUntil})
		}
		u.report, u.reported, u.reportedAt, u.inFlightAtReport, u.quota.drawn = report, true, d.now, u.inFlight, false
	}
}

// countGateways tells the account the largest number of gateways that a steward reports: one
// that has just started, or that some gateways don't know, hears only a part of them.
func (d *Dispatcher) countGateways() {
	if d.now < d.gatewaysCountedAt+countPeriod {
		return
	}
	d.gatewaysCountedAt = d.now
	most := 0
	for _, u := range d.upstreams {
		if u.reported && d.now-u.reportedAt < reportTimeout {
			most = max(most, u.report.Gateways)
		}
	}
	if most > 0 {
		d.account.SetGateways(most)
	}
}

// sameModels reports whether a and b list the same models in the same order.
func sameModels(a, b []registrar.ResidentModel) bool {
	return slices.EqualFunc(a, b, func(x, y registrar.ResidentModel) bool { return x.Model == y.Model })
}

// reportAge returns the age of the upstream's last report, zero without one.
func (d *Dispatcher) reportAge(u *upstream) time.Duration {
	if u == nil || !u.reported {
		return 0
	}
	return d.now - u.reportedAt
}

// hasFreshReport reports whether there is a report recent enough to describe the load.
func (u *upstream) hasFreshReport(now time.Duration) bool {
	return u.reported && now-u.reportedAt < reportLifetime
}

// unresponsive reports whether the upstream does not answer its steward, or the
// steward has stopped sending reports.
func (u *upstream) unresponsive(now time.Duration) bool {
	return u.reported && (u.report.Unreachable || now-u.reportedAt >= reportTimeout)
}

// estimateLoad estimates the number of requests of all gateways at the upstream, and
// how many of them wait there. It assumes that each other gateway has sent as many
// requests since the report as this one, so that gateways don't all fill the same
// free slots.
func (u *upstream) estimateLoad(now time.Duration, gateways int) (all, waiting float64) {
	if !u.hasFreshReport(now) {
		return float64(u.inFlight * max(1, gateways)), 0
	}
	sentSince := u.inFlight - u.inFlightAtReport
	if sentSince > 0 {
		sentSince *= max(1, gateways)
	}
	all = max(float64(u.inFlight), float64(u.report.Running+u.report.Waiting+sentSince))
	return all, float64(u.report.Waiting + max(0, sentSince))
}

// currentResidents returns the models in the upstream's memory according to a fresh
// report or, without one, to UpstreamsListed.
func (u *upstream) currentResidents(now time.Duration) []registrar.ResidentModel {
	if u.hasFreshReport(now) {
		return u.report.Residents
	}
	return u.info.Residents
}

// holds reports whether the upstream holds the model, and whether it holds both the
// model and the adapter, which may be empty.
func (u *upstream) holds(now time.Duration, m registrar.ModelName, a registrar.AdapterName) (model, adapter bool) {
	for _, resident := range u.currentResidents(now) {
		if resident.Model == m {
			return true, a == "" || slices.Contains(resident.Adapters, a)
		}
	}
	return false, false
}

// removeResident records that the upstream lacks an adapter or, when a is empty, a
// model.
func (u *upstream) removeResident(m registrar.ModelName, a registrar.AdapterName) {
	u.report.Residents = withoutResident(u.report.Residents, m, a)
	u.info.Residents = withoutResident(u.info.Residents, m, a)
}

// withoutResident returns a copy of residents without a model or, when a is set,
// without that adapter of the model.
func withoutResident(residents []registrar.ResidentModel, m registrar.ModelName, a registrar.AdapterName) []registrar.ResidentModel {
	kept := make([]registrar.ResidentModel, 0, len(residents))
	for _, resident := range residents {
		if resident.Model == m && a == "" {
			continue
		}
		if resident.Model == m {
			resident.Adapters = slices.DeleteFunc(slices.Clone(resident.Adapters), func(x registrar.AdapterName) bool { return x == a })
		}
		kept = append(kept, resident)
	}
	return kept
}

// recordResult updates the failure rate after a send.
func (u *upstream) recordResult(now time.Duration, failed bool) {
	rate := u.currentFailureRate(now) * (1 - lastSendWeight)
	if failed {
		rate += lastSendWeight
	}
	u.failureRate.value = rate
}

// currentFailureRate returns the share of recent sends that failed, from 0 to 1. It
// decays with time, so that an upstream that gets few requests because of it is
// tried again.
func (u *upstream) currentFailureRate(now time.Duration) float64 {
	u.failureRate.timeConstant = failureRateTimeConstant
	u.failureRate.decay(now)
	return u.failureRate.value
}

// recordFailure records a failed send and avoids the upstream for a time that doubles
// with each consecutive failure.
func (u *upstream) recordFailure(now time.Duration) {
	u.recordResult(now, true)
	u.consecutiveFailures++
	avoidTime := min(initialAvoidTime<<min(u.consecutiveFailures-1, 8), maxAvoidTime)
	u.avoidUntil = max(u.avoidUntil, now+avoidTime)
}

// refuseConnections records that nothing listens at the upstream's address.
func (u *upstream) refuseConnections() {
	u.connectionRefused, u.heartbeatAtRefusal = true, u.info.Heartbeat
}

// accepting reports whether the upstream may get new requests. After a refused
// connection it gets none until its next heartbeat.
func (u *upstream) accepting() bool {
	if u.connectionRefused && u.info.Heartbeat <= u.heartbeatAtRefusal {
		return false
	}
	return u.listed && !u.leaving && !u.replaced && !u.outdated && u.info.State == registrar.Ready
}

// slots returns the number of requests that the upstream runs at once.
func (d *Dispatcher) slots(u *upstream) int {
	if d.configuration != nil {
		if e := d.configuration.Services[u.info.Service].Engine; e != nil && e.Slots > 0 {
			return e.Slots
		}
	}
	return max(1, u.info.Slots)
}
