package driver

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/egretwall/egretwall/internal/lister"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reducer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// brokenLog fails reads until it is mended.
type brokenLog struct {
	reads  atomic.Int64
	mended atomic.Bool
}

func (l *brokenLog) Append(context.Context, recorder.Stream, recorder.Record) (recorder.Offset, error) {
	time.Sleep(10 * time.Second) // silent
	return 0, errors.New("no answer")
}

func (l *brokenLog) Read(ctx context.Context, _ recorder.Stream, from recorder.Offset) (recorder.Batch, error) {
	l.reads.Add(1)
	if !l.mended.Load() {
		return recorder.Batch{}, errors.New("down")
	}
	sleep(ctx, time.Second)
	return recorder.Batch{NextOffset: from + 1}, ctx.Err()
}

func (l *brokenLog) Close() {}

// longList takes 100 KB.
type longList struct{ reads atomic.Int64 }

func (l *longList) List(context.Context) ([]lister.Instance, int, error) {
	l.reads.Add(1)
	return []lister.Instance{{Name: "a", Upstream: "u", State: lister.Live}}, 100 << 10, nil
}

func (l *longList) Close() {}

func TestLoopTicksAndStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticks := 0
		var last time.Duration
		l := newLoop(func(now time.Duration, ev reducer.Event) []reducer.Effect {
			if _, ok := ev.(reducer.Tick); ok {
				ticks++
				last = now
			}
			return nil
		}, func(reducer.Effect) {})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second+time.Millisecond)
		defer cancel()
		l.serve(ctx)
		require.Equal(t, int(time.Second/reducer.TickPeriod), ticks)
		require.Equal(t, time.Second, last)
		l.post(reducer.Tick{}) // does not block
		require.False(t, l.inspect(func() {}))
	})
}

func TestLogOutageIsRetriedWithoutAStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, list := &brokenLog{}, &longList{}
		var read atomic.Int64
		p := newPlatform(log, list, nil, 1)
		p.post = func(ev reducer.Event) {
			if _, ok := ev.(reducer.RecordsRead); ok {
				read.Add(1)
			}
		}
		p.installed()
		ctx, cancel := context.WithCancel(t.Context())
		p.start(ctx)
		time.Sleep(30 * time.Minute)
		require.Less(t, log.reads.Load(), int64(30*60+10), "at most about one read a second")
		require.Less(t, list.reads.Load(), int64(30), "a long list is read rarely")
		log.mended.Store(true)
		time.Sleep(4 * time.Second)
		require.Positive(t, read.Load(), "the log is read again within seconds")
		cancel()
		synctest.Wait()
	})
}

func TestSilentAppendsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failed atomic.Int64
		p := newPlatform(&brokenLog{}, &longList{}, nil, 1)
		p.post = func(reducer.Event) { failed.Add(1) }
		for range 3 * maxAppends {
			p.append(t.Context(), recorder.MainStream, recorder.Record{ID: "r"})
		}
		time.Sleep(11 * time.Second)
		require.EqualValues(t, maxAppends, failed.Load())
		time.Sleep(time.Minute)
		require.EqualValues(t, 3*maxAppends, failed.Load())
	})
}
