package evaluator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// Call is one request of a trace.
type Call struct {
	At     time.Duration
	Model  configurator.ModelName // model or adapter
	Caller configurator.Caller
	Prompt int // tokens
	Output int // tokens
}

// Scenario shapes demand and failures.
type Scenario struct {
	Name     string
	Length   time.Duration
	Cold     bool                       // engines start empty
	Bursts   bool                       // short bursts for single models
	Rise     bool                       // some models rise tenfold
	Shift    time.Duration              // the popularity of models turns at this time
	Deaths   func(i int, d string) bool // runners that die, by index and failure domain
	DeathAt  time.Duration              //
	LostRate float64                    // share of orders that are lost or late
	LogDown  [2]time.Duration           // the log is down in between
}

// Scenarios lists what policies are measured under.
func Scenarios() []Scenario {
	const length = 180 * time.Second
	return []Scenario{
		{Name: "steady", Length: length},
		{Name: "bursts", Length: length, Bursts: true},
		{Name: "tenfold", Length: length, Rise: true},
		{Name: "runner dies", Length: length, DeathAt: 60 * time.Second, Deaths: func(i int, _ string) bool { return i == 0 }},
		{Name: "domain dies", Length: length, DeathAt: 60 * time.Second, Deaths: func(_ int, d string) bool { return d[len(d)-1] == 'a' || d[len(d)-1] == '1' }},
		{Name: "orders lost", Length: length, Bursts: true, LostRate: 0.2},
		{Name: "cold start", Length: length, Cold: true},
		{Name: "log down", Length: length, Shift: 60 * time.Second, LogDown: [2]time.Duration{30 * time.Second, 170 * time.Second}},
	}
}

// Shape of the demand.
const (
	ratePerRunner = 7.0 // requests a second
	zipfExponent  = 0.9
	burstRate     = 8.0 // requests a second per runner of the cluster, added for one model
	burstLength   = 6 * time.Second
	burstPeriod   = 20 * time.Second
	riseFactor    = 10.0
	meanPrompt    = 300.0
	meanOutput    = 60.0
	slice         = 10 * time.Millisecond
)

// NewTrace draws the requests of a scenario.
func NewTrace(cfg configurator.Configuration, s Scenario, seed uint64) []Call {
	d := &demand{cfg: cfg, s: s, rnd: rand.New(rand.NewPCG(seed, 11))}
	d.prepare()
	var calls []Call
	for at := time.Duration(0); at < s.Length; at += slice {
		for range d.poisson(d.runners * ratePerRunner * slice.Seconds()) {
			calls = append(calls, d.call(at, d.pick(at)))
		}
		if s.Bursts && at%burstPeriod < burstLength {
			hot := d.names[(int(at/burstPeriod)*7+3)%len(d.names)]
			for range d.poisson(d.runners * burstRate * slice.Seconds()) {
				calls = append(calls, d.call(at, hot))
			}
		}
	}
	return calls
}

type demand struct {
	cfg     configurator.Configuration
	s       Scenario
	rnd     *rand.Rand
	runners float64
	names   []configurator.ModelName
	weights []float64
}

func (d *demand) prepare() {
	for _, u := range d.cfg.Upstreams {
		if u.Role == configurator.Runner {
			d.runners++
		}
	}
	for _, m := range d.cfg.Models {
		d.names = append(d.names, m.Name)
	}
	for _, a := range d.cfg.Adapters {
		d.names = append(d.names, a.Name)
	}
	d.rnd.Shuffle(len(d.names), func(i, j int) { d.names[i], d.names[j] = d.names[j], d.names[i] })
	for i := range d.names {
		d.weights = append(d.weights, math.Pow(float64(i+1), -zipfExponent))
	}
}

// pick draws a model by its popularity at a time.
func (d *demand) pick(at time.Duration) configurator.ModelName {
	total := 0.0
	weight := func(i int) float64 {
		j := i
		if d.s.Shift > 0 && at >= d.s.Shift {
			j = len(d.names) - 1 - i
		}
		w := d.weights[j]
		if d.s.Rise && i >= 20 && i < 24 {
			w *= 1 + (riseFactor-1)*min(1, float64(at)/float64(d.s.Length/2))
		}
		return w
	}
	for i := range d.names {
		total += weight(i)
	}
	x := d.rnd.Float64() * total
	for i := range d.names {
		if x -= weight(i); x < 0 {
			return d.names[i]
		}
	}
	return d.names[0]
}

func (d *demand) call(at time.Duration, m configurator.ModelName) Call {
	callers := d.cfg.Callers
	return Call{
		At: at, Model: m, Caller: callers[d.rnd.IntN(len(callers))],
		Prompt: 20 + int(d.rnd.ExpFloat64()*meanPrompt), Output: 4 + int(min(d.rnd.ExpFloat64(), 5)*meanOutput),
	}
}

func (d *demand) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), d.rnd.Float64(), 0
	for product > limit {
		product *= d.rnd.Float64()
		n++
	}
	return n
}
