package apportioner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// quotaLoads are workspaces with what their callers ask for, in parts of the quota.
var quotaLoads = []struct {
	workspace registrar.Workspace
	load      float64
}{
	{workspace("small", 4400, 8800), 0.6},
	{workspace("small", 4400, 8800), 6},
	{workspace("large", 150_000, 300_000), 0.6},
	{workspace("large", 150_000, 300_000), 6},
}

// playFailure runs a fleet whose callers are at all gateways until it is steady, then plays
// a failure and requires that the quota was kept and the share of it that is owed served.
func playFailure(t *testing.T, sizes []int, share float64, play func(f *fleet)) {
	for _, n := range sizes {
		for _, q := range quotaLoads {
			t.Run(fmt.Sprintf("%d/%s/%v", n, q.workspace.Name, q.load), func(t *testing.T) {
				f := newFleet(t, n, q.workspace)
				f.run(3 * time.Second)
				f.demand = callers(q.workspace, q.load, func(time.Duration, int) float64 { return 1 / float64(n) })
				f.run(10 * time.Second)
				start := f.now
				f.beginShare()
				play(f)
				f.requireWithin(q.workspace)
				f.requireServed(q.workspace, f.now-start, share)
			})
		}
	}
}

func TestQuotaIsServedAndKeptWhenTheIssuerIsKilled(t *testing.T) {
	playFailure(t, []int{6, 30}, 0.85, func(f *fleet) {
		f.stewards[0].down = true
		f.run(10 * time.Second)
		f.stewards[0].ledger, f.stewards[0].down = NewLedger(), false
		f.run(10 * time.Second)
	})
}

func TestFrozenIssuerDoesNotIssueForTheTimeThatItSlept(t *testing.T) {
	for _, sleep := range []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond, 6 * time.Second} {
		t.Run(sleep.String(), func(t *testing.T) {
			playFailure(t, []int{30}, 0.75, func(f *fleet) {
				f.stewards[0].frozen = true
				f.run(sleep)
				f.stewards[0].frozen = false
				f.run(10 * time.Second)
			})
		})
	}
}

func TestFrozenGatewaysSpendNoStaleTokens(t *testing.T) {
	for _, sleep := range []time.Duration{900 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second} {
		t.Run(sleep.String(), func(t *testing.T) {
			playFailure(t, []int{30}, 0.6, func(f *fleet) {
				for _, g := range f.gateways[:15] {
					g.frozen = true
				}
				f.run(sleep)
				for _, g := range f.gateways[:15] {
					g.frozen = false
				}
				f.run(8 * time.Second)
			})
		})
	}
}

func TestQuotaIsServedAndKeptWhileGatewaysAreKilledAndStarted(t *testing.T) {
	playFailure(t, []int{6, 30}, 0.75, func(f *fleet) {
		for i := range 20 {
			g := i * 7 % len(f.gateways)
			f.gateways[g].down = true
			f.run(700 * time.Millisecond)
			f.start(g)
			f.run(300 * time.Millisecond)
		}
	})
}

func TestQuotaIsServedAndKeptWithLostLateAndDoubledDatagrams(t *testing.T) {
	playFailure(t, []int{6, 30, 103}, 0.85, func(f *fleet) {
		f.loss, f.double = 0.1, 0.3
		f.delay = func(r *rand.Rand) time.Duration {
			if r.Float64() < 0.1 {
				return time.Duration(r.IntN(600)) * time.Millisecond
			}
			return time.Millisecond + time.Duration(r.IntN(2000))*time.Microsecond
		}
		f.run(20 * time.Second)
	})
}

func TestQuotaIsKeptByThePartsOfACutTogether(t *testing.T) {
	for _, parts := range []int{2, 3} {
		t.Run(fmt.Sprint(parts), func(t *testing.T) {
			playFailure(t, []int{6, 30, 103}, 0.6, func(f *fleet) {
				f.part, f.parts = func(g int) int { return g }, parts
				f.run(20 * time.Second)
				f.parts = 1
				f.run(10 * time.Second)
			})
		})
	}
}

func TestQuotaIsKeptWithoutAnIssuer(t *testing.T) {
	playFailure(t, []int{6, 30, 103}, 0, func(f *fleet) {
		for _, s := range f.stewards {
			s.down = true
		}
		f.run(30 * time.Second)
		for _, s := range f.stewards {
			s.ledger, s.down = NewLedger(), false
		}
		f.run(10 * time.Second)
	})
}
