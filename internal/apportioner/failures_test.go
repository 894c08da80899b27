package apportioner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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

func TestLoweredQuotaBindsWithinASecond(t *testing.T) {
	for _, n := range []int{6, 30} {
		f := newFleet(t, n, workspace("w", 150_000, 300_000))
		f.demand = callers(f.quotas[0], 1.5, func(time.Duration, int) float64 { return 1 / float64(n) })
		f.run(12 * time.Second)
		lowered := workspace("w", 15_000, 30_000)
		f.configure(lowered)
		f.run(time.Second)
		f.spent = map[registrar.WorkspaceName][]spend{}
		start := f.now
		f.beginShare()
		f.run(16 * time.Second)
		f.requireWithin(lowered)
		f.requireServed(lowered, f.now-start, 0.9)
	}
}

// A gateway or an issuer that has not got the configuration yet must not bring the earlier
// quota back.
func TestLoweredQuotaBindsGatewaysWithAnOlderConfiguration(t *testing.T) {
	f := newFleet(t, 6, workspace("w", 150_000, 300_000))
	f.demand = callers(f.quotas[0], 1.5, func(time.Duration, int) float64 { return 1.0 / 6 })
	f.run(12 * time.Second)
	lowered := workspace("w", 15_000, 30_000)
	f.version++
	f.gateways[3].account.Configure(f.version, []registrar.Workspace{lowered})
	f.run(time.Second)
	f.spent = map[registrar.WorkspaceName][]spend{}
	f.run(12 * time.Second)
	f.requireWithin(lowered)
}

func TestRaisedAndAddedQuotasAreServedWithinASecond(t *testing.T) {
	for _, n := range []int{6, 30} {
		before, after := workspace("w", 15_000, 30_000), workspace("w", 150_000, 300_000)
		added := workspace("added", 40_000, 80_000)
		f := newFleet(t, n, before)
		f.demand = func(_ time.Duration, _ int, name registrar.WorkspaceName) float64 {
			return map[registrar.WorkspaceName]float64{"w": 200_000, "added": 60_000}[name] / testCost / float64(n)
		}
		f.run(12 * time.Second)
		f.configure(after, added)
		f.run(time.Second)
		start := f.now
		f.beginShare()
		f.run(8 * time.Second)
		for _, w := range []registrar.Workspace{after, added} {
			f.requireWithin(w)
			f.requireServed(w, f.now-start, 0.9)
		}
	}
}

func TestCallersOfAWorkspaceWhoseQuotaIsRemovedAreServed(t *testing.T) {
	a := NewAccount(Config{Epoch: 1})
	a.Configure(1, []registrar.Workspace{workspace("w", 1000, 1000)})
	require.Equal(t, Pending, a.Take(0, 1, "w", 500).Outcome)
	a.Configure(2, []registrar.Workspace{workspace("w", 0, 0)})
	require.Equal(t, []Settled{{1, Decision{Outcome: Granted}}}, a.Settled(0))
	require.Equal(t, Granted, a.Take(0, 2, "w", 1e9).Outcome)
	require.False(t, a.Active())
	_, _, ok := a.Poll(0, []string{"a"})
	require.False(t, ok, "a deployment without quotas sends nothing")
}

// A request that costs more than the burst must not wait for ever.
func TestRequestBeyondTheBurstIsServedAndLeavesADebt(t *testing.T) {
	w := workspace("w", 1000, 2000)
	f := newFleet(t, 6, w)
	f.cost = func(*rand.Rand) float64 { return 5000 }
	f.demand = func(_ time.Duration, g int, _ registrar.WorkspaceName) float64 { return float64(2 * (g % 2)) }
	f.run(4 * time.Second)
	f.beginShare()
	f.run(50 * time.Second)
	require.InDelta(t, 50_000, f.total("w"), 6000)
}

func TestReturnedCostIsSpentAgain(t *testing.T) {
	w := workspace("w", 150_000, 300_000)
	f := newFleet(t, 6, w)
	f.demand = callers(w, 3, func(time.Duration, int) float64 { return 1.0 / 6 })
	f.returned = 0.3
	f.run(5 * time.Second)
	f.beginShare()
	start := f.now
	f.run(15 * time.Second)
	f.requireWithin(w)
	f.requireServed(w, f.now-start, 0.95)
}
