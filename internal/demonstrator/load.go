package demonstrator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// LoadTestConfig configures a load test.
type LoadTestConfig struct {
	Duration     time.Duration
	InjectFaults bool
	Seed         uint64                     // of the requests and the faults
	Progress     io.Writer                  // receives a line of counts every few seconds; nil for none
	Token        func(caller string) string // bearer token of a caller
}

// Parameters of the load.
const (
	modelRequestsPerSecond = 60.0
	bookingsPerSecond      = 25.0 // non-idempotent requests to the plain service
	burstFactor            = 6.0  // by which the rate of model requests rises in a burst
	burstDuration          = 1500 * time.Millisecond
	burstInterval          = 5 * time.Second
	hotModelShare          = 0.5 // of the model requests in a burst, to one model or adapter
	streamShare            = 0.7 // of the model requests
	maxResponseTokens      = 40
	settleDelay            = time.Second // for runs in progress to end before they are counted
	progressInterval       = 5 * time.Second
)

// loadTest is one call of RunLoadTest.
type loadTest struct {
	cluster      *Cluster
	cfg          LoadTestConfig
	rng          *rand.Rand
	models       []configurator.ModelName // models and adapters
	service      configurator.ServiceName
	client       *client
	report       *Report
	wg           sync.WaitGroup
	requestCount int
}

// RunLoadTest sends requests of all callers to the deployment for a time, with or
// without faults, and reports their results.
func (c *Cluster) RunLoadTest(ctx context.Context, cfg LoadTestConfig) *Report {
	l := &loadTest{cluster: c, cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2)), report: newReport(c.cfg.Configuration)}
	l.client = newClient(c, l.report)
	for _, m := range c.cfg.Configuration.Models {
		l.models = append(l.models, m.Name)
	}
	for _, a := range c.cfg.Configuration.Adapters {
		l.models = append(l.models, a.Name)
	}
	for _, u := range c.cfg.Configuration.Upstreams {
		if u.Role == configurator.Service {
			l.service = u.Service
		}
	}
	started := time.Now()
	injector := &faultInjector{cluster: c, rng: rand.New(rand.NewPCG(cfg.Seed, 3)), report: l.report}
	if cfg.InjectFaults {
		injector.start(ctx, cfg.Duration)
	}
	l.run(ctx)
	injector.wait()
	l.checkReachability(ctx)
	l.wg.Wait()
	time.Sleep(settleDelay)
	l.report.finish(c, time.Since(started))
	return l.report
}

// run sends requests at the configured rates until the duration has passed.
func (l *loadTest) run(ctx context.Context) {
	started := time.Now()
	end := started.Add(l.cfg.Duration)
	hotModel := l.models[0]
	var requestsDue, bookingsDue float64
	lastStep := started
	nextProgress := started.Add(progressInterval)
	for now := started; now.Before(end) && ctx.Err() == nil; now = time.Now() {
		elapsed := now.Sub(started)
		inBurst := elapsed%burstInterval < burstDuration
		if !inBurst {
			hotModel = l.models[l.rng.IntN(len(l.models))]
		}
		rate := modelRequestsPerSecond
		if inBurst {
			rate *= burstFactor
		}
		requestsDue += now.Sub(lastStep).Seconds() * rate
		bookingsDue += now.Sub(lastStep).Seconds() * bookingsPerSecond
		lastStep = now
		for ; requestsDue >= 1; requestsDue-- {
			l.callModel(ctx, l.pickModel(hotModel, inBurst))
		}
		for ; bookingsDue >= 1; bookingsDue-- {
			l.callService(ctx)
		}
		if l.cfg.Progress != nil && now.After(nextProgress) {
			nextProgress = now.Add(progressInterval)
			_, _ = fmt.Fprintf(l.cfg.Progress, "%3.0fs %s\n", elapsed.Seconds(), l.report.progressLine())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// pickModel returns the models and adapters in the order of the first request numbers,
// and random ones after that, with a preference for hotModel in a burst. Bookings use
// up numbers too, so some models are skipped here; checkReachability sends a request
// to every one.
func (l *loadTest) pickModel(hotModel configurator.ModelName, inBurst bool) configurator.ModelName {
	l.requestCount++
	if l.requestCount <= len(l.models) {
		return l.models[l.requestCount-1]
	}
	if inBurst && l.rng.Float64() < hotModelShare {
		return hotModel
	}
	return l.models[l.rng.IntN(len(l.models))]
}

func (l *loadTest) callModel(ctx context.Context, m configurator.ModelName) {
	callers := l.cluster.cfg.Configuration.Callers
	caller := callers[l.rng.IntN(len(callers))]
	req := modelRequest{
		caller: caller, token: l.cfg.Token(string(caller.Name)), model: m,
		prompt: fmt.Sprintf("question %d", l.requestCount), tokens: 8 + l.rng.IntN(maxResponseTokens-8), stream: l.rng.Float64() < streamShare,
	}
	l.wg.Go(func() { l.client.callModel(ctx, req) })
}

func (l *loadTest) callService(ctx context.Context) {
	l.requestCount++
	callers := l.cluster.cfg.Configuration.Callers
	caller := callers[l.rng.IntN(len(callers))]
	req := bookingRequest{token: l.cfg.Token(string(caller.Name)), service: l.service, caller: caller, body: fmt.Sprintf("booking-%d", l.requestCount)}
	if l.rng.Float64() < 0.8 { // share of requests with an idempotency key
		req.key = req.body
	}
	l.wg.Go(func() { l.client.sendBooking(ctx, req) })
}

// checkReachability sends one request to every model and adapter after the faults
// and reports those without a complete response.
func (l *loadTest) checkReachability(ctx context.Context) {
	caller := l.cluster.cfg.Configuration.Callers[len(l.cluster.cfg.Configuration.Callers)-1]
	for _, m := range l.models {
		req := modelRequest{caller: caller, token: l.cfg.Token(string(caller.Name)), model: m, prompt: "sweep", tokens: 4}
		l.wg.Go(func() {
			if !l.client.callModel(ctx, req) {
				l.report.addUnreachable(m)
			}
		})
	}
}
