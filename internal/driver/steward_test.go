package driver

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/reconciler"
	"github.com/egretwall/egretwall/internal/registrar"
)

// pausingRunner refuses each call with a pause.
type pausingRunner struct {
	pause time.Duration
	calls atomic.Int64
}

func (r *pausingRunner) FetchState(context.Context) (reconciler.State, error) {
	r.calls.Add(1)
	return reconciler.State{}, &reconciler.PauseError{For: r.pause}
}

func (r *pausingRunner) SendOrder(context.Context, reconciler.Order) (reconciler.Result, error) {
	r.calls.Add(1)
	return reconciler.Refused, &reconciler.PauseError{For: r.pause}
}

// A runner that wants no calls for a time gets neither polls nor orders from its steward,
// until the time is over or another instance has its address.
func TestPausedRunnerGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address = "10.0.0.1:80"
		runner := &pausingRunner{pause: time.Hour}
		log, err := observer.NewBoundedLogger(io.Discard, "info")
		require.NoError(t, err)
		s := &Steward{
			cfg: StewardConfig{Runner: runner, RunnerAddress: address, Service: "llm", Log: log}, syncer: newSyncer(&longPollStore{}, log.Logger, stewardPollTiming),
			reconciler: reconciler.New(reconciler.Config{Address: address}), pollNow: make(chan struct{}, 1), limits: limiter.NewTable(), origins: newOriginKeeper("llm", newSyncer(nil, log.Logger, stewardPollTiming), nil, log.Logger), verdicts: newVerdictKeeper(nil),
		}
		s.syncer.onList = s.refreshRunners
		ctx, cancel := context.WithCancel(t.Context())
		go s.pollRunner(ctx)
		synctest.Wait()
		require.EqualValues(t, 1, runner.calls.Load())
		s.pollNow <- struct{}{}
		time.Sleep(time.Hour - time.Second)
		result, err := s.sendOrder(ctx, reconciler.Order{})
		require.Equal(t, reconciler.Refused, result)
		require.Error(t, err)
		require.EqualValues(t, 1, runner.calls.Load())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.EqualValues(t, 2, runner.calls.Load(), "once more after the pause")
		s.syncer.mu.Lock()
		s.syncer.registrar.Apply(s.syncer.now(), []registrar.Change{{ID: "i-2", Upstream: &registrar.Upstream{ID: "i-2", Service: "llm", Address: address, Incarnation: 7, State: registrar.Ready}}})
		s.refreshRunners()
		s.syncer.mu.Unlock()
		time.Sleep(time.Second)
		synctest.Wait()
		require.EqualValues(t, 3, runner.calls.Load(), "another instance has the address")
		cancel()
		synctest.Wait()
		require.NoError(t, log.Close())
	})
}
