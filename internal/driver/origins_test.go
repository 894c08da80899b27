package driver

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/tracker"
	"github.com/egretwall/egretwall/internal/watcher"
)

// A service with one release costs no calls to the store. With the second one, streams that
// began before are written too.
func TestOriginsAreWrittenWhileThereAreSeveralReleases(t *testing.T) {
	k := newOriginKeeper("llm", newSyncer(nil, zerolog.Nop(), stewardPollTiming), nil, zerolog.Nop())
	one, two := &registrar.Upstream{Release: "v1", Service: "llm"}, &registrar.Upstream{Release: "v2", Service: "llm"}
	k.Releases.List(0, []*registrar.Upstream{one})
	a, b, c := tracker.Origin{Stream: "a", Release: "v1", Service: "llm"}, tracker.Origin{Stream: "b", Release: "v2", Service: "llm"}, tracker.Origin{Stream: "c", Release: "v2", Service: "llm"}
	k.record(0, a)
	require.Empty(t, k.log.takePending(0))
	k.Releases.List(time.Second, []*registrar.Upstream{one, two})
	require.Equal(t, []tracker.Origin{a}, k.log.takePending(time.Second))
	k.record(time.Second, b)
	k.record(time.Second, b)
	pending := k.log.takePending(2 * time.Second)
	require.Equal(t, []tracker.Origin{b}, pending)
	k.record(2*time.Second, c)
	k.log.giveBack(pending)
	require.Equal(t, []tracker.Origin{b, c}, k.log.takePending(3*time.Second), "written again after a failure")
	k.Releases.List(4*time.Second, []*registrar.Upstream{two})
	k.record(4*time.Second, tracker.Origin{Stream: "d", Release: "v2"})
	require.Len(t, k.log.takePending(4*time.Second), 1, "the release that is gone may have begun streams")
	k.log.takePending(2 * time.Minute)
	k.record(2*time.Minute, tracker.Origin{Stream: "e", Release: "v2"})
	require.Empty(t, k.log.takePending(2*time.Minute))
}

// Where a route is split, a single release of each service does not tell where a stream began.
func TestOriginsAreWrittenWhileARouteIsSplit(t *testing.T) {
	k := newOriginKeeper("llm", newSyncer(nil, zerolog.Nop(), stewardPollTiming), nil, zerolog.Nop())
	k.Releases.List(0, []*registrar.Upstream{{Release: "v1", Service: "llm"}, {Release: "v1", Service: "other"}})
	a := tracker.Origin{Stream: "a", Release: "v1", Service: "llm"}
	k.record(0, a)
	require.Empty(t, k.log.takePending(0))
	split := registrar.Route{Kind: registrar.Streaming, Resumable: true, Split: []registrar.WeightedService{{Service: "llm"}, {Service: "other"}}}
	k.SetSplit((&registrar.Configuration{Routes: []registrar.Route{split}}).SplitStreams())
	require.Equal(t, []tracker.Origin{a}, k.log.takePending(time.Second))
	b := tracker.Origin{Stream: "b", Release: "v1", Service: "other"}
	k.record(time.Second, b)
	require.Equal(t, []tracker.Origin{b}, k.log.takePending(2*time.Second))
}

// twoReleases are upstreams of a service.
var twoReleases = []*registrar.Upstream{{Release: "v1", Service: "llm"}, {Release: "v2", Service: "llm"}}

// countingOrigins is an OriginStore without origins that takes readTime for a read.
type countingOrigins struct {
	OriginStore
	reads atomic.Int32
}

const readTime = 4 * time.Millisecond

func (s *countingOrigins) ReadOrigins(context.Context, watcher.Position) ([]tracker.Origin, watcher.Position, error) {
	s.reads.Add(1)
	time.Sleep(readTime)
	return nil, watcher.Position{}, nil
}

// One read of the store answers all questions that came before it.
func TestManyQuestionsCostFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &countingOrigins{}
		syncer := newSyncer(nil, zerolog.Nop(), stewardPollTiming)
		k := newOriginKeeper("llm", syncer, store, zerolog.Nop())
		k.Releases.List(0, twoReleases)
		go k.log.runReads(ctx)
		var unanswered atomic.Int32
		const streams, asks = 200, 6 // a gateway asks for 400 ms, each 60 ms
		for i := range streams {
			go func() {
				time.Sleep(time.Duration(i) * time.Second / streams)
				id := tracker.StreamID(fmt.Sprint(i))
				for range asks {
					syncer.mu.Lock()
					now := syncer.now()
					k.ConfirmList(now)
					answer := k.Ask(now, "llm", id)
					if answer.ReadStored {
						wake(k.log.wanted)
					}
					syncer.mu.Unlock()
					if answer.Absence != nil {
						return
					}
					time.Sleep(60 * time.Millisecond)
				}
				unanswered.Add(1)
			}()
		}
		time.Sleep(2 * time.Second)
		require.Zero(t, unanswered.Load())
		require.LessOrEqual(t, int(store.reads.Load()), 1+int(1400*time.Millisecond/originLoadPeriod))
		cancel()
		synctest.Wait()
	})
}

// restoringOrigins is an OriginStore of which a copy can be restored.
type restoringOrigins struct {
	Store
	*watcher.EraTracker

	mu      sync.Mutex
	written []tracker.Origin
	calls   int
	limit   int // calls that succeed, until the next restore
}

func (s *restoringOrigins) Era() (watcher.Era, <-chan struct{}) { return s.Current() }

func (s *restoringOrigins) ReadOrigins(context.Context, watcher.Position) ([]tracker.Origin, watcher.Position, error) {
	return nil, watcher.Position{}, nil
}

func (s *restoringOrigins) AppendOrigins(_ context.Context, origins []tracker.Origin) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls++; s.calls > s.limit {
		return errors.New("status 429")
	}
	s.written = append(s.written, origins...)
	return nil
}

// restore drops all that was written, and lets further calls succeed.
func (s *restoringOrigins) restore(t *testing.T, era watcher.Era, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written, s.calls, s.limit = nil, 0, limit
	require.NoError(t, s.Observe(era))
}

func (s *restoringOrigins) streams() (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := map[tracker.StreamID]bool{}
	for _, o := range s.written {
		known[o.Stream] = true
	}
	return len(known), s.calls
}

// Stewards wrote an origin once, so that a restored store lacked those of its last seconds
// for good.
func TestOriginsAreWrittenAgainToARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &restoringOrigins{EraTracker: watcher.NewEraTracker(), limit: 100}
		syncer := newSyncer(store, zerolog.Nop(), stewardPollTiming)
		k := newOriginKeeper("llm", syncer, store, zerolog.Nop())
		k.Releases.List(0, twoReleases)
		go k.log.runWrites(ctx)
		const streams = 5*originsPerWrite + 1
		for i := range streams {
			syncer.mu.Lock()
			k.record(0, tracker.Origin{Stream: tracker.StreamID(fmt.Sprint(i)), Release: "v1"})
			syncer.mu.Unlock()
		}
		for era, limit := range []int{100, 100, 100, 3} {
			if era > 0 {
				store.restore(t, watcher.Era(era), limit)
			}
			time.Sleep(2 * time.Second)
			written, calls := store.streams()
			if limit > streams/originsPerWrite {
				require.Equal(t, streams, written, "era %d", era)
				require.Equal(t, 1+streams/originsPerWrite, calls, "era %d", era)
			} else {
				require.LessOrEqual(t, calls, limit+1+2, "a refused write is repeated once a second")
			}
		}
		cancel()
		synctest.Wait()
	})
}

// A steward noticed a restore by its other calls only, which are up to ten seconds apart.
func TestQuietStewardNoticesARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &countingOrigins{}
		syncer := newSyncer(&restoringOrigins{EraTracker: watcher.NewEraTracker()}, zerolog.Nop(), stewardPollTiming)
		k := newOriginKeeper("llm", syncer, store, zerolog.Nop())
		k.Releases.List(0, twoReleases)
		go k.log.runWrites(ctx)
		go k.log.runReads(ctx)
		time.Sleep(10 * originSavePeriod)
		require.Zero(t, store.reads.Load(), "the store holds nothing of this steward")
		syncer.mu.Lock()
		k.record(syncer.now(), tracker.Origin{Stream: "a", Release: "v1"})
		syncer.mu.Unlock()
		time.Sleep(10 * originSavePeriod)
		require.GreaterOrEqual(t, int(store.reads.Load()), 8, "each second")
		time.Sleep(2 * originWatchTime)
		require.LessOrEqual(t, int(store.reads.Load()), 1+int(originWatchTime/originSavePeriod), "while streams that were written may last")
		cancel()
		synctest.Wait()
	})
}

func (s *countingOrigins) AppendOrigins(context.Context, []tracker.Origin) error { return nil }
