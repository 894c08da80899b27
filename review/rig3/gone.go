package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// gone: clients of a plain service come in batches, one each 5 s. The open channels of the gateways
// to the store go silent, while new ones work. One of eight runners is taken away meanwhile, without
// a report that it drains; it serves for DrainMs and a second more.
func gone(r *rig) (string, error) {
	const (
		period  = 5 * time.Second // between batches
		batch   = 48              // requests in each
		batches = 6
		taken   = 800 * time.Millisecond  // after the silence
		exit    = 2950 * time.Millisecond // of the runner, after its entry was removed
	)
	r.configure(1, []map[string]any{route("bookings", "/bookings/", "non_idempotent", "archive", 4000, 1000, 1)}, []map[string]any{{"Name": "archive", "Engine": nil}})
	var runners []*runner
	for i := range 8 {
		u := &runner{id: fmt.Sprint("i-archive-", i), service: "archive", slots: 6, workMs: func(*http.Request) int { return 400 }}
		if err := r.addRunner(u, nil); err != nil {
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
	leaver := runners[0]
	start := time.Now().Add(5 * time.Second)
	var silentAt, ackAt time.Duration
	for n := range batches {
		time.Sleep(time.Until(start.Add(time.Duration(n) * period)))
		r.rec.say("batch %d", n)
		var sent sync.WaitGroup
		for i := range batch {
			sent.Go(func() {
				r.send(gateways[i%2], request{method: http.MethodPost, path: fmt.Sprint("/bookings/", r.number.Load()), body: []byte("booking"), budget: 4 * time.Second})
			})
		}
		sent.Wait()
		if n != 2 {
			continue
		}
		time.Sleep(time.Until(start.Add(time.Duration(n)*period + period - 3500*time.Millisecond)))
		silentAt = r.rec.now()
		if r.trouble {
			r.store.silence()
			r.rec.say("the open channels to the store go silent")
		}
		time.Sleep(taken)
		ackAt = r.rec.now()
		leaver.leave()
		time.AfterFunc(exit, leaver.exit)
	}
	late, lost := 0, 0
	from := max(silentAt+stableWindow, ackAt+drainMs*time.Millisecond)
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	answers := map[string]answer{}
	for _, a := range r.all() {
		answers[a.attempt] = a
	}
	for _, a := range leaver.arrivals {
		if got := answers[a.attempt]; a.at > from && got.at > silentAt+stableWindow {
			late++
			if !got.sealed {
				lost++
			}
		}
	}
	if len(leaver.arrivals) == 0 || !slices.ContainsFunc(r.all(), func(a answer) bool { return a.at > from && a.status == http.StatusOK }) {
		return "", fmt.Errorf("no request arrived")
	}
	r.rec.say("the store acknowledged at %v that the runner is gone; %d requests reached it later than %v, %d of them lost their answers", ackAt, late, from, lost)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached a runner later than %d ms after the store had acknowledged that it is gone", late, drainMs), nil
	}
	return "", nil
}
