package driver

import (
	"context"
	"fmt"
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
	k := newOriginKeeper(nil, zerolog.Nop())
	one, two := &registrar.Upstream{Release: "v1"}, &registrar.Upstream{Release: "v2"}
	k.Releases.List(0, []*registrar.Upstream{one})
	a, b, c := tracker.Origin{Stream: "a", Release: "v1"}, tracker.Origin{Stream: "b", Release: "v2"}, tracker.Origin{Stream: "c", Release: "v2"}
	k.record(0, a)
	require.Empty(t, k.takePending(0))
	k.Releases.List(time.Second, []*registrar.Upstream{one, two})
	require.Equal(t, []tracker.Origin{a}, k.takePending(time.Second))
	k.record(time.Second, b)
	k.record(time.Second, b)
	pending := k.takePending(2 * time.Second)
	require.Equal(t, []tracker.Origin{b}, pending)
	k.record(2*time.Second, c)
	k.giveBack(pending)
	require.Equal(t, []tracker.Origin{b, c}, k.takePending(3*time.Second), "written again after a failure")
	k.Releases.List(4*time.Second, []*registrar.Upstream{two})
	k.record(4*time.Second, tracker.Origin{Stream: "d", Release: "v2"})
	require.Len(t, k.takePending(4*time.Second), 1, "the release that is gone may have begun streams")
	k.takePending(2 * time.Minute)
	k.record(2*time.Minute, tracker.Origin{Stream: "e", Release: "v2"})
	require.Empty(t, k.takePending(2*time.Minute))
}

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
		s := &Steward{syncer: newSyncer(nil, zerolog.Nop(), stewardPollTiming), origins: newOriginKeeper(store, zerolog.Nop())}
		s.origins.Releases.List(0, []*registrar.Upstream{{Release: "v1"}, {Release: "v2"}})
		go s.readOrigins(ctx)
		var unanswered atomic.Int32
		const streams, asks = 200, 6 // a gateway asks for 400 ms, each 60 ms
		for i := range streams {
			go func() {
				time.Sleep(time.Duration(i) * time.Second / streams)
				id := tracker.StreamID(fmt.Sprint(i))
				for range asks {
					s.syncer.mu.Lock()
					now := s.syncer.now()
					s.origins.ConfirmList(now)
					answer := s.origins.Ask(now, id)
					if answer.ReadStored {
						wake(s.origins.load)
					}
					s.syncer.mu.Unlock()
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
