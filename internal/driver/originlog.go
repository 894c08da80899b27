package driver

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/tracker"
	"github.com/egretwall/egretwall/internal/watcher"
)

// Timing and limits of what is kept of streams in the store.
const (
	originSavePeriod  = time.Second            // between writes; streams that began since are lost with all who know them
	originLoadPeriod  = 150 * time.Millisecond // between reads, each of which answers all questions before it
	originWriteDelay  = 100 * time.Millisecond // between writes while more wait; all processes write at once when the store is restored
	originsPerWrite   = 2000
	originWatchTime   = 20 * time.Second // after a write, for which a restore of the store is looked for; streams hardly last longer
	maxPendingOrigins = 20_000           // that wait to be written
)

// OriginStore keeps the origins of streams in the platform's store, so that they outlive
// all processes that know them.
type OriginStore interface {
	// AppendOrigins writes origins.
	AppendOrigins(ctx context.Context, origins []tracker.Origin) error
	// ReadOrigins returns the origins that were written after a position and that the store
	// still has, and the position after them. A position of an earlier era stands for the first
	// record. The error is watcher.ErrExpired if the store has no such position.
	ReadOrigins(ctx context.Context, after watcher.Position) ([]tracker.Origin, watcher.Position, error)
}

// originLogConfig configures an originLog. The functions run with Mu held.
type originLogConfig struct {
	Store  OriginStore
	Era    func() (watcher.Era, <-chan struct{}) // of the store
	Logger zerolog.Logger
	Mu     *sync.Mutex
	Now    func() time.Duration
	Watch  bool // other calls to the store are seconds apart, so that they show a restore late

	Known func() []tracker.Origin // returns the origins that a restored store must hold
	// Added returns further origins to write, asked for before each write. It may be nil.
	Added func(now time.Duration) []tracker.Origin
	// Loaded receives origins that have been read; with those before, they are all that the
	// store had at a time or later.
	Loaded func(at time.Duration, origins []tracker.Origin)
}

// originLog writes the origins of streams that a process knows to the store, and reads those
// that others have written. The fields pending and savedAt are guarded by Mu.
type originLog struct {
	cfg     originLogConfig
	pending []tracker.Origin // to be written, the last ones first
	savedAt time.Duration    // when origins were last written
	wanted  chan struct{}    // asks for the store to be read

	position watcher.Position // in the store, after the origins that have been read
}

func newOriginLog(cfg originLogConfig) *originLog {
	return &originLog{cfg: cfg, wanted: make(chan struct{}, 1)}
}

// add adds origins to be written. If too many wait, the last ones are kept. The caller holds
// Mu.
func (l *originLog) add(origins ...tracker.Origin) {
	l.setPending(append(l.pending, origins...))
}

func (l *originLog) setPending(origins []tracker.Origin) {
	l.pending = origins[max(0, len(origins)-maxPendingOrigins):]
}

// takePending returns origins to write now. The caller holds Mu.
func (l *originLog) takePending(now time.Duration) []tracker.Origin {
	if l.cfg.Added != nil {
		l.add(l.cfg.Added(now)...)
	}
	n := max(0, len(l.pending)-originsPerWrite)
	taken := slices.Clone(l.pending[n:])
	l.pending = l.pending[:n]
	return taken
}

// giveBack keeps origins whose write failed for the next one. The caller holds Mu.
func (l *originLog) giveBack(origins []tracker.Origin) {
	l.setPending(append(origins, l.pending...))
}

// runWrites writes origins, and once more when the store is restored, since the copy may lack
// those of its last seconds, until ctx ends.
func (l *originLog) runWrites(ctx context.Context) {
	ticker := time.NewTicker(originSavePeriod)
	defer ticker.Stop()
	_, restored := l.cfg.Era()
	for {
		select {
		case <-ctx.Done():
			return
		case <-restored:
			_, restored = l.cfg.Era()
			l.cfg.Mu.Lock()
			l.setPending(l.cfg.Known())
			l.cfg.Mu.Unlock()
		case <-ticker.C:
		}
		for l.save(ctx) {
			pause(ctx, originWriteDelay)
		}
	}
}

// save writes origins once and reports whether to go on, since more wait.
func (l *originLog) save(ctx context.Context) bool {
	l.cfg.Mu.Lock()
	taken := l.takePending(l.cfg.Now())
	more := len(l.pending) > 0
	l.cfg.Mu.Unlock()
	if len(taken) == 0 {
		l.watch()
		return false
	}
	err := l.cfg.Store.AppendOrigins(ctx, taken)
	l.cfg.Mu.Lock()
	defer l.cfg.Mu.Unlock()
	if err != nil {
		l.cfg.Logger.Warn().Int("streams", len(taken)).Err(err).Msg("origins of streams not written")
		l.giveBack(taken)
		return false
	}
	l.savedAt = l.cfg.Now()
	return more
}

// watch makes the store be read while it must hold what this process has written: any answer
// tells whether it has been restored.
func (l *originLog) watch() {
	l.cfg.Mu.Lock()
	defer l.cfg.Mu.Unlock()
	if l.cfg.Watch && l.savedAt > 0 && l.cfg.Now()-l.savedAt < originWatchTime {
		wake(l.wanted)
	}
}

// runReads reads origins when that is asked for, until ctx ends.
func (l *originLog) runReads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wanted:
			l.read(ctx)
			pause(ctx, originLoadPeriod)
		}
	}
}

func (l *originLog) read(ctx context.Context) {
	at := l.cfg.Now()
	origins, position, err := l.cfg.Store.ReadOrigins(ctx, l.position)
	if errors.Is(err, watcher.ErrExpired) {
		l.position = watcher.Position{}
	}
	if err != nil {
		l.cfg.Logger.Warn().Err(err).Msg("origins of streams not read")
		return
	}
	l.position = position
	l.cfg.Logger.Info().Int("streams", len(origins)).Int64("offset", position.Offset).Msg("origins of streams read")
	l.cfg.Mu.Lock()
	defer l.cfg.Mu.Unlock()
	l.cfg.Loaded(at, origins)
}
