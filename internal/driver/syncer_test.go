package driver

import (
	"context"
	"errors"
	"net/netip"
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

// maxApplyDelay is the longest time from publication until a configuration is in force.
const maxApplyDelay = 2 * time.Second

// longPollStore is a store that misses a record written during a long poll: the poll
// returns at its timeout without the record.
type longPollStore struct {
	mu          sync.Mutex
	version     registrar.Version
	longestPoll time.Duration // of the configuration
}

func (s *longPollStore) publish(v registrar.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = v
}

func (s *longPollStore) latest(topic string) watcher.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if topic != s.ConfigurationTopic() || s.version == 0 {
		return watcher.Batch{}
	}
	return watcher.Batch{Records: []watcher.Record{{Key: "configuration"}}, NextOffset: int64(s.version)}
}

func (s *longPollStore) ReadLatest(_ context.Context, topic string) (watcher.Batch, error) {
	return s.latest(topic), nil
}

func (s *longPollStore) Read(_ context.Context, topic string, from int64, wait time.Duration) (watcher.Batch, error) {
	if batch := s.latest(topic); batch.NextOffset > from {
		return batch, nil
	}
	if topic == s.ConfigurationTopic() {
		s.mu.Lock()
		s.longestPoll = max(s.longestPoll, wait)
		s.mu.Unlock()
	}
	time.Sleep(wait)
	return watcher.Batch{NextOffset: from}, nil
}

func (s *longPollStore) Era() (watcher.Era, <-chan struct{}) { return 0, nil }

func (s *longPollStore) ConfigurationTopic() string { return "operator" }
func (s *longPollStore) UpstreamTopic() string      { return "list" }

func (s *longPollStore) DecodeConfiguration(watcher.Record) (*registrar.Configuration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &registrar.Configuration{Version: s.version}, nil
}

func (s *longPollStore) DecodeUpstream(watcher.Record) (*registrar.Upstream, error) { return nil, nil }

func TestConfigurationMissedByALongPollIsInForceInTime(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 300 * time.Millisecond, 1900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store := &longPollStore{}
			s := newSyncer(store, zerolog.Nop(), gatewayPollTiming(2*time.Second, 2*time.Second, 0))
			inForce := time.Time{}
			s.onConfiguration = func(*registrar.Configuration) { inForce = time.Now() }
			s.onList = func() {}
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			g.Go(func() { s.run(ctx) })
			time.Sleep(10*time.Second + delay)
			published := time.Now()
			store.publish(7)
			time.Sleep(maxApplyDelay)
			synctest.Wait()
			cancel()
			g.Wait()
			require.False(t, inForce.IsZero(), "published after 10s + %s", delay)
			require.Less(t, inForce.Sub(published), maxApplyDelay)
		})
	}
}

// undecodableStore is a store whose configurations can't be decoded.
type undecodableStore struct{ longPollStore }

func (*undecodableStore) DecodeConfiguration(watcher.Record) (*registrar.Configuration, error) {
	return nil, errors.New("unknown kind of route")
}

// A newer configuration that can't be decoded must not be fetched from a peer again with
// each of its messages.
func TestUndecodableConfigurationIsNotRefetchedAtOnce(t *testing.T) {
	server, err := exchanger.New(exchanger.Config{Address: "127.0.0.1:0", Current: func() exchanger.Record { return exchanger.Record{Key: "k", Value: []byte("v")} }})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	s := newSyncer(&undecodableStore{}, zerolog.Nop(), gatewayPollTiming(maxApplyDelay, maxApplyDelay, 0))
	peer := netip.MustParseAddrPort(server.Address())
	fetching := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.fetches) > 0
	}
	require.Eventually(t, func() bool {
		s.mu.Lock()
		s.handlePeerVersion(peer, 7)
		s.mu.Unlock()
		return fetching()
	}, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool { return !fetching() }, time.Minute, time.Millisecond)
	s.mu.Lock()
	s.handlePeerVersion(peer, 7)
	s.mu.Unlock()
	require.False(t, fetching())
	cancel()
	require.NoError(t, <-done)
}

// Peers may be as late as this process, so their announcements must not lengthen its polls.
func TestLongPollsAreShortWhateverPeersAnnounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &longPollStore{}
		s := newSyncer(store, zerolog.Nop(), gatewayPollTiming(maxDrainDelay, maxApplyDelay, 0))
		s.onList, s.onConfiguration = func() {}, func(*registrar.Configuration) {}
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { s.run(ctx) })
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			s.mu.Lock()
			s.handlePeerVersion(netip.MustParseAddrPort("10.0.0.2:7380"), 0)
			s.mu.Unlock()
		}
		cancel()
		g.Wait()
		require.Equal(t, maxApplyDelay*2/5, store.longestPoll)
	})
}

// A peer may have started again, without the version that it announced before.
func TestOlderConfigurationOfOnePeerDoesNotDelayTheFetchFromAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSyncer(&fleetStore{fleet: &fleet{}}, zerolog.Nop(), gatewayPollTiming(maxDrainDelay, maxApplyDelay, 0))
		s.onConfiguration = func(*registrar.Configuration) {}
		records := map[string]exchanger.Record{addressOf(1).String(): {Key: "k", Value: []byte{6}}, addressOf(2).String(): {Key: "k", Value: []byte{7}}}
		s.fetch = func(_ context.Context, r exchanger.Request) (exchanger.Record, error) { return records[r.Address], nil }
		for range 10 {
			for peer := 1; peer <= 2; peer++ {
				s.mu.Lock()
				s.handlePeerVersion(addressOf(peer), 7)
				s.mu.Unlock()
			}
			time.Sleep(announcePeriod)
		}
		synctest.Wait()
		require.EqualValues(t, 7, s.version())
	})
}

// countingStore counts the configurations that it decodes.
type countingStore struct {
	fleetStore
	decoded int
}

func (s *countingStore) DecodeConfiguration(r watcher.Record) (*registrar.Configuration, error) {
	s.decoded++
	if r.Value[0] == 0 {
		return nil, errors.New("unknown kind of route")
	}
	return s.fleetStore.DecodeConfiguration(r)
}

func TestConfigurationOfTwoSourcesIsDecodedOnce(t *testing.T) {
	store := &countingStore{fleetStore: fleetStore{fleet: &fleet{}}}
	s := newSyncer(store, zerolog.Nop(), gatewayPollTiming(maxDrainDelay, maxApplyDelay, 0))
	s.onConfiguration = func(*registrar.Configuration) {}
	record := watcher.Record{Key: "k", Value: []byte{7}}
	require.True(t, s.installConfigurations([]watcher.Record{record}, fromPeer, 0))
	require.True(t, s.installConfigurations([]watcher.Record{record}, fromStore, 0))
	require.Equal(t, 1, store.decoded)
	require.EqualValues(t, 7, s.version())

	require.False(t, s.installConfigurations([]watcher.Record{{Key: "k", Value: []byte{0}}}, fromStore, 0))
	require.True(t, s.confirmations.unusable)
	require.True(t, s.installConfigurations([]watcher.Record{record}, fromStore, 0))
	require.False(t, s.confirmations.unusable, "the store's newest one is in force")
	require.True(t, s.installConfigurations([]watcher.Record{{Key: "k", Value: []byte{8}}}, fromStore, 0))
	require.EqualValues(t, 8, s.version())
}
