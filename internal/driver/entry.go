package driver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/acceptor"
	"github.com/egretwall/egretwall/internal/authenticator"
	"github.com/egretwall/egretwall/internal/linker"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// EntryConfig describes an entry and its surroundings.
type EntryConfig struct {
	Name         string
	Domain       configurator.DomainName
	Address      string        // for callers
	AdminAddress string        // for operators
	DrainDelay   time.Duration // time for the balancer to notice that the entry is leaving
	RecordLog    RecordLog
	InstanceList InstanceList
	TLS          *authenticator.Authenticator
	Logger       zerolog.Logger
	Seed         uint64
	Hooks        reducer.TestHooks
}

// Entry is a running entry.
type Entry struct {
	cfg      EntryConfig
	reducer  *reducer.Entry
	loop     *loop
	platform *platform
	client   *linker.Client
	acceptor *acceptor.Acceptor
	admin    *observer.AdminServer
	leaving  atomic.Bool
	ids      atomic.Uint64
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewEntry listens on the addresses of an entry.
func NewEntry(cfg EntryConfig) (*Entry, error) {
	e := &Entry{cfg: cfg}
	incarnation := reducer.Incarnation(rand.Uint64()) // must differ between runs with one seed
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.reducer = reducer.NewEntry(reducer.EntryConfig{ID: reducer.EntryID(cfg.Name), Domain: cfg.Domain, Seed: cfg.Seed, Hooks: cfg.Hooks})
	e.loop = newLoop(e.reducer.Reduce, e.run)
	creds := cfg.TLS.ClientCredentials()
	e.platform = newPlatform(cfg.RecordLog, cfg.InstanceList, creds, cfg.Seed)
	e.platform.post = e.loop.post
	e.client = linker.NewClient(linker.ClientConfig{Entry: reducer.EntryID(cfg.Name), Incarnation: incarnation, Credentials: creds, Post: e.loop.post})
	prefix := fmt.Sprintf("%s-%08x", cfg.Name, uint32(incarnation))
	newID := func() reducer.RequestID {
		return reducer.RequestID(fmt.Sprintf("%s-%d", prefix, e.ids.Add(1)))
	}
	var err error
	if e.acceptor, err = acceptor.New(acceptor.Config{Address: cfg.Address, Post: e.loop.post, NewID: newID}); err != nil {
		return nil, err
	}
	e.admin, err = observer.NewAdminServer(observer.AdminConfig{
		Name: cfg.Name, Address: cfg.AdminAddress, Healthy: func() bool { return !e.leaving.Load() }, Dump: e.Dump, Metrics: e.metrics,
	})
	return e, err
}

// metrics returns what the entry has counted.
func (e *Entry) metrics() any {
	var counters reducer.EntryCounters
	e.loop.inspect(func() { counters = e.reducer.Counters })
	return counters
}

// Address returns where callers connect.
func (e *Entry) Address() string { return e.acceptor.Address() }

// AdminAddress returns where operators connect.
func (e *Entry) AdminAddress() string { return e.admin.Address() }

// Dump returns the state of the entry, and nil when it has stopped.
func (e *Entry) Dump() any {
	var state any
	if !e.loop.inspect(func() { state = e.reducer.Dump(e.loop.now()) }) {
		return nil
	}
	return state
}

// Run serves until the entry has drained or ctx ends. Stop drains it.
func (e *Entry) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, e.cancel)
	defer stop()
	defer e.cancel()
	e.platform.start(e.ctx)
	go func() { _ = e.acceptor.Run(e.ctx) }()
	go func() { _ = e.admin.Run(e.ctx) }()
	e.loop.serve(e.ctx)
	e.acceptor.Close() // the address is free when Run returns
	e.cfg.RecordLog.Close()
	e.cfg.InstanceList.Close()
	return nil
}

// Stop takes no new caller once the balancer had time to notice, and ends Run
// when all open requests are answered.
func (e *Entry) Stop() {
	if e.leaving.Swap(true) {
		return
	}
	go func() {
		sleep(e.ctx, e.cfg.DrainDelay)
		_ = e.acceptor.Shutdown(e.ctx)
		e.loop.post(reducer.Drain{})
	}()
}

// run carries out an effect.
func (e *Entry) run(effect reducer.Effect) {
	switch ef := effect.(type) {
	case reducer.SendToAgent:
		e.client.Send(ef.Peer, ef.Epoch, ef.Message)
	case reducer.Dial:
		e.client.Dial(e.ctx, ef)
	case reducer.CloseConnection:
		e.client.CloseConnection(ef.Peer, ef.Epoch)
	case reducer.WriteHeader:
		e.acceptor.Deliver(ef.ID, ef)
	case reducer.WriteBody:
		e.acceptor.Deliver(ef.ID, ef)
	case reducer.EndResponse:
		e.acceptor.Deliver(ef.ID, ef)
	case reducer.PublishConfiguration:
		e.acceptor.SetConfiguration(ef.State)
		e.platform.installed()
	case reducer.LogEvent:
		observer.Log(e.cfg.Logger, ef)
	case reducer.Stop:
		e.cancel()
	}
}
