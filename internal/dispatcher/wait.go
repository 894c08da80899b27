package dispatcher

import "time"

// estimateWait estimates how long a request must wait for those ahead of it in the queues of
// its model, for any adapter: from the recent send rate of the model, and from the rate at
// which its upstreams begin answers where that is known. Limits of all its upstreams bound
// the rate.
func (d *Dispatcher) estimateWait(r *request) time.Duration {
	stats := d.statsOf(r)
	ahead := float64(r.queuePosition - (stats.sends - r.sendsAtEnqueue))
	wait := time.Duration(0)
	if rate := d.limitedRate(r); rate > 0 {
		wait = timeFor(ahead, rate)
	}
	if !r.onTime(d.now) {
		if rate := d.startRateShare(r); rate > 0 && !d.shares.enabled {
			return max(wait, d.waitForRoomLeft(r, rate))
		}
		return max(wait, d.estimateLateWaitOf(r))
	}
	if ahead <= queueAllowance {
		return wait
	}
	stats.sendRate.decay(d.now)
	return max(wait, timeFor(ahead, max(stats.sendRate.value, d.startRateShare(r), minSendRate)))
}

// waitForRoomLeft estimates the wait of the last late request of a model that this gateway can
// send so many requests of per second. Requests in time go first; late ones get the rest.
func (d *Dispatcher) waitForRoomLeft(r *request, rate float64) time.Duration {
	stats := d.statsOf(r)
	stats.sendRate.decay(d.now)
	stats.lateSendRate.decay(d.now)
	onTimeRate := stats.sendRate.value - stats.lateSendRate.value
	return timeFor(stats.lateWaiting.current, max(stats.lateSendRate.value, rate-onTimeRate))
}

// timeFor returns the time that n sends take at a rate, maxDuration at most.
func timeFor(n, rate float64) time.Duration {
	if n <= 0 {
		return 0
	}
	if seconds := n / rate; rate > 0 && seconds < maxDuration.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return maxDuration
}

// startRateShare returns this gateway's equal part of the answers that the upstreams with the
// request's model begin per second, zero while that is unknown. The rate of the few sends of
// one gateway among many says less.
func (d *Dispatcher) startRateShare(r *request) float64 {
	rate := 0.0
	for _, u := range d.holders(modelKeyOf(r)) {
		if u.accepting() && r.eligible(u) && u.hasFreshReport(d.now) && u.report.StartRate > 0 {
			rate += u.report.StartRate
		}
	}
	return rate / float64(max(1, d.gatewayCount))
}

// estimateLateWait estimates the wait of requests that can no longer meet their
// target. Requests that can are sent first, so only the send rate of late ones
// counts.
func (m *modelStats) estimateLateWait(now time.Duration) time.Duration {
	return m.lateWait(now, m.lateWaiting.current)
}

// lateWait estimates the wait of the last of count such requests.
func (m *modelStats) lateWait(now time.Duration, count float64) time.Duration {
	m.lateSendRate.decay(now)
	return timeFor(count-lateQueueAllowance, max(m.lateSendRate.value, minSendRate))
}
