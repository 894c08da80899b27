package dispatcher

import (
	"math"
	"time"
)

// sendQuota is the number of requests that a gateway may send to a runner until the
// next report. A send that ends returns its place.
//
// All gateways see the same report and the same free slots. Each takes a random share
// of them, so that together they take about as many as there are. The expected share
// is the gateway's part of all waiting requests, where each other gateway is assumed
// to have as many as this one had on average lately.
type sendQuota struct {
	remaining     int
	remainingLate int  // of these, for requests that take what others leave: late ones, and patient ones where workspaces have shares
	drawn         bool // the quota has been drawn since the last report
}

// averagedCount is a count with its exponential moving average over
// queueTimeConstant.
type averagedCount struct {
	mean      float64
	current   float64
	updatedAt time.Duration
}

func (c *averagedCount) set(now time.Duration, x float64) {
	c.advance(now)
	c.current = x
}

func (c *averagedCount) add(now time.Duration, x float64) {
	c.set(now, max(0, c.current+x))
}

// advance moves the average on to now.
func (c *averagedCount) advance(now time.Duration) {
	c.mean += (c.current - c.mean) * (1 - math.Exp(-float64(now-c.updatedAt)/float64(queueTimeConstant)))
	c.updatedAt = now
}

// quotaAllows reports whether the quota for a runner with a fresh report allows
// another request. Late and patient requests get only the room that the others leave.
func (d *Dispatcher) quotaAllows(r *request, u *upstream) bool {
	if !u.quota.drawn {
		u.quota = d.drawQuota(u)
	}
	if r.takesLeftovers(d.now) {
		return u.quota.remaining > 0 && u.quota.remainingLate > 0
	}
	return u.quota.remaining > 0
}

// drawQuota draws the quota from the free slots in the upstream's last report and the
// requests that wait for them.
func (d *Dispatcher) drawQuota(u *upstream) sendQuota {
	free := u.room(d.slots(u))
	own, others := d.waitingFor(u, func(m *modelStats) *averagedCount { return &m.onTimeWaiting })
	ownLate, othersLate := d.waitingFor(u, func(m *modelStats) *averagedCount { return &m.lateWaiting })
	if d.shares.enabled {
		ownPatient, othersPatient := d.waitingFor(u, func(m *modelStats) *averagedCount { return &m.patientWaiting })
		ownLate, othersLate = ownLate+ownPatient, othersLate+othersPatient
	}
	// Gateways with an empty queue may get requests too before the next report, so no
	// gateway takes more than an equal part.
	limit := max(minQuotaLimit, int(free/float64(max(1, d.gatewayCount))))
	return sendQuota{
		remaining:     min(limit, d.stochasticRound(free*share(own+ownLate, others))),
		remainingLate: d.stochasticRound((free - own - others) * share(ownLate, othersLate)),
		drawn:         true,
	}
}

// room returns the number of further requests of all gateways that the upstream can take
// until its next report: its free slots or, once its rate is known, those that it can begin
// by then. More would wait there for prompts that are read one after the other, and the more
// prompts an engine reads, the more slowly it makes the tokens of the answers under way.
func (u *upstream) room(slots int) float64 {
	sentSince := u.inFlight - u.inFlightAtReport
	free := float64(slots - u.report.Running - u.report.Waiting - sentSince)
	if !(u.report.StartRate > 0) { // not a number in an invalid report
		return free
	}
	startable := max(1, u.report.StartRate*reportDelay.Seconds())
	return min(free, startable-float64(u.report.Waiting+max(0, sentSince)))
}

// share returns the part of own in own plus others, and 1 if others is zero.
func share(own, others float64) float64 {
	if others <= 0 {
		return 1
	}
	return own / (own + others)
}

// waitingFor estimates how many of the requests that countOf selects wait for room
// at the upstream, at this gateway and at the others. Requests for a model with
// several holders count in equal parts at each.
func (d *Dispatcher) waitingFor(u *upstream, countOf func(*modelStats) *averagedCount) (own, others float64) {
	for _, resident := range u.currentResidents(d.now) {
		key := modelKey{u.info.Service, resident.Model}
		stats := d.statsByModel[key]
		if stats == nil {
			continue
		}
		count := countOf(stats)
		count.advance(d.now)
		holderCount := float64(max(1, len(d.holders(key))))
		own += count.current / holderCount
		others += float64(d.gatewayCount-1) * count.mean / holderCount
	}
	return own, others
}

// recordQueueLengths counts the waiting requests of each model that can and can't
// meet their target, and the patient ones, since requests become late while they wait.
func (d *Dispatcher) recordQueueLengths() {
	type count struct{ onTime, late, patient float64 }
	counts := map[*modelStats]count{}
	for _, waiting := range d.queues {
		for _, r := range waiting {
			stats := d.statsOf(r)
			c := counts[stats]
			switch {
			case !r.onTime(d.now):
				c.late++
			case r.patient(d.now):
				c.patient++
			default:
				c.onTime++
			}
			counts[stats] = c
		}
	}
	for _, stats := range d.statsByModel {
		stats.onTimeWaiting.set(d.now, counts[stats].onTime)
		stats.lateWaiting.set(d.now, counts[stats].late)
		stats.patientWaiting.set(d.now, counts[stats].patient)
	}
}

// stochasticRound rounds x down or up at random, so that the expected value is x.
func (d *Dispatcher) stochasticRound(x float64) int {
	floor := math.Floor(x)
	if d.rng.Float64() < x-floor {
		floor++
	}
	return int(floor)
}
