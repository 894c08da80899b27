package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

func TestPartThatCrashesRunnersIsIsolatedAndNoOther(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		gateways, runners int
		sound, crashing   float64
		loss              float64
	}{{6, 12, 100, 3, 0.01}, {6, 9, 60, 1, 0.1}, {6, 12, 100, 20, 0.01}, {30, 40, 300, 6, 0.05}, {1, 3, 30, 2, 0}} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%+v, seed %d", c, seed), func(t *testing.T) {
				f := newCrashFleet(t, c.gateways, c.runners, seed)
				f.loss = c.loss
				f.load(c.sound, 0)
				f.run(3 * time.Second)
				before := f.share()
				f.load(0, c.crashing)
				f.run(20 * time.Second)
				require.GreaterOrEqual(t, f.crashes, 3)
				f.share()
				f.run(10 * time.Second)
				require.Greater(t, f.share(), before/2)
				require.LessOrEqual(t, f.arrivals, maxCrashArrivals, "%d crashes", f.crashes)
				f.requireOnlyCrashing()
			})
		}
	}
}

func TestRequestThatComesAgainIsIsolatedAndNoOther(t *testing.T) {
	t.Parallel()
	for _, kind := range []registrar.Kind{registrar.Idempotent, registrar.NonIdempotent, registrar.Streaming} {
		for _, c := range []struct {
			gateways, runners   int
			plain, sound, again float64
			loss                float64
			callers             int
		}{{6, 12, 45, 100, 1, 0.01, 1}, {6, 9, 30, 60, 5, 0.1, 1}, {30, 40, 60, 300, 2, 0.05, 1}, {1, 3, 30, 30, 2, 0, 1}, {6, 12, 45, 100, 0.5, 0.01, 4}} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%s, %+v, seed %d", kind, c, seed), func(t *testing.T) {
					f := newCrashFleet(t, c.gateways, c.runners, seed)
					f.loss = c.loss
					f.load(c.sound, 0)
					f.loadPlain(c.plain)
					f.run(3 * time.Second)
					before := f.share()
					f.loadAgain(c.again, kind, c.callers)
					f.run(20 * time.Second)
					require.GreaterOrEqual(t, f.crashes, requestCrashes)
					f.share()
					f.run(10 * time.Second)
					require.Greater(t, f.share(), 0.9*before)
					require.LessOrEqual(t, f.arrivals, maxCrashArrivals, "%d crashes", f.crashes)
					f.requireOnlyCrashing()
				})
			}
		}
	}
}

func TestRestartedGatewaysKnowIsolatedParts(t *testing.T) {
	f := newCrashFleet(t, 6, 12, 1)
	f.load(100, 3)
	f.run(15 * time.Second)
	for range 5 {
		for g := range f.gateways {
			f.startGateway(g)
			f.run(300 * time.Millisecond)
		}
	}
	require.LessOrEqual(t, f.arrivals, maxCrashArrivals)
	f.requireOnlyCrashing()
}

// Connections that are reset, and runners that crash for reasons of their own, must not
// isolate parts that the requests there have in common.
func TestCrashesWithoutACommonCauseIsolateNoPart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		f := newCrashFleet(t, 6, 12, seed)
		f.loss = 0.05
		f.load(60, 0)
		f.loadPlain(40)
		f.every(700*time.Millisecond, func() {
			u := f.runners[f.rng.IntN(len(f.runners))]
			switch {
			case u.down:
			case f.rng.IntN(2) == 0:
				f.crash(u)
			default:
				f.breakOff(u)
			}
		})
		f.run(60 * time.Second)
		require.Greater(t, f.crashes, 20)
		require.Empty(t, f.stored, "seed %d", seed)
	}
}

func TestCrashFleetRepeatsItsHistory(t *testing.T) {
	var crashes, arrivals, begun []int
	for range 5 {
		f := newCrashFleet(t, 6, 12, 1)
		f.load(100, 3)
		f.run(10 * time.Second)
		crashes, arrivals, begun = append(crashes, f.crashes), append(arrivals, int(f.lastID)), append(begun, f.begun)
	}
	for _, of := range [][]int{crashes, arrivals, begun} {
		require.Len(t, slices.Compact(of), 1, "crashes %v, requests %v, begun %v", crashes, arrivals, begun)
	}
}

func TestMutantsOfIsolationAreCaught(t *testing.T) {
	for _, mutant := range []crashMutant{noMutant, gatewaysNeverObject, verdictsStay, restartsForget} {
		f := newCrashFleet(t, 6, 12, 1)
		f.mutant = mutant
		f.load(100, 3)
		f.run(12 * time.Second)
		for range 3 {
			f.loseStewards()
			for g := range f.gateways {
				f.startGateway(g)
			}
			f.run(5 * time.Second)
		}
		caught := f.arrivals > maxCrashArrivals || f.refusedSound > 0
		require.Equal(t, mutant != noMutant, caught, "mutant %q: %d arrivals, %d sound requests refused", mutant, f.arrivals, f.refusedSound)
	}
}
