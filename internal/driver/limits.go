package driver

import (
	"net/netip"
	"time"

	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/messenger"
	"github.com/egretwall/egretwall/internal/reconciler"
)

// Timing of what stewards tell of limits.
const (
	limitTTL     = 30 * time.Second // of a limit that no gateway has repeated; gateways repeat it with each answer
	limitsPeriod = time.Second      // between messages with unchanged limits
)

// recordRunnerLimit records the limit that the runner named with its state.
func (s *Steward) recordRunnerLimit(state reconciler.State) {
	s.syncer.mu.Lock()
	defer s.syncer.mu.Unlock()
	if state.RequestLimit > 0 && s.runner != "" && s.incarnation == state.Incarnation {
		s.learnLimits([]limiter.Limit{{Upstream: s.runner, Incarnation: s.incarnation, Rate: state.RequestLimit}})
	}
}

// learnLimits records limits and logs those that change. The caller holds syncer.mu.
func (s *Steward) learnLimits(limits []limiter.Limit) {
	for _, l := range limits {
		if s.limits.Learn(s.syncer.now(), l) {
			s.limitsChanged = true
			s.cfg.Log.Logger.Info().Str("upstream", string(l.Upstream)).Float64("limit", l.Rate).Bool("leaving", l.Leaving).Int64("age", l.Age.Milliseconds()).Msg("limit learned")
		}
	}
}

// issuePermits answers a gateway's request for permits. The caller holds syncer.mu.
func (s *Steward) issuePermits(to netip.AddrPort, request limiter.Request) {
	s.learnLimits([]limiter.Limit{request.Limit})
	permits := s.issuer.Issue(s.syncer.now(), request)
	if permits.Count == 0 {
		return
	}
	datagrams, err := messenger.Encode(messenger.Message{Sender: s.cfg.Name, Permits: &permits, Version: s.syncer.version()})
	if err != nil {
		s.cfg.Log.Logger.Error().Err(err).Msg("cannot encode permits")
		return
	}
	s.messenger.Send(to, datagrams...)
}

// limitsToSend returns the limits to send with a report, which are none unless they have
// changed or limitsPeriod has passed. The caller holds syncer.mu.
func (s *Steward) limitsToSend() []limiter.Limit {
	now := s.syncer.now()
	if !s.limitsChanged && now < s.limitsSentAt+limitsPeriod {
		return nil
	}
	s.limitsChanged, s.limitsSentAt = false, now
	return s.limits.Recent(now, limitTTL)
}
