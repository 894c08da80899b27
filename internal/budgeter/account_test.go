package budgeter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const kilobyte Bytes = 1 << 10

// newTestAccount returns an account with 800 KiB for held bytes.
func newTestAccount() *Account {
	return New(Config{Total: 800 * kilobyte, PerCaller: 100 * kilobyte})
}

// fill admits requests of one size until one is refused, and returns their number.
func fill(a *Account, size Bytes, priority int) int {
	n := 0
	for a.Admit(size, priority) {
		n++
	}
	return n
}

func TestRequestsLeaveRoomForAnswers(t *testing.T) {
	a := newTestAccount()
	require.Positive(t, fill(a, kilobyte, 0))
	require.False(t, a.Take(Request, 2*kilobyte), "requests have their part")
	require.True(t, a.Take(Answer, 200*kilobyte))
	require.False(t, a.Take(Answer, 2*kilobyte))
}

func TestLargeRequestsAreRefusedBeforeSmallOnes(t *testing.T) {
	a := newTestAccount()
	fill(a, 100*kilobyte, 0)
	require.False(t, a.Admit(100*kilobyte, 0))
	require.Greater(t, fill(a, kilobyte, 0), 50)
}

func TestLessUrgentRequestsAreRefusedFirst(t *testing.T) {
	a := newTestAccount()
	fill(a, kilobyte, 2)
	require.False(t, a.Admit(kilobyte, 2))
	require.False(t, a.Admit(kilobyte, 9))
	require.Greater(t, fill(a, kilobyte, 1), 50)
	require.Greater(t, fill(a, kilobyte, 0), 50)
}

func TestPriorityMattersWhileRoomIsShort(t *testing.T) {
	a := newTestAccount()
	require.False(t, a.Pressed(kilobyte))
	fill(a, kilobyte, 9)
	require.True(t, a.Pressed(kilobyte))
}

// Callers that read slowly must not keep others from being served.
func TestUnreadEventsLeaveRoomForRequests(t *testing.T) {
	a := newTestAccount()
	for a.Take(Stream, kilobyte) {
	}
	require.Equal(t, 300*kilobyte, a.Holdings().UnreadBytes)
	require.Greater(t, fill(a, kilobyte, 0), 250)
}

func TestEventsWaitWhileAllMemoryIsHeld(t *testing.T) {
	a := newTestAccount()
	require.True(t, a.Take(Answer, 700*kilobyte))
	require.False(t, a.Take(Stream, kilobyte))
	a.Release(Answer, 100*kilobyte)
	require.True(t, a.Take(Stream, kilobyte))
}

func TestConnectionsTakeRoom(t *testing.T) {
	a := newTestAccount()
	a.Connected(25)
	require.True(t, a.Take(Answer, 400*kilobyte))
	require.False(t, a.Take(Answer, kilobyte))
	a.Connected(-25)
	require.True(t, a.Take(Answer, kilobyte))
}

func TestConnectionsDoNotTakeAllRoom(t *testing.T) {
	a := newTestAccount()
	a.Connected(1000)
	require.True(t, a.Admit(kilobyte, 0))
}

func TestHoldingsOfAnAccount(t *testing.T) {
	a := newTestAccount()
	a.Connected(3)
	require.True(t, a.Admit(2*kilobyte, 0))
	require.True(t, a.Take(Stream, kilobyte))
	require.False(t, a.Admit(1000*kilobyte, 0))
	a.Release(Request, 2*kilobyte)
	require.Equal(t, Holdings{HeldBytes: kilobyte, PeakBytes: 3 * kilobyte, UnreadBytes: kilobyte, CallerConnections: 3, ShedRequests: 1}, a.Holdings())
}

func TestConnectionsAreGivenUpBeforeRequestsAreRefused(t *testing.T) {
	a := New(Config{Total: 100 * megabyte, Sockets: 100})
	a.Connected(50)
	a.UpstreamConnected(29)
	require.False(t, a.Crowded())
	a.UpstreamConnected(1)
	require.True(t, a.Crowded())
	require.True(t, a.Admit(kilobyte, 0))
	a.Connected(15)
	require.False(t, a.Admit(kilobyte, 0))
	a.UpstreamConnected(-30)
	require.True(t, a.Admit(kilobyte, 0))
	require.False(t, a.Crowded())
}

func TestConfigurationFollowsTheMemory(t *testing.T) {
	small, large := ConfigOf(Limits{Memory: 144 << 20, Descriptors: 3150}), ConfigOf(Limits{Memory: 536 << 20, Descriptors: 8192})
	require.Less(t, small.Total, Bytes(144<<20)/2)
	require.Greater(t, large.Total, 3*small.Total)
	require.Greater(t, large.PerCaller, small.PerCaller)
	require.Positive(t, ConfigOf(Limits{}).Total)
	require.Greater(t, large.Sockets, 2*small.Sockets)
	require.Zero(t, ConfigOf(Limits{}).Sockets)
}

// Incomplete answers and unread events together filled the memory that requests need.
func TestIncompleteAnswersLeaveRoomForRequests(t *testing.T) {
	a := newTestAccount()
	for a.Take(Stream, kilobyte) {
	}
	for a.Take(Incoming, kilobyte) {
	}
	require.Equal(t, 300*kilobyte, a.Holdings().UnreadBytes)
	require.False(t, a.Take(Stream, kilobyte))
	a.Release(Stream, 200*kilobyte)
	a.SetShort(true)
	require.True(t, a.IncomingFills(0))
	require.False(t, a.IncomingFills(350*kilobyte))
	a.Release(Incoming, 300*kilobyte)
	require.False(t, a.IncomingFills(0))
	require.False(t, a.Take(Incoming, kilobyte), "requests lack room")
	a.SetShort(false)
	require.True(t, a.Take(Incoming, kilobyte))
	require.Greater(t, fill(a, kilobyte, 0), 250)
}

// Streams that were taken in all waited for one another, when connections had taken their room.
func TestThereIsAlwaysRoomForSomeEvents(t *testing.T) {
	a := newTestAccount()
	fill(a, kilobyte, 0)
	a.Connected(40)
	require.Greater(t, a.Held(), a.part(eighths))
	require.False(t, a.Take(Answer, kilobyte))
	require.True(t, a.Take(Incoming, 20*kilobyte))
	require.False(t, a.Take(Incoming, 10*kilobyte))
	a.Move(Incoming, Stream, 20*kilobyte)
	require.False(t, a.Take(Incoming, 10*kilobyte), "the caller has not read")
	a.Release(Stream, 20*kilobyte)
	require.True(t, a.Take(Incoming, 20*kilobyte))
}

func TestCompleteAnswersAreNoLongerIncoming(t *testing.T) {
	a := newTestAccount()
	require.True(t, a.Take(Incoming, 400*kilobyte))
	require.False(t, a.Take(Incoming, kilobyte))
	a.Move(Incoming, Answer, 400*kilobyte)
	require.True(t, a.Take(Incoming, 400*kilobyte))
	require.Equal(t, 800*kilobyte, a.Held())
}

func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	a := newTestAccount()
	require.False(t, a.Fits(500*kilobyte, 0))
	for a.Take(Request, kilobyte) {
	}
	require.False(t, a.Fits(maxSmallRequest+1, 0))
	require.Greater(t, fill(a, kilobyte, 0), 50)
}

func TestConnectionsToUpstreamsTakeRoom(t *testing.T) {
	a := newTestAccount()
	a.UpstreamConnected(50)
	require.True(t, a.Take(Answer, 400*kilobyte))
	require.False(t, a.Take(Answer, kilobyte))
}

func TestPeersLeaveRoomToEachOther(t *testing.T) {
	const megabyte = 1 << 20
	a := New(Config{Total: 40 * megabyte})
	require.Equal(t, Bytes(17*megabyte), a.PeerLimit(0), "one peer can send 16 MiB")
	require.True(t, a.Take(Control, 17*megabyte))
	require.Equal(t, Bytes(17*megabyte), a.PeerLimit(17*megabyte), "of the one that holds it")
	require.Equal(t, Bytes(17*megabyte/2), a.PeerLimit(0))
	require.False(t, a.Take(Control, 18*megabyte))
	require.True(t, a.ControlFills(0))
	require.False(t, a.ControlFills(12*megabyte))
	a.SetShort(true)
	require.False(t, a.Take(Control, kilobyte), "requests lack room")
	a.Release(Control, 13*megabyte)
	require.True(t, a.Take(Control, kilobyte))
}

func TestControlHasRoomBesideAllElse(t *testing.T) {
	const megabyte = 1 << 20
	a := New(Config{Total: 40 * megabyte})
	fill(a, kilobyte, 0)
	require.True(t, a.Take(Answer, a.part(eighths)-a.Held()))
	require.True(t, a.Take(Control, 5*megabyte), "also beyond the room")
	require.False(t, a.Take(Control, megabyte))
}
