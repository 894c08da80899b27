package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// denied: clients send documents of 200 kB to a plain service. Two of its twelve runners crash
// for a cause of their own, each while it holds one document, and are back after 4.5 s.
func denied(r *rig) (string, error) {
	const (
		document = 200_000 // bytes
		length   = 30 * time.Second
		perS     = 16.0
	)
	r.configure(1, []map[string]any{route("documents", "/documents/", "idempotent", "archive", 4000, 1000, 2)}, []map[string]any{{"Name": "archive", "Engine": nil}})
	var runners []*runner
	for i := range 12 {
		u := &runner{id: fmt.Sprint("i-archive-", i), service: "archive", slots: 6, backMs: 4500, workMs: func(*http.Request) int { return 400 }}
		if err := r.addRunner(u, nil); err != nil {
			return "", err
		}
		runners = append(runners, u)
	}
	g, err := r.startGateway("front-1")
	if err != nil {
		return "", err
	}
	if err := waitReady([]gateway{g}); err != nil {
		return "", err
	}
	body := bytes.Repeat([]byte("0123456789abcdef"), document/16)
	r.press(time.Now().Add(length), perS, g, func() request {
		return request{method: http.MethodPost, path: fmt.Sprint("/documents/", r.number.Load()), body: body, budget: 4 * time.Second}
	})
	time.Sleep(8 * time.Second)
	crashed := 0
	for limit := time.Now().Add(5 * time.Second); r.trouble && crashed < 2 && time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		for _, u := range runners {
			if n, _ := u.atWork(); n == 1 && u.crashCount() == 0 && crashed < 2 {
				u.crash("disruption")
				crashed++
			}
		}
	}
	if r.trouble && crashed < 2 {
		return "", fmt.Errorf("%d runners were at work", crashed)
	}
	r.pending.Wait()
	sent, served, refused := 0, 0, map[int]int{}
	for _, a := range r.all() {
		sent++
		switch {
		case a.status == http.StatusOK && a.sealed:
			served++
		case !a.sealed:
			refused[a.status]++
		}
	}
	r.rec.say("%d sent, %d served, without a seal by status: %v", sent, served, refused)
	own := 0
	for status, n := range refused {
		if status >= 300 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests {
			own += n
		}
	}
	if served < sent/10 {
		return "", fmt.Errorf("only %d of %d served", served, sent)
	}
	if bound := 5 + float64(sent)/500; float64(own) > bound {
		return fmt.Sprintf("DENIED: %d proper requests ended with a 3xx or 4xx of the system's own, more than %.1f", own, bound), nil
	}
	return "", nil
}
