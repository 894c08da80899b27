package evaluator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// Request is one request of a trace.
type Request struct {
	ArrivesAt    time.Duration          // since the start of the trace
	Model        configurator.ModelName // model or adapter
	Caller       configurator.Caller
	PromptTokens int
	OutputTokens int
}

// Scenario describes the demand and the failures of a simulation. Times count from
// the start of the trace.
type Scenario struct {
	Name                 string
	Duration             time.Duration
	ColdStart            bool                       // no model is resident at the start, except under UpperBound
	Bursts               bool                       // short bursts of requests, each for a single model
	Ramp                 bool                       // the popularity of four models grows tenfold in the first half
	PopularityReversedAt time.Duration              // when the ranking of the models by popularity is reversed; zero for never
	Fails                func(i int, d string) bool // whether a runner fails, by index and failure domain; nil for none
	FailureAt            time.Duration              // when the runners of Fails fail
	OrderLossRate        float64                    // share of orders that are lost, or executed late without an answer
	LogOutage            [2]time.Duration           // the log is unavailable from the first to the second time
}

// Scenarios lists the scenarios in the order of the table.
func Scenarios() []Scenario {
	const duration = 180 * time.Second
	return []Scenario{
		{Name: "steady", Duration: duration},
		{Name: "bursts", Duration: duration, Bursts: true},
		{Name: "tenfold", Duration: duration, Ramp: true},
		{Name: "runner dies", Duration: duration, FailureAt: 60 * time.Second, Fails: func(i int, _ string) bool { return i == 0 }},
		{Name: "domain dies", Duration: duration, FailureAt: 60 * time.Second, Fails: func(_ int, d string) bool { return d[len(d)-1] == 'a' || d[len(d)-1] == '1' }},
		{Name: "orders lost", Duration: duration, Bursts: true, OrderLossRate: 0.2},
		{Name: "cold start", Duration: duration, ColdStart: true},
		{Name: "log down", Duration: duration, PopularityReversedAt: 60 * time.Second, LogOutage: [2]time.Duration{30 * time.Second, 170 * time.Second}},
	}
}

// Parameters of the demand.
const (
	requestRatePerRunner = 7.0 // requests per second
	zipfExponent         = 0.9 // the popularity of a model is its rank to the power of -zipfExponent
	burstRatePerRunner   = 8.0 // requests per second for one model, per runner of the cluster, on top of the base load
	burstLength          = 6 * time.Second
	burstPeriod          = 20 * time.Second
	rampFactor           = 10.0
	meanPromptTokens     = 300.0
	meanOutputTokens     = 60.0
	traceStep            = 10 * time.Millisecond // resolution of arrival times
)

// NewTrace generates the requests of a scenario in the order of their arrival.
func NewTrace(cfg configurator.Configuration, s Scenario, seed uint64) []Request {
	g := &traceGenerator{cfg: cfg, scenario: s, rnd: rand.New(rand.NewPCG(seed, 11))}
	g.rankModels()
	var requests []Request
	for at := time.Duration(0); at < s.Duration; at += traceStep {
		for range g.poisson(g.runnerCount * requestRatePerRunner * traceStep.Seconds()) {
			requests = append(requests, g.newRequest(at, g.pickModel(at)))
		}
		if s.Bursts && at%burstPeriod < burstLength {
			hot := g.models[(int(at/burstPeriod)*7+3)%len(g.models)]
			for range g.poisson(g.runnerCount * burstRatePerRunner * traceStep.Seconds()) {
				requests = append(requests, g.newRequest(at, hot))
			}
		}
	}
	return requests
}

// traceGenerator draws the requests of a trace.
type traceGenerator struct {
	cfg         configurator.Configuration
	scenario    Scenario
	rnd         *rand.Rand
	runnerCount float64
	models      []configurator.ModelName // models and adapters by descending initial popularity
	weights     []float64                // popularity by rank
}

// rankModels counts the runners and ranks the models and adapters in random order.
func (g *traceGenerator) rankModels() {
	for _, u := range g.cfg.Upstreams {
		if u.Role == configurator.Runner {
			g.runnerCount++
		}
	}
	for _, m := range g.cfg.Models {
		g.models = append(g.models, m.Name)
	}
	for _, a := range g.cfg.Adapters {
		g.models = append(g.models, a.Name)
	}
	g.rnd.Shuffle(len(g.models), func(i, j int) { g.models[i], g.models[j] = g.models[j], g.models[i] })
	for i := range g.models {
		g.weights = append(g.weights, math.Pow(float64(i+1), -zipfExponent))
	}
}

// pickModel draws a model or adapter by its popularity at a time.
func (g *traceGenerator) pickModel(at time.Duration) configurator.ModelName {
	total := 0.0
	weight := func(i int) float64 {
		rank := i
		if g.scenario.PopularityReversedAt > 0 && at >= g.scenario.PopularityReversedAt {
			rank = len(g.models) - 1 - i
		}
		w := g.weights[rank]
		if g.scenario.Ramp && i >= 20 && i < 24 {
			w *= 1 + (rampFactor-1)*min(1, float64(at)/float64(g.scenario.Duration/2))
		}
		return w
	}
	for i := range g.models {
		total += weight(i)
	}
	x := g.rnd.Float64() * total
	for i := range g.models {
		if x -= weight(i); x < 0 {
			return g.models[i]
		}
	}
	return g.models[0]
}

// newRequest draws a request for a model: a uniformly distributed caller and
// exponentially distributed lengths.
func (g *traceGenerator) newRequest(at time.Duration, m configurator.ModelName) Request {
	callers := g.cfg.Callers
	return Request{
		ArrivesAt: at, Model: m, Caller: callers[g.rnd.IntN(len(callers))],
		PromptTokens: 20 + int(g.rnd.ExpFloat64()*meanPromptTokens), OutputTokens: 4 + int(min(g.rnd.ExpFloat64(), 5)*meanOutputTokens),
	}
}

// poisson draws a number with the Poisson distribution, by Knuth's method.
func (g *traceGenerator) poisson(mean float64) int {
	threshold, product, n := math.Exp(-mean), g.rnd.Float64(), 0
	for product > threshold {
		product *= g.rnd.Float64()
		n++
	}
	return n
}
