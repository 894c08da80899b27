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
	"github.com/egretwall/egretwall/internal/follower"
	"github.com/egretwall/egretwall/internal/linker"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// EntryConfig configures an Entry.
type EntryConfig struct {
	Name         string
	Domain       configurator.DomainName // failure domain of the entry
	Address      string                  // where callers connect, as host:port
	AdminAddress string                  // of the admin server, as host:port
	DrainDelay   time.Duration           // between failing health checks and closing the listener, so that the load balancer notices
	RecordLog    RecordLog
	InstanceList InstanceList
	TLS          *authenticator.Authenticator
	Logger       zerolog.Logger
	Seed         uint64 // of the random choices
	Hooks        reducer.TestHooks
}

// Entry is the process that accepts callers' requests and sends them to agents.
type Entry struct {
	cfg      EntryConfig
	reducer  *reducer.Entry
	loop     *eventLoop
	platform *platformClient
	client   *linker.Client
	acceptor *acceptor.Acceptor
	admin    *observer.AdminServer
	currency atomic.Pointer[follower.Currency] // of the configuration that the acceptor has
	draining atomic.Bool
	ids      atomic.Uint64
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewEntry returns an entry that listens on Address and AdminAddress; Run serves them.
func NewEntry(cfg EntryConfig) (*Entry, error) {
	e := &Entry{cfg: cfg}
	e.currency.Store(&follower.Currency{})
	incarnation := reducer.Incarnation(rand.Uint64()) // must differ between runs with one seed
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.reducer = reducer.NewEntry(reducer.EntryConfig{ID: reducer.EntryID(cfg.Name), Domain: cfg.Domain, Seed: cfg.Seed, Hooks: cfg.Hooks})
	e.loop = newEventLoop(e.reducer.Reduce, e.execute)
	creds := cfg.TLS.ClientCredentials()
	e.platform = newPlatformClient(cfg.RecordLog, cfg.InstanceList, creds, cfg.Seed)
	e.platform.post, e.platform.now = e.loop.post, e.loop.now
	e.client = linker.NewClient(linker.ClientConfig{Entry: reducer.EntryID(cfg.Name), Incarnation: incarnation, Credentials: creds, Post: e.loop.post})
	prefix := fmt.Sprintf("%s-%08x", cfg.Name, uint32(incarnation))
	newID := func() reducer.RequestID {
		return reducer.RequestID(fmt.Sprintf("%s-%d", prefix, e.ids.Add(1)))
	}
	var err error
	if e.acceptor, err = acceptor.New(acceptor.Config{Address: cfg.Address, Post: e.loop.post, NewID: newID, MayLag: e.mayLag}); err != nil {
		return nil, err
	}
	e.admin, err = observer.NewAdminServer(observer.AdminConfig{
		Name: cfg.Name, Address: cfg.AdminAddress, Healthy: func() bool { return !e.draining.Load() }, Dump: e.Dump, Metrics: e.metrics,
	})
	return e, err
}

// metrics returns the counters, zeros once the entry has stopped.
func (e *Entry) metrics() any {
	var counters reducer.EntryCounters
	e.loop.inspect(func() { counters = e.reducer.Counters })
	return counters
}

// mayLag reports whether a newer configuration may have to be in force.
func (e *Entry) mayLag() bool {
	return e.currency.Load().MayLag(e.loop.now())
}

// Address returns the address where callers connect, as host:port.
func (e *Entry) Address() string { return e.acceptor.Address() }

// AdminAddress returns the address of the admin server, as host:port.
func (e *Entry) AdminAddress() string { return e.admin.Address() }

// Dump returns the state of the entry for a JSON dump, nil when it has stopped.
func (e *Entry) Dump() any {
	var state any
	if !e.loop.inspect(func() { state = e.reducer.Dump(e.loop.now()) }) {
		return nil
	}
	return state
}

// Run serves until ctx ends or until the entry has drained after Stop. It returns nil.
func (e *Entry) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, e.cancel)
	defer stop()
	defer e.cancel()
	e.platform.start(e.ctx)
	go func() { _ = e.acceptor.Run(e.ctx) }()
	go func() { _ = e.admin.Run(e.ctx) }()
	e.loop.serve(e.ctx)
	e.acceptor.Close() // so that another process can listen on the address once Run returns
	e.cfg.RecordLog.Close()
	e.cfg.InstanceList.Close()
	return nil
}

// Stop makes health checks fail, closes connections after their next response and, after
// DrainDelay, refuses new ones. Run returns when all open requests have been answered.
func (e *Entry) Stop() {
	if e.draining.Swap(true) {
		return
	}
	e.acceptor.Drain()
	go func() {
		sleep(e.ctx, e.cfg.DrainDelay)
		_ = e.acceptor.Shutdown(e.ctx)
		e.loop.post(reducer.Drain{})
	}()
}

// execute carries out an effect.
func (e *Entry) execute(effect reducer.Effect) {
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
		e.platform.setConfigured()
	case reducer.PublishConfirmation:
		c := *e.currency.Load()
		c.Confirm(ef.At)
		e.currency.Store(&c)
	case reducer.LogEvent:
		observer.Log(e.cfg.Logger, ef)
	case reducer.Stop:
		e.cancel()
	}
}
