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

// wholeResponse is a response of which a test sends only the beginning.
type wholeResponse struct {
	head, body string
	framing    framing
}

func (w wholeResponse) bytes() string { return frame(w.framing, w.head, w.body) }

// endsAt reports whether the response is complete if its connection is closed after n bytes.
func (w wholeResponse) endsAt(n int) bool {
	all := w.bytes()
	if w.framing != framedByClose || n == len(all) {
		return n == len(all)
	}
	sent := all[:n]
	_, body, ok := strings.Cut(sent, "\r\n\r\n")
	if strings.Contains(w.head, "event-stream") {
		return ok && (body == "" || strings.HasSuffix(body, "\n\n"))
	}
	return ok
}

// Callers got a 200 with an empty or short body when an upstream stopped within its response
// and closed the connection.
func TestResponseThatIsCutAnywhereIsNotWhole(t *testing.T) {
	heads := map[string]struct{ head, body string }{
		"plain":       {"HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\n", "whole body"},
		"empty":       {"HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\n", ""},
		"seal last":   {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3\r\nTry: n1\r\nSeal: 3e1b.07\r\n", "whole body"},
		"folded":      {"HTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\nNote: a\r\n b\r\n", "whole body"},
		"early hints": {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTry: n1\r\nSeal: s\r\n", "whole body"},
		"stream":      {sealedStream, streamBegin + streamRest},
	}
	for name, h := range heads {
		for _, f := range framings {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset=%t", name, f, reset), func(t *testing.T) {
					t.Parallel()
					w := wholeResponse{h.head, h.body, f}
					if name == "early hints" {
						w.head = h.head[strings.Index(h.head, "HTTP/1.1 200"):]
					}
					all := frame(f, h.head, h.body)
					prefix := len(all) - len(w.bytes()) // of informational responses
					for n := range len(all) + 1 {
						d := newFakeDispatcher(answerOnce(t, all[:n], reset))
						_, gateway := startGateway(t, d)
						status, body, err := post(t, gateway, "n1", "")
						whole := n >= prefix && w.endsAt(n-prefix)
						completed := d.outcomes()[0] == dispatcher.Completed
						switch {
						case whole && !reset:
							require.NoError(t, err, "after %d bytes", n)
							require.Equal(t, http.StatusOK, status, "after %d bytes", n)
							require.True(t, strings.HasPrefix(h.body, body))
						case completed:
							// The reset came after the last byte.
							require.Equal(t, len(all), n)
							require.Equal(t, h.body, body)
						case err == nil:
							require.Equal(t, http.StatusBadGateway, status, "after %d bytes", n)
							require.NotContains(t, body, "whole")
						default: // a stream that has begun breaks off
							require.True(t, strings.HasPrefix(h.body, body))
						}
					}
				})
			}
		}
	}
}

// A response that is cut in its head has no status yet: it is neither a refusal, after which
// a request is sent again, nor the upstream's failure.
func TestRefusalThatIsCutInItsHeadIsNoRefusal(t *testing.T) {
	for name, head := range map[string]string{
		"full":        "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nTry: n1\r\n",
		"misdirected": "HTTP/1.1 421 No Model\r\nTry: n1\r\nNot-Run: 1\r\n",
		"failure":     "HTTP/1.1 500 Oops\r\nTry: n1\r\nSeal: s\r\n",
	} {
		for _, f := range framings {
			t.Run(name+"/"+string(f), func(t *testing.T) {
				t.Parallel()
				all := frame(f, head, "oops")
				end := strings.Index(all, "\r\n\r\n") + len("\r\n\r\n")
				for n := range end {
					d := newFakeDispatcher(answerOnce(t, all[:n], false))
					_, gateway := startGateway(t, d)
					status, _, err := post(t, gateway, "n1", "")
					require.NoError(t, err)
					require.Equal(t, http.StatusBadGateway, status)
					require.Equal(t, []dispatcher.Outcome{dispatcher.Unknown}, d.outcomes(), "after %d bytes", n)
				}
			})
		}
	}
}

// A refusal that was cut in its body was believed, and the request sent again.
func TestRefusalThatIsCutInItsBodyIsNoRefusal(t *testing.T) {
	for name, head := range map[string]string{
		"full":        "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nTry: n1\r\n",
		"misdirected": "HTTP/1.1 421 No Model\r\nTry: n1\r\n",
	} {
		for _, f := range framings {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset=%t", name, f, reset), func(t *testing.T) {
					t.Parallel()
					all := frame(f, head, "busy")
					for n := strings.Index(all, "\r\n\r\n") + len("\r\n\r\n"); n <= len(all); n++ {
						d := newFakeDispatcher(answerOnce(t, all[:n], reset))
						_, gateway := startGateway(t, d)
						_, _, err := post(t, gateway, "n1", "")
						require.NoError(t, err)
						whole := n == len(all) || f == framedByClose
						switch {
						case whole && !reset:
							require.NotContains(t, d.outcomes(), dispatcher.Unknown, "after %d bytes", n)
						case !whole || f == framedByClose:
							require.Equal(t, []dispatcher.Outcome{dispatcher.Unknown}, d.outcomes(), "after %d bytes", n)
						}
					}
				})
			}
		}
	}
}

// The same in a stream that goes on at another upstream, and on a connection that has served
// a request before.
func TestContinuationThatIsCutAnywhereIsNotWhole(t *testing.T) {
	for _, f := range framings {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept=%t", f, kept), func(t *testing.T) {
				t.Parallel()
				w := wholeResponse{sealedStream, streamRest, f}
				all := w.bytes()
				for n := range len(all) + 1 {
					second := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
						if req, _ := readRequest(r); kept && req != nil && req.Header.Get("Try") == "n0" {
							_, _ = io.WriteString(c, okResponse("n0", "fine"))
							_, _ = readRequest(r)
						}
						_, _ = io.WriteString(c, all[:n])
					})
					d := newFakeDispatcher(second)
					_, gateway := startGateway(t, d)
					if kept {
						_, _, err := post(t, gateway, "n0", "")
						require.NoError(t, err)
					}
					d.addresses = []string{answerOnce(t, brokenStream, true), second}
					status, body, err := post(t, gateway, "n1", "")
					require.Equal(t, http.StatusOK, status)
					require.True(t, strings.HasPrefix(streamBegin+streamRest, body), "after %d bytes: %q", n, body)
					if !w.endsAt(n) {
						require.Error(t, err, "after %d bytes", n)
						require.NotContains(t, d.outcomes()[len(d.outcomes())-2:], dispatcher.Completed)
					} else {
						require.NoError(t, err, "after %d bytes", n)
					}
				}
			})
		}
	}
}
