package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The load of the scenario upgrade.
const (
	upgradeGateways = 6
	upgradeRunners  = 8
	upgraded        = 6 // of the runners; the others keep their version
	upgradeSlots    = 64
	upgradeEvents   = 3
	upgradePeriod   = 160 * time.Millisecond
	upgradeSlowness = 8 // of a runner that has just started
	upgradeCold     = 2 * time.Second
	upgradeDown     = 200 * time.Millisecond
	upgradePause    = 3 * time.Second // between upgrades, and up to upgradeJitter more
	upgradeJitter   = 2 * time.Second
	upgradeEvery    = 20 * time.Millisecond
	upgradeStagger  = 400 * time.Millisecond // between the starts of gateways, at most
	upgradeBudget   = 20 * time.Second
	upgradeAllowed  = 2 // streams that may hold events of two versions
)

// playUpgrade upgrades runners of a service without models in place: each starts again under
// its id with another version of its software, and is slow at first.
func playUpgrade(g *rig) error {
	var runners []*runner
	for i := range upgradeRunners {
		u := &runner{rig: g, service: "desk", address: g.runnerAddress(i), slots: upgradeSlots, serve: serveColdStream}
		if err := u.start(fmt.Sprintf("i-%d", i+1), "v1"); err != nil {
			return err
		}
		u.warmUp()
		runners = append(runners, u)
	}
	g.publish(3, []service{{"desk", upgradeSlots, 0}}, []route{{prefix: "/s/", kind: "streaming", service: "desk", resumable: true, timeout: 20000, aim: 400, gap: 300, attempts: 2}})
	var gateways []*process
	for i := range upgradeGateways {
		p, err := g.addGateway(i)
		if err != nil {
			return err
		}
		gateways = append(gateways, p)
		time.Sleep(rand.N(upgradeStagger))
	}
	for _, p := range gateways {
		if err := p.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(steadyTime)

	done := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	served, joined := 0, 0
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(upgradeEvery):
			}
			clients.Go(func() {
				attempt, p, c := fmt.Sprintf("s%d", n), gateways[n%upgradeGateways], &client{}
				defer c.close()
				a := c.send(p.callers, request{attempt: attempt, method: "POST", path: "/s/x", body: 100, deadline: upgradeBudget, lastEvent: -1})
				last, releases := a.lastEvent()
				mu.Lock()
				defer mu.Unlock()
				if a.status == http.StatusOK && a.whole {
					served++
				}
				if len(releases) > 1 {
					joined++
					g.record("%s got events up to %d of %v in one answer of %s", attempt, last, releases, p.name)
				}
			})
		}
	})
	time.Sleep(steadyTime)
	for _, u := range runners[:upgraded] {
		if g.trouble {
			u.crash()
			time.Sleep(upgradeDown)
			if err := u.start(u.id, "v2"); err != nil {
				return err
			}
			g.record("runner %s starts again as v2", u.id)
		}
		time.Sleep(upgradePause + rand.N(upgradeJitter))
	}
	time.Sleep(steadyTime)
	close(done)
	clients.Wait()
	g.record("%d streams served whole, %d hold events of two versions in one answer", served, joined)
	if joined > upgradeAllowed {
		g.breakRule("%d streams hold events of two versions of the software in one answer (%d allowed)", joined, upgradeAllowed)
	}
	return nil
}

// warmUp makes a runner that has just started as quick as it will be.
func (u *runner) warmUp() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.born -= upgradeCold.Milliseconds()
}

// serveColdStream sends a stream, slowly while the runner has just started.
func serveColdStream(u *runner, w http.ResponseWriter, r *http.Request) {
	next := 0
	if last, err := strconv.Atoi(r.Header.Get(wire("lastevent"))); err == nil {
		next = last + 1
	}
	u.mu.Lock()
	stopped, release, born := u.stopped, u.release, time.UnixMilli(u.born)
	u.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for first := true; next < upgradeEvents; next, first = next+1, false {
		period := upgradePeriod
		if first {
			period /= 4
		}
		if time.Since(born) < upgradeCold {
			period *= upgradeSlowness
		}
		select {
		case <-time.After(period):
		case <-r.Context().Done():
			return
		case <-stopped:
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", next, release, next); err != nil {
			return
		}
		_ = c.Flush()
	}
}
