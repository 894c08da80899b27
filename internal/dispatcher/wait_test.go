package dispatcher

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// A late request that others leave no room for has no end of its wait; its caller must not be
// told to wait for longer than callers do.
func TestRetryAfterOfAHopelessWaitIsBounded(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(runnerService, 1, "m")
	h.reduce(Reported{Report{Address: all[0].Address, Gateways: 1, Running: 64, Waiting: 9, StartRate: 0.1, Residents: []registrar.ResidentModel{{Model: "m"}}}})
	patient := route(registrar.Streaming, 2)
	for range 8 {
		h.submit(patient, "m")
	}
	refused := 0
	for range 100 {
		h.now += TickPeriod
		for _, e := range h.reduce(Tick{}) {
			if f, ok := e.(Fail); ok {
				refused++
				require.LessOrEqual(t, f.RetryAfter, 2*patient.Timeout)
			}
		}
	}
	require.Positive(t, refused)
}

func TestInvalidStartRateIsUnknown(t *testing.T) {
	for _, rate := range []float64{math.NaN(), -1, math.Inf(1), 0} {
		u := &upstream{report: Report{Running: 4, StartRate: rate}}
		require.Equal(t, 60.0, u.room(64), "%v", rate)
	}
}

func TestTimeForSends(t *testing.T) {
	require.Equal(t, 2*time.Second, timeFor(4, 2))
	require.Zero(t, timeFor(-1, 0))
	require.Equal(t, maxDuration, timeFor(1, 0))
	require.Equal(t, maxDuration, timeFor(1, 1e-300))
}
