package main

import (
	"fmt"
	"time"
)

// Times of the scenario drill, from the start of the streams.
const (
	drillStreams = 30
	drillAway    = time.Second     // for which the store is away
	drillAge     = 5 * time.Second // of the copy when the store goes away
	drillAt      = 2 * time.Second // when the store goes away
	drillSettled = 4 * time.Second // from its return until processes are killed; more than the time until all count as in touch
)

// playDrill restores the store from a copy of some seconds before, and kills a gateway and the
// stewards that keep the origins of streams some seconds later. They start again at once.
func playDrill(g *rig) error {
	gateways, stewards, err := g.deployReleases()
	if err != nil {
		return err
	}
	earlier := g.store.copyTopics()
	time.Sleep(drillAge - drillAt)
	t := &tally{tries: patientTries}
	played := make(chan struct{})
	go func() {
		defer close(played)
		g.playStreams(t, "drill", drillStreams, gateways)
	}()
	time.Sleep(drillAt)
	if g.trouble {
		g.store.setAway(true)
		time.Sleep(drillAway)
		configuration := g.store.copyTopics()[wire("operator")]
		g.store.restore(earlier)
		// What the operator wrote is written again; the runners write their entries themselves.
		g.store.append(wire("operator"), configuration[len(configuration)-1])
		g.store.setAway(false)
		g.record("the store is back from a copy")
		time.Sleep(drillSettled)
	}
	lost := append(stewards[:twiceLost:twiceLost], gateways[0])
	if g.trouble {
		killAll(lost)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.playNewStreams(t, "drill", drillStreams, gateways)
	}()
	if g.trouble {
		time.Sleep(restartDelay)
		for _, p := range lost {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	<-played
	<-done
	g.judgeResumed(t, fmt.Sprintf("%d streams", drillStreams))
	return nil
}
