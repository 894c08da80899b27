// Package watcher follows a topic of the platform's store whose records have keys.
//
// Usage:
//
//	w := watcher.New(watcher.Config{Store: store, Topic: topic, PollTimeout: time.Second, OnReplace: replace, OnChange: apply, ...})
//	w.Run(ctx)
//
// It first reads the latest record of each key and then the records written after that.
// When the store has deleted records before they were read, it starts over.
package watcher

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// ErrExpired is returned by a Store when it has deleted the requested records.
var ErrExpired = errors.New("the store has dropped these records")

// retryDelay is the pause after a failed call to the store. It is well below the time
// within which a change must be applied.
const retryDelay = 250 * time.Millisecond

// Record is a record of a topic; Value is nil when the key was deleted.
type Record struct {
	Key   string
	Value []byte
	Err   error // the record can't be decoded; Key and Value are not set
}

// Store is the client of a store with keyed topics.
type Store interface {
	// ReadLatest returns the latest record of each key and the offset from which Read
	// continues.
	ReadLatest(ctx context.Context, topic string) ([]Record, int64, error)
	// Read returns the records from an offset on, and the next offset. If there are none,
	// it waits up to the given time for one.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, int64, error)
}

// Config configures a Watcher.
type Config struct {
	Store       Store
	Topic       string
	PollTimeout time.Duration // of long polls: how long Read waits for a record
	PollDelay   time.Duration // pause between calls after the first that succeeds
	// OnReplace receives the latest record of each key, which replace all earlier records.
	// OnChange receives later records.
	OnReplace func([]Record)
	OnChange  func([]Record)
	// OnReachable is called after the first call to the store, and then whenever calls
	// begin to fail or to succeed.
	OnReachable func(up bool)
	Logger      zerolog.Logger
}

// Watcher follows one topic. It is not safe for concurrent use.
type Watcher struct {
	cfg            Config
	nextOffset     int64
	synced         bool // ReadLatest has succeeded since the start or the last ErrExpired
	reachable      bool
	statusReported bool
}

// New returns a watcher of cfg.Topic; Run starts it.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg}
}

// Run follows the topic until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		delay := w.cfg.PollDelay
		if errors.Is(err, ErrExpired) {
			w.cfg.Logger.Info().Str("topic", w.cfg.Topic).Int64("offset", w.nextOffset).Msg("records expired before they were read")
			w.synced, err, delay = false, nil, 0
		}
		w.reportStatus(err)
		if err != nil && w.synced {
			delay = max(delay, retryDelay)
		} else if err != nil {
			delay = retryDelay
		}
		sleep(ctx, delay)
	}
}

// poll makes one call to the store and passes on the records.
func (w *Watcher) poll(ctx context.Context) error {
	if !w.synced {
		records, next, err := w.cfg.Store.ReadLatest(ctx, w.cfg.Topic)
		if err != nil {
			return err
		}
		w.nextOffset, w.synced = next, true
		w.cfg.OnReplace(w.dropUnreadable(records))
		return nil
	}
	records, next, err := w.cfg.Store.Read(ctx, w.cfg.Topic, w.nextOffset, w.cfg.PollTimeout)
	if err != nil {
		return err
	}
	w.nextOffset = next
	if len(records) > 0 {
		w.cfg.OnChange(w.dropUnreadable(records))
	}
	return nil
}

// dropUnreadable logs the records that can't be decoded and returns the others.
func (w *Watcher) dropUnreadable(records []Record) []Record {
	kept := records[:0]
	for _, r := range records {
		if r.Err != nil {
			w.cfg.Logger.Warn().Str("topic", w.cfg.Topic).Err(r.Err).Msg("cannot decode record")
			continue
		}
		kept = append(kept, r)
	}
	return kept
}

// reportStatus logs and reports whether the store answers if that has changed.
func (w *Watcher) reportStatus(err error) {
	up := err == nil
	if w.statusReported && up == w.reachable {
		return
	}
	w.statusReported, w.reachable = true, up
	if up {
		w.cfg.Logger.Info().Str("topic", w.cfg.Topic).Int64("offset", w.nextOffset).Msg("store reached")
	} else {
		w.cfg.Logger.Warn().Str("topic", w.cfg.Topic).Int64("offset", w.nextOffset).Err(err).Msg("store lost")
	}
	w.cfg.OnReachable(up)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
