package main

import (
	"fmt"
	"net/netip"
	"time"
)

// The load and the times of the scenario untold.
const (
	untoldStreams = 30
	untoldCut     = 5500 * time.Millisecond
	untoldBegin   = 3 * time.Second // from the start of the cut until streams begin
	untoldCalm    = 4 * time.Second // from the end of the cut until the gateway is killed
)

// playUntold cuts a gateway off from all other machines of the system for some seconds, in which
// streams begin there, and kills it some seconds after the cut has healed.
func playUntold(g *rig) error {
	g.models = []model{{twiceModel, 65100}}
	var relays []*datagramRelay
	for i := range twiceRunners {
		u := &runner{rig: g, service: "llm", address: g.runnerAddress(i), slots: twiceSlots, memory: 220000, serve: serveStream(twiceEvents, twicePeriod)}
		if err := u.start(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("v%d", 1+i%twiceReleases), twiceModel); err != nil {
			return err
		}
		// The relay has the machine's address, and the steward one behind it.
		ip := fmt.Sprintf("%s.3.%d", g.subnet, i+1)
		r, err := newDatagramRelay(fmt.Sprintf("%s.1.%d:%d", g.subnet, i+1, g.peerPort), fmt.Sprintf("%s:%d", ip, g.peerPort))
		if err != nil {
			return err
		}
		relays = append(relays, r)
		if _, err := g.addStewardAt(ip, u); err != nil {
			return err
		}
	}
	gateways, err := g.startGateways()
	if err != nil {
		return err
	}
	time.Sleep(steadyTime)
	machine, err := netip.ParseAddr(gateways[0].ip)
	if err != nil {
		return err
	}
	setCut := func(cut bool) {
		if !g.trouble {
			return
		}
		for _, r := range relays {
			r.setCut(machine, cut)
		}
		g.record("%s cut off: %v", gateways[0].name, cut)
	}
	setCut(true)
	time.Sleep(untoldBegin)
	t := &tally{tries: patientTries}
	played := make(chan struct{})
	go func() {
		defer close(played)
		g.playStreams(t, "untold", untoldStreams, gateways)
	}()
	time.Sleep(untoldCut - untoldBegin)
	setCut(false)
	time.Sleep(untoldCalm)
	if g.trouble {
		gateways[0].kill()
	}
	g.playNewStreams(t, "untold", untoldStreams, gateways)
	<-played
	g.judgeResumed(t, fmt.Sprintf("%d streams", untoldStreams))
	return nil
}
