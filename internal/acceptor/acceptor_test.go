package acceptor

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/reducer"
)

// Close and the end of the context of Run both close the listener. Whichever comes second
// must not return before the address can be listened on again.
func TestAddressIsFreeAfterClose(t *testing.T) {
	cfg := Config{Address: "127.0.0.1:0", Post: func(reducer.Event) {}, NewID: func() reducer.RequestID { return "r" }}
	for range 2000 {
		a, err := New(cfg)
		require.NoError(t, err)
		cfg.Address = a.Address()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			// The server fails when its listener is closed.
			_ = a.Run(ctx)
			close(done)
		}()
		time.Sleep(100 * time.Microsecond) // until Run accepts
		cancel()
		runtime.Gosched() // to the Close of Run
		a.Close()
		free, err := New(cfg)
		require.NoError(t, err)
		free.Close()
		<-done
	}
}
