package watcher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// scriptedStore answers each call with the next step, and blocks when there is none left.
type scriptedStore struct {
	eras  *EraTracker
	steps []func() (Batch, error)
	calls []string
}

func newScriptedStore(steps ...func() (Batch, error)) *scriptedStore {
	return &scriptedStore{eras: NewEraTracker(), steps: steps}
}

func (s *scriptedStore) answer(ctx context.Context, call string) (Batch, error) {
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	batch, err := step()
	if err != nil {
		return Batch{}, err
	}
	return batch, s.eras.Observe(batch.Era)
}

func (s *scriptedStore) ReadLatest(ctx context.Context, _ string) (Batch, error) {
	return s.answer(ctx, "latest")
}

func (s *scriptedStore) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (Batch, error) {
	return s.answer(ctx, "read")
}

func (s *scriptedStore) Era() (Era, <-chan struct{}) { return s.eras.Current() }

func recordsStep(next int64, keys ...string) func() (Batch, error) {
	return eraStep(0, next, keys...)
}

func eraStep(era Era, next int64, keys ...string) func() (Batch, error) {
	return func() (Batch, error) {
		var records []Record
		for _, k := range keys {
			records = append(records, Record{Key: k})
		}
		return Batch{Records: records, NextOffset: next, Era: era}, nil
	}
}

func failureStep(err error) func() (Batch, error) {
	return func() (Batch, error) { return Batch{}, err }
}

func TestWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newScriptedStore(failureStep(errors.New("refused")), recordsStep(5, "a", "b"), recordsStep(6, "c"), failureStep(ErrExpired), recordsStep(9, "d"))
		var seen []string
		var statuses []bool
		recordWith := func(prefix string) func([]Record) {
			return func(records []Record) {
				for _, r := range records {
					seen = append(seen, prefix+r.Key)
				}
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		go New(Config{
			Store: store, PollTimeout: time.Hour, OnReplace: recordWith("all "), OnChange: recordWith("new "), OnReachable: func(up bool) { statuses = append(statuses, up) }, Logger: zerolog.Nop(),
		}).Run(ctx)
		time.Sleep(time.Minute)
		synctest.Wait()
		cancel()
		synctest.Wait()
		require.Equal(t, []string{"all a", "all b", "new c", "all d"}, seen)
		require.Equal(t, []bool{false, true}, statuses)
		require.Equal(t, []string{"latest", "latest", "read", "read", "latest", "read"}, store.calls)
	})
}

func TestUndecodableRecordsAreDropped(t *testing.T) {
	w := New(Config{Logger: zerolog.Nop()})
	require.Equal(t, []Record{{Key: "a"}}, w.dropUnreadable([]Record{{Err: errors.New("torn")}, {Key: "a"}}))
}

// A process that starts during an outage of the store must retry after retryDelay, not
// after the longer PollDelay, since it can do nothing before the first answer.
func TestFirstAnswerIsAskedForAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var callTimes []time.Duration
		start := time.Now()
		timedStep := func(err error) func() (Batch, error) {
			return func() (Batch, error) {
				callTimes = append(callTimes, time.Since(start))
				return Batch{NextOffset: 1}, err
			}
		}
		refused := errors.New("refused")
		store := newScriptedStore(timedStep(refused), timedStep(refused), timedStep(nil), timedStep(refused), timedStep(nil))
		ctx, cancel := context.WithCancel(t.Context())
		const pollDelay = 2500 * time.Millisecond
		go New(Config{
			Store: store, PollTimeout: time.Hour, PollDelay: pollDelay, OnReplace: func([]Record) {}, OnChange: func([]Record) {}, OnReachable: func(bool) {}, Logger: zerolog.Nop(),
		}).Run(ctx)
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		require.Equal(t, []time.Duration{0, retryDelay, 2 * retryDelay, 2*retryDelay + pollDelay, 2*retryDelay + 2*pollDelay}, callTimes)
	})
}

// An instance that was cut off must learn soon after it is back what it has missed, such as
// upstreams that left; a store that refuses calls must not get more of them.
func TestStoreIsAskedSoonAfterACut(t *testing.T) {
	for name, tc := range map[string]struct {
		failure error
		delay   time.Duration
	}{
		"no answer": {context.DeadlineExceeded, retryDelay},
		"refused":   {errors.New("refused"), 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calledAt []time.Time
				step := func(b Batch, err error) func() (Batch, error) {
					return func() (Batch, error) {
						calledAt = append(calledAt, time.Now())
						return b, err
					}
				}
				store := newScriptedStore(step(Batch{NextOffset: 1}, nil), step(Batch{}, tc.failure), step(Batch{}, tc.failure), step(Batch{}, tc.failure), step(Batch{NextOffset: 1}, nil))
				ignore := func([]Record) {}
				w := New(Config{
					Store: store, Topic: "t", PollTimeout: 500 * time.Millisecond, PollDelay: 1500 * time.Millisecond, Logger: zerolog.Nop(),
					OnReplace: ignore, OnChange: ignore, OnRestored: func() {}, OnReachable: func(bool) {},
				})
				ctx, cancel := context.WithCancel(t.Context())
				go w.Run(ctx)
				time.Sleep(10 * time.Second)
				cancel()
				synctest.Wait()
				require.GreaterOrEqual(t, len(calledAt), 5)
				require.Equal(t, tc.delay, calledAt[4].Sub(calledAt[3]))
			})
		})
	}
}

// slowStore is a store whose answer to a Read comes in parts.
type slowStore struct {
	*scriptedStore
	pause time.Duration // between two parts
	parts int
}

func (s *slowStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error) {
	trace := TraceOf(ctx)
	time.Sleep(wait)
	for range s.parts {
		trace.Progress(nil)
		trace.Pending(6)
		select {
		case <-time.After(s.pause):
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
	return s.scriptedStore.Read(ctx, topic, from, wait)
}

func TestAnswerThatTakesLongIsReadWhole(t *testing.T) {
	for pause, read := range map[time.Duration]bool{answerGrace - time.Millisecond: true, answerGrace + time.Millisecond: false} {
		synctest.Test(t, func(t *testing.T) {
			store := &slowStore{newScriptedStore(recordsStep(5, "a"), recordsStep(6, "b")), pause, 10}
			pending := 0
			var seen []Record
			ctx, cancel := context.WithCancel(t.Context())
			w := New(Config{
				Store: store, PollTimeout: time.Second, Logger: zerolog.Nop(),
				OnReplace: func([]Record) {}, OnChange: func(r []Record) { seen = append(seen, r...) }, OnReachable: func(bool) {},
				OnPending: func(int64) { pending++ },
			})
			go w.Run(ctx)
			time.Sleep(time.Second + 10*pause + time.Millisecond)
			synctest.Wait()
			cancel()
			time.Sleep(2 * time.Second)
			synctest.Wait()
			require.Equal(t, read, len(seen) == 1, "pause %s", pause)
			require.Positive(t, pending)
		})
	}
}

func TestRecordsFarBehindAreNotReadOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		partial := func(next, end int64) func() (Batch, error) {
			return func() (Batch, error) { return Batch{Records: []Record{{Key: "b"}}, NextOffset: next, End: end}, nil }
		}
		store := newScriptedStore(recordsStep(5, "a"), partial(6, 7), partial(7, 9), recordsStep(9, "c"), partial(10, 10))
		current := 0
		ctx, cancel := context.WithCancel(t.Context())
		w := New(Config{
			Store: store, PollTimeout: time.Second, Logger: zerolog.Nop(), OnReplace: func([]Record) {}, OnChange: func([]Record) {}, OnReachable: func(bool) {},
			OnCurrent: func() { current++ },
		})
		go w.Run(ctx)
		synctest.Wait()
		require.Equal(t, []string{"latest", "read", "read", "latest", "read", "read"}, store.calls)
		require.Equal(t, 3, current, "not with answers that left records unread")
		cancel()
		synctest.Wait()
	})
}

func TestMalformedAnswerIsFollowedByTheNewestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newScriptedStore(recordsStep(5, "a"), failureStep(ErrMalformed), recordsStep(9, "c"))
		ctx, cancel := context.WithCancel(t.Context())
		w := New(Config{Store: store, PollTimeout: time.Second, Logger: zerolog.Nop(), OnReplace: func([]Record) {}, OnChange: func([]Record) {}, OnReachable: func(bool) {}})
		go w.Run(ctx)
		time.Sleep(retryDelay)
		synctest.Wait()
		require.Equal(t, []string{"latest", "read", "latest", "read"}, store.calls)
		cancel()
		synctest.Wait()
	})
}

func TestWantedPollDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &waitingStore{scriptedStore: newScriptedStore(recordsStep(5, "a"), recordsStep(5), recordsStep(5))}
		now := make(chan struct{}, 1)
		ctx, cancel := context.WithCancel(t.Context())
		w := New(Config{
			Store: store, PollTimeout: time.Second, PollDelay: time.Minute, PollNow: now, Logger: zerolog.Nop(),
			OnReplace: func([]Record) {}, OnChange: func([]Record) {}, OnReachable: func(bool) {},
		})
		go w.Run(ctx)
		synctest.Wait()
		now <- struct{}{}
		synctest.Wait()
		require.Equal(t, []time.Duration{0}, store.recorded())
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, []time.Duration{0, time.Second}, store.recorded())
		cancel()
		synctest.Wait()
	})
}

// Two timers of one bubble that fire at once crash the race detector.
func TestPauseWithoutLengthTakesNoTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				w := New(Config{Logger: zerolog.Nop()})
				for range 1000 {
					w.pause(t.Context(), 0)
				}
			})
		}
		wg.Wait()
	})
}

func TestPauseWithoutLengthTakesNoteOfAWantedPoll(t *testing.T) {
	now := make(chan struct{}, 1)
	now <- struct{}{}
	w := New(Config{PollNow: now, Logger: zerolog.Nop()})
	w.pause(t.Context(), 0)
	require.True(t, w.hurry)
	w.pause(t.Context(), 0)
	require.False(t, w.hurry)
}

// waitingStore records for how long each Read may wait.
type waitingStore struct {
	*scriptedStore
	mu    sync.Mutex
	waits []time.Duration
}

func (s *waitingStore) recorded() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.waits)
}

func (s *waitingStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	return s.scriptedStore.Read(ctx, topic, from, wait)
}
