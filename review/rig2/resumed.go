package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The load of the scenario resumed.
const (
	resumedGateways = 3
	resumedReleases = 2
	resumedRunners  = 3 // of each release
	resumedSlots    = 64
	resumedEvents   = 60
	resumedPeriod   = 100 * time.Millisecond
	resumedStreams  = 30
	resumedBudget   = 12 * time.Second
	resumedRetries  = 3
	minResumed      = 12 // streams that must be taken up again for the rule to count
	resumedKillAt   = 2 * time.Second
	modelRunners    = 4 // of the other service, with a steward beside each
)

// playResumed serves a route of resumable streams by a service without models, whose runners
// have two software versions; another service has models and stewards. One gateway is killed,
// and its clients take their streams up again at the others.
func playResumed(g *rig) error {
	for i := range resumedReleases * resumedRunners {
		u := &runner{rig: g, service: "desk", address: g.runnerAddress(i), slots: resumedSlots, serve: serveStream(resumedEvents, resumedPeriod)}
		if err := u.start(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("v%d", 1+i%resumedReleases)); err != nil {
			return err
		}
	}
	g.models = []model{{"m0", 65100}}
	for i := range modelRunners {
		u := &runner{rig: g, service: "llm", address: g.runnerAddress(resumedReleases*resumedRunners + i), slots: resumedSlots, memory: 220000, serve: serveStream(resumedEvents, resumedPeriod)}
		if err := u.start(fmt.Sprintf("l-%d", i+1), "v1", "m0"); err != nil {
			return err
		}
		if _, err := g.addSteward(u); err != nil {
			return err
		}
	}
	g.publish(3, []service{{"desk", resumedSlots, 0}, {"llm", resumedSlots, 220000}}, []route{
		{prefix: "/s/", kind: "streaming", service: "desk", resumable: true, timeout: 12000, aim: 300, gap: 300, attempts: 2},
		{prefix: "/m/", kind: "streaming", service: "llm", resumable: true, timeout: 12000, aim: 300, gap: 300, attempts: 2},
	})
	var gateways []*process
	for i := range resumedGateways {
		p, err := g.addGateway(i)
		if err != nil {
			return err
		}
		gateways = append(gateways, p)
	}
	for _, p := range gateways {
		if err := p.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(steadyTime)

	var clients sync.WaitGroup
	var mu sync.Mutex
	takenUp, wentOn, joined, begun := 0, 0, 0, 0
	for i := range resumedStreams {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			first := fmt.Sprintf("s%d-0", i)
			a := (&client{}).send(gateways[0].callers, request{attempt: first, method: "POST", path: "/s/x", body: 100, deadline: resumedBudget, lastEvent: -1})
			last, releases := a.lastEvent()
			g.record("%s: status %d, whole %v, last event %d of %v", first, a.status, a.whole, last, releases)
			if a.whole || last < 0 {
				return
			}
			on := false
			for try := 1; try <= resumedRetries && !on; try++ {
				attempt := fmt.Sprintf("s%d-%d", i, try)
				p := gateways[1+(i+try)%(resumedGateways-1)]
				b := (&client{}).send(p.callers, request{attempt: attempt, method: "POST", path: "/s/x", body: 100, deadline: resumedBudget, lastEvent: last, resumes: first})
				next, more := b.lastEvent()
				g.record("%s takes %s up at %s after event %d: status %d, whole %v, last event %d of %v", attempt, first, p.name, last, b.status, b.whole, next, more)
				on = b.status == http.StatusOK && next > last
				for release := range more {
					releases[release] = true
				}
				if !on {
					time.Sleep(time.Second) // as the answer asks for
				}
			}
			mu.Lock()
			defer mu.Unlock()
			takenUp++
			if on {
				wentOn++
			}
			if len(releases) > 1 {
				joined++
			}
		})
	}
	time.Sleep(resumedKillAt)
	if g.trouble {
		gateways[0].kill()
	}
	for i := range resumedStreams {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			attempt, p := fmt.Sprintf("n%d", i), gateways[1+i%(resumedGateways-1)]
			a := (&client{}).send(p.callers, request{attempt: attempt, method: "POST", path: "/s/x", body: 100, deadline: resumedBudget, lastEvent: -1})
			last, _ := a.lastEvent()
			g.record("%s begins at %s: status %d, whole %v, last event %d", attempt, p.name, a.status, a.whole, last)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK && last >= 0 {
				begun++
			}
		})
	}
	clients.Wait()
	g.record("%d of %d new streams began; %d streams were taken up again, %d of them went on, %d hold events of two versions", begun, resumedStreams, takenUp, wentOn, joined)
	if takenUp >= minResumed && float64(wentOn)/float64(takenUp) < float64(begun)/resumedStreams/2 {
		g.breakRule("%d of %d streams that clients took up again went on, while %d of %d new ones began", wentOn, takenUp, begun, resumedStreams)
	}
	return nil
}
