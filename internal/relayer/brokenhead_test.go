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

// notices are headers that ask for no new requests, now or soon.
const notices = "Leaving: 1\r\nLimit: 3\r\nRetry-After: 2s\r\n"

// statusHeads are the heads of responses of each kind, with a status to be put in.
var statusHeads = map[string]string{
	"success": "%s\r\nTry: n1\r\nSeal: s\r\n" + notices,
	"stream":  "%s\r\nTry: n1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n" + notices,
	"refusal": "%s\r\nTry: n1\r\nNot-Run: 1\r\n" + notices,
}

// forget drops what has been reported so far.
func (d *fakeDispatcher) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endedSends, d.notices = nil, nil
}

// requireNoAnswer requires that a response to the request n1 is taken for nothing, and tells nothing. If
// kept is true, it comes on a connection that has carried a request before.
func requireNoAnswer(t *testing.T, response string, kept bool) {
	t.Helper()
	require.Empty(t, requireUnknown(t, response, kept).receivedNotices())
}

// requireUnknown is requireNoAnswer for a response whose headers are valid.
func requireUnknown(t *testing.T, response string, kept bool) *fakeDispatcher {
	t.Helper()
	d := newFakeDispatcher(startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if req, _ := readRequest(r); kept && req != nil {
			_, _ = io.WriteString(c, okResponse("n0", "fine"))
			_, _ = readRequest(r)
		}
		_, _ = io.WriteString(c, response)
	}))
	g, gateway := startGateway(t, d)
	if kept {
		_, _, err := post(t, gateway, "n0", "")
		require.NoError(t, err)
	}
	d.forget()
	status, body, err := post(t, gateway, "n1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status)
	require.NotContains(t, body, "body")
	require.Equal(t, []dispatcher.Outcome{dispatcher.Unknown}, d.outcomes())
	for _, idle := range g.pool.idle {
		require.Empty(t, idle, "the connection is not used again")
	}
	return d
}

// requireNoContinuation requires that a response does not go on with a stream.
func requireNoContinuation(t *testing.T, response string) {
	t.Helper()
	d := newFakeDispatcher(answerOnce(t, brokenStream, false), answerOnce(t, response, false))
	_, gateway := startGateway(t, d)
	status, body, err := post(t, gateway, "n1", "")
	require.Error(t, err, "the stream must not look complete")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, streamBegin, body)
	require.Equal(t, []dispatcher.Outcome{dispatcher.Interrupted, dispatcher.Interrupted}, d.outcomes())
	for _, notice := range d.receivedNotices() {
		require.True(t, notice.Unlimited, "only the response that begins the stream tells something")
	}
}

// Callers got the body of a response with the status 000, which was passed over as an
// informational one; those of statuses from 600 on were passed on.
func TestResponseWithABrokenStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 Oops", "000", "001 Oops", "099 Oops", "600 Oops", "999 Oops", "+20 OK", " 200 OK", "50 Full"} {
		for kind, head := range statusHeads {
			for _, f := range framings {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/%s/kept=%t", status, kind, f, kept), func(t *testing.T) {
						t.Parallel()
						response := frame(f, fmt.Sprintf(head, "HTTP/1.1 "+status), "id: 0\ndata: body\n\n")
						requireNoAnswer(t, response, kept)
						requireNoAnswer(t, response+okResponse("n1", "body"), kept)
					})
				}
			}
		}
		t.Run(status+"/continuation", func(t *testing.T) {
			t.Parallel()
			requireNoContinuation(t, frame(framedByClose, fmt.Sprintf(statusHeads["stream"], "HTTP/1.1 "+status), streamRest))
		})
	}
}

// A broken response before another one is no informational response.
func TestInterimResponseWithABrokenStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 Oops", "000", "099 Oops", "+10 Hints", "1000 Hints"} {
		for kind, head := range statusHeads {
			t.Run(status+"/"+kind, func(t *testing.T) {
				t.Parallel()
				final := frame(framedByLength, fmt.Sprintf(head, "HTTP/1.1 200 OK"), "id: 0\ndata: body\n\n")
				if kind == "refusal" {
					final = strings.Replace(final, "200 OK", "503 Full", 1)
				}
				for _, interim := range []string{"\r\n\r\n", "\r\n" + notices + "\r\n", "\r\nContent-Length: 0\r\n\r\n"} {
					requireNoAnswer(t, "HTTP/1.1 "+status+interim+final, false)
					requireNoAnswer(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+interim+final, true)
				}
			})
		}
	}
}

// brokenFields are field lines whose names hold a blank or a control byte, or nothing.
var brokenFields = []string{
	"Content-Length : 4", "Content-Length\t: 4", "Content Length: 4", " Content-Length: 4", "\tContent-Length: 4", "Transfer-Encoding : chunked",
	"Note\x01: 4", "\x00: 4", "No\x7fte: 4", "No\rte: 4", "Note : 4", ": 4", "Not-Run : 1", "Seal : s", "Note", "Note: a\x00b",
}

// Callers got responses with the names of such fields passed on, or with a part of what an upstream
// had sent for its body.
func TestResponseWithABrokenFieldIsNoAnswer(t *testing.T) {
	for _, line := range brokenFields {
		for kind, head := range statusHeads {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%q/%s/kept=%t", line, kind, kept), func(t *testing.T) {
					t.Parallel()
					status, body := "HTTP/1.1 200 OK", "id: 0\ndata: body\n\n"
					if kind == "refusal" {
						status = "HTTP/1.1 503 Full"
					}
					first, last := status+"\r\n"+line, fmt.Sprintf(head, status)+line+"\r\n"
					for _, f := range framings {
						requireNoAnswer(t, frame(f, fmt.Sprintf(head, first), body), kept)
						requireNoAnswer(t, frame(f, last, body), kept)
					}
					requireNoAnswer(t, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n"+line+"\r\n\r\n"+frame(framedByLength, fmt.Sprintf(head, status), body), kept)
				})
			}
		}
		t.Run(fmt.Sprintf("%q/failure", line), func(t *testing.T) {
			t.Parallel()
			requireNoAnswer(t, frame(framedByLength, "HTTP/1.1 500 Oops\r\nTry: n1\r\nSeal: s\r\n"+line+"\r\n", "body"), false)
		})
		t.Run(fmt.Sprintf("%q/misdirected", line), func(t *testing.T) {
			t.Parallel()
			requireNoAnswer(t, frame(framedByLength, "HTTP/1.1 421 No Model\r\nTry: n1\r\n"+line+"\r\n", "body"), false)
		})
		t.Run(fmt.Sprintf("%q/continuation", line), func(t *testing.T) {
			t.Parallel()
			requireNoContinuation(t, frame(framedByClose, sealedStream+line+"\r\n", streamRest))
		})
	}
}

// The head of a response that came together with a response to another request.
func TestBrokenHeadBehindAnotherResponseIsNoAnswer(t *testing.T) {
	for _, line := range brokenFields {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			requireNoAnswer(t, okResponse("old", "body")+frame(framedByLength, fmt.Sprintf(statusHeads["success"], "HTTP/1.1 200 OK")+line+"\r\n", "body"), true)
		})
	}
}

// A response that ends in a malformed trailer was whole.
func TestResponseWithABrokenTrailerIsNoAnswer(t *testing.T) {
	for _, line := range []string{"No te: x", "Note : x", "Content-Length : 4"} {
		for kind, head := range map[string]string{
			"success": "HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\n", "failure": "HTTP/1.1 500 Oops\r\nTry: n1\r\nSeal: s\r\n",
			"refusal": "HTTP/1.1 503 Full\r\nTry: n1\r\nNot-Run: 1\r\n", "misdirected": "HTTP/1.1 421 No Model\r\nTry: n1\r\n",
		} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/kept=%t", line, kind, kept), func(t *testing.T) {
					t.Parallel()
					requireUnknown(t, strings.TrimSuffix(frame(framedByChunks, head, "body"), "\r\n")+line+"\r\n\r\n", kept)
				})
			}
		}
		t.Run(line+"/stream", func(t *testing.T) {
			t.Parallel()
			d := newFakeDispatcher(answerOnce(t, strings.TrimSuffix(frame(framedByChunks, sealedStream, streamBegin), "\r\n")+line+"\r\n\r\n", false))
			_, gateway := startGateway(t, d)
			_, body, err := post(t, gateway, "n1", "")
			require.Error(t, err, "the stream must not look complete")
			require.Equal(t, streamBegin, body)
			require.Equal(t, []dispatcher.Outcome{dispatcher.Interrupted}, d.outcomes())
		})
	}
}
