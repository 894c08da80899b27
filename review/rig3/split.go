package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stream is what a client got of one attempt at a stream.
type stream struct {
	attempt string
	sentAt  time.Duration
	status  int
	last    int  // id of the last event that the client has, -1 for none
	first   bool // an event came in this attempt
	whole   bool
}

// read sends one attempt at a stream of a number of events, which goes on after the event last.
func (c *clients) read(g gateway, r request, events, last int, resumes string) stream {
	s := stream{attempt: fmt.Sprintf("a%06d", c.number.Add(1)), sentAt: c.rec.now(), last: last}
	req, err := http.NewRequest(r.method, "http://"+g.callers+r.path, strings.NewReader(string(r.body)))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header[wire("attempt")] = []string{s.attempt}
	req.Header[wire("deadline")] = []string{strconv.FormatInt(r.budget.Milliseconds(), 10)}
	for name, value := range r.header {
		req.Header[name] = []string{value}
	}
	if resumes != "" {
		req.Header[wire("resumes")] = []string{resumes}
		req.Header[wire("lastEvent")] = []string{strconv.Itoa(last)}
	}
	c.rec.add("client sends %s to %s: %s, resumes %q after %d", s.attempt, g.name, r.path, resumes, last)
	cause, began := "end", ""
	if resp, err := c.client.Do(req); err != nil {
		cause = err.Error()
	} else {
		s.status = resp.StatusCode
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
				s.last, _ = strconv.Atoi(id)
			} else if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok && !s.first {
				s.first, began = s.status == http.StatusOK, data
			}
		}
		if lines.Err() != nil {
			cause = lines.Err().Error()
		}
		_ = resp.Body.Close()
	}
	s.whole = s.status == http.StatusOK && s.last == events-1 && cause == "end"
	c.rec.add("client gets for %s: %d, first from %q, last event %d, %s", s.attempt, s.status, began, s.last, cause)
	return s
}

// split: a route of streams that may be resumed is split over three services, each with two
// versions of its software side by side. One of six gateways is killed, and its clients take their streams up again at the
// others. With SPLIT=0 the route has one service.
func split(r *rig) (string, error) {
	const (
		events, gapMs = 60, 100
		perS          = 9.0 // at each gateway
		killAt        = 9 * time.Second
		down          = 500 * time.Millisecond // until the gateway is started again
		length        = 19 * time.Second
	)
	models := map[string]model{"m1": {"m1", 72700, 5800, 1200}}
	var services, destinations []map[string]any
	for _, name := range []string{"llm-a", "llm-b", "llm-c"} {
		services = append(services, engine(name, []model{models["m1"]}, 220000, 1.8))
		destinations = append(destinations, map[string]any{"Service": name, "Weight": 1})
	}
	drafts := route("drafts", "/drafts/", "streaming", "llm-a", 12000, 300, 2)
	drafts["Resumable"] = true
	if os.Getenv("SPLIT") != "0" {
		delete(drafts, "Service")
		drafts[wire("split")] = destinations
	}
	r.configure(1, []map[string]any{drafts}, services)
	for i := range 12 {
		service := services[i%3]["Name"].(string)
		u := &runner{
			id: fmt.Sprintf("i-%s-%d", service, i), service: service, slots: 64, weights: 220000, models: models, version: fmt.Sprint(service, "-", 1+i/3%2),
			events: events, gapMs: gapMs,
		}
		if err := r.addRunner(u, map[string][]string{"m1": nil}); err != nil {
			return "", err
		}
		if err := r.startSteward(fmt.Sprint("side-", i), u); err != nil {
			return "", err
		}
	}
	var gateways []gateway
	for i := range 6 {
		g, err := r.startGateway(fmt.Sprint("front-", i))
		if err != nil {
			return "", err
		}
		gateways = append(gateways, g)
	}
	if err := waitReady(gateways); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	begun, sent, goesOn, again := 0, 0, 0, 0
	ask := func(i int) {
		n := r.number.Load()
		q := request{
			method: http.MethodPost, path: fmt.Sprint("/drafts/", n), body: fmt.Append(nil, "question ", n), budget: 12 * time.Second,
			header: map[string]string{wire("model"): "m1", wire("usage"): "598,240", wire("parts"): fmt.Sprintf("5c1e07a2:198,%08x:400", n)},
		}
		s := r.read(gateways[i], q, events, -1, "")
		mu.Lock()
		sent++
		if s.first {
			begun++
		}
		mu.Unlock()
		if s.whole || !s.first {
			return
		}
		q.budget -= r.rec.now() - s.sentAt
		t := r.read(gateways[1+(i+int(n))%5], q, events, s.last, s.attempt)
		mu.Lock()
		defer mu.Unlock()
		if again++; t.first || t.whole {
			goesOn++
		}
	}
	end := time.Now().Add(length)
	for i := range gateways {
		r.pending.Go(func() {
			for now := time.Now(); now.Before(end); now = now.Add(time.Second / perS) {
				time.Sleep(time.Until(now))
				if r.trouble && i == 0 && time.Until(end) < length-killAt {
					return // the platform sends no new channels to a gateway that is not ready
				}
				r.pending.Go(func() { ask(i) })
			}
		})
	}
	time.Sleep(killAt + 20*time.Millisecond)
	if r.trouble {
		r.kill(gateways[0].name)
		time.Sleep(down)
		if err := r.run("gateway", gateways[0].name); err != nil {
			return "", err
		}
	}
	r.pending.Wait()
	r.rec.say("%d new streams, %d began; %d taken up again, %d went on", sent, begun, again, goesOn)
	if begun < sent/2 {
		return "", fmt.Errorf("only %d of %d streams began", begun, sent)
	}
	if share, usual := float64(goesOn)/float64(max(1, again)), float64(begun)/float64(sent); again >= 12 && share < usual/2 {
		return fmt.Sprintf("LOST: of %d streams taken up again %.2f went on, under half of %.2f of the new ones", again, share, usual), nil
	}
	return "", nil
}
