package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/placer"
)

// The load of the scenario twice.
const (
	twiceGateways = 3
	twiceReleases = 2
	twiceRunners  = 8 // with a steward beside each
	twiceLost     = 4 // stewards that lose power with a gateway
	twiceSlots    = 64
	twiceEvents   = 100
	twicePeriod   = 100 * time.Millisecond
	twiceFirst    = 10 // streams at the first loss
	twiceSecond   = 40 // at the second
	twiceBudget   = 12 * time.Second
	twiceTries    = 1 // to take a stream up, the retries of the site's clients
	patientTries  = 3 // of the clients of other scenarios
	twiceLossAt   = 3 * time.Second
	twiceDark     = 3500 * time.Millisecond
	twiceRest     = 10 * time.Second // from the end of the first loss
	twiceModel    = "m0"
)

// tally counts streams.
type tally struct {
	tries int // of a client to take a stream up

	mu                              sync.Mutex
	begun, tried                    int // new ones at gateways in touch during a loss
	takenUp, wentOn, joinedVersions int
}

// playTwice lets some machines lose power twice: a gateway, and the stewards that keep the
// origins of streams. The model runners have two software versions.
func playTwice(g *rig) error {
	gateways, stewards, err := g.deployReleases()
	if err != nil {
		return err
	}
	lost := append(stewards[:twiceLost:twiceLost], gateways[0])
	t := &tally{tries: twiceTries}
	for i, streams := range []int{twiceFirst, twiceSecond} {
		before := t.counts()
		if err := g.loseOnce(t, fmt.Sprintf("loss%d", i+1), streams, gateways, lost); err != nil {
			return err
		}
		after := t.counts()
		g.record("loss %d: %d of %d streams that were taken up went on; %d of %d new ones began", i+1, after.wentOn-before.wentOn, after.takenUp-before.takenUp, after.begun-before.begun, after.tried-before.tried)
		if i == 0 {
			time.Sleep(twiceRest)
		}
	}
	g.judgeResumed(t, "both losses")
	return nil
}

// deployReleases starts a service of model runners with two software versions, its stewards and
// gateways. The stewards that gateways tell of streams come first.
func (g *rig) deployReleases() (gateways, stewards []*process, err error) {
	g.models = []model{{twiceModel, 65100}}
	for i := range twiceRunners {
		u := &runner{rig: g, service: "llm", address: g.runnerAddress(i), slots: twiceSlots, memory: 220000, serve: serveStream(twiceEvents, twicePeriod)}
		if err := u.start(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("v%d", 1+i%twiceReleases), twiceModel); err != nil {
			return nil, nil, err
		}
		p, err := g.addSteward(u)
		if err != nil {
			return nil, nil, err
		}
		p.beside = u.address
		stewards = append(stewards, p)
	}
	if gateways, err = g.startGateways(); err != nil {
		return nil, nil, err
	}
	slices.SortFunc(stewards, func(a, b *process) int {
		return cmp.Compare(placer.Score("recorders", b.beside), placer.Score("recorders", a.beside))
	})
	time.Sleep(steadyTime)
	return gateways, stewards, nil
}

// startGateways publishes the configuration of these scenarios and starts the gateways.
func (g *rig) startGateways() ([]*process, error) {
	g.publish(3, []service{{"llm", twiceSlots, 220000}}, []route{{prefix: "/s/", kind: "streaming", service: "llm", resumable: true, timeout: 12000, aim: 300, gap: 300, attempts: 2}})
	var gateways []*process
	for i := range twiceGateways {
		p, err := g.addGateway(i)
		if err != nil {
			return nil, err
		}
		gateways = append(gateways, p)
	}
	for _, p := range gateways {
		if err := p.awaitReady(); err != nil {
			return nil, err
		}
	}
	return gateways, nil
}

// judgeResumed judges the rule on streams that are taken up again.
func (g *rig) judgeResumed(t *tally, what string) {
	c := t.counts()
	g.record("%s: %d of %d streams that were taken up went on, %d hold events of two versions; %d of %d new ones began", what, c.wentOn, c.takenUp, c.joinedVersions, c.begun, c.tried)
	if c.takenUp >= minResumed && float64(c.wentOn)/float64(c.takenUp) < float64(c.begun)/float64(c.tried)/2 {
		g.breakRule("%d of %d streams that clients took up again went on, while %d of %d new ones began", c.wentOn, c.takenUp, c.begun, c.tried)
	}
}

func (t *tally) counts() *tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &tally{begun: t.begun, tried: t.tried, takenUp: t.takenUp, wentOn: t.wentOn, joinedVersions: t.joinedVersions}
}

// loseOnce plays streams at the first gateway, and the loss of some machines meanwhile, whose
// clients take their streams up at the other gateways.
func (g *rig) loseOnce(t *tally, name string, streams int, gateways, lost []*process) error {
	var clients sync.WaitGroup
	clients.Go(func() { g.playStreams(t, name, streams, gateways) })
	time.Sleep(twiceLossAt)
	if g.trouble {
		darken(lost)
	}
	clients.Go(func() { g.playNewStreams(t, name, streams, gateways) })
	time.Sleep(twiceDark)
	if g.trouble {
		killAll(lost)
		for _, p := range lost {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	clients.Wait()
	return gateways[0].awaitReady()
}

// playStreams plays streams at the first gateway and returns when all have ended.
func (g *rig) playStreams(t *tally, name string, streams int, gateways []*process) {
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			g.playStream(t, fmt.Sprintf("%s-s%d", name, i), i, gateways)
		})
	}
	clients.Wait()
}

// playNewStreams begins streams at the other gateways and returns when all have ended.
func (g *rig) playNewStreams(t *tally, name string, streams int, gateways []*process) {
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			attempt, p := fmt.Sprintf("%s-n%d", name, i), gateways[1+i%(twiceGateways-1)]
			a := (&client{}).send(p.callers, request{attempt: attempt, method: "POST", path: "/s/x", model: twiceModel, body: 100, deadline: twiceBudget, lastEvent: -1})
			last, _ := a.lastEvent()
			t.mu.Lock()
			defer t.mu.Unlock()
			t.tried++
			if a.status == http.StatusOK && last >= 0 {
				t.begun++
			}
		})
	}
	clients.Wait()
}

// playStream plays one stream at the first gateway, and takes it up at others if it breaks.
func (g *rig) playStream(t *tally, first string, i int, gateways []*process) {
	a := (&client{}).send(gateways[0].callers, request{attempt: first, method: "POST", path: "/s/x", model: twiceModel, body: 100, deadline: twiceBudget, lastEvent: -1})
	last, releases := a.lastEvent()
	g.record("%s: status %d, whole %v, last event %d of %v", first, a.status, a.whole, last, releases)
	if a.whole || last < 0 {
		return
	}
	on := false
	for try := 1; try <= t.tries && !on; try++ {
		p := gateways[1+(i+try)%(twiceGateways-1)]
		b := (&client{}).send(p.callers, request{attempt: fmt.Sprintf("%s-%d", first, try), method: "POST", path: "/s/x", model: twiceModel, body: 100, deadline: twiceBudget, lastEvent: last, resumes: first})
		next, more := b.lastEvent()
		g.record("%s taken up at %s after event %d: status %d, whole %v, last event %d of %v", first, p.name, last, b.status, b.whole, next, more)
		on = b.status == http.StatusOK && next > last
		for release := range more {
			releases[release] = true
		}
		if !on {
			time.Sleep(time.Second) // as the answer asks for
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takenUp++
	if on {
		t.wentOn++
	}
	if len(releases) > 1 {
		t.joinedVersions++
	}
}
