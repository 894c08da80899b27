package watcher

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// scripted answers one call after the other.
type scripted struct {
	steps []func() ([]Record, int64, error)
	calls []string
}

func (s *scripted) next(ctx context.Context, call string) ([]Record, int64, error) {
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step()
}

func (s *scripted) ReadLatest(ctx context.Context, _ string) ([]Record, int64, error) {
	return s.next(ctx, "newest")
}

func (s *scripted) Read(ctx context.Context, _ string, _ int64, _ time.Duration) ([]Record, int64, error) {
	return s.next(ctx, "read")
}

func answer(next int64, keys ...string) func() ([]Record, int64, error) {
	return func() ([]Record, int64, error) {
		var records []Record
		for _, k := range keys {
			records = append(records, Record{Key: k})
		}
		return records, next, nil
	}
}

func failure(err error) func() ([]Record, int64, error) {
	return func() ([]Record, int64, error) { return nil, 0, err }
}

func TestWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scripted{steps: []func() ([]Record, int64, error){
			failure(errors.New("refused")), answer(5, "a", "b"), answer(6, "c"), failure(ErrExpired), answer(9, "d"),
		}}
		var seen []string
		var reach []bool
		note := func(prefix string) func([]Record) {
			return func(records []Record) {
				for _, r := range records {
					seen = append(seen, prefix+r.Key)
				}
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		go New(Config{
			Store: store, OnReplace: note("all "), OnChange: note("new "), OnReachable: func(up bool) { reach = append(reach, up) }, Logger: zerolog.Nop(),
		}).Run(ctx)
		time.Sleep(time.Minute)
		synctest.Wait()
		cancel()
		synctest.Wait()
		require.Equal(t, []string{"all a", "all b", "new c", "all d"}, seen)
		require.Equal(t, []bool{false, true}, reach)
		require.Equal(t, []string{"newest", "newest", "read", "read", "newest", "read"}, store.calls)
	})
}

func TestUnreadableRecordsAreLeftOut(t *testing.T) {
	w := New(Config{Logger: zerolog.Nop()})
	require.Equal(t, []Record{{Key: "a"}}, w.readable([]Record{{Err: errors.New("torn")}, {Key: "a"}}))
}

// A process that starts while the store is away must not wait for the pause of
// calm times before it asks again: it can do nothing without the first answer.
func TestFirstAnswerIsAskedForAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var at []time.Duration
		start := time.Now()
		mark := func(err error) func() ([]Record, int64, error) {
			return func() ([]Record, int64, error) {
				at = append(at, time.Since(start))
				return nil, 1, err
			}
		}
		refused := errors.New("refused")
		store := &scripted{steps: []func() ([]Record, int64, error){mark(refused), mark(refused), mark(nil), mark(refused), mark(nil)}}
		ctx, cancel := context.WithCancel(t.Context())
		const pause = 2500 * time.Millisecond
		go New(Config{
			Store: store, PollDelay: pause, OnReplace: func([]Record) {}, OnChange: func([]Record) {}, OnReachable: func(bool) {}, Logger: zerolog.Nop(),
		}).Run(ctx)
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		require.Equal(t, []time.Duration{0, retryPause, 2 * retryPause, 2*retryPause + pause, 2*retryPause + 2*pause}, at)
	})
}
