package main

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// partID returns the id of a part of a prompt: the SHA-256 of its text in hexadecimal. With
// IDS=short it is the first half of that.
func partID(text string) string {
	id := fmt.Sprintf("%x", sha256.Sum256([]byte(text)))
	if os.Getenv("IDS") == "short" {
		return id[:len(id)/2]
	}
	return id
}

// deadly: one document crashes each model runner that begins to answer on it. Requests with it, no
// two alike, come at two gateways beside many sound ones.
func deadly(r *rig) (string, error) {
	const length = 36 * time.Second
	models := map[string]model{"m1": {"m1", 72700, 5800, 1200}}
	r.configure(1, []map[string]any{route("drafts", "/drafts/", "idempotent", "llm", 6000, 300, 1)}, []map[string]any{engine("llm", []model{models["m1"]}, 220000, 1.8)})
	poison := partID("the deadly document")
	isDeadly := func(q *http.Request) bool { return strings.Contains(q.Header.Get(wire("parts")), poison) }
	var runners []*runner
	for i := range 8 {
		u := &runner{
			id: fmt.Sprint("i-llm-", i), service: "llm", slots: 64, weights: 220000, models: models, backMs: 3000,
			workMs: func(*http.Request) int { return 80 }, deadly: isDeadly,
		}
		if err := r.addRunner(u, map[string][]string{"m1": nil}); err != nil {
			return "", err
		}
		if err := r.startSteward(fmt.Sprint("side-", i), u); err != nil {
			return "", err
		}
		runners = append(runners, u)
	}
	var gateways []gateway
	for i := range 2 {
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
	ask := func(document string) request {
		n := r.number.Load()
		parts := fmt.Sprintf("%s:119,%s:79,%s:400", partID("instruction"), partID(document), partID(fmt.Sprint("question ", n)))
		return request{
			method: http.MethodPost, path: fmt.Sprint("/drafts/", n), body: fmt.Append(nil, "question ", n), budget: 6 * time.Second,
			header: map[string]string{wire("model"): "m1", wire("usage"): "598,50", wire("parts"): parts},
		}
	}
	end := time.Now().Add(length)
	for _, g := range gateways {
		r.press(end, 10, g, func() request { return ask(fmt.Sprint("document ", r.number.Load()%20)) })
		if r.trouble {
			r.press(end, 0.5, g, func() request { return ask("the deadly document") })
		}
	}
	r.pending.Wait()
	var crashes []time.Duration
	for _, u := range runners {
		u.mu.Lock()
		crashes = append(crashes, u.crashes...)
		u.mu.Unlock()
	}
	sent, served := 0, 0
	for _, a := range r.all() {
		sent++
		if a.status == http.StatusOK && a.sealed {
			served++
		}
	}
	r.rec.say("%d sent, %d served, %d crashes", sent, served, len(crashes))
	if served < sent/4 {
		return "", fmt.Errorf("only %d of %d served", served, sent)
	}
	return judgeDeadly(r, runners, crashes), nil
}

// judgeDeadly counts the requests with the part that reach runners later than the bound.
func judgeDeadly(r *rig, runners []*runner, crashes []time.Duration) string {
	const fatal, allowed = 5, 3
	if len(crashes) < fatal {
		return ""
	}
	from := nth(crashes, fatal) + stableWindow
	reached := 0
	for _, u := range runners {
		u.mu.Lock()
		for _, at := range u.deadlyAt {
			if at > from {
				reached++
			}
		}
		u.mu.Unlock()
	}
	r.rec.say("%d requests with the part reached runners later than %v", reached, from)
	if reached > allowed {
		return fmt.Sprintf("BUDGET: %d requests with a part that crashes runners reached runners later than %v after the fifth crash, more than %d", reached, stableWindow, allowed)
	}
	return ""
}
