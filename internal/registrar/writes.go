package registrar

import (
	"slices"
	"time"
)

const (
	silentHeartbeats = 3  // periods without a heartbeat, after which the store removes an entry
	minHeartbeats    = 10 // of an instance, from which on their period is known

	minServed     = 2                      // heartbeats of an instance that show that the store was there in between
	silenceMargin = 300 * time.Millisecond // for the period, which is measured between reads of the list
)

// unknownTime is a time about which nothing is known.
const unknownTime = time.Duration(-1)

// writes tells when an instance wrote its entry.
type writes struct {
	known bool
	after time.Duration // the last heartbeat was written later than this

	counting        bool          // the following are set
	firstAt, lastAt time.Duration // when the first and the last heartbeat were read
	first           int64         // number of the first
	heartbeats      int64         // since then
}

// record records a heartbeat that was read at time now and written later than since.
func (w *writes) record(now, since time.Duration, number int64) {
	if since == unknownTime {
		*w = writes{}
		return
	}
	if !w.counting {
		w.counting, w.firstAt, w.first = true, now, number
	}
	w.known, w.after, w.lastAt, w.heartbeats = true, since, now, number-w.first
}

// within reports whether the instance has certainly written its entry within a time before
// now.
func (w *writes) within(now, before time.Duration) bool {
	return w.known && now-w.after < before
}

// measureHeartbeats sets heartbeatPeriod to the median over all instances.
func (r *Registrar) measureHeartbeats() {
	var periods []time.Duration
	for _, e := range r.entries {
		if w := &e.writes; w.counting && w.heartbeats >= minHeartbeats {
			periods = append(periods, (w.lastAt-w.firstAt)/time.Duration(w.heartbeats))
		}
	}
	if len(periods) > 0 {
		slices.Sort(periods)
		r.heartbeatPeriod = periods[len(periods)/2]
	}
}

// servedOthers reports whether changes that were made since a time have so many heartbeats
// that the store can't have been away for so long that entries expired: most instances have
// missed less than two.
func (r *Registrar) servedOthers(now, since time.Duration, changes []Change) bool {
	if since == unknownTime || r.heartbeatPeriod == 0 {
		return false
	}
	heartbeats := map[UpstreamID]int{}
	for _, c := range changes {
		if c.Upstream != nil {
			heartbeats[c.ID]++
		}
	}
	var counts []int
	for id, e := range r.entries {
		if !e.lapsed {
			counts = append(counts, heartbeats[id])
		}
	}
	if len(counts) < 2 {
		return false
	}
	slices.Sort(counts)
	usual := counts[(len(counts)-1)/2]
	return usual >= minServed && float64(usual+1) > float64(now-since)/float64(r.heartbeatPeriod)
}
