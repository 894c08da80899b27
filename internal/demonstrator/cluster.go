// Package demonstrator runs a whole deployment in one process on the stand-ins
// of package faker.
//
// Usage:
//
//	c, err := demonstrator.Start(demonstrator.Config{Configuration: cfg, Entries: 2})
//	defer c.Close()
//	err = c.WaitReady(ctx)
//
// Entries, agents and stand-ins talk over loopback connections like separate
// processes. A relay stands before each agent, so that connections can be
// silenced.
package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/authenticator"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/driver"
	"github.com/egretwall/egretwall/internal/faker"
	"github.com/egretwall/egretwall/internal/lister"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Config describes a deployment.
type Config struct {
	Configuration      configurator.Configuration
	EntryCount         int
	EntryAddress       string // of the first entry; empty for any free ports
	LogRetention       time.Duration
	ListLag            time.Duration
	Seed               uint64
	Logger             zerolog.Logger
	Hooks              reducer.TestHooks
	LoadBytesPerSecond float64 // bytes a second that the weight store delivers to one load
	PrefillTime        time.Duration
	TokenGap           time.Duration
	BookingTime        time.Duration // time of a booking
}

// Cluster is a running deployment.
type Cluster struct {
	cfg     Config
	tls     *authenticator.Authenticator
	Log     *faker.Log
	List    *faker.InstanceList
	Store   *faker.WeightStore
	servers []*faker.Server
	logAddr string
	listTo  string
	Agents  []*Agent
	Entries []*Entry
	ctx     context.Context
	cancel  context.CancelFunc
}

// Agent is an agent with its upstream.
type Agent struct {
	Upstream configurator.Upstream
	Engine   *faker.Engine         // of a runner
	Booking  *faker.BookingService // of a plain service
	Relay    *faker.Relay
	engineAt string
	slot     slot
	process  *driver.Agent
}

// Entry is an entry at a fixed address.
type Entry struct {
	Name    string
	Address string
	Domain  configurator.DomainName
	slot    slot
	process *driver.Entry
}

// slot runs one process at a time.
type slot struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	done   chan struct{}
}

const dialWait = 2 * time.Millisecond

// Start starts a deployment and publishes its configuration. The addresses of
// the upstreams are replaced.
func Start(cfg Config) (*Cluster, error) {
	c := &Cluster{cfg: cfg, Log: faker.NewLog(cfg.LogRetention), List: faker.NewInstanceList(cfg.ListLag)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	var err error
	if c.tls, err = authenticator.SelfSigned(); err != nil {
		return nil, err
	}
	c.Store = faker.NewWeightStore(faker.WeightStoreConfig{Limits: cfg.Configuration.Store, BytesPerSecond: cfg.LoadBytesPerSecond, AdapterLoadTime: dialWait})
	if c.logAddr, err = c.serve(c.Log); err != nil {
		return nil, err
	}
	if c.listTo, err = c.serve(c.List); err != nil {
		return nil, err
	}
	if err := c.startUpstreams(); err != nil {
		return nil, err
	}
	for i := range cfg.EntryCount {
		if err := c.addEntry(i); err != nil {
			return nil, err
		}
	}
	return c, c.publish()
}

func (c *Cluster) serve(handler http.Handler) (string, error) {
	s, err := faker.Serve("127.0.0.1:0", handler)
	if err != nil {
		return "", err
	}
	c.servers = append(c.servers, s)
	return s.Address(), nil
}

func (c *Cluster) startUpstreams() error {
	upstreams := append([]configurator.Upstream{}, c.cfg.Configuration.Upstreams...)
	bases := map[configurator.ModelName]configurator.ModelName{}
	for _, m := range c.cfg.Configuration.Models {
		bases[m.Name] = m.Name
	}
	for _, a := range c.cfg.Configuration.Adapters {
		bases[a.Name] = a.Model
	}
	for i, u := range upstreams {
		a := &Agent{Upstream: u}
		var handler http.Handler
		if u.Role == configurator.Runner {
			a.Engine = faker.NewEngine(faker.EngineConfig{Upstream: u, BaseModels: bases, Store: c.Store, PrefillTime: c.cfg.PrefillTime, TokenGap: c.cfg.TokenGap})
			handler = a.Engine
		} else {
			a.Booking = &faker.BookingService{ProcessingTime: c.cfg.BookingTime}
			handler = a.Booking
		}
		var err error
		if a.engineAt, err = c.serve(handler); err != nil {
			return err
		}
		if a.Relay, err = faker.NewRelay("127.0.0.1:0", ""); err != nil {
			return err
		}
		upstreams[i].Address = a.Relay.Address()
		c.Agents = append(c.Agents, a)
		if err := c.StartAgent(a); err != nil {
			return err
		}
	}
	c.cfg.Configuration.Upstreams = upstreams
	return nil
}

func (c *Cluster) log() driver.RecordLog {
	return recorder.NewClient(recorder.Config{Address: c.logAddr})
}

func (c *Cluster) list() driver.InstanceList {
	return lister.NewClient(lister.Config{Address: c.listTo})
}

// StartAgent starts the process of an agent whose last one has ended.
func (c *Cluster) StartAgent(a *Agent) error {
	p, err := driver.NewAgent(driver.AgentConfig{
		Upstream: a.Upstream.Name, Address: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", EngineAddress: a.engineAt, Retention: c.cfg.LogRetention,
		RecordLog: c.log(), InstanceList: c.list(), TLS: c.tls, Logger: c.cfg.Logger, Seed: c.cfg.Seed, Hooks: c.cfg.Hooks,
	})
	if err != nil {
		return err
	}
	a.process = p
	a.Relay.SetTarget(p.Address())
	c.List.Add(c.instance(a))
	a.slot.run(c.ctx, p.Run)
	return nil
}

func (c *Cluster) instance(a *Agent) lister.Instance {
	return lister.Instance{
		Name: "agent-" + string(a.Upstream.Name), Upstream: a.Upstream.Name, Address: a.Relay.Address(), AdminAddress: a.process.AdminAddress(), State: lister.Live,
	}
}

// StopAgent stops an agent gracefully and waits for its end.
func (c *Cluster) StopAgent(a *Agent) {
	i := c.instance(a)
	i.State = lister.Leaving
	c.List.Update(i, false)
	a.process.Stop()
	a.slot.wait()
}

// KillAgent ends an agent at once.
func (c *Cluster) KillAgent(a *Agent) {
	a.slot.kill()
	c.List.Update(c.instance(a), true)
}

func (c *Cluster) addEntry(i int) error {
	address := "127.0.0.1:0"
	if c.cfg.EntryAddress != "" {
		host, port, err := net.SplitHostPort(c.cfg.EntryAddress)
		if err != nil {
			return classifier.Wrap(classifier.Invalid, err, "address %s", c.cfg.EntryAddress)
		}
		n, err := strconv.Atoi(port)
		if err != nil {
			return classifier.Wrap(classifier.Invalid, err, "port %s", port)
		}
		address = net.JoinHostPort(host, strconv.Itoa(n+i))
	}
	domain := c.cfg.Configuration.Upstreams[i%len(c.cfg.Configuration.Upstreams)].Domain
	e := &Entry{Name: fmt.Sprintf("entry-%d", i+1), Address: address, Domain: domain}
	if err := c.StartEntry(e); err != nil {
		return err
	}
	c.Entries = append(c.Entries, e)
	return nil
}

// StartEntry starts the process of an entry whose last one has ended.
func (c *Cluster) StartEntry(e *Entry) error {
	p, err := driver.NewEntry(driver.EntryConfig{
		Name: e.Name, Domain: e.Domain, Address: e.Address, AdminAddress: "127.0.0.1:0",
		RecordLog: c.log(), InstanceList: c.list(), TLS: c.tls, Logger: c.cfg.Logger, Seed: c.cfg.Seed, Hooks: c.cfg.Hooks,
	})
	if err != nil {
		return err
	}
	e.process = p
	if e.Address != p.Address() {
		e.Address = p.Address()
	}
	c.List.Add(lister.Instance{Name: e.Name, AdminAddress: p.AdminAddress(), State: lister.Live})
	e.slot.run(c.ctx, p.Run)
	return nil
}

// StopEntry stops an entry gracefully and waits for its end.
func (c *Cluster) StopEntry(e *Entry) {
	e.process.Stop()
	e.slot.wait()
}

// KillEntry ends an entry at once.
func (c *Cluster) KillEntry(e *Entry) {
	e.slot.kill()
}

func (s *slot) run(ctx context.Context, f func(context.Context) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	s.done = make(chan struct{})
	done := s.done
	go func() {
		defer close(done)
		_ = f(ctx)
	}()
}

func (s *slot) wait() {
	s.mu.Lock()
	done := s.done
	s.mu.Unlock()
	<-done
}

func (s *slot) kill() {
	s.mu.Lock()
	cancel := s.cancel
	s.mu.Unlock()
	cancel()
	s.wait()
}

// publish appends the configuration to the log.
func (c *Cluster) publish() error {
	change := configurator.Diff("first", configurator.State{}, c.cfg.Configuration)
	log := c.log()
	defer log.Close()
	_, err := log.Append(c.ctx, recorder.MainStream, recorder.Record{ID: change.ID, Kind: recorder.KindChange, Change: &change})
	return err
}

// Configuration returns the configuration that was published first.
func (c *Cluster) Configuration() configurator.Configuration {
	return c.cfg.Configuration
}

// LogAddress returns where the stand-in of the log listens.
func (c *Cluster) LogAddress() string { return c.logAddr }

// ListAddress returns where the stand-in of the list listens.
func (c *Cluster) ListAddress() string { return c.listTo }

const readyPeriod = 50 * time.Millisecond

// WaitReady waits until every model and adapter is resident somewhere and
// reports how many are.
func (c *Cluster) WaitReady(ctx context.Context, progress func(resident, all int)) error {
	all := len(c.cfg.Configuration.Models) + len(c.cfg.Configuration.Adapters)
	for ctx.Err() == nil {
		n := c.resident()
		if progress != nil {
			progress(n, all)
		}
		if n == all {
			return nil
		}
		time.Sleep(readyPeriod)
	}
	return classifier.Wrap(classifier.Loading, ctx.Err(), "wait for all models")
}

func (c *Cluster) resident() int {
	held := map[configurator.ModelName]bool{}
	for _, a := range c.Agents {
		if a.Engine == nil {
			continue
		}
		for _, m := range a.Engine.Residents() {
			held[m] = true
		}
	}
	return len(held)
}

// Stop drains all entries and then all agents.
func (c *Cluster) Stop() {
	var wg sync.WaitGroup
	for _, e := range c.Entries {
		wg.Go(func() { c.StopEntry(e) })
	}
	wg.Wait()
	for _, a := range c.Agents {
		wg.Go(func() { c.StopAgent(a) })
	}
	wg.Wait()
	c.Close()
}

// Close ends everything at once.
func (c *Cluster) Close() {
	c.cancel()
	for _, e := range c.Entries {
		e.slot.wait()
	}
	for _, a := range c.Agents {
		a.slot.wait()
		a.Relay.Close()
	}
	for _, s := range c.servers {
		s.Close()
	}
}
