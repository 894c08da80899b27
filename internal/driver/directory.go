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

// Timing of the directory.
const (
	listWait    = 1500 * time.Millisecond // how long the store holds a call for the list without news
	lapseReturn = 2300 * time.Millisecond // entries that lapsed during an outage are back by then
	behindPause = 700 * time.Millisecond  // the store is given this long before a newer configuration is fetched from another process
)

// Store names the store's topics and reads their records.
type Store interface {
	watcher.Store
	// ConfigurationTopic and ListTopic name what is followed.
	ConfigurationTopic() string
	UpstreamTopic() string
	// DecodeConfiguration reads a record of the operators; nil when it is none.
	DecodeConfiguration(r watcher.Record) (*registrar.Configuration, error)
	// DecodeUpstream reads an entry of the list.
	DecodeUpstream(r watcher.Record) (*registrar.Upstream, error)
}

// directory keeps a registrar up to date from the store.
type directory struct {
	mu        sync.Mutex
	registrar *registrar.Registrar
	source    Store
	logger    zerolog.Logger
	start     time.Time
	pace      pace
	// onConfiguration and onList run with mu held.
	onConfiguration func(*registrar.Configuration)
	onList          func()

	record   exchanger.Record // of the configuration in force
	behind   time.Duration    // since when another process has a newer one
	fetching bool
}

// pace is how often the store is called.
type pace struct {
	hold  time.Duration // how long the store holds a call for the configuration without news; a silent connection is found soon after
	pause time.Duration // least time between calls for the list, in which heartbeats are frequent
}

func newDirectory(source Store, logger zerolog.Logger, p pace) *directory {
	return &directory{
		registrar: registrar.New(registrar.Config{OutageGrace: lapseReturn}), source: source, logger: logger, start: time.Now(), pace: p,
	}
}

func (d *directory) now() time.Duration {
	return time.Since(d.start)
}

// run follows the store until ctx ends.
func (d *directory) run(ctx context.Context) {
	var g sync.WaitGroup
	g.Go(func() {
		watcher.New(watcher.Config{
			Store: d.source, Topic: d.source.ConfigurationTopic(), PollTimeout: d.pace.hold, Logger: d.logger,
			OnReplace: d.configure, OnChange: d.configure, OnReachable: func(bool) {},
		}).Run(ctx)
	})
	g.Go(func() {
		watcher.New(watcher.Config{
			Store: d.source, Topic: d.source.UpstreamTopic(), PollTimeout: listWait, PollDelay: d.pace.pause, Logger: d.logger,
			OnReplace: func(r []watcher.Record) { d.list(r, true) },
			OnChange:  func(r []watcher.Record) { d.list(r, false) },
			OnReachable: func(up bool) {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.registrar.SetStoreReachable(d.now(), up)
			},
		}).Run(ctx)
	})
	g.Wait()
}

func (d *directory) configure(records []watcher.Record) {
	for _, r := range records {
		c, err := d.source.DecodeConfiguration(r)
		if err != nil {
			d.logger.Warn().Str("key", r.Key).Err(err).Msg("configuration is not readable")
			continue
		}
		if c == nil {
			continue
		}
		d.mu.Lock()
		if d.registrar.Install(c) {
			d.record, d.behind = exchanger.Record{Key: r.Key, Value: r.Value}, 0
			d.logger.Info().Int64("version", int64(c.Version)).Int("routes", len(c.Routes)).Msg("configuration in force")
			d.onConfiguration(c)
		}
		d.mu.Unlock()
	}
}

// version returns that of the configuration in force; mu is held.
func (d *directory) version() registrar.Version {
	if c := d.registrar.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// models lists the models of the configuration in force; mu is held.
func (d *directory) models() []registrar.ModelName {
	if c := d.registrar.Configuration(); c != nil {
		return c.Models()
	}
	return nil
}

// newest returns the record of the configuration in force.
func (d *directory) newest() exchanger.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.record
}

// heard notes the version that another process has, and fetches it there when
// the store does not bring it soon; mu is held.
func (d *directory) heard(from netip.AddrPort, v registrar.Version) {
	if v <= d.version() || d.fetching {
		return
	}
	if d.behind == 0 {
		d.behind = d.now()
	}
	if d.now()-d.behind < behindPause {
		return
	}
	d.fetching = true
	go d.fetch(from, v)
}

func (d *directory) fetch(from netip.AddrPort, v registrar.Version) {
	r, err := exchanger.Fetch(context.Background(), from.String())
	if err != nil {
		d.logger.Warn().Str("peer", from.String()).Int64("version", int64(v)).Err(err).Msg("configuration not fetched")
	} else {
		d.logger.Info().Str("peer", from.String()).Int64("version", int64(v)).Msg("configuration fetched")
		d.configure([]watcher.Record{{Key: r.Key, Value: r.Value}})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// A record that could not be had or used is not asked for again at once.
	d.fetching, d.behind = false, 0
}

// list takes over records of the list, all of them or later ones.
func (d *directory) list(records []watcher.Record, all bool) {
	changes := make([]registrar.Change, 0, len(records))
	for _, r := range records {
		change := registrar.Change{ID: registrar.UpstreamID(r.Key)}
		if r.Value != nil {
			u, err := d.source.DecodeUpstream(r)
			if err != nil {
				d.logger.Warn().Str("key", r.Key).Err(err).Msg("list entry is not usable")
				continue
			}
			change.Upstream = u
		}
		changes = append(changes, change)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if all {
		d.registrar.Replace(d.now(), changes)
	} else {
		d.registrar.Apply(d.now(), changes)
	}
	d.onList()
}

// expire drops entries that have not come back after an outage.
func (d *directory) expire() {
	if d.registrar.Expire(d.now()) {
		d.onList()
	}
}
