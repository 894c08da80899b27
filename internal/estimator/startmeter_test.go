package estimator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// observeBusy lets an engine with so many waiting requests begin one answer in each period.
func observeBusy(e *StartMeter, periods, waiting int, period time.Duration) {
	now := e.observedAt
	var running []Progress
	for i := range periods {
		now += period
		running = append(running, Progress{fmt.Sprint(now, i), 1})
		e.Observe(now, running, waiting)
	}
}

func TestStartRateOfABusyEngine(t *testing.T) {
	e := &StartMeter{}
	observeBusy(e, 30, 5, 100*time.Millisecond)
	require.InDelta(t, 10, e.StartRate(), 0.5)
	observeBusy(e, 40, 5, 200*time.Millisecond)
	require.InDelta(t, 5, e.StartRate(), 0.5, "follows a change")
}

// The rate of an engine that nobody waits for tells how many requests come, not how many it
// could begin.
func TestIdleEngineTellsNoRate(t *testing.T) {
	e := &StartMeter{}
	observeBusy(e, 30, 0, 100*time.Millisecond)
	require.Zero(t, e.StartRate())
	observeBusy(e, 30, 5, 100*time.Millisecond)
	observeBusy(e, 100, 0, time.Second)
	require.InDelta(t, 10, e.StartRate(), 0.5, "kept")
}

func TestRequestWhosePromptIsReadHasNotBegun(t *testing.T) {
	e := &StartMeter{}
	e.Observe(time.Second, nil, 4)
	e.Observe(2*time.Second, []Progress{{"a", 0}, {"b", 3}, {"c", 0}}, 4)
	require.InDelta(t, 1, e.StartRate(), 0.01)
}

// An engine stalls for a while, and gets few requests afterwards because of that. Its rate must
// rise with what it begins, although none has to wait.
func TestRateRisesAgainAfterAStall(t *testing.T) {
	e := &StartMeter{}
	observeBusy(e, 30, 5, 100*time.Millisecond)
	for range 600 {
		e.Observe(e.observedAt+100*time.Millisecond, nil, 5)
	}
	require.InDelta(t, minStartRate, e.StartRate(), 0.01, "still measured")
	observeBusy(e, 150, 0, 150*time.Millisecond)
	require.InDelta(t, 6.7, e.StartRate(), 0.5)
}
