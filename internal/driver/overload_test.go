package driver

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/detector"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/exchanger"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/watcher"
)

// A gateway that was short of processor time served requests on routes that had been moved
// or dropped meanwhile.
func TestGatewayTakesNothingAfterAShortageUntilItsConfigurationIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSyncer(nil, zerolog.Nop(), pollTiming{})
		start := time.Now()
		s.confirmations.clock = func() time.Duration { return time.Since(start) }
		g := &Gateway{
			cfg: GatewayConfig{MaxApplyDelay: maxApplyDelay}, syncer: s,
			processor: detector.New(detector.Config{Period: dispatcher.TickPeriod, Tolerance: minShortage}),
		}
		// tick lets a tick come late by delay.
		tick := func(delay time.Duration) {
			time.Sleep(dispatcher.TickPeriod + delay)
			g.processor.Observe(s.now())
		}
		tick(0)
		s.confirmations.confirm(s.confirmations.clock())
		tick(0)
		require.False(t, g.Overloaded())

		tick(maxApplyDelay)
		require.False(t, g.Overloaded(), "one late tick is a pause of the instance")
		tick(maxApplyDelay)
		require.True(t, g.Overloaded())
		tick(0)
		require.False(t, g.processor.Short())
		require.True(t, g.Overloaded(), "the shortage has ended, but the configuration may lag behind")

		s.confirmations.confirm(s.confirmations.clock())
		require.False(t, g.Overloaded())

		tick(maxApplyDelay)
		tick(maxApplyDelay)
		tick(0)
		require.True(t, g.Overloaded())
		time.Sleep(maxApplyDelay)
		require.False(t, g.Overloaded(), "the store is away, not the processor: the gateway goes on with what it knows")
	})
}

// The store of a gateway that has just started may have come back from a copy without the
// newest version, which it confirms no less.
func TestVersionThatAPeerHasIsNotUnknownForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSyncer(&fleetStore{fleet: &fleet{}}, zerolog.Nop(), gatewayPollTiming(maxDrainDelay, maxApplyDelay, 0))
		s.onConfiguration = func(*registrar.Configuration) {}
		s.fetch = func(context.Context, exchanger.Request) (exchanger.Record, error) {
			return exchanger.Record{}, errStore
		}
		start := time.Now()
		s.confirmations.clock = func() time.Duration { return time.Since(start) }
		g := &Gateway{cfg: GatewayConfig{MaxApplyDelay: maxApplyDelay}, syncer: s}
		install := func(version byte) {
			require.True(t, s.installConfigurations([]watcher.Record{{Key: "k", Value: []byte{version}}}, fromStore, 0))
			s.mu.Lock()
			defer s.mu.Unlock()
			s.confirmations.confirm(s.confirmations.clock())
		}
		announce := func(version registrar.Version) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.handlePeerVersion(addressOf(1), version)
		}
		time.Sleep(time.Second)
		install(6)
		announce(6)
		require.False(t, g.MayLag())
		for range 3 { // one that no peer delivers
			announce(7)
			require.True(t, g.MayLag())
			time.Sleep(peerFetchDelay)
			install(6)
		}
		announce(5)
		require.True(t, g.MayLag(), "the peer may have started again, the version exists all the same")
		install(7)
		require.False(t, g.MayLag())
		synctest.Wait()
	})
}
