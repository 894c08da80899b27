package driver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/messenger"
)

// Timing of verdicts.
const (
	suspectPeriod      = 100 * time.Millisecond // between questions to gateways about suspects
	verdictsPeriod     = time.Second            // between messages with unchanged verdicts
	verdictRetryPeriod = 500 * time.Millisecond // after a call to the store that failed
	verdictsGrace      = 2 * time.Second        // from the start until a gateway is ready though it could not read them
	verdictFillDelay   = time.Second            // at least, after a restore of the store, until verdicts of others are written; up to twice as long
)

// VerdictStore keeps verdicts in the platform's store, so that they outlive all processes.
type VerdictStore interface {
	// AppendVerdict writes a verdict.
	AppendVerdict(ctx context.Context, verdict isolator.Verdict) error
	// ReadVerdicts returns all verdicts with their ages.
	ReadVerdicts(ctx context.Context) ([]isolator.Verdict, error)
}

// readVerdicts reads the verdicts in the store, and tries until that succeeds or ctx ends.
func readVerdicts(ctx context.Context, store VerdictStore, logger zerolog.Logger) []isolator.Verdict {
	for ctx.Err() == nil {
		verdicts, err := store.ReadVerdicts(ctx)
		if err == nil {
			return verdicts
		}
		logger.Warn().Err(err).Msg("verdicts not read")
		pause(ctx, verdictRetryPeriod)
	}
	return nil
}

// verdictKeeper is a steward's part in finding the requests that crash upstreams.
// Its fields but store and the channels are guarded by the steward's syncer.mu.
type verdictKeeper struct {
	store    VerdictStore
	verdicts *isolator.Verdicts
	analyst  *isolator.Analyst
	changed  bool             // verdicts, since they were last sent
	sentAt   time.Duration    // when they were
	own      []isolator.Trait // verdicts of this steward
	unsaved  []isolator.Trait // verdicts to write to the store
	crashed  chan struct{}    // wakes judge
	save     chan struct{}    // wakes keepVerdicts
}

func newVerdictKeeper(store VerdictStore) *verdictKeeper {
	verdicts := isolator.NewVerdicts()
	return &verdictKeeper{store: store, verdicts: verdicts, analyst: isolator.NewAnalyst(verdicts), crashed: make(chan struct{}, 1), save: make(chan struct{}, 1)}
}

// toSend returns the verdicts to send with a report, which are none unless they have
// changed or verdictsPeriod has passed.
func (k *verdictKeeper) toSend(now time.Duration) []isolator.Verdict {
	if !k.changed && now < k.sentAt+verdictsPeriod {
		return nil
	}
	k.changed, k.sentAt = false, now
	return k.verdicts.All(now)
}

// learnVerdicts records verdicts and logs new ones. The caller holds syncer.mu.
func (s *Steward) learnVerdicts(verdicts []isolator.Verdict, source string) {
	for _, t := range s.verdicts.verdicts.Learn(s.syncer.now(), verdicts) {
		s.verdicts.changed = true
		s.cfg.Log.Logger.Info().Str("trait", string(t)).Str("source", source).Msg(t.IsolationEvent())
	}
}

// recordCrash records what a gateway saw of a crash. The caller holds syncer.mu.
func (s *Steward) recordCrash(c isolator.Crash) {
	s.verdicts.analyst.Record(s.syncer.now(), c)
	wake(s.verdicts.crashed)
}

// wake makes the receiver of c run once more.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// judge asks gateways about suspects and reaches verdicts whenever crashes are reported,
// until ctx ends.
func (s *Steward) judge(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.verdicts.crashed:
		}
		for ctx.Err() == nil && s.judgeOnce() {
			pause(ctx, suspectPeriod)
		}
	}
}

// judgeOnce asks gateways about suspects, spreads the verdicts that are due, and reports
// whether to go on.
func (s *Steward) judgeOnce() bool {
	s.syncer.mu.Lock()
	defer s.syncer.mu.Unlock()
	now := s.syncer.now()
	suspects := s.verdicts.analyst.Suspects(now)
	decided := s.verdicts.analyst.Decide(now)
	for _, v := range decided {
		if v.Lasting() {
			s.verdicts.own = append(s.verdicts.own, v.Trait)
			s.verdicts.unsaved = append(s.verdicts.unsaved, v.Trait)
			wake(s.verdicts.save)
		}
		s.cfg.Log.Logger.Warn().Str("trait", string(v.Trait)).Str("source", "crashes").Bool("lasting", v.Lasting()).Msg(v.Trait.IsolationEvent())
	}
	if len(suspects) > 0 || len(decided) > 0 {
		s.tellGateways(messenger.Message{Suspects: suspects, Verdicts: s.verdicts.verdicts.All(now)}, len(decided) > 0)
	}
	return s.verdicts.analyst.Busy(now)
}

// tellGateways sends a message to the gateways seen within gatewayTTL, and to the other
// stewards if peers is true. The caller holds syncer.mu.
func (s *Steward) tellGateways(m messenger.Message, peers bool) {
	m.Sender, m.Version = s.cfg.Name, s.syncer.version()
	datagrams, err := messenger.Encode(m)
	if err != nil {
		s.cfg.Log.Logger.Error().Err(err).Msg("cannot encode verdicts")
		return
	}
	for gateway, seenAt := range s.gatewaySeenAt {
		if s.syncer.now()-seenAt <= gatewayTTL {
			s.messenger.Send(gateway, datagrams...)
		}
	}
	if !peers {
		return
	}
	for _, p := range s.peerStewards {
		s.messenger.Send(p, datagrams...)
	}
}

// keepVerdicts reads the verdicts in the store and then writes those of this steward to it,
// until ctx ends. When the store is restored from a backup, it writes them once more, and those
// of others that the store lacks, since the stewards that reached them may be gone.
func (s *Steward) keepVerdicts(ctx context.Context) {
	stored := readVerdicts(ctx, s.verdicts.store, s.cfg.Log.Logger)
	s.syncer.mu.Lock()
	s.learnVerdicts(stored, "store")
	s.syncer.mu.Unlock()
	_, restored := s.cfg.Store.Era()
	var fill <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-restored:
			_, restored = s.cfg.Store.Era()
			s.syncer.mu.Lock()
			s.verdicts.unsaved = slices.Clone(s.verdicts.own)
			s.syncer.mu.Unlock()
			fill = time.After(verdictFillDelay + rand.N(verdictFillDelay)) // few stewards write what all know
		case <-fill:
			s.fillVerdicts(readVerdicts(ctx, s.verdicts.store, s.cfg.Log.Logger))
		case <-s.verdicts.save:
		}
		s.saveVerdicts(ctx)
	}
}

// fillVerdicts makes the lasting verdicts be written that a restored store lacks.
func (s *Steward) fillVerdicts(stored []isolator.Verdict) {
	s.syncer.mu.Lock()
	defer s.syncer.mu.Unlock()
	s.learnVerdicts(stored, "store")
	for _, v := range s.verdicts.verdicts.Lasting(s.syncer.now()) {
		inStore := slices.ContainsFunc(stored, func(other isolator.Verdict) bool { return other.Trait == v.Trait })
		if !inStore && !slices.Contains(s.verdicts.unsaved, v.Trait) {
			s.verdicts.unsaved = append(s.verdicts.unsaved, v.Trait)
		}
	}
}

// saveVerdicts writes the verdicts that are not in the store, and tries until that succeeds
// or ctx ends.
func (s *Steward) saveVerdicts(ctx context.Context) {
	for ctx.Err() == nil {
		s.syncer.mu.Lock()
		unsaved := s.verdicts.unsaved
		if len(unsaved) == 0 {
			s.syncer.mu.Unlock()
			return
		}
		verdict := isolator.Verdict{Trait: unsaved[0], Age: s.verdicts.verdicts.Age(s.syncer.now(), unsaved[0])}
		s.syncer.mu.Unlock()
		if err := s.verdicts.store.AppendVerdict(ctx, verdict); err != nil {
			s.cfg.Log.Logger.Warn().Str("trait", string(verdict.Trait)).Err(err).Msg("verdict not written")
			pause(ctx, verdictRetryPeriod)
			continue
		}
		s.syncer.mu.Lock()
		s.verdicts.unsaved = slices.DeleteFunc(s.verdicts.unsaved, func(t isolator.Trait) bool { return t == verdict.Trait })
		s.syncer.mu.Unlock()
	}
}

// loadVerdicts reads the verdicts in the store, after which the gateway may be ready.
func (g *Gateway) loadVerdicts(ctx context.Context) {
	verdicts := readVerdicts(ctx, g.cfg.Verdicts, g.cfg.Log.Logger)
	g.syncer.mu.Lock()
	defer g.syncer.mu.Unlock()
	g.verdictsRead = true
	g.learnVerdicts(verdicts)
}

// learnVerdicts passes verdicts to the dispatcher. The caller holds syncer.mu.
func (g *Gateway) learnVerdicts(verdicts []isolator.Verdict) {
	if len(verdicts) > 0 {
		g.apply(dispatcher.VerdictsReported{Verdicts: verdicts})
	}
}

// probe connects to an upstream that may have crashed and tells the dispatcher the result,
// unless that says nothing of the upstream.
func (g *Gateway) probe(p dispatcher.ProbeUpstream) {
	err := g.relayer.Pool().Warm(context.Background(), p.Address)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if err != nil && !refused {
		g.cfg.Log.Logger.Debug().Str("upstream", string(p.Upstream)).Err(err).Msg("upstream not probed")
		return
	}
	g.Reduce(dispatcher.UpstreamProbed{Upstream: p.Upstream, Incarnation: p.Incarnation, Refused: refused})
}

// answerSuspects tells a steward which of the traits that it suspects have been answered.
func (g *Gateway) answerSuspects(to netip.AddrPort, suspects []isolator.Trait) {
	g.syncer.mu.Lock()
	answered := g.dispatcher.Answered(g.syncer.now(), suspects)
	version := g.syncer.version()
	g.syncer.mu.Unlock()
	if len(answered) > 0 {
		g.send([]netip.AddrPort{to}, messenger.Message{Answered: answered, Version: version})
	}
}
