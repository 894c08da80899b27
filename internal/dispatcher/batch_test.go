package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/estimator"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// batchEngine is a runner's engine with continuous batching. Each step generates one
// token of each running stream and reads one piece of the first waiting prompt.
type batchEngine struct {
	running, waiting []*batchStream
	stepping         bool
}

// batchStream is a request at an engine.
type batchStream struct {
	gateway                int
	send                   Send
	class                  *batchClass
	promptLeft, tokensLeft int
}

// batchClass is a kind of request with its share of the load.
type batchClass struct {
	share                      float64
	priority                   int
	promptTokens, outputTokens int
	target, timeout            time.Duration
	asked, onTime, late        int // requests, those complete and begun within the target, and those complete and begun later
	failed, refused            int // requests that were sent and not completed, and the others
	heldLong                   int // of the refused ones, those that waited for half of the time that callers wait for a first event
	open                       int // requests without an answer at the end
	workspace                  *registrar.Workspace
	gateways                   int           // that its callers use, all if zero
	from, patience             time.Duration // when its callers begin, and after which time they leave, zero for never
	retries                    int           // of a refused request, at once
	left                       int           // requests whose caller left before they began
}

// served returns the share of the requests that were completed, counting retries of one
// request once.
func (c *batchClass) served() float64 {
	return float64(c.onTime+c.late) / float64(c.asked-c.open)
}

// Parameters of the simulated engines.
const (
	batchStep        = 9 * time.Millisecond   // of a step with one stream
	batchStepStream  = 150 * time.Microsecond // longer for each further stream
	batchPromptPiece = 512                    // prompt tokens that are read in a step
	batchPromptToken = 52 * time.Microsecond  // to read a prompt token
)

// batchSimulation runs gateways and one engine that holds the only copy of a model.
type batchSimulation struct {
	*simulation
	classes []*batchClass
	engine  *batchEngine
	open    map[RequestID]*batchRequest
}

// batchRequest is an open request of a caller.
type batchRequest struct {
	class     *batchClass
	arrivedAt time.Duration
	begunAt   time.Duration // zero before the answer has begun
	sent      bool
	content   isolator.Trait
	retries   int // left
}

// nextPrompt returns the waiting stream that the engine admits next, nil without one.
func (e *batchEngine) nextPrompt() *batchStream {
	if len(e.waiting) == 0 {
		return nil
	}
	return slices.MinFunc(e.waiting, func(a, b *batchStream) int { return a.send.Priority - b.send.Priority })
}

// step runs the next step and schedules its end.
func (s *batchSimulation) step() {
	e := s.engine
	if e.stepping || len(e.running)+len(e.waiting) == 0 {
		return
	}
	e.stepping = true
	duration := batchStep + time.Duration(len(e.running))*batchStepStream
	prompt := e.nextPrompt()
	if prompt != nil {
		duration += time.Duration(min(prompt.promptLeft, batchPromptPiece)) * batchPromptToken
	}
	s.schedule(duration, func() {
		e.stepping = false
		for _, stream := range slices.Clone(e.running) {
			stream.tokensLeft--
			if stream.tokensLeft <= 0 {
				s.complete(stream)
			}
		}
		if prompt != nil {
			prompt.promptLeft -= batchPromptPiece
			if prompt.promptLeft <= 0 && slices.Contains(e.waiting, prompt) {
				e.waiting = slices.DeleteFunc(e.waiting, func(x *batchStream) bool { return x == prompt })
				e.running = append(e.running, prompt)
				if r := s.open[prompt.send.ID]; r != nil {
					r.begunAt = s.now
				}
				s.deliver(prompt.gateway, AnswerBegan{ID: prompt.send.ID, Try: prompt.send.Try})
			}
		}
		s.step()
	})
}

// complete ends a stream and counts its request.
func (s *batchSimulation) complete(stream *batchStream) {
	s.drop(stream.send.ID)
	if r := s.open[stream.send.ID]; r != nil {
		if r.begunAt-r.arrivedAt <= r.class.target {
			r.class.onTime++
		} else {
			r.class.late++
		}
		delete(s.open, stream.send.ID)
	}
	s.deliver(stream.gateway, SendEnded{ID: stream.send.ID, Try: stream.send.Try, Outcome: Completed})
}

// drop removes a request from the engine.
func (s *batchSimulation) drop(id RequestID) {
	is := func(x *batchStream) bool { return x.send.ID == id }
	s.engine.running = slices.DeleteFunc(s.engine.running, is)
	s.engine.waiting = slices.DeleteFunc(s.engine.waiting, is)
}

// deliver passes an event to a gateway after the network delay.
func (s *batchSimulation) deliver(g int, e Event) {
	s.schedule(networkDelay, func() { s.handle(g, s.gateways[g].Reduce(s.now, e)) })
}

// handle carries out the effects of a gateway.
func (s *batchSimulation) handle(g int, effects []Effect) {
	for _, effect := range slices.Clone(effects) {
		switch ef := effect.(type) {
		case Send:
			r := s.open[ef.ID]
			if r == nil {
				continue // its caller has left
			}
			r.sent = true
			s.schedule(networkDelay, func() {
				s.engine.waiting = append(s.engine.waiting, &batchStream{g, ef, r.class, r.class.promptTokens, r.class.outputTokens})
				s.step()
			})
		case Abort:
			s.drop(ef.ID)
		case Fail:
			if r := s.open[ef.ID]; r != nil {
				delete(s.open, ef.ID)
				switch {
				case r.retries > 0:
					s.schedule(networkDelay, func() { s.request(g, r.class, r.content, r.retries-1) })
				case r.sent:
					r.class.failed++
				default:
					r.class.refused++
					if s.now-r.arrivedAt > callerTimeoutTargets*r.class.target/2 {
						r.class.heldLong++
					}
				}
			}
		}
	}
}

// arrive schedules the next request of a class at a gateway.
func (s *batchSimulation) arrive(g int, c *batchClass, rate float64) {
	s.schedule(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		c.asked++
		s.request(g, c, isolator.Trait(fmt.Sprint("request:", s.lastID)), c.retries)
		s.arrive(g, c, rate)
	})
}

// request passes a request of a class to a gateway. Its caller repeats a refused one at once
// up to retries times.
func (s *batchSimulation) request(g int, c *batchClass, content isolator.Trait, retries int) {
	s.lastID++
	id := s.lastID
	s.open[id] = &batchRequest{class: c, arrivedAt: s.now, content: content, retries: retries}
	streaming := &registrar.Route{
		Kind: registrar.Streaming, AttemptLimit: 2, TargetLatency: c.target, TargetGap: 400 * time.Millisecond, Timeout: c.timeout, Resumable: true, Priority: c.priority,
	}
	if c.patience > 0 {
		s.schedule(c.patience, func() {
			if r := s.open[id]; r != nil && r.begunAt == 0 {
				delete(s.open, id)
				c.left++
				s.drop(id)
				s.handle(g, s.gateways[g].Reduce(s.now, CallerDisconnected{id}))
			}
		})
	}
	s.handle(g, s.gateways[g].Reduce(s.now, Arrived{Request{
		ID: id, Route: streaming, Service: runnerService, Model: "m0", PromptTokens: registrar.Tokens(c.promptTokens), OutputTokens: registrar.Tokens(c.outputTokens),
		Workspace: c.workspace, Traits: []isolator.Trait{content}, Deadline: s.now + c.timeout,
	}}))
}

// runBatch plays a load of so many requests a second on one engine and returns the
// classes with their counts.
func runBatch(requestRate float64, seed uint64) []*batchClass {
	return runBatchAt(5, requestRate, seed)
}

func runBatchAt(gateways int, requestRate float64, seed uint64) []*batchClass {
	return runClasses(requestRate, seed, gateways, nil, []*batchClass{
		{share: 0.75, priority: 1, promptTokens: 1800, outputTokens: 22, target: 800 * time.Millisecond, timeout: 5 * time.Second},
		{share: 0.25, priority: 0, promptTokens: 1110, outputTokens: 172, target: 2 * time.Second, timeout: 15 * time.Second},
	})
}

// runClasses plays classes whose shares are of requestRate on so many gateways and one engine.
func runClasses(requestRate float64, seed uint64, gateways int, workspaces []registrar.Workspace, classes []*batchClass) []*batchClass {
	const slots = 64
	s := &batchSimulation{simulation: newSimulation(seed), engine: &batchEngine{}, open: map[RequestID]*batchRequest{}, classes: classes}
	engine := &registrar.Engine{Slots: slots, Models: map[registrar.ModelName]registrar.Model{"m0": {Name: "m0", StoreLoadTime: 8 * time.Second}}}
	u := &registrar.Upstream{
		ID: "u0", Service: runnerService, Address: "10.0.0.1:80", Domain: "a", State: registrar.Ready, Residents: []registrar.ResidentModel{{Model: "m0"}},
	}
	for g := range gateways {
		d := New(Config{Domain: "a", Seed: seed + uint64(g), RetryBudget: RetryBudget{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}})
		s.gateways = append(s.gateways, d)
		s.handle(g, d.Reduce(0, Configured{installed(&registrar.Configuration{Workspaces: workspaces, Services: map[registrar.ServiceName]registrar.Service{runnerService: {Name: runnerService, Engine: engine}}})}))
		s.handle(g, d.Reduce(0, UpstreamsListed{[]*registrar.Upstream{u}}))
		s.schedulePeriodic(time.Duration(s.rng.Int64N(int64(TickPeriod))), TickPeriod, func() { s.handle(g, d.Reduce(s.now, Tick{})) })
		for _, c := range s.classes {
			n := cmp.Or(c.gateways, gateways)
			if g >= n {
				continue
			}
			rate := requestRate * c.share / float64(n)
			if c.from == 0 {
				s.arrive(g, c, rate)
			} else {
				s.schedule(c.from, func() { s.arrive(g, c, rate) })
			}
		}
	}
	meter := estimator.StartMeter{}
	s.schedulePeriodic(reportPeriod, reportPeriod, func() {
		var runs []estimator.Progress
		for _, stream := range s.engine.running {
			runs = append(runs, estimator.Progress{Request: fmt.Sprint(stream.send.ID), Events: 1})
		}
		reading := min(1, len(s.engine.waiting))
		rep := Report{Address: u.Address, Residents: u.Residents, Gateways: gateways, Running: len(s.engine.running) + reading, Waiting: len(s.engine.waiting) - reading}
		meter.Observe(s.now, runs, rep.Waiting)
		rep.StartRate = meter.StartRate()
		for g := range s.gateways {
			s.deliver(g, Reported{rep})
		}
	})
	s.runUntil(30 * time.Second)
	for _, r := range s.open {
		r.class.open++
	}
	return s.classes
}

// The only copy of a model gets more requests than its engine can read, with callers that
// give up after a few seconds. What is sent must mostly be completed, requests that can
// still be in time go first, and the others are refused soon, instead of all waiting at the
// runner until their deadlines pass.
func TestOverloadedEngineCompletesWhatItGets(t *testing.T) {
	for _, c := range []struct {
		rate                          float64 // requests a second; the engine reads about 7
		minServed, minOnTime, maxLost float64 // of the short requests
	}{{rate: 6, minServed: 0.9, minOnTime: 0.7, maxLost: 0.03}, {rate: 9, minServed: 0.6, minOnTime: 0.4, maxLost: 0.15}, {rate: 12, minServed: 0.4, minOnTime: 0.2, maxLost: 0.2}} {
		const seeds = 3
		var served, onTime, lost, longServed float64
		for seed := range uint64(seeds) {
			classes := runBatch(c.rate, seed)
			short, long := classes[0], classes[1]
			served += float64(short.onTime+short.late) / float64(short.asked) / seeds
			onTime += float64(short.onTime) / float64(short.asked) / seeds
			lost += float64(short.failed) / float64(short.asked) / seeds
			longServed += float64(long.onTime+long.late) / float64(long.asked-long.open) / seeds
		}
		require.GreaterOrEqual(t, served, c.minServed, "%v requests a second", c.rate)
		require.GreaterOrEqual(t, onTime, c.minOnTime, "%v requests a second", c.rate)
		require.LessOrEqual(t, lost, c.maxLost, "%v requests a second", c.rate)
		require.GreaterOrEqual(t, longServed, 0.9, "the more urgent requests, %v requests a second", c.rate)
	}
}

// The only copy of a model is asked for twice what its engine can read. Prompts that all
// gateways send it at once would make it read without a pause, so that answers end too late
// and the requests that could still begin in time wait behind others.
func TestEngineGetsTheRequestsThatItCanBegin(t *testing.T) {
	for _, c := range []struct{ rate, minOnTime float64 }{{rate: 12, minOnTime: 0.35}, {rate: 16, minOnTime: 0.2}} {
		const seeds = 4
		var onTime, lost, longServed float64
		for seed := range uint64(seeds) {
			classes := runBatch(c.rate, seed)
			short, long := classes[0], classes[1]
			onTime += float64(short.onTime) / float64(short.asked) / seeds
			lost += float64(short.failed) / float64(short.asked) / seeds
			longServed += long.served() / seeds
		}
		require.GreaterOrEqual(t, onTime, c.minOnTime, "%v requests a second", c.rate)
		require.LessOrEqual(t, lost, 0.02, "%v requests a second", c.rate)
		require.GreaterOrEqual(t, longServed, 0.9, "the more urgent requests, %v requests a second", c.rate)
	}
}

// At many gateways each has few requests for an engine that is asked for twice what it can
// read. Those that are late already, and that others leave no room for, must be refused while
// their callers have time to come back.
func TestLateRequestsWithoutRoomAreNotHeld(t *testing.T) {
	for _, gateways := range []int{5, 25} {
		short := runBatchAt(gateways, 16, 1)[0]
		require.LessOrEqual(t, float64(short.heldLong), 0.02*float64(short.asked), "%d gateways", gateways)
		require.Positive(t, short.refused)
	}
}
