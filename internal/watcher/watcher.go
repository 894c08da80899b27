// Package watcher follows a topic of the platform's store whose records have keys.
//
// Usage:
//
//	w := watcher.New(watcher.Config{Store: store, Topic: topic, PollTimeout: time.Second, OnReplace: replace, OnChange: apply, ...})
//	w.Run(ctx)
//
// It first reads the latest record of each key and then the records written after that.
// When the store has deleted records before they were read, or any answer shows that it
// was restored from a backup, it starts over: offsets from before a restore name other
// records after it.
package watcher

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// Errors of a Store.
var (
	// ErrExpired says that the store has deleted the requested records.
	ErrExpired = errors.New("the store has dropped these records")
	// ErrMalformed says that the records can't be told apart.
	ErrMalformed = errors.New("the store's answer is malformed")
)

// retryDelay is the pause after a failed call to the store. It is well below the time
// within which a change must be applied.
const retryDelay = 250 * time.Millisecond

// answerGrace is the time from the end of a long poll's timeout to its response, and between
// two parts of the response, after which the connection is taken for dead.
const answerGrace = 1200 * time.Millisecond

// warmupDelay is the longest pause between calls while a process starts, when many
// records of others that start too are still to come.
const warmupDelay = 500 * time.Millisecond

// Record is a record of a topic; Value is nil when the key was deleted.
type Record struct {
	Key   string
	Value []byte
	Err   error // the record can't be decoded; Key and Value are not set
}

// Batch is the result of a read.
type Batch struct {
	Records    []Record
	NextOffset int64 // from which Read continues
	End        int64 // of the topic at the time of a Read; it was not read whole if that is beyond NextOffset
	Era        Era   // in which NextOffset is valid
}

// Store is the client of a store with keyed topics. Its calls tell the Trace of their context
// what comes.
type Store interface {
	// ReadLatest returns the latest record of each key.
	ReadLatest(ctx context.Context, topic string) (Batch, error)
	// Read returns the records from an offset on. If there are none, it waits up to the
	// given time for one.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Era returns the highest era that any answer of the store has shown, to any caller,
	// and a channel that is closed when it rises.
	Era() (Era, <-chan struct{})
}

// Config configures a Watcher.
type Config struct {
	Store       Store
	Topic       string
	PollTimeout time.Duration // of a long poll: how long Read waits for a record
	PollDelay   time.Duration // pause between calls after the first that succeeds
	Warmup      time.Duration // time from the start in which the pause is at most warmupDelay
	// PollNow ends the pause; the next call then does not wait for a record. It may be nil.
	PollNow <-chan struct{}
	// OnReplace receives the latest record of each key, which replace all earlier records.
	// OnChange receives later records.
	OnReplace func([]Record)
	OnChange  func([]Record)
	// OnRestored is called before the OnReplace that follows a restore of the store, whose
	// records may lack some that were written before.
	OnRestored func()
	// OnReachable is called after the first call to the store, and then whenever calls
	// begin to fail or to succeed.
	OnReachable func(up bool)
	// OnCall is called before each call to the store, and OnCurrent when all records that
	// were written before that call have been passed on. Both may be nil.
	OnCall    func()
	OnCurrent func()
	// OnPending is called while a response comes that has records which were not read before;
	// end is the end of the topic. It may be nil.
	OnPending func(end int64)
	Logger    zerolog.Logger
}

// Watcher follows one topic. It is not safe for concurrent use.
type Watcher struct {
	cfg            Config
	nextOffset     int64
	synced         bool // ReadLatest has succeeded since the start, the last ErrExpired and the last restore
	everSynced     bool // ReadLatest has succeeded since the start
	era            Era  // of the last ReadLatest, in which nextOffset is valid
	reachable      bool
	statusReported bool
	hurry          bool          // the next call does not wait for a record
	answeredAt     time.Time     // when the store last answered a call; zero before
	idle           time.Duration // between the last two answers
}

// New returns a watcher of cfg.Topic; Run starts it.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg}
}

// Idle returns how long the store had not answered before its last answer. It may be
// called from OnReplace and OnChange.
func (w *Watcher) Idle() time.Duration {
	return w.idle
}

// recordAnswer records that the store has answered a call.
func (w *Watcher) recordAnswer() {
	now := time.Now()
	if !w.answeredAt.IsZero() {
		w.idle = now.Sub(w.answeredAt)
	}
	w.answeredAt = now
}

// Run follows the topic until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	startedAt := time.Now()
	for ctx.Err() == nil {
		err := w.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		delay := w.cfg.PollDelay
		if time.Since(startedAt) < w.cfg.Warmup {
			delay = min(delay, warmupDelay)
		}
		switch {
		case errors.Is(err, ErrRestored):
			w.synced = false
			sleep(ctx, retryDelay)
			continue
		case w.outdated():
			// The call may have failed only because the restore cancelled it.
			w.synced = false
			continue
		case errors.Is(err, ErrMalformed):
			w.synced = false // records after the malformed one may be readable
		case errors.Is(err, ErrExpired):
			w.cfg.Logger.Info().Str("topic", w.cfg.Topic).Int64("offset", w.nextOffset).Msg("records expired before they were read")
			w.synced, err, delay = false, nil, 0
		}
		wasReachable := w.reachable
		w.reportStatus(err)
		unanswered := errors.Is(err, context.DeadlineExceeded)
		switch {
		case unanswered && wasReachable:
			// Only the connection may be dead; the next call opens another.
			continue
		case err != nil && w.synced && !unanswered:
			delay = max(delay, retryDelay)
		case err != nil:
			delay = retryDelay
		}
		w.pause(ctx, delay)
	}
}

// pause waits for a time, or until PollNow.
func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	w.hurry = false
	if d <= 0 {
		select {
		case <-w.cfg.PollNow:
			w.hurry = true
		default:
		}
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.cfg.PollNow:
		w.hurry = true
	case <-t.C:
	case <-ctx.Done():
	}
}

// outdated reports whether the store has been restored since the last ReadLatest.
func (w *Watcher) outdated() bool {
	era, _ := w.cfg.Store.Era()
	return w.synced && era != w.era
}

// reportCurrent reports that the records of the last answer have been passed on.
func (w *Watcher) reportCurrent() {
	if w.cfg.OnCurrent != nil {
		w.cfg.OnCurrent()
	}
}

// poll makes one call to the store and passes on the records.
func (w *Watcher) poll(ctx context.Context) error {
	if w.cfg.OnCall != nil {
		w.cfg.OnCall()
	}
	if !w.synced {
		return w.readLatest(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The Store notices a dead connection by the same means, but later.
	timer := time.AfterFunc(w.cfg.PollTimeout+answerGrace, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	trace := &Trace{OnProgress: func() { timer.Reset(answerGrace) }, OnPending: w.cfg.OnPending}
	_, risen := w.cfg.Store.Era()
	if w.outdated() {
		return nil
	}
	go func() {
		select {
		case <-risen:
			cancel(nil) // a long poll of the earlier era would wait for an offset that may never come
		case <-ctx.Done():
		}
	}()
	wait := w.cfg.PollTimeout
	if w.hurry {
		wait = 0
	}
	batch, err := w.cfg.Store.Read(WithTrace(ctx, trace), w.cfg.Topic, w.nextOffset, wait)
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	if err != nil {
		return err
	}
	w.recordAnswer()
	if batch.Era != w.era {
		return nil
	}
	w.nextOffset = batch.NextOffset
	if len(batch.Records) > 0 {
		w.cfg.OnChange(w.dropUnreadable(batch.Records))
	}
	switch behind := batch.End - batch.NextOffset; {
	case behind > 1:
		w.synced = false // the newest record of each key is less than all that follow
	case behind <= 0:
		w.reportCurrent()
	}
	return nil
}

// readLatest reads the latest record of each key.
func (w *Watcher) readLatest(ctx context.Context) error {
	batch, err := w.cfg.Store.ReadLatest(ctx, w.cfg.Topic)
	if err != nil {
		return err
	}
	w.recordAnswer()
	if w.everSynced && batch.Era != w.era {
		w.cfg.Logger.Warn().Str("topic", w.cfg.Topic).Int64("era", int64(batch.Era)).Int64("offset", batch.NextOffset).Msg("store restored from a backup")
		w.cfg.OnRestored()
	}
	w.nextOffset, w.era, w.synced, w.everSynced = batch.NextOffset, batch.Era, true, true
	w.cfg.OnReplace(w.dropUnreadable(batch.Records))
	w.reportCurrent()
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
		w.cfg.Logger.Info().Str("topic", w.cfg.Topic).Int64("offset", w.nextOffset).Int64("era", int64(w.era)).Msg("store reached")
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
