package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// shortLog is a world whose log keeps records for two minutes and whose keys
// are remembered for an hour.
func shortLog(t *testing.T) *world {
	w := newWorld(nil, Hooks{}, map[string]int{})
	w.keep = 2 * time.Minute
	for i := range w.engines {
		w.killAgent(w.agents[i])
		w.agents[i] = w.newAgent(i)
	}
	w.work(5 * time.Second)
	require.EqualValues(t, 1, w.agents[0].a.follower.State().Version)
	return w
}

// work lets everything work for d.
func (w *world) work(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.calm(20 * time.Millisecond)
	}
}

// book sends a keyed call through an entry and waits for its answer.
func (w *world) book(o *op, entry int) *told {
	p := w.entries[entry]
	n := w.next()
	t := &told{id: RequestID(string(rune('a'+entry)) + time.Duration(n).String()), at: p}
	o.requests = append(o.requests, t)
	class, _ := p.e.follower.State().Config.Class("desk")
	w.tellEntry(p, Arrived{Request{ID: t.id, Caller: "c", Class: class, Service: "billing", Method: "POST", Body: []byte(o.name), Key: o.key}})
	w.work(3 * time.Second)
	return t
}

func TestClaimsAndConfigurationOutliveTheLogsRetention(t *testing.T) {
	w := shortLog(t)
	o := &op{name: "booking", key: "booking"}
	w.ops = append(w.ops, o)
	require.Equal(t, classifier.None, w.book(o, 0).kind)
	for range 200 { // ten minutes of other calls
		other := &op{name: fmt.Sprintf("other%d", w.next())}
		other.key = other.name
		w.ops = append(w.ops, other)
		w.book(other, 0)
	}
	for i := range w.engines { // nobody is left that saw the first records
		w.killAgent(w.agents[i])
		w.agents[i] = w.newAgent(i)
	}
	for i, e := range w.entries {
		w.killEntry(e)
		w.entries[i] = w.newEntry(i)
	}
	w.work(5 * time.Second)
	for _, p := range w.agents {
		require.EqualValues(t, 1, p.a.follower.State().Version)
	}
	again := w.book(o, 1)
	require.Equal(t, classifier.Claimed, again.kind)
	require.Equal(t, classifier.RanUnknown, again.ran)
	require.Equal(t, 1, o.runs)
}

func TestRecordsAreRepeatedByOneAgentAtATime(t *testing.T) {
	w := shortLog(t)
	before := len(w.log.records)
	w.work(10 * time.Minute)
	repeated := 0
	for _, r := range w.log.records[before:] {
		if r.State != nil {
			repeated++
		}
	}
	require.GreaterOrEqual(t, repeated, 5, "one for each half of the retention")
	require.LessOrEqual(t, repeated, 20)
}

func TestLogOutageLongerThanHalfTheRetention(t *testing.T) {
	w := shortLog(t)
	w.work(50 * time.Second)
	w.log.down = true
	w.work(75 * time.Second)
	w.log.down = false
	w.work(30 * time.Second)
	w.killEntry(w.entries[0])
	w.entries[0] = w.newEntry(0)
	w.work(2 * time.Minute)
	require.EqualValues(t, 1, w.entries[0].e.follower.State().Version)
	state, _ := configurator.Restore(w.agents[0].a.follower.State().Snapshot())
	require.Equal(t, state.Sum(), w.entries[0].e.follower.State().Sum())
}

func TestEachGroupHasAFirstAgentToRepeatItsClaims(t *testing.T) {
	w := shortLog(t)
	billing := func(u configurator.Upstream) bool { return u.Service == "billing" }
	var ranks []int
	for _, p := range w.agents[worldRunners:] {
		ranks = append(ranks, p.a.keeperRank(billing))
	}
	require.ElementsMatch(t, []int{0, 1}, ranks)
}

func TestDutyWaitsForAgentsOfLowerRank(t *testing.T) {
	var d duty
	require.False(t, d.turn(time.Second, true, 1))
	require.False(t, d.turn(2*time.Second, true, 1))
	require.True(t, d.turn(3*time.Second, true, 1))
	require.False(t, d.turn(4*time.Second, true, 1), "the wait starts again")
	require.False(t, d.turn(5*time.Second, false, 1), "another agent has done it")
	require.True(t, d.turn(6*time.Second, true, 0))
}
