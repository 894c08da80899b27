package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// newShortLogWorld returns a world whose log drops records after two minutes, while
// idempotency keys are remembered for an hour.
func newShortLogWorld(t *testing.T) *world {
	w := newWorld(nil, TestHooks{}, map[string]int{})
	w.logRetention = 2 * time.Minute
	for i := range w.engines {
		w.killAgent(w.agents[i])
		w.agents[i] = w.newAgent(i)
	}
	w.runHealthyFor(5 * time.Second)
	require.EqualValues(t, 1, w.agents[0].reducer.follower.State().Version)
	return w
}

// runHealthyFor runs the world without faults for d.
func (w *world) runHealthyFor(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.runHealthy(20 * time.Millisecond)
	}
}

// sendKeyed sends a request with o's key through an entry and runs the world for 3 s,
// enough for the response.
func (w *world) sendKeyed(o *op, entry int) *clientRequest {
	p := w.entries[entry]
	n := w.nextSerial()
	req := &clientRequest{id: RequestID(string(rune('a'+entry)) + time.Duration(n).String()), entry: p}
	o.requests = append(o.requests, req)
	class, _ := p.reducer.follower.State().Config.Class("desk")
	w.tellEntry(p, RequestArrived{Request{ID: req.id, Caller: "c", Class: class, Service: "billing", Method: "POST", Body: []byte(o.name), Key: o.key}})
	w.runHealthyFor(3 * time.Second)
	return req
}

func TestClaimsAndConfigurationOutliveTheLogsRetention(t *testing.T) {
	w := newShortLogWorld(t)
	o := &op{name: "booking", key: "booking"}
	w.ops = append(w.ops, o)
	require.Equal(t, classifier.None, w.sendKeyed(o, 0).kind)
	for range 200 { // ten minutes of other requests
		other := &op{name: fmt.Sprintf("other%d", w.nextSerial())}
		other.key = other.name
		w.ops = append(w.ops, other)
		w.sendKeyed(other, 0)
	}
	for i := range w.engines { // no process is left that read the first records
		w.killAgent(w.agents[i])
		w.agents[i] = w.newAgent(i)
	}
	for i, e := range w.entries {
		w.killEntry(e)
		w.entries[i] = w.newEntry(i)
	}
	w.runHealthyFor(5 * time.Second)
	for _, p := range w.agents {
		require.EqualValues(t, 1, p.reducer.follower.State().Version)
	}
	again := w.sendKeyed(o, 1)
	require.Equal(t, classifier.Claimed, again.kind)
	require.Equal(t, classifier.RanUnknown, again.ran)
	require.Equal(t, 1, o.runs)
}

func TestRecordsAreRefreshedByOneAgentAtATime(t *testing.T) {
	w := newShortLogWorld(t)
	before := len(w.log.records)
	w.runHealthyFor(10 * time.Minute)
	refreshed := 0
	for _, r := range w.log.records[before:] {
		if r.State != nil {
			refreshed++
		}
	}
	require.GreaterOrEqual(t, refreshed, 5, "a refresh for each half of the retention")
	require.LessOrEqual(t, refreshed, 20)
}

func TestLogOutageLongerThanHalfTheRetention(t *testing.T) {
	w := newShortLogWorld(t)
	w.runHealthyFor(50 * time.Second)
	w.log.down = true
	w.runHealthyFor(75 * time.Second)
	w.log.down = false
	w.runHealthyFor(30 * time.Second)
	w.killEntry(w.entries[0])
	w.entries[0] = w.newEntry(0)
	w.runHealthyFor(2 * time.Minute)
	require.EqualValues(t, 1, w.entries[0].reducer.follower.State().Version)
	state, _ := configurator.Restore(w.agents[0].reducer.follower.State().Snapshot())
	require.Equal(t, state.Hash(), w.entries[0].reducer.follower.State().Hash())
}

func TestEachGroupHasAFirstAgentToRefreshItsClaims(t *testing.T) {
	w := newShortLogWorld(t)
	billing := func(u configurator.Upstream) bool { return u.Service == "billing" }
	var ranks []int
	for _, p := range w.agents[runnerCount:] {
		ranks = append(ranks, p.reducer.refreshRank(billing))
	}
	require.ElementsMatch(t, []int{0, 1}, ranks)
}

func TestRankDelayWaitsForLowerRanks(t *testing.T) {
	var d rankDelay
	require.False(t, d.expired(time.Second, true, 1))
	require.False(t, d.expired(2*time.Second, true, 1))
	require.True(t, d.expired(3*time.Second, true, 1))
	require.False(t, d.expired(4*time.Second, true, 1), "the delay restarts")
	require.False(t, d.expired(5*time.Second, false, 1), "another agent has refreshed the record")
	require.True(t, d.expired(6*time.Second, true, 0))
}
