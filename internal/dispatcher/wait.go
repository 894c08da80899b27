package dispatcher

import "time"

// estimateWait estimates how long a request must wait for those ahead of it in the
// queues of its model, for any adapter, from the recent send rate of the model. Limits of
// all its upstreams bound the rate.
func (d *Dispatcher) estimateWait(r *request) time.Duration {
	stats := d.statsOf(r)
	ahead := r.queuePosition - (stats.sends - r.sendsAtEnqueue)
	wait := time.Duration(0)
	if rate := d.limitedRate(r); rate > 0 {
		wait = time.Duration(float64(ahead) / rate * float64(time.Second))
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
	return max(wait, time.Duration(float64(ahead)/max(stats.sendRate.value, d.startRateShare(r), minSendRate)*float64(time.Second)))
}

// waitForRoomLeft estimates the wait of a late request: requests in time go first, and of the
// given rate of sends they leave the rest to late ones.
func (d *Dispatcher) waitForRoomLeft(r *request, rate float64) time.Duration {
	stats := d.statsOf(r)
	stats.sendRate.decay(d.now)
	stats.lateSendRate.decay(d.now)
	left := max(stats.lateSendRate.value, rate-(stats.sendRate.value-stats.lateSendRate.value))
	if wait := stats.lateWaiting.current / max(left, rate/100); wait < maxDuration.Seconds() {
		return time.Duration(wait * float64(time.Second))
	}
	return maxDuration
}

// startRateShare returns this gateway's equal share of the answers that the upstreams with
// the request's model can begin per second, as far as it is known. Few sends of one gateway
// tell no rate.
func (d *Dispatcher) startRateShare(r *request) float64 {
	rate := 0.0
	for _, u := range d.holders(modelKeyOf(r)) {
		if u.accepting() && r.eligible(u) && u.hasFreshReport(d.now) {
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
	if count <= lateQueueAllowance {
		return 0
	}
	m.lateSendRate.decay(now)
	return time.Duration((count - lateQueueAllowance) / max(m.lateSendRate.value, minSendRate) * float64(time.Second))
}
