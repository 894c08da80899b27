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

// LoadTestConfig describes the callers that Drive plays.
type LoadTestConfig struct {
	Duration     time.Duration
	InjectFaults bool
	Seed         uint64
	Progress     io.Writer
	Token        func(caller string) string // bearer token of a caller
}

// Shape of the load.
const (
	modelRate    = 60.0 // model requests a second
	bookingRate  = 25.0 // calls to the plain service a second
	burstFactor  = 6.0
	burstLength  = 1500 * time.Millisecond
	burstEvery   = 5 * time.Second
	hotShare     = 0.5 // of the requests in a burst that go to one model
	streamShare  = 0.7
	maxAnswer    = 40 // tokens
	settleTime   = time.Second
	progressStep = 5 * time.Second
)

// load is one run of Drive.
type load struct {
	cluster *Cluster
	cfg     LoadTestConfig
	rnd     *rand.Rand
	names   []configurator.ModelName // models and adapters
	service configurator.ServiceName
	client  *client
	report  *Report
	wg      sync.WaitGroup
	serial  int
}

// RunLoadTest plays callers against the deployment and reports what they saw.
func (c *Cluster) RunLoadTest(ctx context.Context, cfg LoadTestConfig) *Report {
	l := &load{cluster: c, cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 2)), report: newReport(c.cfg.Configuration)}
	l.client = newClient(c, l.report)
	for _, m := range c.cfg.Configuration.Models {
		l.names = append(l.names, m.Name)
	}
	for _, a := range c.cfg.Configuration.Adapters {
		l.names = append(l.names, a.Name)
	}
	for _, u := range c.cfg.Configuration.Upstreams {
		if u.Role == configurator.Service {
			l.service = u.Service
		}
	}
	begun := time.Now()
	faults := &saboteur{cluster: c, rnd: rand.New(rand.NewPCG(cfg.Seed, 3)), report: l.report}
	if cfg.InjectFaults {
		faults.start(ctx, cfg.Duration)
	}
	l.run(ctx)
	faults.wait()
	l.sweep(ctx)
	l.wg.Wait()
	time.Sleep(settleTime)
	l.report.finish(c, time.Since(begun))
	return l.report
}

// run sends requests at the rates of the load's shape until its time is over.
func (l *load) run(ctx context.Context) {
	begun := time.Now()
	end := begun.Add(l.cfg.Duration)
	hot := l.names[0]
	var model, booking float64
	last := begun
	progress := begun.Add(progressStep)
	for now := begun; now.Before(end) && ctx.Err() == nil; now = time.Now() {
		since := now.Sub(begun)
		burst := since%burstEvery < burstLength
		if !burst {
			hot = l.names[l.rnd.IntN(len(l.names))]
		}
		rate := modelRate
		if burst {
			rate *= burstFactor
		}
		model += now.Sub(last).Seconds() * rate
		booking += now.Sub(last).Seconds() * bookingRate
		last = now
		for ; model >= 1; model-- {
			l.callModel(ctx, l.pickModel(hot, burst))
		}
		for ; booking >= 1; booking-- {
			l.callService(ctx)
		}
		if l.cfg.Progress != nil && now.After(progress) {
			progress = now.Add(progressStep)
			_, _ = fmt.Fprintf(l.cfg.Progress, "%3.0fs %s\n", since.Seconds(), l.report.line())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// pickModel goes through all names once, then draws them at random.
func (l *load) pickModel(hot configurator.ModelName, burst bool) configurator.ModelName {
	l.serial++
	if l.serial <= len(l.names) {
		return l.names[l.serial-1]
	}
	if burst && l.rnd.Float64() < hotShare {
		return hot
	}
	return l.names[l.rnd.IntN(len(l.names))]
}

func (l *load) callModel(ctx context.Context, m configurator.ModelName) {
	callers := l.cluster.cfg.Configuration.Callers
	caller := callers[l.rnd.IntN(len(callers))]
	call := modelCall{
		caller: caller, token: l.cfg.Token(string(caller.Name)), model: m,
		prompt: fmt.Sprintf("question %d", l.serial), tokens: 8 + l.rnd.IntN(maxAnswer-8), stream: l.rnd.Float64() < streamShare,
	}
	l.wg.Go(func() { l.client.callModel(ctx, call) })
}

func (l *load) callService(ctx context.Context) {
	l.serial++
	callers := l.cluster.cfg.Configuration.Callers
	caller := callers[l.rnd.IntN(len(callers))]
	call := bookingCall{token: l.cfg.Token(string(caller.Name)), service: l.service, caller: caller, body: fmt.Sprintf("booking-%d", l.serial)}
	if l.rnd.Float64() < 0.8 {
		call.key = call.body
	}
	l.wg.Go(func() { l.client.book(ctx, call) })
}

// sweep asks every model and adapter once more, to see that all are reachable.
func (l *load) sweep(ctx context.Context) {
	caller := l.cluster.cfg.Configuration.Callers[len(l.cluster.cfg.Configuration.Callers)-1]
	for _, m := range l.names {
		call := modelCall{caller: caller, token: l.cfg.Token(string(caller.Name)), model: m, prompt: "sweep", tokens: 4}
		l.wg.Go(func() {
			if !l.client.callModel(ctx, call) {
				l.report.unreachable(m)
			}
		})
	}
}
