package driver

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/watcher"
)

// verdictStore is a store that can be away.
type verdictStore struct {
	mu     sync.Mutex
	away   bool
	stored []isolator.Verdict
}

func (s *verdictStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// replace replaces the verdicts and returns those from before.
func (s *verdictStore) replace(stored ...isolator.Verdict) []isolator.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.stored
	s.stored = stored
	return before
}

func (s *verdictStore) AppendVerdict(_ context.Context, verdict isolator.Verdict) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return errors.New("the store is away")
	}
	s.stored = append(s.stored, isolator.Verdict{Trait: verdict.Trait})
	return nil
}

func (s *verdictStore) ReadVerdicts(context.Context) ([]isolator.Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, errors.New("the store is away")
	}
	return s.stored, nil
}

func TestPartIsIsolatedWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, err := observer.NewBoundedLogger(io.Discard, "info")
		require.NoError(t, err)
		store := &verdictStore{away: true}
		s := &Steward{
			cfg: StewardConfig{Log: log, Store: &longPollStore{}}, syncer: newSyncer(&longPollStore{}, log.Logger, stewardPollTiming), verdicts: newVerdictKeeper(store),
		}
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { s.judge(ctx) })
		g.Go(func() { s.keepVerdicts(ctx) })
		for _, part := range []isolator.Trait{"dead1", "dead2"} {
			s.syncer.mu.Lock()
			for _, u := range []registrar.UpstreamID{"u1", "u2", "u3"} {
				s.recordCrash(isolator.Crash{Upstream: u + registrar.UpstreamID(part), Requests: [][]isolator.Trait{{part}}})
			}
			s.syncer.mu.Unlock()
			time.Sleep(time.Second)
			s.syncer.mu.Lock()
			_, isolated := s.verdicts.verdicts.Isolated(s.syncer.now(), []isolator.Trait{part})
			s.syncer.mu.Unlock()
			require.True(t, isolated, part)
		}
		store.setAway(false)
		time.Sleep(2 * time.Second)
		cancel()
		g.Wait()
		require.Equal(t, []isolator.Verdict{{Trait: "dead1"}, {Trait: "dead2"}}, store.stored)
		require.NoError(t, log.Close())
	})
}

// restorableStore is a store that can be restored from a backup.
type restorableStore struct {
	longPollStore
	eras *watcher.EraTracker
}

func (s *restorableStore) Era() (watcher.Era, <-chan struct{}) { return s.eras.Current() }

func TestVerdictsAreWrittenAgainAfterTheStoreWasRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, err := observer.NewBoundedLogger(io.Discard, "info")
		require.NoError(t, err)
		store, eras := &verdictStore{}, watcher.NewEraTracker()
		s := &Steward{
			cfg: StewardConfig{Log: log, Store: &restorableStore{eras: eras}}, syncer: newSyncer(&longPollStore{}, log.Logger, stewardPollTiming), verdicts: newVerdictKeeper(store),
		}
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { s.keepVerdicts(ctx) })
		s.syncer.mu.Lock()
		s.verdicts.own, s.verdicts.unsaved = []isolator.Trait{"dead"}, []isolator.Trait{"dead"}
		s.syncer.mu.Unlock()
		wake(s.verdicts.save)
		for era := range watcher.Era(2) {
			time.Sleep(time.Second)
			require.NoError(t, eras.Observe(era+1))
		}
		time.Sleep(time.Second)
		cancel()
		g.Wait()
		require.Equal(t, []isolator.Verdict{{Trait: "dead"}, {Trait: "dead"}, {Trait: "dead"}}, store.stored)
		require.NoError(t, log.Close())
	})
}

// Only the stewards that had reached a verdict wrote it again to a restored store. When they
// were gone by then, processes that started later did not learn of it.
func TestVerdictsOfStewardsThatAreGoneAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stewards = 20
		log, err := observer.NewBoundedLogger(io.Discard, "info")
		require.NoError(t, err)
		store, eras := &verdictStore{stored: []isolator.Verdict{{Trait: "kept"}}}, watcher.NewEraTracker()
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		for range stewards {
			s := &Steward{
				cfg: StewardConfig{Log: log, Store: &restorableStore{eras: eras}}, syncer: newSyncer(&longPollStore{}, log.Logger, stewardPollTiming), verdicts: newVerdictKeeper(store),
			}
			s.learnVerdicts([]isolator.Verdict{{Trait: "dead", Age: time.Minute}, {Trait: "brief", Age: time.Hour - time.Second}}, "peer")
			g.Go(func() { s.keepVerdicts(ctx) })
		}
		for era := range watcher.Era(2) {
			time.Sleep(time.Second)
			require.NoError(t, eras.Observe(era+1))
			time.Sleep(3 * verdictFillDelay)
			require.Equal(t, []isolator.Verdict{{Trait: "kept"}, {Trait: "dead"}}, store.replace(isolator.Verdict{Trait: "kept"}), "one of them writes")
		}
		cancel()
		g.Wait()
		require.NoError(t, log.Close())
	})
}
