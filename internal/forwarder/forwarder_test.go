package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/reducer"
)

// answered is what a Forwarder posts of a response.
type answered struct {
	started  bool
	body     string
	finished reducer.ResponseFinished
}

// answer starts an upstream that answers each request with response and closes the connection,
// and returns its address.
func answer(t *testing.T, response string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err == nil {
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// forward sends a submission to an upstream that answers with response.
func forward(t *testing.T, response string, s *linkpb.Submit) answered {
	events := make(chan reducer.Event, 100)
	f := New(Config{Address: answer(t, response), Post: func(ev reducer.Event) { events <- ev }})
	t.Cleanup(f.Close)
	f.Forward(reducer.Forward{Attempt: "a1", Submit: s, Window: 1 << 20})
	var got answered
	for {
		switch ev := (<-events).(type) {
		case reducer.ResponseStarted:
			got.started = true
		case reducer.ResponseChunk:
			got.body += string(ev.Data)
		case reducer.ResponseFinished:
			got.finished = ev
			return got
		}
	}
}

// framed frames a body in one of the ways of HTTP/1.1.
func framed(framing, head, body string) string {
	switch framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case "chunks":
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return head + "\r\n" + body
}

var framings = []string{"length", "chunks", "close"}

const streamType = "Content-Type: text/event-stream\r\n"

// Callers found the error of the next engine within their streams.
func TestErrorOfAnEngineDoesNotContinueAStream(t *testing.T) {
	const events = "data: {\"choices\":[{\"delta\":{\"content\":\"oops\"}}]}\n\ndata: [DONE]\n\n"
	answers := map[string]struct{ head, body string }{
		"failure":           {"HTTP/1.1 500 Oops\r\n", "oops"},
		"failure as events": {"HTTP/1.1 500 Oops\r\n" + streamType, events},
		"too many":          {"HTTP/1.1 429 Slow Down\r\n", "oops"},
		"invalid":           {"HTTP/1.1 400 Invalid\r\n", "oops"},
		"redirect":          {"HTTP/1.1 302 Found\r\nLocation: /b\r\n", "oops"},
		"JSON":              {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", `{"error":"oops"}`},
		"no type":           {"HTTP/1.1 200 OK\r\n", "oops"},
		"other type":        {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream-oops\r\n", events},
		"accepted":          {"HTTP/1.1 202 Accepted\r\n" + streamType, events},
		"part":              {"HTTP/1.1 206 Partial\r\n" + streamType, events},
		"older version":     {"HTTP/1.0 200 OK\r\n" + streamType, events},
		"no HTTP":           {"oops\r\n", events},
	}
	for name, answer := range answers {
		for _, framing := range framings {
			t.Run(name+"/"+framing, func(t *testing.T) {
				t.Parallel()
				got := forward(t, framed(framing, answer.head, answer.body), &linkpb.Submit{
					Request: "r1", Method: http.MethodPost, Path: "/v1/chat/completions", Model: "m", Stream: true, Repeatable: true, Tokens: 2, Prefix: "ab", Body: []byte("{}"),
				})
				require.Empty(t, got.body)
				require.False(t, got.started)
				require.Contains(t, []classifier.Kind{classifier.Broken, classifier.Lost}, got.finished.Kind)
				require.Equal(t, classifier.RanUnknown, got.finished.Ran)
			})
		}
	}
	for _, framing := range framings {
		for _, contentType := range []string{"text/event-stream", "Text/Event-Stream; charset=utf-8", "text/event-stream; charset"} {
			got := forward(t, framed(framing, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n", events), &linkpb.Submit{
				Request: "r1", Method: http.MethodPost, Path: "/v1/chat/completions", Model: "m", Stream: true, Repeatable: true, Tokens: 2, Prefix: "ab", Body: []byte("{}"),
			})
			require.Equal(t, events, got.body)
			require.Equal(t, classifier.None, got.finished.Kind)
		}
	}
}

// Callers got the framing of chunks as a part of the body.
func TestResponseOfAnOlderVersionIsLost(t *testing.T) {
	for _, framing := range framings {
		for version, kind := range map[string]classifier.Kind{"HTTP/1.1": classifier.None, "HTTP/1.0": classifier.Lost, "HTTP/2.0": classifier.Lost} {
			for _, repeatable := range []bool{false, true} {
				got := forward(t, framed(framing, version+" 200 OK\r\n", "body"), &linkpb.Submit{Request: "r1", Method: http.MethodPost, Path: "/bookings", Repeatable: repeatable, Body: []byte("{}")})
				require.Equal(t, kind, got.finished.Kind, version)
				if kind == classifier.None {
					require.Equal(t, "body", got.body)
					continue
				}
				require.Empty(t, got.body)
				require.Equal(t, classifier.RanUnknown, got.finished.Ran)
			}
		}
	}
}

// Callers got broken responses, and requests were sent again on the word of broken refusals.
func TestBrokenResponseIsLost(t *testing.T) {
	const refused = "HTTP/1.1 503 Leaving\r\nEgretwall-Ran: no\r\n"
	for name, response := range map[string]string{
		"status of zero":                "HTTP/1.1 000 Oops\r\nContent-Length: 4\r\n\r\nbody",
		"status out of range":           "HTTP/1.1 600 Oops\r\nContent-Length: 4\r\n\r\nbody",
		"interim status of zero":        "HTTP/1.1 000 Oops\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"blank in a name":               "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
		"blank in a name of a refusal":  refused + "No te: x\r\nContent-Length: 4\r\n\r\nbody",
		"refusal that is cut":           refused + "Content-Length: 5\r\n\r\nbody",
		"refusal in chunks that is cut": refused + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"missing model that is cut":     "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nbody",
	} {
		for _, repeatable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/repeatable=%t", name, repeatable), func(t *testing.T) {
				t.Parallel()
				got := forward(t, response, &linkpb.Submit{Request: "r1", Method: http.MethodPost, Path: "/v1/completions", Model: "m", Repeatable: repeatable, Body: []byte("{}")})
				require.False(t, got.started)
				require.Empty(t, got.body)
				require.Equal(t, classifier.Lost, got.finished.Kind)
				require.Equal(t, classifier.RanUnknown, got.finished.Ran)
			})
		}
	}
	for name, response := range map[string]string{"length": refused + "Content-Length: 4\r\n\r\nbody", "close": refused + "\r\nbody"} {
		got := forward(t, response, &linkpb.Submit{Request: "r1", Method: http.MethodPost, Path: "/v1/completions", Model: "m", Body: []byte("{}")})
		require.Equal(t, classifier.Leaving, got.finished.Kind, name)
		require.Equal(t, classifier.RanNo, got.finished.Ran, name)
	}
}

// A report counted although its response was cut behind the JSON value.
func TestCutReportOfAnEngineDoesNotCount(t *testing.T) {
	for response, whole := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}": true, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}": false,
		"HTTP/1.1 200 OK\r\nNo te: x\r\nContent-Length: 2\r\n\r\n{}": false, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n": false,
	} {
		f := New(Config{Address: answer(t, response), Post: func(reducer.Event) {}})
		t.Cleanup(f.Close)
		_, err := f.PollEngine(t.Context())
		require.Equal(t, whole, err == nil, response)
	}
}
