package relayer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/budgeter"
)

const intakeSize = 64 << 10

// newIntakes returns an account with room for n incoming intakes of intakeSize.
func newIntakes(n int) *account {
	return newAccount(budgeter.Config{Total: budgeter.Bytes(2 * n * intakeSize)})
}

// Whoever came last was given up, and what filled the memory stayed.
func TestLargestIntakeOfTheFullestSenderIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, aborted := newIntakes(16), []sender{}
		open := map[sender][]*intake{}
		for from, sizes := range map[sender][]int{"fills": {5 * intakeSize, 6 * intakeSize}, "large": {4 * intakeSize}, "small": {intakeSize}} {
			for _, size := range sizes {
				var i *intake
				i = a.newIntake(budgeter.Incoming, from, func() {
					aborted = append(aborted, from)
					go func() {
						time.Sleep(time.Millisecond)
						i.close()
					}()
				})
				require.NoError(t, i.take(size))
				open[from] = append(open[from], i)
			}
		}
		i := a.newIntake(budgeter.Incoming, "small", func() {})
		require.NoError(t, i.take(intakeSize))
		require.Equal(t, []sender{"fills"}, aborted)
		require.True(t, open["fills"][1].ended)
		require.ErrorIs(t, open["fills"][1].take(1), errResponseMemory)
		require.ErrorIs(t, open["fills"][1].cause(nil), errResponseMemory)
	})
}

func TestCompleteAnswersAreNotEndedForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newIntakes(16)
		complete := a.newIntake(budgeter.Incoming, "u1", func() { require.Fail(t, "ended") })
		require.NoError(t, complete.take(16*intakeSize))
		require.True(t, complete.settle())
		i := a.newIntake(budgeter.Incoming, "u2", func() {})
		require.NoError(t, i.take(16*intakeSize), "what is incoming has its part")
		i.close()
		kept := complete.hand()
		complete.close()
		require.EqualValues(t, 16*intakeSize, a.holdings().HeldBytes)
		kept.close()
		kept.close()
		require.Zero(t, a.holdings().HeldBytes)
	})
}

// Intakes of the same size wait for one another, as upstreams do that send large answers.
func TestIntakeWithoutRoomIsGivenUpAfterAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newIntakes(16)
		for range 2 {
			require.NoError(t, a.newIntake(budgeter.Incoming, "u1", func() { require.Fail(t, "ended") }).take(8*intakeSize))
		}
		start := time.Now()
		require.ErrorIs(t, a.newIntake(budgeter.Incoming, "u2", func() {}).take(8*intakeSize), errResponseMemory)
		require.Equal(t, answerPatience, time.Since(start))
	})
}

// A connection went back to the pool and was then reset for the response that it had carried.
func TestConnectionOfAnEndedIntakeIsNotUsedAgain(t *testing.T) {
	d := newFakeDispatcher(startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, _ := readRequest(r)
			if req == nil {
				return
			}
			_, _ = io.WriteString(c, okResponse(req.Header.Get("Try"), "answer"))
		}
	}))
	g, _ := startGateway(t, d)
	for _, ended := range []bool{true, false} {
		conn, err := g.pool.Get(t.Context(), d.addresses[0], nil)
		require.NoError(t, err)
		written := make(chan error, 1)
		written <- nil
		up := &upstreamResponse{conn: conn, response: &http.Response{}, writeResult: written, taken: g.account.newIntake(budgeter.Incoming, "u", conn.abort)}
		require.NoError(t, up.taken.take(intakeSize))
		up.taken.ended = ended
		up.release(g.pool)
		require.Equal(t, ended, conn.closed.Load())
	}
}

// While the bytes of ended intakes were still to be given back, small ones of sound upstreams
// were ended too.
func TestSmallIntakesAreNotEndedWhileRoomIsBeingMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newIntakes(16)
		filler := a.newIntake(budgeter.Incoming, "fills", func() {}) // given back late
		require.NoError(t, filler.take(10*intakeSize))
		small := a.newIntake(budgeter.Incoming, "sound", func() { require.Fail(t, "ended") })
		require.NoError(t, small.take(1<<10))
		for range 5 {
			fillers, wait := a.makeRoom(32*intakeSize, 0)
			require.True(t, wait)
			abortAll(fillers)
			time.Sleep(answerPollPeriod)
		}
		require.True(t, filler.ended)
		require.NoError(t, small.cause(nil))
		filler.close()
		require.Zero(t, a.ending[budgeter.Incoming])
	})
}

// Peers that fill the part for answers of the store and of other processes are ended for one that
// holds less, however many they are.
func TestFullestPeerIsEndedForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, aborted := newIntakes(16), []sender{}
		for _, from := range []sender{"p1", "p2", "p3", "p4", "p5", "p6"} {
			var i *intake
			i = a.newIntake(budgeter.Control, from, func() {
				aborted = append(aborted, from)
				i.close()
			})
			for n, _ := a.takeIn(i, intakeSize/4); n; n, _ = a.takeIn(i, intakeSize/4) {
			}
		}
		require.NoError(t, a.newIntake(budgeter.Control, "store", func() {}).take(intakeSize))
		require.Equal(t, sender("p1"), aborted[0])
	})
}
