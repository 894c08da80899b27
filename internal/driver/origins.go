package driver

import (
	"context"
	"errors"
	"net/netip"
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
	maxPendingOrigins = 20_000                 // that wait to be written
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
	if k.saving && len(k.pending) < maxPendingOrigins {
		k.pending = append(k.pending, o)
	}
}

// takePending returns the origins to write now. When the service gets a second release,
// these are all that are known.
func (k *originKeeper) takePending(now time.Duration) []tracker.Origin {
	several := len(k.Releases.Recent(now)) > 1
	if several && !k.saving {
		k.pending = k.Streams.Origins()
	}
	k.saving = several
	pending := k.pending
	k.pending = nil
	return pending
}

// giveBack keeps origins whose write failed for the next one.
func (k *originKeeper) giveBack(origins []tracker.Origin) {
	if len(k.pending)+len(origins) <= maxPendingOrigins {
		k.pending = append(origins, k.pending...)
	}
}

// keepOrigins writes origins until ctx ends.
func (s *Steward) keepOrigins(ctx context.Context) {
	ticker := time.NewTicker(originSavePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.saveOrigins(ctx)
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

func (s *Steward) saveOrigins(ctx context.Context) {
	s.syncer.mu.Lock()
	pending := s.origins.takePending(s.syncer.now())
	s.syncer.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	if err := s.origins.store.AppendOrigins(ctx, pending); err != nil {
		s.origins.logger.Warn().Int("streams", len(pending)).Err(err).Msg("origins of streams not written")
		s.syncer.mu.Lock()
		s.origins.giveBack(pending)
		s.syncer.mu.Unlock()
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
