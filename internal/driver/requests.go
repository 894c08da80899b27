package driver

import (
	"math/rand/v2"
	"time"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/messenger"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/relayer"
)

// Configuration returns the configuration in force, nil before the first.
func (g *Gateway) Configuration() *registrar.Configuration {
	return g.configuration.Load()
}

// Now returns the time since the gateway was created, the clock of its dispatcher.
func (g *Gateway) Now() time.Duration {
	return g.syncer.now()
}

// Sendable reports whether the upstream of a Send may still get the request.
func (g *Gateway) Sendable(id dispatcher.RequestID, try dispatcher.Try) bool {
	g.syncer.mu.Lock()
	defer g.syncer.mu.Unlock()
	g.refreshKeys()
	return g.dispatcher.Sendable(g.syncer.now(), id, try)
}

// Submit passes a new request to the dispatcher and returns its ID. The effects that
// concern the request are put into the mailbox.
func (g *Gateway) Submit(req dispatcher.Request, mailbox *relayer.Mailbox) dispatcher.RequestID {
	g.syncer.mu.Lock()
	defer g.syncer.mu.Unlock()
	g.refreshKeys()
	g.lastID++
	req.ID = g.lastID
	req.Service = pickService(req.Route)
	g.mailboxes[req.ID] = mailbox
	g.arrivedAt[req.ID] = g.syncer.now()
	g.apply(dispatcher.Arrived{Request: req})
	return req.ID
}

// pickService picks a destination of a route at random, in proportion to their weights.
func pickService(r *registrar.Route) registrar.ServiceName {
	destinations := r.Destinations()
	total := 0.0
	for _, d := range destinations {
		total += d.Weight
	}
	point := rand.Float64() * total
	for _, d := range destinations {
		if point -= d.Weight; point < 0 {
			return d.Service
		}
	}
	return destinations[len(destinations)-1].Service
}

// Reduce passes an event to the dispatcher and carries out the effects.
func (g *Gateway) Reduce(e dispatcher.Event) {
	g.syncer.mu.Lock()
	defer g.syncer.mu.Unlock()
	g.apply(e)
	switch ev := e.(type) {
	case dispatcher.AnswerBegan:
		if !ev.Resumed {
			g.timeToFirstByte.Record(g.syncer.now() - g.arrivedAt[ev.ID])
		}
	case dispatcher.CallerDisconnected:
		g.forget(ev.ID)
	case dispatcher.SendEnded:
		if ev.Outcome == dispatcher.Completed || ev.Outcome == dispatcher.CallerClosed {
			g.forget(ev.ID)
		}
	}
}

// forget removes a request that has its final answer. The caller holds syncer.mu.
func (g *Gateway) forget(id dispatcher.RequestID) {
	delete(g.mailboxes, id)
	delete(g.arrivedAt, id)
}

// apply passes an event to the dispatcher and carries out the effects. The caller holds
// syncer.mu.
func (g *Gateway) apply(e dispatcher.Event) {
	for _, effect := range g.dispatcher.Reduce(g.syncer.now(), e) {
		switch ef := effect.(type) {
		case dispatcher.Send:
			g.mailboxes[ef.ID].Put(ef)
		case dispatcher.Failover:
			g.mailboxes[ef.ID].Put(ef)
		case dispatcher.Abort:
			g.mailboxes[ef.ID].Put(ef)
		case dispatcher.Fail:
			g.mailboxes[ef.ID].Put(ef)
			g.forget(ef.ID)
		case dispatcher.RelayFailure:
			g.mailboxes[ef.ID].Put(ef)
			g.forget(ef.ID)
		case dispatcher.LoadAdapter:
			g.send(stewardAddress(ef.Address, g.peerPort), messenger.Message{RequestedAdapter: &ef.Adapter})
		case dispatcher.ReadList:
			wake(g.syncer.listNow)
		case dispatcher.RequestPermits:
			g.send(stewardAddress(ef.Address, g.peerPort), messenger.Message{PermitRequest: &ef.Request, Version: g.syncer.version()})
		case dispatcher.RequestTokens:
			g.requestTokens(ef)
		case dispatcher.RecordStream:
			g.send(g.stewardsAt(ef.Addresses), messenger.Message{Origin: &ef.Origin, Version: g.syncer.version()})
		case dispatcher.FindStream:
			g.send(g.stewardsAt(ef.Addresses), messenger.Message{Stream: ef.Stream, Service: ef.Service, Version: g.syncer.version()})
		case dispatcher.SaveStream:
			g.saveOrigin(ef.Origin)
		case dispatcher.ReadStreams:
			wake(g.origins.wanted)
		case dispatcher.ReportCrash:
			g.send(g.stewardsAt(ef.Addresses), messenger.Message{Crash: &ef.Crash, Version: g.syncer.version()})
		case dispatcher.ProbeUpstream:
			go g.probe(ef)
		case dispatcher.Log:
			g.logRequest(ef)
		}
	}
}
