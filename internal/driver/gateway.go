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

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/detector"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/exchanger"
	"github.com/egretwall/egretwall/internal/messenger"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/puller"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/relayer"
	"github.com/egretwall/egretwall/internal/tracker"
)

// Timing of gateways.
const (
	minDemandPeriod        = 250 * time.Millisecond // between demand reports to stewards; well below the time that a load takes
	demandPeriodPerSteward = 8 * time.Millisecond   // lengthens the period with the number of stewards, to limit the rate of datagrams
	idleSweepPeriod        = time.Second            // between closings of idle connections to upstreams
	drainDelay             = 3 * time.Second        // for which a gateway that stops takes requests; the load balancer checks health once a second and acts on two failures
	shutdownMargin         = 300 * time.Millisecond // between the end of the drain and the end of the grace period, when the platform kills the process
	answerMargin           = 200 * time.Millisecond // before the end of the drain, for the last answers to reach their callers
)

// maxHealthHeader is the size limit of the headers of a health check, in bytes.
const maxHealthHeader = 8 << 10

// pollTurns is the number of times that a call to the store waits for the processor, with a
// margin for what has been taken in when a shortage is found.
const pollTurns = 24

// minShortage is the shortest delay of ticks that counts as a shortage of processor time;
// shorter ones are common where processes share processors.
const minShortage = 150 * time.Millisecond

// overloadHold is how long a gateway takes no new connections after a shortage of processor
// time; the load balancer checks health once a second and acts on two failures.
const overloadHold = 2 * time.Second

// gatewayPollTiming returns a timing that keeps well within the MaxDrainDelay and
// MaxApplyDelay of GatewayConfig, even if the store misses a record that is written while
// a long poll begins, and answers only after the poll's timeout; two such polls confirm the
// configuration within MaxApplyDelay. Peers don't lengthen it:
// what keeps a record from one process, such as connections that have gone silent, may
// keep it from all.
func gatewayPollTiming(maxDrainDelay, maxApplyDelay, maxRevokeDelay time.Duration) pollTiming {
	timing := pollTiming{configurationTimeout: maxApplyDelay * 2 / 5, listDelay: maxDrainDelay / 2, maxConfirmationAge: maxRevokeDelay}
	if maxRevokeDelay > 0 {
		// An answer confirms what was in force when its call began.
		timing.configurationTimeout = min(timing.configurationTimeout, maxRevokeDelay/3)
	}
	return timing
}

// GatewayConfig configures a Gateway. Addresses have the form host:port.
type GatewayConfig struct {
	Name          string
	Domain        registrar.DomainName // failure domain of the gateway
	CallerAddress string               // where callers connect
	HealthAddress string               // where the load balancer checks health
	PeerAddress   string               // for datagrams (UDP) and fetches of the configuration (TCP), as IP:port; stewards use the same port
	GracePeriod   time.Duration        // from Stop until the platform kills the process
	MaxDrainDelay time.Duration        // from an upstream's announcement that it drains until it gets no new requests
	MaxApplyDelay time.Duration        // from the publication of a configuration until it is in force
	// MaxRevokeDelay is the longest time from the publication of a configuration without a
	// key until no request with that key is begun, also while the store can't be reached: keys
	// that were not confirmed for that long are not accepted. Zero to accept them.
	MaxRevokeDelay time.Duration
	MemoryMB       float64 // MiB that the process may use
	RetryBudget    dispatcher.RetryBudget
	Store          Store
	Verdicts       VerdictStore
	Origins        OriginStore
	HeaderCodec    relayer.HeaderCodec
	ReadinessPath  string // URL path of health checks
	AdminAddress   string // of the admin server
	Log            *observer.BoundedLogger
	Descriptors    int // file descriptors that it may use, zero if it is not told
}

// limits returns the limits of the process.
func (c GatewayConfig) limits() budgeter.Limits {
	return budgeter.Limits{Memory: budgeter.Bytes(c.MemoryMB * (1 << 20)), Descriptors: c.Descriptors}
}

// Gateway is the process that relays callers' requests to upstreams, as its dispatcher
// decides. It implements relayer.Dispatcher. The fields from dispatcher to
// stewardAddresses and arrivedAt are guarded by syncer.mu.
type Gateway struct {
	cfg              GatewayConfig
	syncer           *syncer
	dispatcher       *dispatcher.Dispatcher
	mailboxes        map[dispatcher.RequestID]*relayer.Mailbox
	lastID           dispatcher.RequestID
	keysConfirmed    bool // as the dispatcher was told
	listReceived     bool // the upstream list has been received once
	verdictsRead     bool // the verdicts in the store have been read
	origins          *originLog
	savedStreams     *tracker.Tracker // written to the store by this gateway
	liveAddresses    map[string]bool  // of the live upstreams of configured services
	stewardAddresses []netip.AddrPort

	processor      *detector.Detector
	configuration  atomic.Pointer[registrar.Configuration]
	relayer        *relayer.Gateway
	messenger      *messenger.Messenger
	exchanger      *exchanger.Server
	peerPort       uint16 // of PeerAddress
	callerListener net.Listener
	healthListener net.Listener
	admin          *observer.AdminServer

	connectionsOpened                           atomic.Int64
	timeToSend, timeToFirstByte, timeToLastByte *observer.LatencyHistogram
	arrivedAt                                   map[dispatcher.RequestID]time.Duration // of requests without a final answer
	stopRequested                               chan struct{}
}

// NewGateway returns a gateway that listens on all its addresses; Run serves them.
func NewGateway(cfg GatewayConfig) (*Gateway, error) {
	g := &Gateway{
		cfg: cfg, syncer: newSyncer(cfg.Store, cfg.Log.Logger, gatewayPollTiming(cfg.MaxDrainDelay, cfg.MaxApplyDelay, cfg.MaxRevokeDelay)), mailboxes: map[dispatcher.RequestID]*relayer.Mailbox{},
		keysConfirmed: true, liveAddresses: map[string]bool{}, stopRequested: make(chan struct{}, 1),
		timeToSend: observer.NewLatencyHistogram(), timeToFirstByte: observer.NewLatencyHistogram(), timeToLastByte: observer.NewLatencyHistogram(),
		arrivedAt: map[dispatcher.RequestID]time.Duration{},
		processor: detector.New(detector.Config{Period: dispatcher.TickPeriod, Tolerance: max(minShortage, cfg.MaxApplyDelay/pollTurns)}),
	}
	setMemoryLimit(cfg.MemoryMB)
	g.savedStreams = tracker.New()
	g.origins = newGatewayOrigins(g)
	g.dispatcher = dispatcher.New(dispatcher.Config{Domain: cfg.Domain, Seed: rand.Uint64(), RetryBudget: cfg.RetryBudget, Epoch: time.Now().UnixMilli()})
	g.syncer.onConfiguration = func(c *registrar.Configuration) {
		g.configuration.Store(c)
		g.apply(dispatcher.Configured{Configuration: c})
		g.refreshUpstreams()
	}
	g.syncer.onList = func() {
		g.listReceived = true
		g.refreshUpstreams()
	}
	g.syncer.onListConfirmed = func(at time.Duration) { g.apply(dispatcher.ListConfirmed{At: at}) }
	g.relayer = relayer.New(relayer.Config{HeaderCodec: cfg.HeaderCodec, Dispatcher: g, Logger: cfg.Log.Logger, Budget: budgeter.ConfigOf(cfg.limits())})
	g.syncer.fetch = fetchWith(g.relayer.PeerAccount())
	peer, err := netip.ParseAddrPort(cfg.PeerAddress)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "peer address")
	}
	g.peerPort = peer.Port()
	if g.messenger, err = messenger.New(messenger.Config{Address: cfg.PeerAddress, Handle: g.handleMessage, Logger: cfg.Log.Logger}); err != nil {
		return nil, err
	}
	if g.exchanger, err = exchanger.New(exchanger.Config{Address: cfg.PeerAddress, Current: g.syncer.current}); err != nil {
		return nil, err
	}
	g.relayer.Pool().OnConnect = func() { g.connectionsOpened.Add(1) }
	g.admin, err = observer.NewAdminServer(observer.AdminConfig{
		Name: cfg.Name, Address: cfg.AdminAddress, Healthy: func() bool { return !g.relayer.Draining() }, Dump: g.dump, Metrics: g.metrics,
	})
	if err != nil {
		return nil, err
	}
	if g.healthListener, err = net.Listen("tcp", cfg.HealthAddress); err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen for health checks")
	}
	if g.callerListener, err = net.Listen("tcp", cfg.CallerAddress); err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen for callers")
	}
	return g, nil
}

// Stop makes the gateway drain; Run returns when no request is open or the grace period
// is nearly over.
func (g *Gateway) Stop() {
	select {
	case g.stopRequested <- struct{}{}:
	default:
	}
}

// Reload applies the settings of cfg that can change while the gateway runs: GracePeriod
// and RetryBudget.
func (g *Gateway) Reload(cfg GatewayConfig) {
	g.syncer.mu.Lock()
	defer g.syncer.mu.Unlock()
	g.cfg.GracePeriod, g.cfg.RetryBudget = cfg.GracePeriod, cfg.RetryBudget
	g.dispatcher.SetRetryBudget(cfg.RetryBudget)
}

// Run serves until ctx ends, a server fails or the gateway has drained after Stop. It
// returns nil only if all open requests were answered after Stop.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(puller.WithAccount(ctx, g.relayer.PeerAccount()))
	defer cancel()
	health := &http.Server{Handler: http.HandlerFunc(g.serveHealth), ReadHeaderTimeout: time.Second, MaxHeaderBytes: maxHealthHeader}
	errc := make(chan error, 4)
	go func() { errc <- health.Serve(g.healthListener) }()
	go func() { errc <- g.relayer.Serve(g.callerListener) }()
	go func() { errc <- g.admin.Run(ctx) }()
	go func() { errc <- g.exchanger.Run(ctx) }()
	go g.syncer.run(ctx)
	go g.messenger.Run(ctx)
	go g.loadVerdicts(ctx)
	go g.origins.runWrites(ctx)
	go g.origins.runReads(ctx)
	go g.runTicks(ctx)
	select {
	case err := <-errc:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopRequested:
	}
	return g.drain()
}

// drain fails health checks, waits until the load balancer has noticed, and then waits
// for the answers of open requests.
func (g *Gateway) drain() error {
	startedAt := time.Now()
	g.syncer.mu.Lock()
	gracePeriod := g.cfg.GracePeriod
	g.syncer.mu.Unlock()
	g.cfg.Log.Logger.Info().Int("open", g.relayer.Open()).Msg("draining")
	g.relayer.Drain()
	endAt := g.Now() + gracePeriod - shutdownMargin - answerMargin
	g.Reduce(dispatcher.Stopping{RefuseAt: min(g.Now()+drainDelay, endAt), EndAt: endAt})
	time.Sleep(drainDelay)
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(gracePeriod-shutdownMargin))
	defer cancel()
	defer g.leave()
	if err := g.relayer.Shutdown(ctx); err != nil {
		return fmt.Errorf("%d requests were open at the end of the grace period: %w", g.relayer.Open(), err)
	}
	return nil
}

// Overloaded reports whether the gateway has too little processor time for what it has taken
// in, or had lately and may lag behind the newest configuration since.
func (g *Gateway) Overloaded() bool {
	return g.processor.Short() || g.processor.ShortWithin(g.syncer.now(), g.cfg.MaxApplyDelay) && g.MayLag()
}

// ProcessorDelay returns for how long each step of any work waits for the processor now.
func (g *Gateway) ProcessorDelay() time.Duration {
	return g.processor.Delay()
}

// observeProcessor records that a tick has come, and logs when processor time becomes short
// and when it no longer is.
func (g *Gateway) observeProcessor() {
	before := g.processor.Short()
	g.processor.Observe(g.syncer.now())
	if short := g.processor.Short(); short != before {
		g.cfg.Log.Logger.Warn().Bool("short", short).Int64("delay", g.processor.Delay().Milliseconds()).Int("open", g.relayer.Open()).Msg("processor time short or not")
	}
}

// serveHealth answers requests for ReadinessPath: 200 if the gateway has a configuration
// that is not outdated and the upstream list, has tried to read the verdicts, has processor
// time and is not draining, otherwise 503.
func (g *Gateway) serveHealth(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.cfg.ReadinessPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	g.syncer.mu.Lock()
	verdictsDue := g.verdictsRead || g.syncer.now() >= verdictsGrace
	ready := verdictsDue && g.listReceived && g.configuration.Load() != nil && !g.relayer.Draining()
	g.syncer.mu.Unlock()
	if !ready || g.Outdated() || g.processor.ShortWithin(g.syncer.now(), overloadHold) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// runTicks passes ticks to the dispatcher until ctx ends. Less often, it also sends demand
// reports to the stewards and closes idle connections to upstreams.
func (g *Gateway) runTicks(ctx context.Context) {
	ticker := time.NewTicker(dispatcher.TickPeriod)
	defer ticker.Stop()
	var demandsSentAt, sweptAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.observeProcessor()
		g.syncer.mu.Lock()
		now := g.syncer.now()
		g.syncer.expire()
		g.refreshKeys()
		g.apply(dispatcher.Tick{})
		var demands messenger.PackedDemands
		var paces messenger.PackedPaces
		demandsDue, sweepDue := now-demandsSentAt >= max(minDemandPeriod, time.Duration(len(g.stewardAddresses))*demandPeriodPerSteward), now-sweptAt >= idleSweepPeriod
		if demandsDue {
			demandsSentAt = now
			demands = messenger.Pack(g.syncer.models(), g.dispatcher.Demands(now))
			paces = messenger.PackPaces(g.dispatcher.TakeRunnerPaces())
		}
		to, live, version := g.stewardAddresses, g.liveAddresses, g.syncer.version()
		g.syncer.mu.Unlock()
		if demandsDue {
			g.send(to, messenger.Message{Demands: &demands, Paces: paces, Version: version})
		}
		if sweepDue {
			sweptAt = now
			g.cfg.Log.ReportDropped()
			g.relayer.Pool().Sweep(func(a string) bool { return live[a] })
		}
	}
}

// refreshUpstreams passes the live upstreams of the configured services to the dispatcher
// and updates the addresses of their stewards. The caller holds syncer.mu.
func (g *Gateway) refreshUpstreams() {
	c := g.configuration.Load()
	if c == nil {
		// Any upstream may be a runner with a steward. Stewards answer demand reports with
		// reports that tell the version of their configuration.
		g.stewardAddresses = nil
		for _, u := range g.syncer.registrar.All() {
			g.stewardAddresses = append(g.stewardAddresses, stewardAddress(u.Address, g.peerPort)...)
		}
		return
	}
	var all []*registrar.Upstream
	g.liveAddresses = map[string]bool{}
	g.stewardAddresses = nil
	for name, service := range c.Services {
		for _, u := range g.syncer.registrar.Upstreams(name) {
			all = append(all, u)
			g.liveAddresses[u.Address] = true
			if service.Engine != nil {
				g.stewardAddresses = append(g.stewardAddresses, stewardAddress(u.Address, g.peerPort)...)
			}
		}
	}
	g.apply(dispatcher.UpstreamsListed{Upstreams: all})
}
