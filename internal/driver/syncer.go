package driver

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/exchanger"
	"github.com/egretwall/egretwall/internal/puller"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/watcher"
)

// Timing of the synchronization with the store.
const (
	listPollTimeout = 500 * time.Millisecond  // long-poll timeout of reads of the upstream list, which heartbeats mostly end sooner
	outageGrace     = 2300 * time.Millisecond // after an outage of the store; instances whose entries expired in it have registered again by then
	peerFetchDelay  = 300 * time.Millisecond  // time for the store to deliver a newer configuration, or a part of it for a peer, before it is fetched from the next peer
	unusableDelay   = 5 * time.Second         // after a peer's configuration that can't be decoded, until the next fetch
	maxFetches      = 3                       // fetches under way; more than one only while nothing comes of those before
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
	// fetch fetches the record of a peer's configuration.
	fetch  func(context.Context, exchanger.Request) (exchanger.Record, error)
	logger zerolog.Logger
	start  time.Time
	timing pollTiming
	// The following run with mu held.
	onConfiguration func(*registrar.Configuration)
	onList          func()
	onListConfirmed func(at time.Duration) // the list is known as of that time; nil if nobody asks

	listNow chan struct{} // asks for a read of the list without delay

	confirmations confirmations
	currentRecord exchanger.Record // of the configuration in force, zero before the first
	announcements announcements
	nextFetchAt   time.Duration // before it, no further fetch from a peer begins
	fetches       map[netip.AddrPort]fetch
	fetchedFrom   netip.AddrPort // the last peer; another one is asked next
}

// fetch is a fetch under way of the version that a peer has announced.
type fetch struct {
	version registrar.Version
	cancel  context.CancelFunc
}

// fetchWith is exchanger.Fetch with an account.
func fetchWith(a puller.Account) func(context.Context, exchanger.Request) (exchanger.Record, error) {
	return func(ctx context.Context, r exchanger.Request) (exchanger.Record, error) {
		return exchanger.Fetch(puller.WithAccount(ctx, a), r)
	}
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
		confirmations: newConfirmations(timing.maxConfirmationAge), announcements: newAnnouncements(), fetches: map[netip.AddrPort]fetch{}, listNow: make(chan struct{}, 1),
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
			OnReplace: install, OnChange: install, OnReachable: func(bool) {},
			OnRestored: func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.announcements.restored()
			},
			OnCall: func() { askedAt = s.confirmations.clock() },
			OnCurrent: func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.confirmations.confirm(askedAt)
				s.announcements.read()
			},
			OnPending: func(end int64) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.announcements.pending(s.now(), end)
			},
		})
		w.Run(ctx)
	})
	g.Go(func() {
		var askedAt, listedAt time.Duration // listedAt is askedAt of the last call that was answered
		watcher.New(watcher.Config{
			Store: s.store, Topic: s.store.UpstreamTopic(), PollTimeout: listPollTimeout, PollDelay: s.timing.listDelay, Warmup: s.timing.listWarmup, Logger: s.logger,
			PollNow: s.listNow, OnCall: func() { askedAt = s.now() },
			OnCurrent: func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				listedAt = askedAt
				if s.onListConfirmed != nil {
					s.onListConfirmed(askedAt)
				}
			},
			OnReplace: func(r []watcher.Record) {
				s.replaceList(r)
				listedAt = askedAt
			},
			OnChange: func(r []watcher.Record) {
				s.changeList(r, listedAt)
				listedAt = askedAt
			},
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
		if s.inForce(r, source) {
			continue
		}
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
			s.currentRecord = exchanger.Record{Key: r.Key, Value: r.Value, Version: c.Version}
			s.announcements.installed(c.Version, source)
			for _, f := range s.fetches {
				if f.version <= c.Version {
					f.cancel()
				}
			}
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

// inForce reports whether a record is that of the configuration in force, which another source
// has brought. Decoding thousands of routes takes long on a fraction of a core.
func (s *syncer) inForce(r watcher.Record, source configurationSource) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Value == nil || r.Key != s.currentRecord.Key || !bytes.Equal(r.Value, s.currentRecord.Value) {
		return false
	}
	if source == fromStore {
		s.confirmations.unusable = false
	}
	return true
}

// version returns the version of the configuration in force, zero before the first. The
// caller holds mu.
func (s *syncer) version() registrar.Version {
	if c := s.registrar.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// behind reports whether a newer version than the one in force may exist: a peer has
// announced one, or the store is sending one. The caller holds mu.
func (s *syncer) behind() bool {
	return s.announcements.exists(s.now(), s.version()) || s.lag() > 0
}

// lag returns how long it has been known that a newer version than the one in force exists,
// zero if none is known to or it can't be decoded here. The caller holds mu.
func (s *syncer) lag() time.Duration {
	if s.confirmations.unusable {
		return 0
	}
	return s.announcements.lag(s.now(), s.version())
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
// configuration is fetched from that peer, and from the next one that announces it when
// nothing comes of the fetch for so long. The caller holds mu.
func (s *syncer) handlePeerVersion(from netip.AddrPort, v registrar.Version) {
	now, inForce := s.now(), s.version()
	if s.announcements.announce(now, from, v, inForce) {
		s.logger.Info().Str("peer", from.String()).Int64("version", int64(inForce)).Int64("announced", int64(v)).Msg("peer has a newer configuration")
	}
	if v <= inForce {
		return
	}
	s.nextFetchAt = max(s.nextFetchAt, s.announcements.heardAt(now)+peerFetchDelay)
	if _, fetching := s.fetches[from]; fetching || len(s.fetches) >= maxFetches || now < s.nextFetchAt {
		return
	}
	if from == s.fetchedFrom && now < s.nextFetchAt+peerFetchDelay {
		return // it did not bring the version that it announced
	}
	s.nextFetchAt, s.fetchedFrom = now+peerFetchDelay, from
	ctx, cancel := context.WithCancel(context.Background())
	s.fetches[from] = fetch{v, cancel}
	go s.fetchFrom(ctx, from, v, inForce)
}

// fetchFrom fetches a newer configuration than inForce from the address of a peer's
// datagrams, where it also serves its configuration, and installs it. The peer has announced
// version v.
func (s *syncer) fetchFrom(ctx context.Context, from netip.AddrPort, v, inForce registrar.Version) {
	startedAt := s.now()
	r, err := s.fetch(ctx, exchanger.Request{Address: from.String(), After: inForce, Progress: func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextFetchAt = max(s.nextFetchAt, s.now()+peerFetchDelay)
	}})
	s.mu.Lock()
	took, lag, decoded := (s.now() - startedAt).Milliseconds(), s.lag(), true
	s.mu.Unlock()
	switch {
	case ctx.Err() != nil: // the version came from elsewhere
	case err != nil:
		s.logger.Warn().Str("peer", from.String()).Int64("version", int64(v)).Int64("took", took).Err(err).Msg("configuration not fetched")
	default:
		s.logger.Info().Str("peer", from.String()).Int64("version", int64(v)).Int64("took", took).Int("bytes", len(r.Value)).Msg("configuration fetched")
		decoded = s.installConfigurations([]watcher.Record{{Key: r.Key, Value: r.Value}}, fromPeer, lag)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetches[from].cancel()
	delete(s.fetches, from)
	if !decoded {
		s.announcements.unusable = max(s.announcements.unusable, v)
		s.nextFetchAt = s.now() + unusableDelay
	}
	if (err == nil || errors.Is(err, exchanger.ErrNotNewer)) && s.version() < v {
		s.announcements.refute(from, v)
	}
}

// replaceList replaces the upstream list by the latest record of each instance.
func (s *syncer) replaceList(records []watcher.Record) {
	changes := s.decodeList(records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrar.Replace(s.now(), changes)
	s.onList()
}

// changeList applies records of the upstream list that were written later than since.
func (s *syncer) changeList(records []watcher.Record, since time.Duration) {
	changes := s.decodeList(records)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrar.ApplySince(s.now(), since, changes)
	s.onList()
}

// decodeList decodes records of the upstream list, without those that can't be decoded.
func (s *syncer) decodeList(records []watcher.Record) []registrar.Change {
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
	return changes
}

// expire removes the upstreams that have not registered again within outageGrace of an
// outage. The caller holds mu.
func (s *syncer) expire() {
	if s.registrar.Expire(s.now()) {
		s.onList()
	}
}
