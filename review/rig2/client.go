package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Tokens of prompts.
const (
	usualPrompt  = 826
	sharedPrompt = 198
)

// request is a client's request.
type request struct {
	attempt   string
	method    string
	path      string
	body      int // bytes
	model     string
	prompt    int // tokens, usualPrompt if it is zero
	deadline  time.Duration
	lastEvent int // negative without one
	resumes   string
}

// answer is what a client got.
type answer struct {
	status int    // zero without one
	whole  bool   // the answer came to its end
	body   string // of what came
	seal   string
	err    error
}

// clientGap is the pause after which clients abandon a stream: eight times the longest pause that
// the routes of the scenarios allow.
const clientGap = 2400 * time.Millisecond

// gapReader reads from a connection and gives up after clientGap without a byte, or at the end.
type gapReader struct {
	conn net.Conn
	end  time.Time
}

func (r *gapReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(clientGap)
	if r.end.Before(deadline) {
		deadline = r.end
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}

// client has a kept channel to a gateway.
type client struct {
	conn   net.Conn
	source *gapReader
	reader *bufio.Reader
}

// send sends a request on the client's channel, which it opens if there is none.
func (c *client) send(address string, r request) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.source = conn, &gapReader{conn: conn}
		c.reader = bufio.NewReader(c.source)
	}
	a := c.exchange(r)
	if !a.whole {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) exchange(r request) answer {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, host, wire("attempt"), r.attempt, wire("deadline"), r.deadline.Milliseconds())
	prompt := max(r.prompt, usualPrompt)
	if r.model != "" {
		fmt.Fprintf(&b, "%s: %s\r\n%s: %d,300\r\n%s: 5c1e07a2:%d,%x:%d\r\n", wire("model"), r.model, wire("usage"), prompt, wire("parts"), sharedPrompt, r.attempt, prompt-sharedPrompt)
	}
	if r.lastEvent >= 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", wire("lastevent"), r.lastEvent)
	}
	if r.resumes != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", wire("resumes"), r.resumes)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", r.body)
	b.WriteString(strings.Repeat("x", r.body))
	c.source.end = time.Now().Add(r.deadline + 500*time.Millisecond)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, whole: err == nil, body: string(body), seal: resp.Header.Get(wire("seal")), err: err}
	if resp.Close && a.whole {
		c.close()
	}
	return a
}

// lastEvent returns the id of the last complete event of a stream and the releases that made
// its events; the id is negative without one.
func (a answer) lastEvent() (id int, releases map[string]bool) {
	id, releases = -1, map[string]bool{}
	events := strings.Split(a.body, "\n\n")
	for _, event := range events[:len(events)-1] {
		var release string
		var n, m int
		if _, err := fmt.Sscanf(event, "id: %d\ndata: %s %d", &n, &release, &m); err == nil {
			id = n
			releases[release] = true
		}
	}
	return id, releases
}
