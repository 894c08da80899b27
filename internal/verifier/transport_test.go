package verifier

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve runs script for each connection until the test ends, and returns the URL.
func serve(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
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
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// readRequest reads a request with its body and reports whether one came.
func readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

const soundResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// post makes a request and reads the body of the response.
func post(c *http.Client, url, body string) (int, string, error) {
	resp, err := c.Post(url, "", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// The client of net/http passes such responses on, with the broken line or without.
func TestClientFailsForBrokenHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Oops\r\n", "HTTP/1.1 000\r\n", "HTTP/1.1 600 Oops\r\n", "HTTP/1.0 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n", "HTTP/1.1 200 OK\r\nNo te: 5\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 5\r\n",
		"HTTP/1.1 200 OK\r\nNo\x01te: 5\r\n", "HTTP/1.1 503 Full\r\nRetry-After : 5\r\n",
		"HTTP/1.1 103 Early Hints\r\nNo te: 5\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 000 Oops\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q/kept=%t", head, kept), func(t *testing.T) {
				connections := make(chan struct{}, 10)
				url := serve(t, func(c net.Conn, r *bufio.Reader) {
					connections <- struct{}{}
					if kept && readRequest(r) {
						_, _ = io.WriteString(c, soundResponse)
					}
					if readRequest(r) {
						_, _ = io.WriteString(c, head+"Content-Length: 6\r\n\r\nbroken")
					}
					for readRequest(r) {
						_, _ = io.WriteString(c, soundResponse)
					}
				})
				client := NewClient(&http.Transport{})
				client.Timeout = 5 * time.Second // for bodies whose lengths are passed over
				defer client.CloseIdleConnections()
				if kept {
					status, body, err := post(client, url, "request")
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, status)
					require.Equal(t, "sound", body)
				}
				_, _, err := post(client, url, "request")
				var broken *BrokenError
				require.ErrorAs(t, err, &broken)
				require.Len(t, connections, 1)
				_, _, _ = post(client, url, "request")
				require.Len(t, connections, 2, "the connection is not used again")
			})
		}
	}
}

// A connection serves many requests, whose bodies and responses may look like heads.
func TestClientKeepsConnectionsWithSoundResponses(t *testing.T) {
	connections := make(chan struct{}, 10)
	body := strings.Repeat("HTTP/1.1 000 Oops\r\nNo te: 5\r\n\r\n", 1000)
	url := serve(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for readRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nNote: a\r\n b\r\n")
			_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	client := NewClient(&http.Transport{})
	defer client.CloseIdleConnections()
	for range 10 {
		status, got, err := post(client, url, body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, body, got)
	}
	require.Len(t, connections, 1)
}

// What came before a reset is no whole response.
func TestClientFailsForAResetDuringTheUpload(t *testing.T) {
	url := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	client := NewClient(&http.Transport{})
	for range 20 {
		_, _, err := post(client, url, strings.Repeat("u", 6<<20))
		require.Error(t, err)
	}
}

// A redirect made another server answer.
func TestClientFollowsNoRedirects(t *testing.T) {
	url := serve(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 5\r\n\r\nmoved")
		}
	})
	client := NewClient(&http.Transport{})
	defer client.CloseIdleConnections()
	status, body, err := post(client, url, "request")
	require.NoError(t, err)
	require.Equal(t, http.StatusFound, status)
	require.Equal(t, "moved", body)
}

func TestClientFailsForBrokenTrailers(t *testing.T) {
	for trailer, valid := range map[string]bool{"": true, "Note: x\r\n": true, "No te: x\r\n": false, "Note : x\r\n": false} {
		url := serve(t, func(c net.Conn, r *bufio.Reader) {
			if readRequest(r) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n")
			}
		})
		_, body, err := post(NewClient(&http.Transport{}), url, "request")
		require.Equal(t, "body", body)
		require.Equal(t, valid, err == nil, trailer)
	}
}
