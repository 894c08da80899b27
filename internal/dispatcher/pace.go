package dispatcher

import "time"

// minPaceEvents is the number of events below which an answer tells no pace, since the
// first ones may arrive together.
const minPaceEvents = 8

// recordPace records the mean time between the events of a complete answer for the
// estimate of what its model costs, and returns it. It is zero if the answer tells none:
// it had few events, or another send brought a part of it.
func (d *Dispatcher) recordPace(r *request, events int) time.Duration {
	if r.Model == "" || events < minPaceEvents || !r.sendBegan || r.Resumed || r.runs > 0 {
		return 0
	}
	pace := (d.now - r.beganAt) / time.Duration(events-1)
	d.paces.Add(d.now, r.Model, pace)
	return pace
}

// startDelay returns the time from the last send to the beginning of its answer, zero if
// it has not begun.
func (r *request) startDelay() time.Duration {
	if !r.sendBegan {
		return 0
	}
	return r.beganAt - r.sentAt
}
