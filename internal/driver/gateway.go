package driver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/exchanger"
	"github.com/egretwall/egretwall/internal/messenger"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/relayer"
)

// Timing of gateways.
const (
	demandPeriod = 250 * time.Millisecond // shortest between two words on the demand, well below a load's time
	stewardPause = 8 * time.Millisecond   // the same for each steward, so that many stewards hear it less often
	sweepPeriod  = time.Second            // of closing idle connections to upstreams
	drainNotice  = 3 * time.Second        // the balancer asks once a second and needs two misses
	stopMargin   = 300 * time.Millisecond // before the platform kills the process
	refuseMargin = 500 * time.Millisecond // before that, in which refusals reach their callers
)

// paceOf keeps the list and the configuration well within the bounds after which
// an upstream that leaves must get nothing and a configuration must be in force,
// also when the store misses a record that comes as a call begins and holds the
// call to its end.
func paceOf(drain, apply time.Duration) pace {
	return pace{hold: apply / 2, pause: drain / 2}
}

// GatewayConfig describes a gateway.
type GatewayConfig struct {
	Name          string
	Domain        registrar.DomainName
	CallerAddress string // address for callers
	HealthAddress string // address on which the balancer asks
	PeerAddress   string // address for datagrams; stewards use its port too
	GracePeriod   time.Duration
	MaxDrainDelay time.Duration // a leaving upstream must get nothing later
	MaxApplyDelay time.Duration // a configuration must be in force by then
	MemoryMB      float64       // megabytes that the process may use
	RetryBudget   dispatcher.RetryBudget
	Store         Store
	HeaderCodec   relayer.HeaderCodec
	ReadinessPath string // path on which the balancer asks
	AdminAddress  string // address for operators
	Log           *observer.BoundedLogger
}

// Gateway runs a dispatcher behind a relayer.
type Gateway struct {
	cfg        GatewayConfig
	dir        *directory
	dispatcher *dispatcher.Dispatcher // guarded by dir.mu
	boxes      map[dispatcher.RequestID]*relayer.Mailbox
	next       dispatcher.RequestID
	listed     bool
	addresses  map[string]bool // of live upstreams
	stewards   []netip.AddrPort

	current   atomic.Pointer[registrar.Configuration]
	relayer   *relayer.Gateway
	messenger *messenger.Messenger
	exchanger *exchanger.Server
	port      uint16
	listener  net.Listener
	health    net.Listener
	admin     *observer.AdminServer

	connections        atomic.Int64
	held, first, whole *observer.LatencyHistogram
	arrivals           map[dispatcher.RequestID]time.Duration // of requests whose answer has not begun
	stopping           chan struct{}
}

// NewGateway listens on the gateway's addresses.
func NewGateway(cfg GatewayConfig) (*Gateway, error) {
	g := &Gateway{
		cfg: cfg, dir: newDirectory(cfg.Store, cfg.Log.Logger, paceOf(cfg.MaxDrainDelay, cfg.MaxApplyDelay)), boxes: map[dispatcher.RequestID]*relayer.Mailbox{},
		addresses: map[string]bool{}, stopping: make(chan struct{}, 1),
		held: observer.NewLatencyHistogram(), first: observer.NewLatencyHistogram(), whole: observer.NewLatencyHistogram(),
		arrivals: map[dispatcher.RequestID]time.Duration{},
	}
	limitMemory(cfg.MemoryMB)
	g.dispatcher = dispatcher.New(dispatcher.Config{Domain: cfg.Domain, Seed: rand.Uint64(), RetryBudget: cfg.RetryBudget})
	g.dir.onConfiguration = func(c *registrar.Configuration) {
		g.current.Store(c)
		g.apply(dispatcher.Configured{Configuration: c})
		g.relist()
	}
	g.dir.onList = func() {
		g.listed = true
		g.relist()
	}
	g.relayer = relayer.New(relayer.Config{HeaderCodec: cfg.HeaderCodec, Dispatcher: g, Logger: cfg.Log.Logger})
	peer, err := netip.ParseAddrPort(cfg.PeerAddress)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "peer address")
	}
	g.port = peer.Port()
	if g.messenger, err = messenger.New(messenger.Config{Address: cfg.PeerAddress, Handle: g.hear, Logger: cfg.Log.Logger}); err != nil {
		return nil, err
	}
	if g.exchanger, err = exchanger.New(exchanger.Config{Address: cfg.PeerAddress, Current: g.dir.newest}); err != nil {
		return nil, err
	}
	g.relayer.Pool().OnConnect = func() { g.connections.Add(1) }
	g.admin, err = observer.NewAdminServer(observer.AdminConfig{
		Name: cfg.Name, Address: cfg.AdminAddress, Healthy: func() bool { return !g.relayer.Draining() }, Dump: g.dump, Metrics: g.metrics,
	})
	if err != nil {
		return nil, err
	}
	if g.health, err = net.Listen("tcp", cfg.HealthAddress); err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen for the balancer")
	}
	if g.listener, err = net.Listen("tcp", cfg.CallerAddress); err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen for callers")
	}
	return g, nil
}

// Stop lets the gateway finish what is open and end.
func (g *Gateway) Stop() {
	select {
	case g.stopping <- struct{}{}:
	default:
	}
}

// Reload takes over the settings that may change while the gateway runs: the
// grace period and the retry budget.
func (g *Gateway) Reload(cfg GatewayConfig) {
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	g.cfg.GracePeriod, g.cfg.RetryBudget = cfg.GracePeriod, cfg.RetryBudget
	g.dispatcher.SetRetryBudget(cfg.RetryBudget)
}

// Run serves until ctx ends or the gateway has drained after Stop.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	health := &http.Server{Handler: http.HandlerFunc(g.answerHealth), ReadHeaderTimeout: time.Second}
	failed := make(chan error, 4)
	go func() { failed <- health.Serve(g.health) }()
	go func() { failed <- g.relayer.Serve(g.listener) }()
	go func() { failed <- g.admin.Run(ctx) }()
	go func() { failed <- g.exchanger.Run(ctx) }()
	go g.dir.run(ctx)
	go g.messenger.Run(ctx)
	go g.tick(ctx)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopping:
	}
	return g.drain()
}

// drain lets the balancer notice, then waits for open answers.
func (g *Gateway) drain() error {
	begun := time.Now()
	g.dir.mu.Lock()
	grace := g.cfg.GracePeriod
	g.dir.mu.Unlock()
	g.cfg.Log.Logger.Info().Int("open", g.relayer.Open()).Msg("draining")
	g.relayer.Drain()
	g.Reduce(dispatcher.Stopping{RefuseAt: g.Now() + grace - stopMargin - refuseMargin})
	time.Sleep(drainNotice)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace-stopMargin))
	defer cancel()
	if err := g.relayer.Shutdown(ctx); err != nil {
		return fmt.Errorf("%d requests were open at the end of the grace period: %w", g.relayer.Open(), err)
	}
	return nil
}

func (g *Gateway) answerHealth(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.cfg.ReadinessPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	g.dir.mu.Lock()
	ready := g.listed && g.current.Load() != nil && !g.relayer.Draining()
	g.dir.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gateway) tick(ctx context.Context) {
	ticker := time.NewTicker(dispatcher.TickPeriod)
	defer ticker.Stop()
	var told, swept time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.dir.mu.Lock()
		now := g.dir.now()
		g.dir.expire()
		g.apply(dispatcher.Tick{})
		var demands messenger.PackedDemands
		telling, sweeping := now-told >= max(demandPeriod, time.Duration(len(g.stewards))*stewardPause), now-swept >= sweepPeriod
		if telling {
			told = now
			demands = messenger.Pack(g.dir.models(), g.dispatcher.Demands(now))
		}
		stewards, addresses, version := g.stewards, g.addresses, g.dir.version()
		g.dir.mu.Unlock()
		if telling {
			g.tell(stewards, messenger.Message{Demands: &demands, Version: version})
		}
		if sweeping {
			swept = now
			g.cfg.Log.ReportDropped()
			g.relayer.Pool().Sweep(func(a string) bool { return addresses[a] })
		}
	}
}

func (g *Gateway) tell(to []netip.AddrPort, m messenger.Message) {
	m.Sender = g.cfg.Name
	data, err := messenger.Encode(m)
	if err != nil {
		g.cfg.Log.Logger.Error().Err(err).Msg("message not encoded")
		return
	}
	for _, a := range to {
		g.messenger.Send(a, data)
	}
}

func (g *Gateway) hear(from netip.AddrPort, m messenger.Message) {
	g.dir.mu.Lock()
	g.dir.heard(from, m.Version)
	g.dir.mu.Unlock()
	if m.Report != nil {
		g.Reduce(dispatcher.Reported{Report: *m.Report})
	}
}

// relist hands the upstreams of the configured services to the dispatcher.
func (g *Gateway) relist() {
	c := g.current.Load()
	if c == nil {
		// Without a configuration any upstream may have a steward, which knows one.
		g.stewards = nil
		for _, u := range g.dir.registrar.All() {
			g.stewards = append(g.stewards, stewardOf(u.Address, g.port)...)
		}
		return
	}
	var all []*registrar.Upstream
	g.addresses = map[string]bool{}
	g.stewards = nil
	for name, service := range c.Services {
		for _, u := range g.dir.registrar.Upstreams(name) {
			all = append(all, u)
			g.addresses[u.Address] = true
			if service.Engine != nil {
				g.stewards = append(g.stewards, stewardOf(u.Address, g.port)...)
			}
		}
	}
	g.apply(dispatcher.UpstreamsListed{Upstreams: all})
}

// Configuration returns the one in force.
func (g *Gateway) Configuration() *registrar.Configuration {
	return g.current.Load()
}

// Now returns the time since the process started.
func (g *Gateway) Now() time.Duration {
	return g.dir.now()
}

// Submit takes a request in.
func (g *Gateway) Submit(req dispatcher.Request, box *relayer.Mailbox) dispatcher.RequestID {
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	g.next++
	req.ID = g.next
	req.Service = pickService(req.Route)
	g.boxes[req.ID] = box
	g.arrivals[req.ID] = g.dir.now()
	g.apply(dispatcher.Arrived{Request: req})
	return req.ID
}

// pickService draws a service by the weights of a route's split.
func pickService(r *registrar.Route) registrar.ServiceName {
	shares := r.Destinations()
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	at := rand.Float64() * total
	for _, s := range shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

// Reduce applies an event.
func (g *Gateway) Reduce(e dispatcher.Event) {
	g.dir.mu.Lock()
	defer g.dir.mu.Unlock()
	g.apply(e)
	switch ev := e.(type) {
	case dispatcher.AnswerBegan:
		g.first.Record(g.dir.now() - g.arrivals[ev.ID])
	case dispatcher.CallerDisconnected:
		g.forget(ev.ID)
	case dispatcher.SendEnded:
		if ev.Outcome == dispatcher.Completed || ev.Outcome == dispatcher.CallerClosed {
			g.forget(ev.ID)
		}
	}
}

// forget drops a request that has its final answer.
func (g *Gateway) forget(id dispatcher.RequestID) {
	delete(g.boxes, id)
	delete(g.arrivals, id)
}

// apply reduces an event and carries out the effects; dir.mu is held.
func (g *Gateway) apply(e dispatcher.Event) {
	for _, effect := range g.dispatcher.Reduce(g.dir.now(), e) {
		switch ef := effect.(type) {
		case dispatcher.Send:
			g.boxes[ef.ID].Put(ef)
		case dispatcher.Failover:
			g.boxes[ef.ID].Put(ef)
		case dispatcher.Abort:
			g.boxes[ef.ID].Put(ef)
		case dispatcher.Fail:
			g.boxes[ef.ID].Put(ef)
			g.forget(ef.ID)
		case dispatcher.RelayFailure:
			g.boxes[ef.ID].Put(ef)
			g.forget(ef.ID)
		case dispatcher.LoadAdapter:
			g.tell(stewardOf(ef.Address, g.port), messenger.Message{RequestedAdapter: &ef.Adapter})
		case dispatcher.Log:
			g.note(ef)
		}
	}
}
