package relayer

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/budgeter"
)

// newPipeWriter returns a writer to a caller that reads only what the test reads.
func newPipeWriter(total, perCaller budgeter.Bytes) (*backlogWriter, net.Conn, *account) {
	a := newAccount(budgeter.Config{Total: total, PerCaller: perCaller})
	caller, server := net.Pipe()
	return newBacklogWriter(server, a, defaultStopTimeout), caller, a
}

func TestBacklogTakesInWhatACallerDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, caller, a := newPipeWriter(1<<20, 32<<10)
		w.hold()
		want := bytes.Repeat([]byte("events\n"), 2000)
		for part := range bytes.SplitAfterSeq(want, []byte("\n")) {
			_, err := w.Write(part)
			require.NoError(t, err)
		}
		require.GreaterOrEqual(t, int(a.holdings().UnreadBytes), len(want))
		got := make([]byte, len(want))
		_, err := io.ReadFull(caller, got)
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.NoError(t, w.flush())
		require.Zero(t, a.holdings().HeldBytes)
	})
}

func TestWriterWaitsWithoutRoomForABacklog(t *testing.T) {
	for name, room := range map[string][2]budgeter.Bytes{"of the caller": {1 << 20, 8 << 10}, "of the process": {32 << 10, 1 << 20}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, caller, a := newPipeWriter(room[0], room[1])
				w.hold()
				var written atomic.Int64
				go func() {
					for range 16 {
						n, err := w.Write(make([]byte, 1<<10))
						if err != nil {
							return
						}
						written.Add(int64(n))
					}
				}()
				synctest.Wait()
				require.True(t, w.waiting.Load())
				require.LessOrEqual(t, written.Load(), int64(9<<10))
				_, err := io.ReadFull(caller, make([]byte, 16<<10))
				require.NoError(t, err)
				synctest.Wait()
				require.EqualValues(t, 16<<10, written.Load())
				require.False(t, w.waiting.Load())
				require.Zero(t, a.holdings().HeldBytes)
			})
		})
	}
}

func TestCallerThatReadsSlowlyGetsAll(t *testing.T) {
	for name, hold := range map[string]bool{"backlog": true, "no backlog": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, caller, _ := newPipeWriter(1<<20, 32<<10)
				want := bytes.Repeat([]byte("answer"), 10)
				if hold {
					w.hold()
				}
				ended := make(chan error, 1)
				go func() {
					if _, err := w.Write(want); err != nil {
						ended <- err
						return
					}
					ended <- w.flush()
				}()
				got := make([]byte, len(want))
				for i := range got {
					time.Sleep(defaultStopTimeout - time.Second)
					_, readErr := io.ReadFull(caller, got[i:i+1])
					require.NoError(t, readErr)
				}
				require.NoError(t, <-ended)
				require.Equal(t, want, got)
			})
		})
	}
}

func TestCallerThatStopsReadingIsGivenUp(t *testing.T) {
	for name, hold := range map[string]bool{"backlog": true, "no backlog": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, caller, a := newPipeWriter(1<<20, 32<<10)
				if hold {
					w.hold()
				}
				ended := make(chan error, 1)
				go func() {
					if _, err := w.Write(make([]byte, 20<<10)); err != nil {
						ended <- err
						return
					}
					ended <- w.flush()
				}()
				_, readErr := io.ReadFull(caller, make([]byte, 100))
				require.NoError(t, readErr)
				time.Sleep(2*defaultStopTimeout - time.Second)
				synctest.Wait()
				require.Empty(t, ended)
				time.Sleep(time.Second)
				require.ErrorIs(t, <-ended, errStoppedReading)
				require.Zero(t, a.holdings().HeldBytes)
			})
		})
	}
}
