package driver

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/exchanger"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/watcher"
)

// maxRevokeDelay is the longest time from the publication of a version without a key until
// the key is not accepted, also while the store can't be reached.
const maxRevokeDelay = 5 * time.Second

// accepts reports whether a process would take the key that only the first version has.
func accepts(s *syncer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.registrar.Configuration()
	if c == nil || !s.confirmations.current() {
		return false
	}
	_, ok := c.Workspace(revokedKey)
	return ok
}

func TestRevokedKeyIsNotAcceptedForLong(t *testing.T) {
	const affected, freezeTime = 0, 6 * time.Second
	refuse := func(f *fleet) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stores[affected].refuses = true
	}
	nothing := func(*fleet) {}
	for name, c := range map[string]struct{ before, after func(f *fleet) }{
		"in touch":                         {nothing, nothing},
		"refused by the store":             {refuse, nothing},
		"refused by the store and started": {refuse, func(f *fleet) { f.restart(affected) }},
		"frozen": {func(f *fleet) { f.freeze(affected) }, func(f *fleet) {
			time.Sleep(freezeTime)
			f.thaw(affected)
		}},
		"frozen and then refused by the store": {func(f *fleet) {
			f.freeze(affected)
			refuse(f)
		}, func(f *fleet) {
			time.Sleep(freezeTime)
			f.thaw(affected)
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			f := newFleet(ctx, &g)
			time.Sleep(10 * time.Second)
			require.True(t, accepts(f.processes[affected]), name)
			c.before(f)
			f.publish(2)
			c.after(f)
			time.Sleep(maxApplyDelay)
			synctest.Wait()
			for i, s := range f.processes[:simulatedGateways] {
				require.False(t, accepts(s), "%s: gateway %d", name, i)
				s.mu.Lock()
				require.EqualValues(t, 2, s.version(), name)
				s.mu.Unlock()
			}
			cancel()
			g.Wait()
			time.Sleep(exchanger.CallTimeout) // fetches under way end
		})
	}
}

// runStrict runs the syncer of a gateway that accepts no key that was not confirmed for
// maxRevokeDelay. Its clock is ahead by the returned time.
func runStrict(ctx context.Context, g *sync.WaitGroup, store Store) (s *syncer, suspended *time.Duration) {
	s = newSyncer(store, zerolog.Nop(), gatewayPollTiming(maxDrainDelay, maxApplyDelay, maxRevokeDelay))
	s.onList, s.onConfiguration = func() {}, func(*registrar.Configuration) {}
	start := time.Now()
	suspended = new(time.Duration)
	s.confirmations.clock = func() time.Duration { return time.Hour + time.Since(start) + *suspended }
	g.Go(func() { s.run(ctx) })
	return s, suspended
}

func TestKeysAreAcceptedWhileTheStoreConfirmsThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		f := &fleet{version: 1, changed: make(chan struct{})}
		s, _ := runStrict(ctx, &g, &fleetStore{fleet: f})
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			require.True(t, accepts(s))
		}
		cancel()
		g.Wait()
	})
}

// A process that the store refuses can't know whether a key was taken away.
func TestKeysAreNotAcceptedWithoutTheStoreForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		f := &fleet{version: 1, changed: make(chan struct{})}
		store := &fleetStore{fleet: f}
		s, _ := runStrict(ctx, &g, store)
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		store.refuses = true
		f.version = 2 // it would take the key away
		f.mu.Unlock()
		time.Sleep(maxRevokeDelay)
		require.False(t, accepts(s))
		f.mu.Lock()
		store.refuses, f.version = false, 1 // as if the key had come back
		f.mu.Unlock()
		time.Sleep(maxApplyDelay)
		require.True(t, accepts(s))
		cancel()
		g.Wait()
	})
}

// The clock of the timers stands still while an instance is suspended.
func TestKeysAreNotAcceptedAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		s, suspended := runStrict(ctx, &g, &fleetStore{fleet: &fleet{version: 1, changed: make(chan struct{})}})
		time.Sleep(10100 * time.Millisecond)
		synctest.Wait()
		*suspended = maxRevokeDelay
		require.False(t, accepts(s))
		time.Sleep(2 * maxApplyDelay)
		require.True(t, accepts(s))
		synctest.Wait()
		cancel()
		g.Wait()
	})
}

// What the newest version takes away is not known while it can't be decoded.
func TestUndecodableConfigurationRevertsNothingAndConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		s := newSyncer(&brokenVersionStore{}, zerolog.New(&log), gatewayPollTiming(maxDrainDelay, maxApplyDelay, maxRevokeDelay))
		s.onConfiguration = func(*registrar.Configuration) {}
		s.confirmations.clock = func() time.Duration { return time.Hour }
		install := func(value byte) bool {
			return s.installConfigurations([]watcher.Record{{Key: "k", Value: []byte{value}}}, fromStore, 0)
		}
		require.True(t, install(1))
		s.confirmations.confirm(s.confirmations.clock())
		require.True(t, accepts(s))
		require.False(t, install(brokenVersion))
		require.EqualValues(t, 1, s.version())
		require.Contains(t, log.String(), `"level":"error"`)
		require.Contains(t, log.String(), `"version":1,"message":"cannot decode configuration, the one in force stays"`)
		s.confirmations.at = 0
		s.confirmations.confirm(s.confirmations.clock())
		require.False(t, accepts(s))
		require.True(t, install(1))
		s.confirmations.confirm(s.confirmations.clock())
		require.True(t, accepts(s))
	})
}

const brokenVersion = 9

// brokenVersionStore can't decode brokenVersion.
type brokenVersionStore struct{ fleetStore }

func (s *brokenVersionStore) DecodeConfiguration(r watcher.Record) (*registrar.Configuration, error) {
	if r.Value[0] == brokenVersion {
		return nil, errStore
	}
	return s.fleetStore.DecodeConfiguration(r)
}
