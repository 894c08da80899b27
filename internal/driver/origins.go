package driver

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/messenger"
	"github.com/egretwall/egretwall/internal/tracker"
	"github.com/egretwall/egretwall/internal/watcher"
)

// Timing and limits of what stewards keep of streams in the store.
const (
	originSavePeriod  = time.Second            // between writes; streams that began since are lost with all stewards
	originLoadPeriod  = 150 * time.Millisecond // between reads, each of which answers all questions before it
	originWriteDelay  = 100 * time.Millisecond // between writes while more wait; all stewards write at once when the store is restored
	originsPerWrite   = 2000
	originWatchTime   = 20 * time.Second // after a write, for which a restore of the store is looked for; streams hardly last longer
	maxPendingOrigins = 20_000           // that wait to be written
)

// OriginStore keeps the origins of streams in the platform's store, so that they outlive
// all stewards.
type OriginStore interface {
	// AppendOrigins writes origins.
	AppendOrigins(ctx context.Context, origins []tracker.Origin) error
	// ReadOrigins returns the origins that were written after a position and that the store
	// still has, and the position after them. A position of an earlier era stands for the first
	// record. The error is watcher.ErrExpired if the store has no such position.
	ReadOrigins(ctx context.Context, after watcher.Position) ([]tracker.Origin, watcher.Position, error)
}

// originKeeper is a steward's knowledge of the streams that gateways have told it about.
// While the service has several releases it writes it to the store, and reads there what
// other stewards have written when it is asked for a stream that it does not know. Its fields
// but store, logger and position are guarded by the steward's syncer.mu.
type originKeeper struct {
	*tracker.Keeper
	store   OriginStore
	logger  zerolog.Logger
	saving  bool             // the service has several releases
	pending []tracker.Origin // to be written
	savedAt time.Duration    // when origins were last written
	load    chan struct{}    // asks for the store to be read

	position watcher.Position // in the store, after the origins that have been read
}

func newOriginKeeper(store OriginStore, logger zerolog.Logger) *originKeeper {
	return &originKeeper{Keeper: tracker.NewKeeper(), store: store, logger: logger, load: make(chan struct{}, 1)}
}

// record stores an origin that a gateway told.
func (k *originKeeper) record(now time.Duration, o tracker.Origin) {
	if _, known := k.Streams.Release(o.Stream); known {
		return
	}
	k.Streams.Record(now, o)
	if k.saving {
		k.setPending(append(k.pending, o))
	}
}

// setPending sets the origins to be written, of which the last ones are kept.
func (k *originKeeper) setPending(origins []tracker.Origin) {
	k.pending = origins[max(0, len(origins)-maxPendingOrigins):]
}

// takePending returns origins to write now, of which the last ones come first. When the
// service gets a second release, all that are known are to be written.
func (k *originKeeper) takePending(now time.Duration) []tracker.Origin {
	several := len(k.Releases.Recent(now)) > 1
	if several && !k.saving {
		k.setPending(k.Streams.Origins())
	}
	k.saving = several
	n := max(0, len(k.pending)-originsPerWrite)
	taken := slices.Clone(k.pending[n:])
	k.pending = k.pending[:n]
	return taken
}

// giveBack keeps origins whose write failed for the next one.
func (k *originKeeper) giveBack(origins []tracker.Origin) {
	k.setPending(append(origins, k.pending...))
}

// restored makes all origins that are known be written again, since the copy that the store
// was restored from may lack those of its last seconds.
func (k *originKeeper) restored() {
	if k.saving {
		k.setPending(k.Streams.Origins())
	}
}

// keepOrigins writes origins, and once more when the store is restored, until ctx ends.
func (s *Steward) keepOrigins(ctx context.Context) {
	ticker := time.NewTicker(originSavePeriod)
	defer ticker.Stop()
	_, restored := s.cfg.Store.Era()
	for {
		select {
		case <-ctx.Done():
			return
		case <-restored:
			_, restored = s.cfg.Store.Era()
			s.syncer.mu.Lock()
			s.origins.restored()
			s.syncer.mu.Unlock()
		case <-ticker.C:
		}
		for s.saveOrigins(ctx) {
			pause(ctx, originWriteDelay)
		}
	}
}

// readOrigins reads origins when that is asked for, until ctx ends.
func (s *Steward) readOrigins(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.origins.load:
			s.loadOrigins(ctx)
			pause(ctx, originLoadPeriod)
		}
	}
}

// saveOrigins writes origins once and reports whether to go on, since more wait.
func (s *Steward) saveOrigins(ctx context.Context) bool {
	s.syncer.mu.Lock()
	taken := s.origins.takePending(s.syncer.now())
	more := len(s.origins.pending) > 0
	s.syncer.mu.Unlock()
	if len(taken) == 0 {
		s.watchStore()
		return false
	}
	if err := s.origins.store.AppendOrigins(ctx, taken); err != nil {
		s.origins.logger.Warn().Int("streams", len(taken)).Err(err).Msg("origins of streams not written")
		s.syncer.mu.Lock()
		s.origins.giveBack(taken)
		s.syncer.mu.Unlock()
		return false
	}
	s.syncer.mu.Lock()
	s.origins.savedAt = s.syncer.now()
	s.syncer.mu.Unlock()
	return more
}

// watchStore makes the store be read while it must hold what this steward has written: any
// answer tells whether it has been restored, and other calls to it may be seconds apart.
func (s *Steward) watchStore() {
	s.syncer.mu.Lock()
	defer s.syncer.mu.Unlock()
	if k := s.origins; k.saving && k.savedAt > 0 && s.syncer.now()-k.savedAt < originWatchTime {
		wake(k.load)
	}
}

func (s *Steward) loadOrigins(ctx context.Context) {
	at := s.syncer.now()
	origins, position, err := s.origins.store.ReadOrigins(ctx, s.origins.position)
	if errors.Is(err, watcher.ErrExpired) {
		s.origins.position = watcher.Position{}
	}
	if err != nil {
		s.origins.logger.Warn().Err(err).Msg("origins of streams not read")
		return
	}
	s.origins.position = position
	s.origins.logger.Info().Int("streams", len(origins)).Int64("offset", position.Offset).Msg("origins of streams read")
	s.syncer.mu.Lock()
	defer s.syncer.mu.Unlock()
	s.origins.Load(s.syncer.now(), at, origins)
}

// tellOrigin tells a gateway which release began a stream, or that this is not known. If the
// list or the store must be read for that, the gateway asks again. The caller holds
// syncer.mu.
func (s *Steward) tellOrigin(to netip.AddrPort, id tracker.StreamID) {
	answer := s.origins.Ask(s.syncer.now(), id)
	if answer.ReadList {
		wake(s.syncer.listNow)
	}
	if answer.ReadStored {
		wake(s.origins.load)
	}
	if answer.Origin == nil && answer.Absence == nil {
		return
	}
	data, err := messenger.Encode(messenger.Message{Sender: s.cfg.Name, Version: s.syncer.version(), Origin: answer.Origin, Absence: answer.Absence})
	if err != nil {
		s.cfg.Log.Logger.Error().Err(err).Msg("cannot encode origin of a stream")
		return
	}
	s.messenger.Send(to, data)
}
