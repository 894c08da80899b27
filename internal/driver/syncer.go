package driver

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/exchanger"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/watcher"
)

// Timing of the synchronization with the store.
const (
	listPollTimeout = 500 * time.Millisecond  // long-poll timeout of reads of the upstream list, which heartbeats mostly end sooner
	outageGrace     = 2300 * time.Millisecond // after an outage of the store; instances whose entries expired in it have registered again by then
	peerFetchDelay  = 300 * time.Millisecond  // time for the store, or a peer, to deliver a newer configuration before it is fetched from the next peer
	unusableDelay   = 5 * time.Second         // after a peer's configuration that can't be decoded, until the next fetch
	maxFetches      = 3                       // fetches under way; more than one only while peers don't answer
)

// Store is the client of the platform's store, which gateways and stewards use. It knows
// the topics that hold the configuration and the upstreams, and their record formats.
type Store interface {
	watcher.Store
	// ConfigurationTopic returns the topic that holds the configuration.
	ConfigurationTopic() string
	// UpstreamTopic returns the topic in which upstreams register.
	UpstreamTopic() string
	// DecodeConfiguration decodes a record of the ConfigurationTopic. It returns nil for a
	// record that is not a configuration.
	DecodeConfiguration(r watcher.Record) (*registrar.Configuration, error)
	// DecodeUpstream decodes a record of the UpstreamTopic that has a value.
	DecodeUpstream(r watcher.Record) (*registrar.Upstream, error)
}

// syncer keeps the configuration and the upstreams of a registrar up to date from the
// store. The registrar and the fields after onList are guarded by mu.
type syncer struct {
	mu        sync.Mutex
	registrar *registrar.Registrar
	store     Store
	// fetch fetches the record of a peer's configuration from its address.
	fetch  func(ctx context.Context, address string) (exchanger.Record, error)
	logger zerolog.Logger
	start  time.Time
	timing pollTiming
	// onConfiguration and onList run with mu held.
	onConfiguration func(*registrar.Configuration)
	onList          func()

	confirmations confirmations
	currentRecord exchanger.Record        // of the configuration in force, zero before the first
	announced     registrar.Version       // newest one that a peer has announced
	behindSince   time.Duration           // when a peer first announced a newer version, zero when none has
	nextFetchAt   time.Duration           // before it, no further fetch from a peer begins
	fetches       map[netip.AddrPort]bool // peers from which a fetch is under way
	fetchedFrom   netip.AddrPort          // the last one; another peer is asked next
}

// pollTiming configures how often the store is polled.
type pollTiming struct {
	configurationTimeout time.Duration // long-poll timeout of reads of the configuration; a dead connection is noticed soon after it
	listWarmup           time.Duration // time from the start in which that pause is short
	maxConfirmationAge   time.Duration // for which keys count as current after the store has confirmed them, zero for ever
	listDelay            time.Duration // pause between reads of the upstream list, which would otherwise return at each of the frequent heartbeats
}

func newSyncer(store Store, logger zerolog.Logger, timing pollTiming) *syncer {
	return &syncer{
		registrar: registrar.New(registrar.Config{OutageGrace: outageGrace}), store: store, fetch: exchanger.Fetch, logger: logger, start: time.Now(), timing: timing,
		confirmations: newConfirmations(timing.maxConfirmationAge), fetches: map[netip.AddrPort]bool{},
	}
}

func (s *syncer) now() time.Duration {
	return time.Since(s.start)
}

// run follows both topics of the store until ctx ends.
func (s *syncer) run(ctx context.Context) {
	var g sync.WaitGroup
	g.Go(func() {
		var w *watcher.Watcher
		var askedAt time.Duration
		install := func(records []watcher.Record) { s.installConfigurations(records, fromStore, w.Idle()) }
		w = watcher.New(watcher.Config{
			Store: s.store, Topic: s.store.ConfigurationTopic(), PollTimeout: s.timing.configurationTimeout, Logger: s.logger,
			// The configuration in force stays after a restore: only a higher version replaces it.
			OnReplace: install, OnChange: install, OnRestored: func() {}, OnReachable: func(bool) {},
			OnCall: func() { askedAt = s.confirmations.clock() },
			OnCurrent: func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.confirmations.confirm(askedAt)
			},
		})
		w.Run(ctx)
	})
	g.Go(func() {
		watcher.New(watcher.Config{
			Store: s.store, Topic: s.store.UpstreamTopic(), PollTimeout: listPollTimeout, PollDelay: s.timing.listDelay, Warmup: s.timing.listWarmup, Logger: s.logger,
			OnReplace: func(r []watcher.Record) { s.applyList(r, true) },
			OnChange:  func(r []watcher.Record) { s.applyList(r, false) },
			OnRestored: func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.registrar.StoreRestored(s.now())
			},
			OnReachable: func(up bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.registrar.SetStoreReachable(s.now(), up)
			},
		}).Run(ctx)
	})
	g.Wait()
}

// configurationSource names the process that a configuration was read from.
type configurationSource string

// The sources of configurations.
const (
	fromStore configurationSource = "store"
	fromPeer  configurationSource = "peer"
)

// installConfigurations puts the newest of the configurations in force if it is newer
// than the present one, and reports whether all could be decoded. Other records are ignored.
// The source had not answered for idle before.
func (s *syncer) installConfigurations(records []watcher.Record, source configurationSource, idle time.Duration) bool {
	decoded := true
	for _, r := range records {
		c, err := s.store.DecodeConfiguration(r)
		if c == nil && err == nil {
			continue
		}
		s.mu.Lock()
		behind := s.lag()
		if source == fromStore {
			s.confirmations.unusable = err != nil
		}
		if err != nil {
			s.logger.Error().Str("key", r.Key).Str("source", string(source)).Err(err).Int64("version", int64(s.version())).Msg("cannot decode configuration, the one in force stays")
			decoded = false
		} else if s.registrar.Install(c) {
			s.currentRecord, s.behindSince = exchanger.Record{Key: r.Key, Value: r.Value}, 0
			s.logger.Info().Int64("version", int64(c.Version)).Int("routes", len(c.Routes)).Int("workspaces", len(c.Workspaces)).
				Str("source", string(source)).Int64("idle", idle.Milliseconds()).Int("bytes", len(r.Value)).Int64("behind", behind.Milliseconds()).Msg("configuration in force")
			if names := c.WorkspacesWithSharedKeys(); len(names) > 0 {
				s.logger.Warn().Int64("version", int64(c.Version)).Any("workspaces", names).Msg("keys of these workspaces belong to others too")
			}
			s.onConfiguration(c)
		}
		s.mu.Unlock()
	}
	return decoded
}

// version returns the version of the configuration in force, zero before the first. The
// caller holds mu.
func (s *syncer) version() registrar.Version {
	if c := s.registrar.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// behind reports whether a peer has announced a newer version than the one in force. The
// caller holds mu.
func (s *syncer) behind() bool {
	return s.announced > s.version()
}

// lag returns how long ago a peer first announced a newer version than the one in force, zero
// if none has. The caller holds mu.
func (s *syncer) lag() time.Duration {
	if !s.behind() || s.behindSince == 0 {
		return 0
	}
	return s.now() - s.behindSince
}

// models returns the names of the models in the configuration in force, sorted. The
// caller holds mu.
func (s *syncer) models() []registrar.ModelName {
	if c := s.registrar.Configuration(); c != nil {
		return c.Models()
	}
	return nil
}

// current returns the record of the configuration in force for peers that fetch it.
func (s *syncer) current() exchanger.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentRecord
}

// handlePeerVersion handles the configuration version that a peer announced in a
// datagram. If it is newer and the store does not deliver it within peerFetchDelay, the
// configuration is fetched from that peer, and from the next one that announces it if the
// fetch takes longer than that. The caller holds mu.
func (s *syncer) handlePeerVersion(from netip.AddrPort, v registrar.Version) {
	if v > max(s.announced, s.version()) {
		s.logger.Info().Str("peer", from.String()).Int64("version", int64(s.version())).Int64("announced", int64(v)).Msg("peer has a newer configuration")
	}
	s.announced = max(s.announced, v)
	if v <= s.version() || s.fetches[from] || len(s.fetches) >= maxFetches {
		return
	}
	if from == s.fetchedFrom && s.now() < s.nextFetchAt+peerFetchDelay {
		return // it did not bring the version that it announced
	}
	now := s.now()
	if s.behindSince == 0 {
		s.behindSince = now
		s.nextFetchAt = max(s.nextFetchAt, now+peerFetchDelay)
	}
	if now < s.nextFetchAt {
		return
	}
	s.nextFetchAt = now + peerFetchDelay
	s.fetches[from], s.fetchedFrom = true, from
	go s.fetchFrom(from, v, s.behindSince)
}

// fetchFrom fetches a peer's configuration from the address of its datagrams, where it
// also serves its configuration, and installs it. Peers have announced a newer version
// since behindSince.
func (s *syncer) fetchFrom(from netip.AddrPort, v registrar.Version, behindSince time.Duration) {
	startedAt := s.now()
	r, err := s.fetch(context.Background(), from.String())
	took, decoded := (s.now() - startedAt).Milliseconds(), true
	if err != nil {
		s.logger.Warn().Str("peer", from.String()).Int64("version", int64(v)).Int64("took", took).Err(err).Msg("configuration not fetched")
	} else {
		s.logger.Info().Str("peer", from.String()).Int64("version", int64(v)).Int64("took", took).Int("bytes", len(r.Value)).Msg("configuration fetched")
		decoded = s.installConfigurations([]watcher.Record{{Key: r.Key, Value: r.Value}}, fromPeer, s.now()-behindSince)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fetches, from)
	if !decoded {
		s.nextFetchAt = s.now() + unusableDelay
	}
}

// applyList applies records of the upstream list. If all is true, they replace the list;
// otherwise they are changes to it.
func (s *syncer) applyList(records []watcher.Record, all bool) {
	changes := make([]registrar.Change, 0, len(records))
	for _, r := range records {
		change := registrar.Change{ID: registrar.UpstreamID(r.Key)}
		if r.Value != nil {
			u, err := s.store.DecodeUpstream(r)
			if err != nil {
				s.logger.Warn().Str("key", r.Key).Err(err).Msg("list entry is not usable")
				continue
			}
			change.Upstream = u
		}
		changes = append(changes, change)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if all {
		s.registrar.Replace(s.now(), changes)
	} else {
		s.registrar.Apply(s.now(), changes)
	}
	s.onList()
}

// expire removes the upstreams that have not registered again within outageGrace of an
// outage. The caller holds mu.
func (s *syncer) expire() {
	if s.registrar.Expire(s.now()) {
		s.onList()
	}
}
