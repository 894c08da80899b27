package main

import (
	"fmt"
	"net/http"
	"time"
)

// overload: the machine of a model runner loses power while an order of its steward is on its way.
// The runner is back under its id, with the weights on its disk, and carries the order out late.
func overload(r *rig) (string, error) {
	const (
		weights = 220000
		late    = 11500 // ms after which the order is carried out
		down    = 3500 * time.Millisecond
	)
	names := []string{"m1", "m2", "m3", "m4", "m5"}
	models := map[string]model{}
	var list []model
	for _, n := range names {
		models[n] = model{n, 72700, 5800, 1200}
		list = append(list, models[n])
	}
	r.configure(1, []map[string]any{route("drafts", "/drafts/", "idempotent", "llm", 12000, 300, 1)}, []map[string]any{engine("llm", list, weights, 1.8)})
	kept := make(chan struct{}, 1)
	u := &runner{
		id: "i-llm-0", service: "llm", slots: 64, weights: weights, models: models, onDisk: []string{"m4"},
		backMs: int(down / time.Millisecond), workMs: func(*http.Request) int { return 100 },
	}
	other := &runner{id: "i-llm-1", service: "llm", slots: 64, weights: weights, models: models, workMs: u.workMs}
	if r.trouble {
		u.hold = func(op, name string) int {
			if op != "load" || name != "m3" {
				return 0
			}
			select {
			case kept <- struct{}{}:
				return late
			default:
				return 0
			}
		}
	}
	if err := r.addRunner(u, map[string][]string{"m1": nil, "m2": nil}); err != nil {
		return "", err
	}
	if err := r.addRunner(other, map[string][]string{"m3": nil, "m4": nil, "m5": nil}); err != nil {
		return "", err
	}
	for i, v := range []*runner{u, other} {
		if err := r.startSteward(fmt.Sprint("side-", i), v); err != nil {
			return "", err
		}
	}
	g, err := r.startGateway("front-0")
	if err != nil {
		return "", err
	}
	if err := waitReady([]gateway{g}); err != nil {
		return "", err
	}
	ask := func(model string, tokens int, perS float64, length time.Duration) {
		r.press(time.Now().Add(length), perS, g, func() request {
			return request{
				method: http.MethodPost, path: fmt.Sprint("/drafts/", r.number.Load()), body: []byte("prompt"), budget: 12 * time.Second,
				header: map[string]string{wire("model"): model, wire("usage"): fmt.Sprint(tokens, ",50"), wire("parts"): fmt.Sprintf("5c1e07a2:%d,91bd3f06:100", tokens-100)},
			}
		})
	}
	ask("m1", 600, 2, 34*time.Second)
	ask("m2", 600, 2, 34*time.Second)
	for _, adapter := range []string{"a1", "a2", "a3"} {
		ask("m1/"+adapter, 600, 2, 3*time.Second)
	}
	time.Sleep(6 * time.Second)
	r.rec.say("the demand for m3 rises")
	ask("m3", 6000, 8, 4*time.Second)
	if r.trouble {
		select {
		case <-kept:
		case <-time.After(10 * time.Second):
			return "", fmt.Errorf("no order for m3")
		}
		time.Sleep(300 * time.Millisecond)
		r.rec.say("the machine of i-llm-0 loses power")
		r.kill("side-0")
		u.crash("loss of power")
		time.AfterFunc(down, func() {
			if err := r.startSteward("side-0", u); err != nil {
				r.rec.say("%v", err)
			}
		})
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	r.rec.say("the demand moves from m3 to m4")
	ask("m4", 6000, 8, 16*time.Second)
	time.Sleep(14 * time.Second)
	r.pending.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.overload) > 0 {
		return fmt.Sprintf("LIMIT: the runner was ordered to load %s", u.overload[0]), nil
	}
	return "", nil
}
