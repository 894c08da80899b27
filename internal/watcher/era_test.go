package watcher

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// runScript follows a scripted store until it has no step left, and returns what the
// watcher reported in order.
func runScript(t *testing.T, store *scriptedStore, during func()) []string {
	var seen []string
	synctest.Test(t, func(t *testing.T) {
		store.eras = NewEraTracker()
		recordWith := func(prefix string) func([]Record) {
			return func(records []Record) {
				for _, r := range records {
					seen = append(seen, prefix+r.Key)
				}
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		go New(Config{
			Store: store, PollTimeout: time.Hour, OnReplace: recordWith("all "), OnChange: recordWith("new "), Logger: zerolog.Nop(),
			OnRestored:  func() { seen = append(seen, "restored") },
			OnReachable: func(up bool) { seen = append(seen, "up "+strconv.FormatBool(up)) },
		}).Run(ctx)
		time.Sleep(time.Minute)
		synctest.Wait()
		if during != nil {
			during()
		}
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
	})
	return seen
}

// After a restore, the offset that follows the records read so far names other records.
func TestRestoredStoreIsReadFromTheNewestRecords(t *testing.T) {
	store := newScriptedStore(eraStep(1, 5, "a"), eraStep(2, 9, "skipped"), eraStep(2, 4, "b"), eraStep(2, 5, "c"))
	require.Equal(t, []string{"all a", "up true", "restored", "all b", "new c"}, runScript(t, store, nil))
	require.Equal(t, []string{"latest", "read", "latest", "read", "read"}, store.calls)
}

func TestTwoRestoresInARow(t *testing.T) {
	store := newScriptedStore(eraStep(1, 5, "a"), eraStep(2, 5), eraStep(3, 4, "b"), eraStep(3, 5, "c"))
	require.Equal(t, []string{"all a", "up true", "restored", "all b", "new c"}, runScript(t, store, nil))
}

// Another call may show the restore while a long poll waits at an offset that the store
// does not have any more.
func TestRestoreShownByAnotherCallEndsALongPoll(t *testing.T) {
	store := newScriptedStore(eraStep(1, 5, "a"))
	seen := runScript(t, store, func() {
		store.steps = []func() (Batch, error){eraStep(2, 4, "b")}
		require.NoError(t, store.eras.Observe(2))
	})
	require.Equal(t, []string{"all a", "up true", "restored", "all b"}, seen)
	require.Equal(t, []string{"latest", "read", "latest", "read"}, store.calls)
}

func TestAnswerFromBeforeARestoreIsDropped(t *testing.T) {
	store := newScriptedStore(eraStep(1, 5, "a"))
	seen := runScript(t, store, func() {
		store.steps = []func() (Batch, error){eraStep(1, 6, "old"), eraStep(2, 4, "b")}
		require.NoError(t, store.eras.Observe(2))
	})
	require.Equal(t, []string{"all a", "up true", "restored", "all b"}, seen)
}

// A restored store may refuse calls at first; each refusal shows the new era.
func TestRestoreDuringAnOutageDoesNotEndIt(t *testing.T) {
	store := newScriptedStore(eraStep(1, 5, "a"))
	refused := func() (Batch, error) {
		_ = store.eras.Observe(2)
		return Batch{}, errors.New("refused")
	}
	store.steps = append(store.steps, failureStep(errors.New("refused")), refused, refused, eraStep(2, 4, "b"))
	require.Equal(t, []string{"all a", "up true", "up false", "restored", "all b", "up true"}, runScript(t, store, nil))
}

// restoringStore is a keyed log that can be restored from a copy of its beginning.
type restoringStore struct {
	eras    *EraTracker
	mu      sync.Mutex
	era     Era
	records []Record
	hideEra bool // a deliberate fault of the client: it does not notice restores
}

func (s *restoringStore) shownEra() Era {
	if s.hideEra {
		return 0
	}
	return s.era
}

// newest returns the newest value of each key.
func (s *restoringStore) newest() map[string]string {
	values := map[string]string{}
	for _, r := range s.records {
		values[r.Key] = string(r.Value)
	}
	return values
}

func (s *restoringStore) ReadLatest(context.Context, string) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := Batch{NextOffset: int64(len(s.records)), Era: s.shownEra()}
	for key, value := range s.newest() {
		batch.Records = append(batch.Records, Record{Key: key, Value: []byte(value)})
	}
	return batch, s.eras.Observe(batch.Era)
}

func (s *restoringStore) Read(ctx context.Context, _ string, from int64, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from >= int64(len(s.records)) {
		s.mu.Unlock()
		sleep(ctx, wait)
		s.mu.Lock()
	}
	if err := ctx.Err(); err != nil {
		return Batch{}, err
	}
	if from > int64(len(s.records)) {
		return Batch{}, errors.Join(ErrExpired, s.eras.Observe(s.shownEra()))
	}
	batch := Batch{Records: slices.Clone(s.records[from:]), NextOffset: int64(len(s.records)), Era: s.shownEra()}
	return batch, s.eras.Observe(batch.Era)
}

func (s *restoringStore) Era() (Era, <-chan struct{}) { return s.eras.Current() }

// restore drops the newest records and, if rewrite is set, writes the newest value of
// each key again in another order.
func (s *restoringStore) restore(rnd *rand.Rand, rewrite bool) {
	lost := s.newest()
	s.records = s.records[:len(s.records)-rnd.IntN(len(s.records)+1)]
	s.era++
	if !rewrite {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(lost)) {
		s.records = append(s.records, Record{Key: key, Value: []byte(lost[key])})
	}
}

// followRestores follows a store through writes and restores that follow from a seed. It
// fails if what the watcher reported differs from the store's contents at the end.
func followRestores(t *testing.T, seed uint64, hideEra bool) (err error) {
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		store := &restoringStore{eras: NewEraTracker(), era: 1, hideEra: hideEra}
		view := map[string]string{}
		apply := func(records []Record) {
			for _, r := range records {
				view[r.Key] = string(r.Value)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		go New(Config{
			Store: store, PollTimeout: time.Second, PollDelay: 10 * time.Millisecond, Logger: zerolog.Nop(), OnChange: apply, OnRestored: func() {}, OnReachable: func(bool) {},
			OnReplace: func(records []Record) {
				clear(view)
				apply(records)
			},
		}).Run(ctx)
		for i := range 30 {
			time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
			store.mu.Lock()
			if rnd.IntN(4) == 0 {
				store.restore(rnd, rnd.IntN(2) == 0)
			} else {
				store.records = append(store.records, Record{Key: strconv.Itoa(rnd.IntN(5)), Value: []byte(strconv.Itoa(i))})
			}
			store.mu.Unlock()
		}
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		if !maps.Equal(view, store.newest()) {
			err = errors.New("the watcher's records differ from the store's")
		}
	})
	return err
}

func TestRestoresLeaveNoDifference(t *testing.T) {
	for seed := range uint64(100) {
		require.NoError(t, followRestores(t, seed, false), "seed %d", seed)
	}
}

// TestMutantsThatIgnoreRestoresAreCaught checks that followRestores detects a client that
// does not notice restores.
func TestMutantsThatIgnoreRestoresAreCaught(t *testing.T) {
	caught := 0
	for seed := range uint64(100) {
		if followRestores(t, seed, true) != nil {
			caught++
		}
	}
	require.Positive(t, caught)
}
