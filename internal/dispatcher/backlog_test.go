package dispatcher

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

const testStartLimit = 400 * time.Millisecond

// sendAll adds n sends of a priority.
func sendAll(b *backlog, now time.Duration, priority, n int, firstID RequestID) {
	for i := range n {
		b.add(pendingStart{firstID + RequestID(i), now, priority})
	}
}

func TestWindowGrowsWhileAnswersBeginSoon(t *testing.T) {
	b := newBacklog()
	now := time.Duration(0)
	for id := RequestID(1); id < 1000; id++ {
		for range int(math.Ceil(b.windows[1].size)) {
			id++
			b.add(pendingStart{id, now, 1})
		}
		require.True(t, b.full(now, testStartLimit, -1, 1))
		now += 100 * time.Millisecond
		for len(b.pending) > 0 {
			b.begin(b.pending[0].id, now, testStartLimit)
		}
	}
	require.Greater(t, b.windows[1].size, 2*initialStartWindow)
	require.LessOrEqual(t, b.windows[1].size, maxStartWindow)
	require.Equal(t, initialStartWindow, b.windows[2].size)
}

func TestWindowShrinksOnceForTheSendsOfAWindow(t *testing.T) {
	b := newBacklog()
	sendAll(&b, 0, 1, 8, 1)
	for id := RequestID(1); id <= 8; id++ {
		b.begin(id, time.Second, testStartLimit)
	}
	require.InDelta(t, initialStartWindow*startWindowShrink, b.windows[1].size, 0.01)
	sendAll(&b, 2*time.Second, 1, 1, 9)
	b.end(9, 3*time.Second, testStartLimit)
	require.InDelta(t, initialStartWindow*startWindowShrink*startWindowShrink, b.windows[1].size, 0.01, "a send that ends before its answer begins counts too")
}

func TestBacklogIsFullWhenTheOldestSendWaitsTooLong(t *testing.T) {
	b := newBacklog()
	sendAll(&b, 0, 1, 1, 1)
	require.False(t, b.full(testStartLimit, testStartLimit, -1, 1))
	require.True(t, b.full(testStartLimit+1, testStartLimit, -1, 1))
	require.False(t, b.full(testStartLimit+1, testStartLimit, -1, 0), "a more urgent request does not wait behind it")
	require.False(t, b.full(testStartLimit+1, testStartLimit, 1, 1), "a report shows that nothing waits")
}

// An answer that was lost never begins and must not keep its runner from new requests.
func TestOvertakenSendsDoNotCount(t *testing.T) {
	b := newBacklog()
	sendAll(&b, 0, 1, 1, 1)
	sendAll(&b, time.Millisecond, 0, 1, 2)
	b.begin(2, 2*time.Millisecond, testStartLimit)
	require.True(t, b.full(time.Second, testStartLimit, -1, 1), "a more urgent one overtakes without a loss")
	sendAll(&b, time.Second, 1, 1, 3)
	b.begin(3, time.Second+time.Millisecond, testStartLimit)
	require.False(t, b.full(2*time.Second, testStartLimit, -1, 1))
}

// A window below 1 spaces the sends.
func TestSmallWindowSpacesSends(t *testing.T) {
	b := newBacklog()
	b.windows[1].size, b.windows[1].delay = 0.5, 300*time.Millisecond
	sendAll(&b, 0, 1, 1, 1)
	b.begin(1, 300*time.Millisecond, testStartLimit)
	b.windows[1].size = 0.5
	require.True(t, b.full(500*time.Millisecond, testStartLimit, -1, 1))
	require.False(t, b.full(600*time.Millisecond, testStartLimit, -1, 1))
	b.windows[1].size = minStartWindow
	require.False(t, b.full(maxStartSpacing, testStartLimit, -1, 1))
}

// A request that becomes late while it waits must not hold back those behind it that can
// still be in time.
func TestLateHeadDoesNotHoldBackTheQueue(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(runnerService, 1, "m")
	full := Report{Address: all[0].Address, Residents: []registrar.ResidentModel{{Model: "m"}}, Gateways: 1, Running: 64, Waiting: 9}
	h.reduce(Reported{full})
	first, _ := h.submit(route(registrar.Streaming, 2), "m")
	h.now += 100 * time.Millisecond
	second, _ := h.submit(route(registrar.Streaming, 2), "m")
	h.now += 190 * time.Millisecond // the first one can't be in time any more
	h.reduce(Tick{})
	free := full
	free.Running, free.Waiting = 63, 0
	send := h.requireSend(h.reduce(Reported{free}))
	require.Equal(t, second, send.ID)
	require.NotEqual(t, first, send.ID)
}

// A runner that neither reports nor begins answers, as when its host is frozen, gets no
// further requests than those that found it out.
func TestSilentRunnerGetsNoFurtherRequests(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(runnerService, 1, "m")
	h.reduce(Reported{Report{Address: all[0].Address, Residents: []registrar.ResidentModel{{Model: "m"}}, Gateways: 1}})
	_, effects := h.submit(route(registrar.Streaming, 2), "m")
	h.requireSend(effects)
	h.now += reportTimeout
	for range 20 {
		_, effects := h.submit(route(registrar.Streaming, 2), "m")
		for _, effect := range effects {
			require.IsType(t, Fail{}, effect)
		}
	}
}
