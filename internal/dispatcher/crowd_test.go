package dispatcher

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// crowd plays a load on many gateways and few runners on a virtual clock. A
// runner starts waiting requests in the order of their arrival.
type crowd struct {
	now      time.Duration
	rnd      *rand.Rand
	gateways []*Dispatcher
	runners  []*crowdRunner
	agenda   agenda
	ids      RequestID
	arrived  map[RequestID]time.Duration
	arrivals int // after the warm-up
	onTime   int
	refused  int
	held     time.Duration // of the refused requests together
	waited   time.Duration // requests x time at runners before they started
}

type crowdRunner struct {
	info    *registrar.Upstream
	models  []registrar.ResidentModel
	running int
	waiting []work
}

// work is one request at a runner.
type work struct {
	gateway int
	send    Send
}

// crowdShape is a load and the fleet that meets it.
type crowdShape struct {
	gateways, runners, slots int
	models                   int     // each runner holds all
	load                     float64 // of what the runners can do
	serve                    time.Duration
	seed                     uint64
}

const (
	crowdReport = 150 * time.Millisecond // between two reports
	crowdHop    = 2 * time.Millisecond   // one way between instances
	crowdWarmUp = 3 * time.Second
	crowdLength = 15 * time.Second
)

type item struct {
	at time.Duration
	n  int // order of the items of one moment
	do func()
}

type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].n < a[j].n
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(item)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (c *crowd) after(d time.Duration, do func()) {
	c.ids++
	heap.Push(&c.agenda, item{c.now + d, int(c.ids), do})
}

func (c *crowd) every(first, period time.Duration, do func()) {
	c.after(first, func() {
		do()
		c.every(period, period, do)
	})
}

func playCrowd(s crowdShape) *crowd {
	c := &crowd{rnd: rand.New(rand.NewPCG(s.seed, 2)), arrived: map[RequestID]time.Duration{}}
	engine := &registrar.Engine{Slots: s.slots, Models: map[registrar.ModelName]registrar.Model{}}
	var holdings []registrar.ResidentModel
	for m := range s.models {
		name := registrar.ModelName(fmt.Sprint("m", m))
		engine.Models[name] = registrar.Model{Name: name, StoreLoadTime: 5 * time.Second}
		holdings = append(holdings, registrar.ResidentModel{Model: name})
	}
	var all []*registrar.Upstream
	for i := range s.runners {
		u := &registrar.Upstream{
			ID: registrar.UpstreamID(fmt.Sprint("u", i)), Service: runners, Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			Domain: "a", State: registrar.Ready, Residents: holdings,
		}
		all = append(all, u)
		c.runners = append(c.runners, &crowdRunner{info: u, models: holdings})
	}
	for g := range s.gateways {
		d := New(Config{Domain: "a", Seed: s.seed + uint64(g), RetryBudget: RetryBudget{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}})
		c.gateways = append(c.gateways, d)
		c.carryOut(s, g, d.Reduce(0, Configured{&registrar.Configuration{Services: map[registrar.ServiceName]registrar.Service{runners: {Name: runners, Engine: engine}}}}))
		c.carryOut(s, g, d.Reduce(0, UpstreamsListed{all}))
		c.every(time.Duration(c.rnd.Int64N(int64(TickPeriod))), TickPeriod, func() { c.reduce(s, g, Tick{}) })
		perGateway := s.load * float64(s.runners*s.slots) / s.serve.Seconds() / float64(s.gateways)
		c.arrive(s, g, perGateway)
	}
	for _, r := range c.runners {
		c.every(time.Duration(c.rnd.Int64N(int64(crowdReport))), crowdReport, func() { c.tell(s, r) })
	}
	for c.now < crowdWarmUp+crowdLength {
		next := heap.Pop(&c.agenda).(item)
		if c.now >= crowdWarmUp {
			for _, r := range c.runners {
				c.waited += time.Duration(len(r.waiting)) * (next.at - c.now)
			}
		}
		c.now = next.at
		next.do()
	}
	return c
}

func (c *crowd) arrive(s crowdShape, g int, rate float64) {
	gap := time.Duration(c.rnd.ExpFloat64() / rate * float64(time.Second))
	c.after(gap, func() {
		c.ids++
		id := c.ids
		c.arrived[id] = c.now
		if c.now >= crowdWarmUp && c.now < crowdWarmUp+crowdLength-time.Second {
			c.arrivals++
		}
		model := registrar.ModelName(fmt.Sprint("m", c.rnd.IntN(s.models)))
		c.reduce(s, g, Arrived{Request{ID: id, Route: route(registrar.Streaming, 2), Service: runners, Model: model, PromptTokens: 800, OutputTokens: 300, Deadline: c.now + 12*time.Second}})
		c.arrive(s, g, rate)
	})
}

func (c *crowd) reduce(s crowdShape, g int, e Event) {
	c.carryOut(s, g, c.gateways[g].Reduce(c.now, e))
}

func (c *crowd) carryOut(s crowdShape, g int, effects []Effect) {
	for _, e := range effects {
		if a, ok := e.(Fail); ok && c.now >= crowdWarmUp {
			c.refused++
			c.held += c.now - c.arrived[a.ID]
		}
		send, ok := e.(Send)
		if !ok {
			continue
		}
		for _, r := range c.runners {
			if r.info.ID == send.Upstream {
				c.after(crowdHop, func() {
					r.waiting = append(r.waiting, work{g, send})
					c.start(s, r)
				})
			}
		}
	}
}

// start runs what the runner has slots for.
func (c *crowd) start(s crowdShape, r *crowdRunner) {
	for r.running < s.slots && len(r.waiting) > 0 {
		w := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.running++
		at := c.arrived[w.send.ID]
		if at >= crowdWarmUp && at < crowdWarmUp+crowdLength-time.Second && c.now-at <= c.target() {
			c.onTime++
		}
		long := time.Duration(float64(s.serve) * math.Min(3, 0.3+0.7*c.rnd.ExpFloat64()))
		c.after(long, func() {
			r.running--
			c.start(s, r)
			c.after(crowdHop, func() {
				c.reduce(s, w.gateway, SendEnded{ID: w.send.ID, Try: w.send.Try, Outcome: Completed})
			})
		})
	}
}

func (c *crowd) tell(s crowdShape, r *crowdRunner) {
	rep := Report{Address: r.info.Address, Residents: r.models, Gateways: len(c.gateways), Running: r.running, Waiting: len(r.waiting)}
	c.after(crowdHop, func() {
		for g := range c.gateways {
			c.reduce(s, g, Reported{rep})
		}
	})
}

// figures returns the share of requests begun in time, and the mean number of
// requests that wait at a runner.
func (c *crowd) figures(s crowdShape) (onTime, waiting float64) {
	return float64(c.onTime) / float64(c.arrivals), c.waited.Seconds() / crowdLength.Seconds() / float64(s.runners)
}

// Whatever the number of gateways, a load below what the runners can do is begun
// in time, and of a higher one as much as they can do, but for a quarter: gateways
// learn of free places only with the next report.
func TestManyGatewaysServeWhatRunnersCan(t *testing.T) {
	const serve = 1500 * time.Millisecond
	for _, s := range []crowdShape{
		{gateways: 30, runners: 4, slots: 32, models: 2, load: 0.7, serve: serve},
		{gateways: 30, runners: 4, slots: 32, models: 2, load: 1.5, serve: serve},
		{gateways: 30, runners: 1, slots: 32, models: 2, load: 1.5, serve: serve},
		{gateways: 6, runners: 2, slots: 64, models: 2, load: 0.7, serve: serve},
		{gateways: 6, runners: 2, slots: 64, models: 2, load: 1.5, serve: serve},
		{gateways: 1, runners: 2, slots: 64, models: 2, load: 1.2, serve: serve},
	} {
		const seeds = 2
		var onTime, waiting float64
		for seed := range uint64(seeds) {
			s.seed = seed
			o, w := playCrowd(s).figures(s)
			onTime, waiting = onTime+o/seeds, waiting+w/seeds
		}
		possible := min(1, 1/s.load)
		least := 0.75 * possible
		if s.load < 0.9 {
			least = 0.99
		}
		require.GreaterOrEqual(t, onTime, least, "%+v", s)
		require.LessOrEqual(t, waiting, float64(s.slots)/8, "requests that wait at a runner, %+v", s)
	}
}

// What can't be served is refused soon, not when its caller gives up after 2 s.
func TestOverloadIsRefusedSoon(t *testing.T) {
	s := crowdShape{gateways: 6, runners: 2, slots: 64, models: 2, load: 1.5, serve: 1500 * time.Millisecond}
	c := playCrowd(s)
	require.Positive(t, c.refused)
	require.Less(t, c.held/time.Duration(c.refused), 2*c.target())
}

// target is that of the requests.
func (c *crowd) target() time.Duration { return route(registrar.Streaming, 2).TargetLatency }
