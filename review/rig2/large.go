package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The load of the scenario large.
const (
	largeRunners  = 4
	largeSlots    = 6
	largeBody     = 200 << 10 // bytes; the configuration allows 4 MiB
	largeWork     = 300 * time.Millisecond
	largePeriod   = 250 * time.Millisecond
	largeCrashes  = 4
	largeDown     = 2 * time.Second
	largePause    = 5 * time.Second
	largeBudget   = 4 * time.Second
	largeAllowed  = 5
	largeAllowed1 = 500 // one request in so many may be denied beside
)

// playLarge sends requests with large bodies to a service without models, whose runners crash
// one after the other and are back soon.
func playLarge(g *rig) error {
	var runners []*runner
	for i := range largeRunners {
		u := &runner{rig: g, service: "desk", address: g.runnerAddress(i), slots: largeSlots}
		u.serve = func(u *runner, w http.ResponseWriter, r *http.Request) {
			u.mu.Lock()
			stopped := u.stopped
			u.mu.Unlock()
			select {
			case <-time.After(largeWork):
				_, _ = w.Write([]byte("posted"))
			case <-stopped:
				panic(http.ErrAbortHandler)
			}
		}
		if err := u.start(fmt.Sprintf("i-%d", i+1), "v1"); err != nil {
			return err
		}
		runners = append(runners, u)
	}
	g.publish(3, []service{{"desk", largeSlots, 0}}, []route{{prefix: "/p/", kind: "non_idempotent", service: "desk", timeout: 4000, aim: 300, gap: 0, attempts: 1}})
	gateway, err := g.addGateway(0)
	if err != nil {
		return err
	}
	if err := gateway.awaitReady(); err != nil {
		return err
	}
	time.Sleep(steadyTime)

	done := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent, statuses := 0, map[int]int{}
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(largePeriod):
			}
			clients.Go(func() {
				attempt := fmt.Sprintf("p%d", n)
				c := &client{}
				a := c.send(gateway.callers, request{attempt: attempt, method: "POST", path: "/p/x", body: largeBody, deadline: largeBudget, lastEvent: -1})
				c.close()
				g.record("%s: status %d, whole %v", attempt, a.status, a.whole)
				mu.Lock()
				defer mu.Unlock()
				sent++
				statuses[a.status]++
			})
		}
	})
	time.Sleep(steadyTime)
	if g.trouble {
		for i := range largeCrashes {
			u := runners[i%largeRunners]
			awaitRun(u)
			u.crash()
			time.Sleep(largeDown)
			old := u.id
			if err := u.start(fmt.Sprintf("i-%d-%d", i+1, i), "v1"); err != nil {
				return err
			}
			g.store.put(wire("servers"), old, nil)
			time.Sleep(largePause)
		}
	}
	time.Sleep(2 * steadyTime)
	close(done)
	clients.Wait()
	g.record("%d requests sent, answers by status: %v", sent, statuses)
	if denied := statuses[http.StatusRequestEntityTooLarge]; denied > largeAllowed+sent/largeAllowed1 {
		g.breakRule("%d of %d proper requests were ended with 413", denied, sent)
	}
	return nil
}

// awaitRun waits, but not for long, until a runner is at work.
func awaitRun(u *runner) {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		u.mu.Lock()
		running := u.running
		u.mu.Unlock()
		if running > 0 {
			return
		}
	}
}
