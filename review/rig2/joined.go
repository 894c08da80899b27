package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The load and the times of the scenario joined.
const (
	joinedOld     = 3 // runners of v1
	joinedNew     = 2 // runners of v2, which join with nothing loaded
	joinedSlots   = 64
	joinedEvents  = 50
	joinedPeriod  = 100 * time.Millisecond
	joinedEvery   = 30 * time.Millisecond
	joinedPrompt  = 2368 // tokens, as many as those of the site's summaries
	joinedBudget  = 12 * time.Second
	joinedPlay    = 4 * time.Second // from the copy until the store is away
	joinedAway    = time.Second
	joinedBack    = 2000 * time.Millisecond // from the store's return until the new runners have written their entries again
	joinedFirst   = 400 * time.Millisecond  // until clients take their streams up
	joinedSpread  = 1400 * time.Millisecond // and up to so much more
	joinedAllowed = 2                       // streams that may hold events of two versions
)

// playJoined restores the store from a copy in which the runners of a new version are missing,
// and kills all gateways and stewards at that moment. Their clients take the streams up again.
func playJoined(g *rig) error {
	g.models = []model{{twiceModel, 65100}}
	var processes, gateways []*process
	var joining []*runner
	serve := serveStream(joinedEvents, joinedPeriod)
	addRunner := func(i int, release string, resident ...string) (*runner, error) {
		u := &runner{rig: g, service: "llm", address: g.runnerAddress(i), slots: joinedSlots, memory: 220000, serve: serve}
		if err := u.start(fmt.Sprintf("i-%d", i+1), release, resident...); err != nil {
			return nil, err
		}
		p, err := g.addSteward(u)
		processes = append(processes, p)
		return u, err
	}
	for i := range joinedOld {
		if _, err := addRunner(i, "v1", twiceModel); err != nil {
			return err
		}
	}
	gateways, err := g.startGateways()
	if err != nil {
		return err
	}
	processes = append(processes, gateways...)
	done := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	takenUp, wentOn, joined := 0, 0, 0
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(joinedEvery):
			}
			clients.Go(func() {
				up, on, both := g.playJoinedStream(fmt.Sprintf("s%d", n), n, gateways)
				mu.Lock()
				defer mu.Unlock()
				takenUp += up
				wentOn += on
				joined += both
			})
		}
	})
	time.Sleep(steadyTime)
	earlier := g.store.copyTopics()
	g.record("copy of the store")
	for i := range joinedNew {
		u, err := addRunner(joinedOld+i, "v2")
		if err != nil {
			return err
		}
		joining = append(joining, u)
	}
	time.Sleep(joinedPlay)
	for _, u := range joining {
		u.mu.Lock()
		g.record("runner %s holds %v, runs %d", u.id, u.resident, u.running)
		u.mu.Unlock()
	}
	close(done)
	if g.trouble {
		if err := g.powerCycle(earlier, joining, processes); err != nil {
			return err
		}
	}
	clients.Wait()
	g.record("%d streams were taken up, %d went on, %d hold events of two versions", takenUp, wentOn, joined)
	if joined > joinedAllowed {
		g.breakRule("%d streams hold events of two versions of the software (%d allowed)", joined, joinedAllowed)
	}
	return nil
}

// powerCycle takes the store away, brings it back from a copy and kills the processes at that
// moment. The joining runners are back in the list within the two seconds that they have.
func (g *rig) powerCycle(earlier map[string][][]byte, joining []*runner, processes []*process) error {
	g.store.setAway(true)
	time.Sleep(joinedAway)
	configuration := g.store.copyTopics()[wire("operator")]
	for _, u := range joining {
		u.mu.Lock()
		u.quietTo = time.Now().Add(joinedBack)
		u.mu.Unlock()
		time.AfterFunc(joinedBack+time.Millisecond, u.writeEntry)
	}
	g.store.restore(earlier)
	g.store.append(wire("operator"), configuration[len(configuration)-1])
	g.store.setAway(false)
	g.record("the store is back from a copy")
	killAll(processes)
	time.Sleep(restartDelay)
	for _, p := range processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// playJoinedStream plays one stream, which its client takes up again once if it breaks.
func (g *rig) playJoinedStream(first string, i int, gateways []*process) (takenUp, wentOn, joined int) {
	a := (&client{}).send(gateways[i%len(gateways)].callers, request{attempt: first, method: "POST", path: "/s/x", model: twiceModel, prompt: joinedPrompt, body: 100, deadline: joinedBudget, lastEvent: -1})
	last, releases := a.lastEvent()
	if a.whole || last < 0 {
		return 0, 0, 0
	}
	takenUp = 1
	time.Sleep(joinedFirst + rand.N(joinedSpread))
	p := gateways[(i+1)%len(gateways)]
	b := (&client{}).send(p.callers, request{attempt: first + "-1", method: "POST", path: "/s/x", model: twiceModel, prompt: joinedPrompt, body: 100, deadline: joinedBudget, lastEvent: last, resumes: first})
	next, more := b.lastEvent()
	for release := range more {
		releases[release] = true
	}
	g.record("%s taken up at %s after event %d: status %d, whole %v, last event %d, versions %v", first, p.name, last, b.status, b.whole, next, releases)
	if b.status == http.StatusOK && next > last {
		wentOn = 1
	}
	if len(releases) > 1 {
		joined = 1
	}
	return takenUp, wentOn, joined
}
