package relayer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/dispatcher"
)

// serveLargeEvents responds to a request with a stream of events that are no small intakes.
func serveLargeEvents(c net.Conn, r *bufio.Reader) {
	_, _ = readRequest(r)
	event := "data: " + strings.Repeat("e", 3*intakeSize) + "\n\n"
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"+event+event)
}

// prefixedConn is a connection whose first bytes have been read.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}

// stop ends the gateway with its connections.
func (p *pipeGateway) stop() {
	_ = p.gateway.server.Close()
	_ = p.caller.Close()
	synctest.Wait()
}

// readStream reads the response to a request that has been sent, and requires that it is whole.
func (p *pipeGateway) readStream(t *testing.T, d *fakeDispatcher) {
	resp, err := http.ReadResponse(bufio.NewReader(p.caller), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	size, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Greater(t, size, int64(2*3*intakeSize))
	require.Equal(t, []dispatcher.Outcome{dispatcher.Completed}, d.outcomes())
	p.stop()
	require.Zero(t, p.gateway.Held().HeldBytes)
}

// A stream was cut off if there was no room for its next event for a second.
func TestStreamWaitsUntilThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDispatcher("u")
		d.timeout, d.stall = time.Minute, 300*time.Millisecond
		p := newPipeGateway(d, budgeter.Config{Total: 1 << 20, PerCaller: 64 << 10}, serveLargeEvents)
		defer p.stop()
		filler := p.gateway.account.newIntake(budgeter.Incoming, "u2", func() {})
		for filler.tryTake(1 << 10) {
		}
		require.True(t, filler.protect())
		_, err := io.WriteString(p.caller, getRequest)
		require.NoError(t, err)
		time.Sleep(5 * answerPatience)
		require.Zero(t, d.stalls, "the upstream does not stall")
		filler.close()
		p.readStream(t, d)
	})
}

// A stream whose caller reads slowly was cut off for new requests, though its event had come.
func TestUnreadEventIsNotGivenUpForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDispatcher("u")
		d.timeout = time.Minute
		p := newPipeGateway(d, budgeter.Config{Total: 1 << 20}, serveLargeEvents)
		defer p.stop()
		_, err := io.WriteString(p.caller, getRequest)
		require.NoError(t, err)
		_, err = io.ReadFull(p.caller, make([]byte, 1))
		require.NoError(t, err)
		synctest.Wait()
		held := p.gateway.Held()
		require.Greater(t, held.UnreadBytes, budgeter.Bytes(3*intakeSize))
		require.Zero(t, held.IncomingBytes)
		require.False(t, p.gateway.account.admit(6*intakeSize, func() int { return 0 }))
		p.caller = &prefixedConn{Conn: p.caller, prefix: []byte("H")}
		p.readStream(t, d)
	})
}

// Streams of ordinary events were cut off for new requests, if there were many.
func TestSmallEventsAreNotGivenUpForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, aborted := newIntakes(16), []sender{}
		open := func(from sender, size int) *intake {
			i := a.newIntake(budgeter.Incoming, from, func() { aborted = append(aborted, from) })
			require.NoError(t, i.take(size))
			return i
		}
		for range 16 * intakeSize / (8 << 10) / 2 {
			open("sound", 8<<10)
		}
		large := open("fills", 2*intakeSize)
		for range 3 {
			a.admit(32*intakeSize, func() int { return 0 })
		}
		require.Equal(t, []sender{"fills"}, aborted)
		large.close()
	})
}

// Streams of ordinary events were cut off if callers that came later left no room for them.
func TestSmallEventsAlwaysHaveRoom(t *testing.T) {
	a := newIntakes(16)
	for a.admit(smallIntake, func() int { return 0 }) {
	}
	a.connected(16 * intakeSize / int(budgeter.ConnectionSize))
	require.False(t, a.take(budgeter.Incoming, 16*intakeSize))
	for range 32 {
		small := a.newIntake(budgeter.Incoming, "sound", func() { require.Fail(t, "ended") })
		buf, err := small.grow(make([]byte, 0, 8<<10), 16<<10, small.take)
		require.NoError(t, err)
		require.Equal(t, 16<<10, cap(buf))
	}
}

// A stream that was given up for others while an event came counted as left by its caller, and was
// not resumed.
func TestStreamThatIsGivenUpIsNoCallerThatLeft(t *testing.T) {
	a := newIntakes(16)
	i := a.newIntake(budgeter.Incoming, "u", func() {})
	require.NoError(t, i.take(2*intakeSize))
	fillers, room := a.endFillers(budgeter.Incoming, fillerSize{})
	require.True(t, room)
	require.Equal(t, []*intake{i}, fillers)
	delivered := false
	require.NoError(t, i.deliver(func() error {
		delivered = true
		return nil
	}))
	require.True(t, delivered, "events that have come are whole")
	require.ErrorIs(t, i.cause(nil), errResponseMemory)
	i.close()
	require.Zero(t, a.holdings().HeldBytes)
	require.Zero(t, a.ending[budgeter.Incoming])
}
