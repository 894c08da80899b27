package driver

import (
	"net/netip"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/messenger"
)

// requestTokens sends a request for tokens to the steward that issues them. The caller
// holds syncer.mu.
func (g *Gateway) requestTokens(r dispatcher.RequestTokens) {
	g.send(stewardAddress(r.Address, g.peerPort), messenger.Message{TokenRequest: &r.Request, Version: g.syncer.version()})
}

// leave tells stewards that this gateway has no part of quotas and limits any more.
func (g *Gateway) leave() {
	g.syncer.mu.Lock()
	to, version := g.stewardAddresses, g.syncer.version()
	g.syncer.mu.Unlock()
	g.send(to, messenger.Message{Leaving: true, Version: version})
}

// issueTokens notes a message of a gateway and answers its request for tokens, if it is
// one. The caller holds syncer.mu.
func (s *Steward) issueTokens(gateway netip.AddrPort, m messenger.Message) {
	now := s.syncer.now()
	if m.Leaving {
		s.quotas.Leave(now, gateway)
		return
	}
	s.quotas.Hear(now, gateway)
	if m.TokenRequest == nil {
		return
	}
	answer, ok := s.quotas.Answer(now, gateway, *m.TokenRequest)
	if !ok {
		return
	}
	datagrams, err := messenger.Encode(messenger.Message{Sender: s.cfg.Name, TokenAnswer: &answer, Version: s.syncer.version()})
	if err != nil {
		s.cfg.Log.Logger.Error().Err(err).Msg("cannot encode tokens")
		return
	}
	s.messenger.Send(gateway, datagrams...)
}

// addQuota adds what a gateway knew when it refused a request beyond a quota.
func addQuota(ev *zerolog.Event, entry dispatcher.Log) *zerolog.Event {
	return ev.Str("workspace", string(entry.Workspace)).Float64("cost", entry.Cost).Float64("balance", entry.Balance).
		Int64("balance_age", entry.BalanceAge.Milliseconds()).Int64("retry_after", entry.RetryAfter.Milliseconds()).
		Int("refusals", entry.Refusals).Bool("own_part", entry.OwnPart)
}
