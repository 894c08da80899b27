package dispatcher

import (
	"math"
	"time"
)

// allotment is how many requests a gateway may send to a runner until the next
// report. Requests of its own that end there give their places back.
//
// All gateways see the same report and the same free places. What one of them
// takes of these is drawn so that together they take about as many as there are:
// its share is that of its own waiting requests in all that wait, and the other
// gateways' queues are taken to be as long as its own have been lately.
type allotment struct {
	left  int
	late  int  // of these for requests that can't be on time any more
	drawn bool // since the last report
}

// level averages a count that changes in steps.
type level struct {
	average float64
	current float64
	at      time.Duration
}

func (l *level) set(now time.Duration, x float64) {
	l.settle(now)
	l.current = x
}

func (l *level) add(now time.Duration, x float64) {
	l.set(now, max(0, l.current+x))
}

func (l *level) settle(now time.Duration) {
	l.average += (l.current - l.average) * (1 - math.Exp(-float64(now-l.at)/float64(queueLife)))
	l.at = now
}

// roomAt tells whether the request would soon be started at a runner with a
// fresh report. One that is late goes only where those on time leave room.
func (d *Dispatcher) roomAt(r *request, s *server) bool {
	if !s.allotment.drawn {
		s.allotment = d.draw(s)
	}
	if !r.onTime(d.now) {
		return s.allotment.left > 0 && s.allotment.late > 0
	}
	return s.allotment.left > 0
}

// draw makes the allotment that follows from the upstream's last report.
func (d *Dispatcher) draw(s *server) allotment {
	free := float64(d.slots(s) - s.report.Running - s.report.Waiting - (s.open - s.ownThen))
	own, others := d.contenders(s, func(f *flowStats) *level { return &f.prompt })
	ownLate, othersLate := d.contenders(s, func(f *flowStats) *level { return &f.late })
	// Without a queue the other gateways may still get as much at once.
	most := max(burst, int(free/float64(max(1, d.gateways))))
	return allotment{
		left:  min(most, d.round(free*share(own+ownLate, others))),
		late:  d.round((free - own - others) * share(ownLate, othersLate)),
		drawn: true,
	}
}

// share is one's own part of what is wanted; all when nobody else wants it.
func share(own, others float64) float64 {
	if others <= 0 {
		return 1
	}
	return own / (own + others)
}

// contenders estimates the requests of a kind that wait for room at the
// upstream, at this gateway and at the others. Those that have several upstreams
// to go to count in part at each.
func (d *Dispatcher) contenders(s *server, queue func(*flowStats) *level) (own, others float64) {
	for _, h := range s.holdings(d.now) {
		f := flow{s.info.Service, h.Model}
		stats := d.flows[f]
		if stats == nil {
			continue
		}
		l := queue(stats)
		l.settle(d.now)
		places := float64(max(1, len(d.holders(f))))
		own += l.current / places
		others += float64(d.gateways-1) * l.average / places
	}
	return own, others
}

// survey counts what waits, by flow.
func (d *Dispatcher) survey() {
	type count struct{ prompt, late float64 }
	counts := map[*flowStats]count{}
	for _, waiting := range d.lanes {
		for _, r := range waiting {
			f := d.stats(r)
			c := counts[f]
			if r.onTime(d.now) {
				c.prompt++
			} else {
				c.late++
			}
			counts[f] = c
		}
	}
	for _, f := range d.flows {
		f.prompt.set(d.now, counts[f].prompt)
		f.late.set(d.now, counts[f].late)
	}
}

// round draws one of the integers next to x, so that it is x in the mean.
func (d *Dispatcher) round(x float64) int {
	floor := math.Floor(x)
	if d.rnd.Float64() < x-floor {
		floor++
	}
	return int(floor)
}
