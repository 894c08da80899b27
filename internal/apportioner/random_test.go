package apportioner

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretwall/egretwall/internal/registrar"
)

// testFailures are the failures that a random fleet suffers, each for a while.
var testFailures = map[string]func(f *fleet, i int, on bool){
	"kill steward": func(f *fleet, i int, on bool) {
		s := f.stewards[i%len(f.stewards)]
		if s.down = on; on {
			s.ledger, s.inbox = NewLedger(), nil
		}
	},
	"freeze steward": func(f *fleet, i int, on bool) { f.stewards[i%len(f.stewards)].frozen = on },
	"kill gateway": func(f *fleet, i int, on bool) {
		if f.gateways[i%len(f.gateways)].down = on; !on {
			f.start(i % len(f.gateways))
		}
	},
	"freeze gateways": func(f *fleet, i int, on bool) {
		for j := range f.gateways {
			if j%2 == i%2 {
				f.gateways[j].frozen = on
			}
		}
	},
	"cut": func(f *fleet, i int, on bool) {
		if f.parts = 1; on {
			f.parts = 2 + i%2
		}
	},
	"cut of some links": func(f *fleet, i int, on bool) {
		clear(f.broken)
		if on {
			for j := range f.gateways {
				f.broken[[2]int{j, (i + j) % len(f.stewards)}] = true
			}
		}
	},
	"loss": func(f *fleet, i int, on bool) {
		if f.loss, f.double = 0, 0; on {
			f.loss, f.double = float64(i%4)/10, 0.2
		}
	},
	"delay": func(f *fleet, i int, on bool) {
		f.delay = shortDelay
		if on {
			f.delay = func(r *rand.Rand) time.Duration {
				return time.Duration(r.IntN(20+i*40)) * time.Millisecond
			}
		}
	},
	"callers move": func(f *fleet, i int, on bool) {
		f.place = func(int) float64 { return 1 / float64(len(f.gateways)) }
		if on {
			f.place = func(g int) float64 {
				if g == i%len(f.gateways) {
					return 1
				}
				return 0
			}
		}
	},
	"demand pauses": func(f *fleet, _ int, on bool) {
		if f.load = 4; on {
			f.load = 0
		}
	},
}

// Whatever fails, the callers of a workspace that ask for several times its quota get no
// more than it in any window.
func TestQuotaIsKeptWhateverFails(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{3, 6, 12}).Draw(rt, "gateways")
		w := rapid.SampledFrom([]registrar.Workspace{workspace("small", 4400, 8800), workspace("large", 150_000, 300_000)}).Draw(rt, "workspace")
		f := newFleet(t, n, w)
		f.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		f.part = func(g int) int { return g }
		f.load, f.place = 4, func(int) float64 { return 1 / float64(n) }
		f.demand = func(_ time.Duration, g int, _ registrar.WorkspaceName) float64 {
			return f.load * f.place(g) * w.Quota.Rate / testCost
		}
		f.run(4 * time.Second)
		names := []string{"kill steward", "freeze steward", "kill gateway", "freeze gateways", "cut", "cut of some links", "loss", "delay", "callers move", "demand pauses"}
		for range rapid.IntRange(1, 6).Draw(rt, "failures") {
			name, i := rapid.SampledFrom(names).Draw(rt, "failure"), rapid.IntRange(0, 20).Draw(rt, "of")
			testFailures[name](f, i, true)
			f.run(time.Duration(rapid.IntRange(1, 40).Draw(rt, "for")) * 100 * time.Millisecond)
			if rapid.Bool().Draw(rt, "another begins before it ends") {
				other, j := rapid.SampledFrom(names).Draw(rt, "other"), rapid.IntRange(0, 20).Draw(rt, "of")
				testFailures[other](f, j, true)
				f.run(time.Duration(rapid.IntRange(1, 40).Draw(rt, "for")) * 100 * time.Millisecond)
				testFailures[other](f, j, false)
			}
			testFailures[name](f, i, false)
			f.run(time.Duration(rapid.IntRange(1, 30).Draw(rt, "pause")) * 100 * time.Millisecond)
		}
		limit := (w.Quota.Rate*testWindow.Seconds()+w.Quota.Burst)*testOver + testSlack*testCost
		if highest := f.highest(w.Name); highest > limit {
			rt.Fatalf("a window has %.0f of %.0f", highest, limit)
		}
		highestSeen = max(highestSeen, f.highest(w.Name)/(w.Quota.Rate*testWindow.Seconds()+w.Quota.Burst))
	})
	t.Logf("highest window %.3f of rate times window plus burst", highestSeen)
}

var highestSeen float64
