// Package demonstrator runs a whole deployment in one process, on the stand-ins
// of package faker, and tests it under load and injected faults.
//
// Usage:
//
//	c, err := demonstrator.Start(demonstrator.Config{Configuration: cfg, EntryCount: 2})
//	defer c.Close()
//	err = c.WaitReady(ctx, nil)
//
// Entries, agents and stand-ins communicate over loopback connections, as
// separate processes do. Entries connect to each agent through a TCP relay that
// can drop their bytes.
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

// Config configures a deployment.
type Config struct {
	Configuration      configurator.Configuration
	EntryCount         int
	EntryAddress       string        // host:port of the first entry, the others take the next ports; empty for any free ports
	LogRetention       time.Duration // after which the log removes records
	ListLag            time.Duration // until an update shows in the instance list
	Seed               uint64        // of all entries and agents
	Logger             zerolog.Logger
	Hooks              reducer.TestHooks
	LoadBytesPerSecond float64       // of one model load from the weight store
	PrefillTime        time.Duration // of an engine, until the first token
	TokenGap           time.Duration // of an engine, between two tokens
	BookingTime        time.Duration // of the plain service, to process a POST request
}

// Cluster is a running deployment.
type Cluster struct {
	cfg      Config
	auth     *authenticator.Authenticator
	Log      *faker.Log
	List     *faker.InstanceList
	Store    *faker.WeightStore
	servers  []*faker.Server
	logAddr  string
	listAddr string
	Agents   []*Agent
	Entries  []*Entry
	ctx      context.Context
	cancel   context.CancelFunc
}

// Agent is an agent with its upstream and the relay in front of it.
type Agent struct {
	Upstream     configurator.Upstream
	Engine       *faker.Engine         // nil unless the upstream is a runner
	Booking      *faker.BookingService // nil unless the upstream is a plain service
	Relay        *faker.Relay
	upstreamAddr string // host:port of Engine or Booking
	handle       processHandle
	process      *driver.Agent
}

// Entry is an entry; it keeps its address when its process restarts.
type Entry struct {
	Name    string
	Address string
	Domain  configurator.DomainName
	handle  processHandle
	process *driver.Entry
}

// processHandle runs the goroutine of an entry or agent, one at a time.
type processHandle struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	done   chan struct{}
}

const adapterLoadTime = 2 * time.Millisecond

// Start starts a deployment and publishes its configuration, in which the addresses
// of the relays replace those of the upstreams.
func Start(cfg Config) (*Cluster, error) {
	c := &Cluster{cfg: cfg, Log: faker.NewLog(cfg.LogRetention), List: faker.NewInstanceList(cfg.ListLag)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	var err error
	if c.auth, err = authenticator.SelfSigned(); err != nil {
		return nil, err
	}
	c.Store = faker.NewWeightStore(faker.WeightStoreConfig{Limits: cfg.Configuration.Store, BytesPerSecond: cfg.LoadBytesPerSecond, AdapterLoadTime: adapterLoadTime})
	if c.logAddr, err = c.serve(c.Log); err != nil {
		return nil, err
	}
	if c.listAddr, err = c.serve(c.List); err != nil {
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
	server, err := faker.Serve("127.0.0.1:0", handler)
	if err != nil {
		return "", err
	}
	c.servers = append(c.servers, server)
	return server.Address(), nil
}

func (c *Cluster) startUpstreams() error {
	upstreams := append([]configurator.Upstream{}, c.cfg.Configuration.Upstreams...)
	baseModels := map[configurator.ModelName]configurator.ModelName{}
	for _, m := range c.cfg.Configuration.Models {
		baseModels[m.Name] = m.Name
	}
	for _, a := range c.cfg.Configuration.Adapters {
		baseModels[a.Name] = a.Model
	}
	for i, u := range upstreams {
		a := &Agent{Upstream: u}
		var handler http.Handler
		if u.Role == configurator.Runner {
			a.Engine = faker.NewEngine(faker.EngineConfig{Upstream: u, BaseModels: baseModels, Store: c.Store, PrefillTime: c.cfg.PrefillTime, TokenGap: c.cfg.TokenGap})
			handler = a.Engine
		} else {
			a.Booking = &faker.BookingService{ProcessingTime: c.cfg.BookingTime}
			handler = a.Booking
		}
		var err error
		if a.upstreamAddr, err = c.serve(handler); err != nil {
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

func (c *Cluster) newLogClient() driver.RecordLog {
	return recorder.NewClient(recorder.Config{Address: c.logAddr})
}

func (c *Cluster) newListClient() driver.InstanceList {
	return lister.NewClient(lister.Config{Address: c.listAddr})
}

// StartAgent starts an agent. Its previous process must have ended.
func (c *Cluster) StartAgent(a *Agent) error {
	p, err := driver.NewAgent(driver.AgentConfig{
		Upstream: a.Upstream.Name, Address: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", EngineAddress: a.upstreamAddr, Retention: c.cfg.LogRetention,
		RecordLog: c.newLogClient(), InstanceList: c.newListClient(), TLS: c.auth, Logger: c.cfg.Logger, Seed: c.cfg.Seed, Hooks: c.cfg.Hooks,
	})
	if err != nil {
		return err
	}
	a.process = p
	a.Relay.SetTarget(p.Address())
	c.List.Add(c.instance(a))
	a.handle.run(c.ctx, p.Run)
	return nil
}

func (c *Cluster) instance(a *Agent) lister.Instance {
	return lister.Instance{
		Name: "agent-" + string(a.Upstream.Name), Upstream: a.Upstream.Name, Address: a.Relay.Address(), AdminAddress: a.process.AdminAddress(), State: lister.Live,
	}
}

// StopAgent stops an agent gracefully and waits until it has ended. The instance
// list shows it as leaving after its lag.
func (c *Cluster) StopAgent(a *Agent) {
	instance := c.instance(a)
	instance.State = lister.Leaving
	c.List.Update(instance, false)
	a.process.Stop()
	a.handle.wait()
}

// KillAgent ends an agent without draining it. The instance list drops it after its
// lag.
func (c *Cluster) KillAgent(a *Agent) {
	a.handle.kill()
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

// StartEntry starts an entry. Its previous process must have ended.
func (c *Cluster) StartEntry(e *Entry) error {
	p, err := driver.NewEntry(driver.EntryConfig{
		Name: e.Name, Domain: e.Domain, Address: e.Address, AdminAddress: "127.0.0.1:0",
		RecordLog: c.newLogClient(), InstanceList: c.newListClient(), TLS: c.auth, Logger: c.cfg.Logger, Seed: c.cfg.Seed, Hooks: c.cfg.Hooks,
	})
	if err != nil {
		return err
	}
	e.process = p
	if e.Address != p.Address() {
		e.Address = p.Address()
	}
	c.List.Add(lister.Instance{Name: e.Name, AdminAddress: p.AdminAddress(), State: lister.Live})
	e.handle.run(c.ctx, p.Run)
	return nil
}

// StopEntry stops an entry gracefully and waits until it has ended.
func (c *Cluster) StopEntry(e *Entry) {
	e.process.Stop()
	e.handle.wait()
}

// KillEntry ends an entry without draining it.
func (c *Cluster) KillEntry(e *Entry) {
	e.handle.kill()
}

func (h *processHandle) run(ctx context.Context, f func(context.Context) error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	h.cancel = cancel
	h.done = make(chan struct{})
	done := h.done
	go func() {
		defer close(done)
		_ = f(ctx)
	}()
}

func (h *processHandle) wait() {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	<-done
}

func (h *processHandle) kill() {
	h.mu.Lock()
	cancel := h.cancel
	h.mu.Unlock()
	cancel()
	h.wait()
}

// publish appends the configuration to the log as the first change.
func (c *Cluster) publish() error {
	change := configurator.Diff("first", configurator.State{}, c.cfg.Configuration)
	log := c.newLogClient()
	defer log.Close()
	_, err := log.Append(c.ctx, recorder.MainStream, recorder.Record{ID: change.ID, Kind: recorder.KindChange, Change: &change})
	return err
}

// Configuration returns the configuration that Start published.
func (c *Cluster) Configuration() configurator.Configuration {
	return c.cfg.Configuration
}

// LogAddress returns the host:port of the log.
func (c *Cluster) LogAddress() string { return c.logAddr }

// ListAddress returns the host:port of the instance list.
func (c *Cluster) ListAddress() string { return c.listAddr }

const readyPollPeriod = 50 * time.Millisecond

// WaitReady waits until every model and adapter is resident in at least one engine.
// It calls progress, unless nil, with the number of resident models and adapters
// and their total. It returns an error of kind Loading when ctx ends first.
func (c *Cluster) WaitReady(ctx context.Context, progress func(resident, total int)) error {
	total := len(c.cfg.Configuration.Models) + len(c.cfg.Configuration.Adapters)
	for ctx.Err() == nil {
		resident := c.residentCount()
		if progress != nil {
			progress(resident, total)
		}
		if resident == total {
			return nil
		}
		time.Sleep(readyPollPeriod)
	}
	return classifier.Wrap(classifier.Loading, ctx.Err(), "wait for all models")
}

// residentCount returns the number of models and adapters that are resident in at
// least one engine.
func (c *Cluster) residentCount() int {
	resident := map[configurator.ModelName]bool{}
	for _, a := range c.Agents {
		if a.Engine == nil {
			continue
		}
		for _, m := range a.Engine.Residents() {
			resident[m] = true
		}
	}
	return len(resident)
}

// Stop drains all entries, then all agents, and then closes the deployment.
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

// Close ends all processes and stand-ins without draining them.
func (c *Cluster) Close() {
	c.cancel()
	for _, e := range c.Entries {
		e.handle.wait()
	}
	for _, a := range c.Agents {
		a.handle.wait()
		a.Relay.Close()
	}
	for _, s := range c.servers {
		s.Close()
	}
}
