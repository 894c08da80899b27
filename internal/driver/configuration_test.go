package driver

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/exchanger"
)

// playFleet runs play on fleets that have been calm for various times, and requires that
// the version that it publishes is in force at all gateways within the time that it
// returns.
func playFleet(t *testing.T, play func(f *fleet) (within time.Duration)) {
	t.Helper()
	for _, calm := range []time.Duration{10 * time.Second, 10900 * time.Millisecond, 12300 * time.Millisecond, 14950 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			f := newFleet(ctx, &g)
			time.Sleep(calm)
			within := play(f)
			published := time.Now()
			f.publish(2)
			time.Sleep(within)
			synctest.Wait()
			cancel()
			g.Wait()
			time.Sleep(exchanger.CallTimeout) // fetches under way end
			require.Len(t, f.inForceAt[2], simulatedGateways, "in force after %v of %v", f.inForceAt[2], published)
		})
	}
}

func TestConfigurationThatAllProcessesMissIsInForceInTime(t *testing.T) {
	playFleet(t, func(f *fleet) time.Duration {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.wakes = false
		return maxApplyDelay
	})
}

func TestConfigurationIsInForceInTimeAfterAllConnectionsWentSilent(t *testing.T) {
	playFleet(t, func(f *fleet) time.Duration {
		f.silence()
		time.Sleep(stableWindow - maxApplyDelay)
		return maxApplyDelay
	})
}

func TestConfigurationThatTheStoreShowsOneGatewayIsInForceInTime(t *testing.T) {
	playFleet(t, func(f *fleet) time.Duration {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, s := range f.stores[1:] {
			s.refuses = true
		}
		return maxApplyDelay
	})
}

func TestConfigurationThatIsLargeForTheLinksOfGatewaysIsInForceInTime(t *testing.T) {
	for _, transfer := range []time.Duration{maxApplyDelay, 10 * time.Second, time.Minute} {
		playFleet(t, func(f *fleet) time.Duration {
			f.transfer = transfer
			return maxApplyDelay
		})
	}
}

// The store may still be sending what a peer has brought.
func TestGatewayIsNotOutdatedByWhatAPeerHasBrought(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		f := newFleet(ctx, &g)
		f.transfer = 20 * time.Second
		time.Sleep(10 * time.Second)
		f.publish(2)
		time.Sleep(maxApplyDelay)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, s := range f.processes[:simulatedGateways] {
				s.mu.Lock()
				require.EqualValues(t, 2, s.version())
				require.Zero(t, s.lag())
				s.mu.Unlock()
			}
		}
		cancel()
		time.Sleep(time.Minute)
		g.Wait()
	})
}

func TestConfigurationIsInForceInTimeWhenPeersHang(t *testing.T) {
	playFleet(t, func(f *fleet) time.Duration {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, s := range f.stores[:simulatedGateways] {
			s.refuses = true
		}
		for i := simulatedGateways; i < simulatedGateways+simulatedStewards/3; i++ {
			f.hangs[addressOf(i).String()] = true
		}
		return maxApplyDelay
	})
}

func TestUpstreamThatDrainsIsKnownInTimeAfterAllConnectionsWentSilent(t *testing.T) {
	for _, calm := range []time.Duration{10 * time.Second, 10900 * time.Millisecond, 12300 * time.Millisecond, 14950 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			f := newFleet(ctx, &g)
			time.Sleep(calm)
			f.silence()
			time.Sleep(stableWindow - maxDrainDelay)
			drained := time.Now()
			f.mu.Lock()
			f.listed++
			close(f.changed)
			f.changed = make(chan struct{})
			f.mu.Unlock()
			time.Sleep(maxDrainDelay)
			synctest.Wait()
			cancel()
			g.Wait()
			for _, at := range f.listReadAt {
				require.True(t, at.After(drained), "known at %v, drained at %v", f.listReadAt, drained)
			}
		})
	}
}
