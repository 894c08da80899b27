package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// host is that of all requests.
const host = "api.example"

// answer is what a client got for one attempt.
type answer struct {
	at      time.Duration // when the attempt was sent
	gateway string
	attempt string
	status  int // zero for none
	sealed  bool
	doneAt  time.Duration // when the answer had come
}

// clients send requests and keep the answers.
type clients struct {
	rec     *record
	client  *http.Client
	number  atomic.Int64
	pending sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

func newClients(rec *record) *clients {
	return &clients{rec: rec, client: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// request is what a client sends.
type request struct {
	method, path string
	body         []byte
	header       map[string]string
	budget       time.Duration
}

// send sends one attempt and waits for its answer.
func (c *clients) send(g gateway, r request) answer {
	a := answer{at: c.rec.now(), gateway: g.name, attempt: fmt.Sprintf("a%06d", c.number.Add(1))}
	req, err := http.NewRequest(r.method, "http://"+g.callers+r.path, bytes.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header[wire("attempt")] = []string{a.attempt}
	req.Header[wire("deadline")] = []string{strconv.FormatInt(r.budget.Milliseconds(), 10)}
	for name, value := range r.header {
		req.Header[name] = []string{value}
	}
	c.rec.add("client sends %s to %s: %s %s, %d bytes", a.attempt, g.name, r.method, r.path, len(r.body))
	cause := ""
	if resp, err := c.client.Do(req); err != nil {
		cause = err.Error()
	} else {
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.sealed = resp.StatusCode, resp.Header.Get(wire("seal")) != ""
		if cause = fmt.Sprintf("%.80q", text); err != nil {
			a.status, cause = 0, err.Error()
		}
	}
	a.doneAt = c.rec.now()
	c.rec.add("client gets for %s: %d, seal %v: %s", a.attempt, a.status, a.sealed, cause)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// press sends requests at a rate per second until the end.
func (c *clients) press(end time.Time, perS float64, g gateway, make func() request) {
	c.pending.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perS))
		defer ticker.Stop()
		for now := time.Now(); now.Before(end); now = <-ticker.C {
			c.pending.Go(func() { c.send(g, make()) })
		}
	})
}

// all returns the answers so far.
func (c *clients) all() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.answers...)
}
