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

// simulation runs many gateways and few runners under load on a virtual clock. A
// runner starts its queued requests in the order of their arrival.
type simulation struct {
	now            time.Duration
	rng            *rand.Rand
	gateways       []*Dispatcher
	runners        []*simulatedRunner
	calls          callHeap
	lastID         RequestID // of requests and scheduled calls
	arrivedAt      map[RequestID]time.Duration
	measured       int           // requests that arrived in the measured time, less its last second
	onTime         int           // of these, begun within their target latency
	refused        int           // after the warm-up
	refusalDelay   time.Duration // sum of the times from arrival to refusal
	runnerWaitTime time.Duration // sum of the times that requests waited at runners
}

// simulatedRunner is a model runner with a FIFO queue.
type simulatedRunner struct {
	info    *registrar.Upstream
	models  []registrar.ResidentModel
	running int
	queue   []runnerRequest
}

// runnerRequest is a request at a runner.
type runnerRequest struct {
	gateway int
	send    Send
}

// simulationConfig describes the load and the fleet.
type simulationConfig struct {
	gateways, runners, slots int
	models                   int     // each runner holds all of them
	load                     float64 // arriving work as a fraction of the runners' capacity
	meanServiceTime          time.Duration
	seed                     uint64
}

const (
	reportPeriod = 150 * time.Millisecond // of each runner
	networkDelay = 2 * time.Millisecond   // one way between gateways and runners
	warmUp       = 3 * time.Second
	measuredTime = 15 * time.Second
)

// scheduledCall is a call at a point of simulated time.
type scheduledCall struct {
	at       time.Duration
	sequence int // order among calls at the same time
	run      func()
}

type callHeap []scheduledCall

func (h callHeap) Len() int { return len(h) }
func (h callHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)   { *h = append(*h, x.(scheduledCall)) }
func (h *callHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *simulation) schedule(delay time.Duration, call func()) {
	s.lastID++
	heap.Push(&s.calls, scheduledCall{s.now + delay, int(s.lastID), call})
}

func (s *simulation) schedulePeriodic(first, period time.Duration, call func()) {
	s.schedule(first, func() {
		call()
		s.schedulePeriodic(period, period, call)
	})
}

func newSimulation(seed uint64) *simulation {
	return &simulation{rng: rand.New(rand.NewPCG(seed, 2)), arrivedAt: map[RequestID]time.Duration{}}
}

// runUntil makes the scheduled calls up to a time.
func (s *simulation) runUntil(end time.Duration) {
	for s.now < end {
		next := heap.Pop(&s.calls).(scheduledCall)
		if s.now >= warmUp {
			for _, r := range s.runners {
				s.runnerWaitTime += time.Duration(len(r.queue)) * (next.at - s.now)
			}
		}
		s.now = next.at
		next.run()
	}
}

// runSimulation runs gateways and runners for the warm-up and the measured time.
func runSimulation(cfg simulationConfig) *simulation {
	s := newSimulation(cfg.seed)
	engine := &registrar.Engine{Slots: cfg.slots, Models: map[registrar.ModelName]registrar.Model{}}
	var residents []registrar.ResidentModel
	for m := range cfg.models {
		name := registrar.ModelName(fmt.Sprint("m", m))
		engine.Models[name] = registrar.Model{Name: name, StoreLoadTime: 5 * time.Second}
		residents = append(residents, registrar.ResidentModel{Model: name})
	}
	var all []*registrar.Upstream
	for i := range cfg.runners {
		u := &registrar.Upstream{
			ID: registrar.UpstreamID(fmt.Sprint("u", i)), Service: runnerService, Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			Domain: "a", State: registrar.Ready, Residents: residents,
		}
		all = append(all, u)
		s.runners = append(s.runners, &simulatedRunner{info: u, models: residents})
	}
	for g := range cfg.gateways {
		d := New(Config{Domain: "a", Seed: cfg.seed + uint64(g), RetryBudget: RetryBudget{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}})
		s.gateways = append(s.gateways, d)
		s.apply(cfg, g, d.Reduce(0, Configured{&registrar.Configuration{Services: map[registrar.ServiceName]registrar.Service{runnerService: {Name: runnerService, Engine: engine}}}}))
		s.apply(cfg, g, d.Reduce(0, UpstreamsListed{all}))
		s.schedulePeriodic(time.Duration(s.rng.Int64N(int64(TickPeriod))), TickPeriod, func() { s.reduce(cfg, g, Tick{}) })
		perGateway := cfg.load * float64(cfg.runners*cfg.slots) / cfg.meanServiceTime.Seconds() / float64(cfg.gateways)
		s.scheduleArrival(cfg, g, perGateway)
	}
	for _, r := range s.runners {
		s.schedulePeriodic(time.Duration(s.rng.Int64N(int64(reportPeriod))), reportPeriod, func() { s.sendReports(cfg, r) })
	}
	s.runUntil(warmUp + measuredTime)
	return s
}

// scheduleArrival schedules the next request at gateway g, with rate requests per
// second on average.
func (s *simulation) scheduleArrival(cfg simulationConfig, g int, rate float64) {
	interval := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	s.schedule(interval, func() {
		s.lastID++
		id := s.lastID
		s.arrivedAt[id] = s.now
		if s.now >= warmUp && s.now < warmUp+measuredTime-time.Second {
			s.measured++
		}
		model := registrar.ModelName(fmt.Sprint("m", s.rng.IntN(cfg.models)))
		s.reduce(cfg, g, Arrived{Request{ID: id, Route: route(registrar.Streaming, 2), Service: runnerService, Model: model, PromptTokens: 800, OutputTokens: 300, Deadline: s.now + 12*time.Second}})
		s.scheduleArrival(cfg, g, rate)
	})
}

func (s *simulation) reduce(cfg simulationConfig, g int, e Event) {
	s.apply(cfg, g, s.gateways[g].Reduce(s.now, e))
}

// apply counts the requests that gateway g has refused and delivers those it sends.
func (s *simulation) apply(cfg simulationConfig, g int, effects []Effect) {
	for _, e := range effects {
		if a, ok := e.(Fail); ok && s.now >= warmUp {
			s.refused++
			s.refusalDelay += s.now - s.arrivedAt[a.ID]
		}
		send, ok := e.(Send)
		if !ok {
			continue
		}
		for _, r := range s.runners {
			if r.info.ID == send.Upstream {
				s.schedule(networkDelay, func() {
					r.queue = append(r.queue, runnerRequest{g, send})
					s.startWaiting(cfg, r)
				})
			}
		}
	}
}

// startWaiting starts queued requests while the runner has free slots.
func (s *simulation) startWaiting(cfg simulationConfig, r *simulatedRunner) {
	for r.running < cfg.slots && len(r.queue) > 0 {
		req := r.queue[0]
		r.queue = r.queue[1:]
		r.running++
		arrivedAt := s.arrivedAt[req.send.ID]
		if arrivedAt >= warmUp && arrivedAt < warmUp+measuredTime-time.Second && s.now-arrivedAt <= s.target() {
			s.onTime++
		}
		s.schedule(networkDelay, func() { s.reduce(cfg, req.gateway, AnswerBegan{ID: req.send.ID, Try: req.send.Try}) })
		serviceTime := time.Duration(float64(cfg.meanServiceTime) * math.Min(3, 0.3+0.7*s.rng.ExpFloat64()))
		s.schedule(serviceTime, func() {
			r.running--
			s.startWaiting(cfg, r)
			s.schedule(networkDelay, func() {
				s.reduce(cfg, req.gateway, SendEnded{ID: req.send.ID, Try: req.send.Try, Outcome: Completed})
			})
		})
	}
}

// sendReports sends the state of a runner to all gateways.
func (s *simulation) sendReports(cfg simulationConfig, r *simulatedRunner) {
	rep := Report{Address: r.info.Address, Residents: r.models, Gateways: len(s.gateways), Running: r.running, Waiting: len(r.queue)}
	s.schedule(networkDelay, func() {
		for g := range s.gateways {
			s.reduce(cfg, g, Reported{rep})
		}
	})
}

// results returns the share of requests begun within their target latency, and the
// mean number of requests that wait at a runner.
func (s *simulation) results(cfg simulationConfig) (onTime, waitingPerRunner float64) {
	return float64(s.onTime) / float64(s.measured), s.runnerWaitTime.Seconds() / measuredTime.Seconds() / float64(cfg.runners)
}

// Gateways that all fill the same free slots, or leave them empty, waste capacity.
// A load below the runners' capacity must be begun in time for any number of gateways.
// Of a higher load at least three quarters of the capacity must be, since gateways
// learn of free slots only with the next report.
func TestManyGatewaysServeWhatRunnersCan(t *testing.T) {
	const serviceTime = 1500 * time.Millisecond
	for _, cfg := range []simulationConfig{
		{gateways: 30, runners: 4, slots: 32, models: 2, load: 0.7, meanServiceTime: serviceTime},
		{gateways: 30, runners: 4, slots: 32, models: 2, load: 1.5, meanServiceTime: serviceTime},
		{gateways: 30, runners: 1, slots: 32, models: 2, load: 1.5, meanServiceTime: serviceTime},
		{gateways: 6, runners: 2, slots: 64, models: 2, load: 0.7, meanServiceTime: serviceTime},
		{gateways: 6, runners: 2, slots: 64, models: 2, load: 1.5, meanServiceTime: serviceTime},
		{gateways: 1, runners: 2, slots: 64, models: 2, load: 1.2, meanServiceTime: serviceTime},
	} {
		const seeds = 2
		var onTime, waiting float64
		for seed := range uint64(seeds) {
			cfg.seed = seed
			onTimeOfSeed, waitingOfSeed := runSimulation(cfg).results(cfg)
			onTime, waiting = onTime+onTimeOfSeed/seeds, waiting+waitingOfSeed/seeds
		}
		possible := min(1, 1/cfg.load)
		minOnTime := 0.75 * possible
		if cfg.load < 0.9 {
			minOnTime = 0.99
		}
		require.GreaterOrEqual(t, onTime, minOnTime, "%+v", cfg)
		require.LessOrEqual(t, waiting, float64(cfg.slots)/8, "mean number of requests that wait at a runner, %+v", cfg)
	}
}

// Requests that can't be served must be refused soon, so that callers can retry
// elsewhere, and not only when callers give up after 2 s.
func TestOverloadIsRefusedSoon(t *testing.T) {
	cfg := simulationConfig{gateways: 6, runners: 2, slots: 64, models: 2, load: 1.5, meanServiceTime: 1500 * time.Millisecond}
	s := runSimulation(cfg)
	require.Positive(t, s.refused)
	require.Less(t, s.refusalDelay/time.Duration(s.refused), 2*s.target())
}

// target returns the target latency of all requests.
func (s *simulation) target() time.Duration { return route(registrar.Streaming, 2).TargetLatency }
