package driver

import (
	"net/netip"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/messenger"
)

// stewardsAt returns the addresses of the stewards beside runners.
func (g *Gateway) stewardsAt(runners []string) []netip.AddrPort {
	var stewards []netip.AddrPort
	for _, address := range runners {
		stewards = append(stewards, stewardAddress(address, g.peerPort)...)
	}
	return stewards
}

// send sends a message to each address.
func (g *Gateway) send(to []netip.AddrPort, m messenger.Message) {
	m.Sender = g.cfg.Name
	datagrams, err := messenger.Encode(m)
	if err != nil {
		g.cfg.Log.Logger.Error().Err(err).Msg("cannot encode message")
		return
	}
	for _, address := range to {
		g.messenger.Send(address, datagrams...)
	}
}

// handleMessage handles a steward's message.
func (g *Gateway) handleMessage(from netip.AddrPort, m messenger.Message) {
	g.syncer.mu.Lock()
	g.syncer.handlePeerVersion(from, m.Version)
	g.syncer.mu.Unlock()
	if len(m.Limits) > 0 {
		g.Reduce(dispatcher.LimitsReported{Limits: m.Limits})
	}
	if m.Report != nil {
		g.Reduce(dispatcher.Reported{Report: *m.Report})
	}
	if len(m.Verdicts) > 0 {
		g.Reduce(dispatcher.VerdictsReported{Verdicts: m.Verdicts})
	}
	if len(m.Suspects) > 0 {
		g.answerSuspects(from, m.Suspects)
	}
	if m.Origin != nil {
		g.Reduce(dispatcher.StreamFound{Origin: *m.Origin})
	}
	if m.Absence != nil {
		g.Reduce(dispatcher.StreamUnknown{Absence: *m.Absence})
	}
	if m.Permits != nil {
		g.Reduce(dispatcher.PermitsIssued{Permits: *m.Permits})
	}
	if m.TokenAnswer != nil {
		g.Reduce(dispatcher.QuotaAnswered{Answer: *m.TokenAnswer})
	}
}
