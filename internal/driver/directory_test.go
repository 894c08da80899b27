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

// applyBound is the time after which a configuration must be in force.
const applyBound = 2 * time.Second

// sluggish is a store that holds a call to its end when the record comes after
// the call has begun.
type sluggish struct {
	mu      sync.Mutex
	version registrar.Version
}

func (s *sluggish) publish(v registrar.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = v
}

func (s *sluggish) records(topic string) ([]watcher.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if topic != s.ConfigurationTopic() || s.version == 0 {
		return nil, 0, nil
	}
	return []watcher.Record{{Key: "configuration"}}, int64(s.version), nil
}

func (s *sluggish) ReadLatest(_ context.Context, topic string) ([]watcher.Record, int64, error) {
	return s.records(topic)
}

func (s *sluggish) Read(_ context.Context, topic string, from int64, wait time.Duration) ([]watcher.Record, int64, error) {
	if records, next, err := s.records(topic); next > from || err != nil {
		return records, next, err
	}
	time.Sleep(wait)
	return nil, from, nil
}

func (s *sluggish) ConfigurationTopic() string { return "operator" }
func (s *sluggish) UpstreamTopic() string      { return "list" }

func (s *sluggish) DecodeConfiguration(watcher.Record) (*registrar.Configuration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &registrar.Configuration{Version: s.version}, nil
}

func (s *sluggish) DecodeUpstream(watcher.Record) (*registrar.Upstream, error) { return nil, nil }

func TestConfigurationThatACallMissesIsInForceInTime(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 300 * time.Millisecond, 1900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store := &sluggish{}
			d := newDirectory(store, zerolog.Nop(), paceOf(2*time.Second, 2*time.Second))
			inForce := time.Time{}
			d.onConfiguration = func(*registrar.Configuration) { inForce = time.Now() }
			d.onList = func() {}
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			g.Go(func() { d.run(ctx) })
			time.Sleep(10*time.Second + delay)
			published := time.Now()
			store.publish(7)
			time.Sleep(applyBound)
			synctest.Wait()
			cancel()
			g.Wait()
			require.False(t, inForce.IsZero(), "published %s into a call", delay)
			require.Less(t, inForce.Sub(published), applyBound)
		})
	}
}

// unreadable is a store whose configurations can't be read here.
type unreadable struct{ sluggish }

func (*unreadable) DecodeConfiguration(watcher.Record) (*registrar.Configuration, error) {
	return nil, errors.New("unknown kind of route")
}

// A newer configuration that can't be used must not be fetched with each message.
func TestUnusableConfigurationIsNotFetchedAtOnceAgain(t *testing.T) {
	e, err := exchanger.New(exchanger.Config{Address: "127.0.0.1:0", Current: func() exchanger.Record { return exchanger.Record{Key: "k", Value: []byte("v")} }})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	d := newDirectory(&unreadable{}, zerolog.Nop(), paceOf(applyBound, applyBound))
	peer := netip.MustParseAddrPort(e.Address())
	fetching := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.fetching
	}
	d.mu.Lock()
	d.start, d.behind = d.start.Add(-time.Hour), 1
	d.heard(peer, 7)
	d.mu.Unlock()
	require.True(t, fetching())
	require.Eventually(t, func() bool { return !fetching() }, time.Minute, time.Millisecond)
	d.mu.Lock()
	d.heard(peer, 7)
	d.mu.Unlock()
	require.False(t, fetching())
	cancel()
	require.NoError(t, <-done)
}
