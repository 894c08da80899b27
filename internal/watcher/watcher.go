// Package watcher follows a keyed topic of the platform's store.
//
// Usage:
//
//	w := watcher.New(watcher.Config{Store: store, Topic: topic, Wait: time.Second, OnChange: apply})
//	w.Run(ctx)
//
// It reads the newest record of each key first and the changes after it. When
// the store has dropped records that were not read yet, it starts over.
package watcher

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// ErrExpired tells that the store has dropped the records asked for.
var ErrExpired = errors.New("the store has dropped these records")

// retryPause is the time between calls to a store that doesn't answer, well
// below the bound on applying a change.
const retryPause = 250 * time.Millisecond

// Record is the newest word on a key; Value is nil when the key was dropped.
type Record struct {
	Key   string
	Value []byte
	Err   error // the record can't be read
}

// Store is what a watcher reads.
type Store interface {
	// ReadLatest returns the newest record of each key and the offset to read from.
	ReadLatest(ctx context.Context, topic string) ([]Record, int64, error)
	// Read returns the records from an offset on, and the next offset. It waits
	// for a record up to the given time.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, int64, error)
}

// Config configures a Watcher.
type Config struct {
	Store       Store
	Topic       string
	PollTimeout time.Duration // how long the store holds a call without news
	PollDelay   time.Duration // least time between two calls after the first answer
	// OnReplace receives the newest record of each key, OnChange later records.
	OnReplace func([]Record)
	OnChange  func([]Record)
	// OnReachable is told whether the store answers, at each change of that.
	OnReachable func(up bool)
	Logger      zerolog.Logger
}

// Watcher follows one topic.
type Watcher struct {
	cfg  Config
	next int64
	all  bool // the newest records have been read
	up   bool
	told bool
}

// New returns a watcher that has read nothing.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg}
}

// Run follows the topic until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := w.cfg.PollDelay
		if errors.Is(err, ErrExpired) {
			w.cfg.Logger.Info().Str("topic", w.cfg.Topic).Int64("offset", w.next).Msg("records expired before they were read")
			w.all, err, pause = false, nil, 0
		}
		w.reach(err)
		if err != nil && w.all {
			pause = max(pause, retryPause)
		} else if err != nil {
			pause = retryPause
		}
		sleep(ctx, pause)
	}
}

func (w *Watcher) step(ctx context.Context) error {
	if !w.all {
		records, next, err := w.cfg.Store.ReadLatest(ctx, w.cfg.Topic)
		if err != nil {
			return err
		}
		w.next, w.all = next, true
		w.cfg.OnReplace(w.readable(records))
		return nil
	}
	records, next, err := w.cfg.Store.Read(ctx, w.cfg.Topic, w.next, w.cfg.PollTimeout)
	if err != nil {
		return err
	}
	w.next = next
	if len(records) > 0 {
		w.cfg.OnChange(w.readable(records))
	}
	return nil
}

// readable logs and drops the records that can't be read.
func (w *Watcher) readable(records []Record) []Record {
	kept := records[:0]
	for _, r := range records {
		if r.Err != nil {
			w.cfg.Logger.Warn().Str("topic", w.cfg.Topic).Err(r.Err).Msg("record is not readable")
			continue
		}
		kept = append(kept, r)
	}
	return kept
}

func (w *Watcher) reach(err error) {
	up := err == nil
	if w.told && up == w.up {
		return
	}
	w.told, w.up = true, up
	if up {
		w.cfg.Logger.Info().Str("topic", w.cfg.Topic).Int64("offset", w.next).Msg("store reached")
	} else {
		w.cfg.Logger.Warn().Str("topic", w.cfg.Topic).Int64("offset", w.next).Err(err).Msg("store lost")
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
