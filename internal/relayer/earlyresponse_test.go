package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

// uploadSize is the size, in bytes, of a body that fits into no socket buffer.
const uploadSize = 6 << 20

// connEnd is how an upstream ends a connection on which it has not read the whole request.
type connEnd string

const (
	endReset     connEnd = "reset"
	endHalf      connEnd = "half" // closed in one direction; the rest of the request is read
	endSilent    connEnd = "half, then silent"
	endHalfReset connEnd = "half, then reset"
)

// earlyUpstream starts an upstream that answers once it has read the head of a request.
func earlyUpstream(t *testing.T, response string, end connEnd) string {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	return startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		tcp := c.(*net.TCPConn)
		if end == endReset {
			_ = tcp.SetLinger(0)
			return
		}
		_ = tcp.CloseWrite()
		switch end {
		case endHalf:
			_, _ = io.Copy(io.Discard, r)
		case endSilent:
			<-ended
		}
	})
}

// upload sends a request of uploadSize through a gateway.
func upload(t *testing.T, d *fakeDispatcher) (status int, body string, err error) {
	d.cfg.Limits.BodyLimit = uploadSize
	_, gateway := startGateway(t, d)
	return post(t, gateway, "n1", strings.Repeat("u", uploadSize))
}

var earlyResponses = map[string]struct{ head, body string }{
	"plain":   {"HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\n", "part"},
	"empty":   {"HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\n", ""},
	"stream":  {sealedStream, streamBegin},
	"failure": {"HTTP/1.1 500 Oops\r\nTry: n1\r\nSeal: s\r\n", "part"},
	"refusal": {"HTTP/1.1 503 Full\r\nTry: n1\r\nNot-Run: 1\r\n", "part"},
}

// noSuccess are the outcomes of earlyResponses that don't complete their requests.
var noSuccess = map[string]dispatcher.Outcome{"failure": dispatcher.Failed, "refusal": dispatcher.NotRun}

// Callers got a part of a response as the whole of it when its upstream reset the connection
// while the request was still being written.
func TestResponseThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	for name, response := range earlyResponses {
		for i := range 10 {
			t.Run(fmt.Sprintf("%s/%d", name, i), func(t *testing.T) {
				d := newFakeDispatcher(earlyUpstream(t, frame(framedByClose, response.head, response.body), endReset))
				status, body, err := upload(t, d)
				outcome := d.outcomes()[0]
				if name == "stream" && outcome == dispatcher.Interrupted {
					require.Error(t, err, "the stream must not look complete")
					require.True(t, strings.HasPrefix(response.body, body))
					return
				}
				require.Equal(t, dispatcher.Unknown, outcome)
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, status)
				require.NotContains(t, body, "part")
			})
		}
	}
}

// A stream that goes on at another upstream is not whole there either.
func TestContinuationThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	for i := range 10 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			second := earlyUpstream(t, frame(framedByClose, sealedStream, streamRest), endReset)
			d := newFakeDispatcher(answerOnce(t, brokenStream, true), second)
			_, body, err := upload(t, d)
			require.Error(t, err, "the stream must not look complete")
			require.True(t, strings.HasPrefix(streamBegin+streamRest, body))
			require.NotContains(t, d.outcomes(), dispatcher.Completed)
		})
	}
}

// An upstream may answer before it has read the request, and then end the connection in order.
func TestResponseThatEndsDuringTheUploadIsWhole(t *testing.T) {
	for name, response := range earlyResponses {
		for _, end := range []connEnd{endHalf, endSilent, endHalfReset} {
			for i := range 5 {
				t.Run(fmt.Sprintf("%s/%s/%d", name, end, i), func(t *testing.T) {
					d := newFakeDispatcher(earlyUpstream(t, frame(framedByClose, response.head, response.body), end))
					status, body, err := upload(t, d)
					require.NoError(t, err)
					if outcome, ok := noSuccess[name]; ok {
						require.Equal(t, []dispatcher.Outcome{outcome}, d.outcomes())
						return
					}
					require.Equal(t, []dispatcher.Outcome{dispatcher.Completed}, d.outcomes())
					require.Equal(t, http.StatusOK, status)
					require.Equal(t, response.body, body)
				})
			}
		}
	}
}

// A response that says where it ends is whole before the connection is reset.
func TestFramedResponseIsWholeDespiteAReset(t *testing.T) {
	for name, response := range earlyResponses {
		for _, f := range []framing{framedByLength, framedByChunks} {
			t.Run(name+"/"+string(f), func(t *testing.T) {
				d := newFakeDispatcher(earlyUpstream(t, frame(f, response.head, response.body), endReset))
				_, body, err := upload(t, d)
				require.NoError(t, err)
				if outcome, ok := noSuccess[name]; ok {
					require.Equal(t, []dispatcher.Outcome{outcome}, d.outcomes())
					return
				}
				require.Equal(t, []dispatcher.Outcome{dispatcher.Completed}, d.outcomes())
				require.Equal(t, response.body, body)
			})
		}
	}
}
