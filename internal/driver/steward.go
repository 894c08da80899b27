package driver

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/apportioner"
	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/estimator"
	"github.com/egretwall/egretwall/internal/exchanger"
	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/messenger"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/puller"
	"github.com/egretwall/egretwall/internal/reconciler"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/relayer"
)

// Timing of stewards.
const (
	statePollPeriod = 150 * time.Millisecond // of the runner's state, which the runner itself reports with a delay of the same length
	gatewayTTL      = 3 * time.Second        // a gateway that has sent nothing for this time gets no more reports
	fenceRetryDelay = 300 * time.Millisecond // after a failure to acquire a fencing token
)

// stewardPollTiming polls more slowly than gatewayPollTiming, since loads take seconds,
// stewards send each other the state of their runners, and gateways announce a newer
// configuration.
var stewardPollTiming = pollTiming{configurationTimeout: 10 * time.Second, listDelay: 4 * time.Second, listWarmup: 3 * time.Second}

// Fencer issues fencing tokens.
type Fencer interface {
	// AcquireFence returns a token that is higher than all issued before, to any holder.
	AcquireFence(ctx context.Context, holder string) (int64, error)
}

// StewardConfig configures a Steward. Addresses have the form host:port.
type StewardConfig struct {
	Name          string
	Service       registrar.ServiceName // service of the runner
	RunnerAddress string                // of the runner on the same host
	PeerAddress   string                // for datagrams (UDP) and fetches of the configuration (TCP), as IP:port; gateways and other stewards use the same port
	LoadWindow    time.Duration         // sliding window of the rate limit on loads from the weight store
	MemoryMB      float64               // MiB that the process may use
	Store         Store
	Fencer        Fencer
	Origins       OriginStore
	Verdicts      VerdictStore
	Runner        reconciler.Runner
	AdminAddress  string // of the admin server
	Log           *observer.BoundedLogger
}

// StewardMetrics holds the counters of a steward.
type StewardMetrics struct {
	reconciler.Counters
	Gateways        int   `json:"gateways" metric:"gauge"` // gateways that have sent a demand report lately
	Slowness        int   `json:"slowness" metric:"gauge"` // time that the runner takes for a token, in percent of that of others; zero if it is unknown
	DroppedLogLines int64 `json:"dropped"`                 // because of the rate limit or a slow reader
}

// Steward is the process beside a model runner that orders it to load and unload models,
// as its reconciler decides, and reports the runner's state to gateways and other
// stewards. The fields from reconciler to quotas are guarded by syncer.mu.
type Steward struct {
	cfg            StewardConfig
	syncer         *syncer
	reconciler     *reconciler.Reconciler
	gatewaySeenAt  map[netip.AddrPort]time.Duration // time of the last message from each gateway
	peerStewards   []netip.AddrPort                 // other stewards of the service
	peerPort       uint16                           // of PeerAddress
	pausedUntil    time.Duration                    // until then, the runner wants no calls
	runner         registrar.UpstreamID             // the newest one listed at RunnerAddress, empty without one
	incarnation    int64                            // of runner
	limits         *limiter.Table
	issuer         *limiter.Issuer // of permits for upstreams with a limit
	limitsSentAt   time.Duration   // when limits were last sent to gateways and peers
	limitsChanged  bool            // since then
	origins        *originKeeper
	verdicts       *verdictKeeper
	quotas         *apportioner.Ledger
	loggedSlowness estimator.Percent // in the last "runner speed learned"
	orders         chan reconciler.Order
	pollNow        chan struct{} // makes pollRunner poll without delay
	stopRequested  chan struct{}

	messenger *messenger.Messenger
	exchanger *exchanger.Server
	peers     puller.Account // of what the store and other processes send
	admin     *observer.AdminServer
}

// NewSteward returns a steward that listens on its addresses; Run serves them.
func NewSteward(cfg StewardConfig) (*Steward, error) {
	s := &Steward{
		cfg: cfg, syncer: newSyncer(cfg.Store, cfg.Log.Logger, stewardPollTiming), gatewaySeenAt: map[netip.AddrPort]time.Duration{},
		limits: limiter.NewTable(), orders: make(chan reconciler.Order, 1), pollNow: make(chan struct{}, 1), stopRequested: make(chan struct{}, 1),
	}
	setMemoryLimit(cfg.MemoryMB)
	s.peers = relayer.NewPeerAccount(budgeter.ConfigOf(budgeter.Limits{Memory: budgeter.Bytes(cfg.MemoryMB * (1 << 20))}))
	s.syncer.fetch = fetchWith(s.peers)
	s.origins = newOriginKeeper(cfg.Service, s.syncer, cfg.Origins, cfg.Log.Logger)
	s.verdicts = newVerdictKeeper(cfg.Verdicts)
	s.quotas = apportioner.NewLedger()
	s.issuer = limiter.NewIssuer(s.limits, s.quotas)
	s.reconciler = reconciler.New(reconciler.Config{Address: cfg.RunnerAddress, Holder: cfg.Name, Window: cfg.LoadWindow})
	s.syncer.onConfiguration = func(c *registrar.Configuration) {
		s.origins.SetSplit(c.SplitStreams())
		s.apply(reconciler.ConfigurationChanged{Configuration: c})
	}
	s.syncer.onList = s.refreshRunners
	s.syncer.onListConfirmed = s.origins.ConfirmList
	peer, err := netip.ParseAddrPort(cfg.PeerAddress)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "peer address")
	}
	s.peerPort = peer.Port()
	if s.messenger, err = messenger.New(messenger.Config{Address: cfg.PeerAddress, Handle: s.handleMessage, Logger: cfg.Log.Logger}); err != nil {
		return nil, err
	}
	if s.exchanger, err = exchanger.New(exchanger.Config{Address: cfg.PeerAddress, Current: s.syncer.current}); err != nil {
		return nil, err
	}
	s.admin, err = observer.NewAdminServer(observer.AdminConfig{
		Name: cfg.Name, Address: cfg.AdminAddress, Healthy: func() bool { return true }, Dump: s.dump, Metrics: s.metrics,
	})
	return s, err
}

func (s *Steward) dump() any {
	s.syncer.mu.Lock()
	defer s.syncer.mu.Unlock()
	return StewardDump{s.syncer.dump("steward", s.cfg.Name), s.reconciler.Dump(s.syncer.now()), s.quotas.Dump(s.syncer.now())}
}

func (s *Steward) metrics() any {
	s.syncer.mu.Lock()
	defer s.syncer.mu.Unlock()
	return StewardMetrics{Counters: s.reconciler.Counters, Gateways: s.reconciler.GatewayCount(), Slowness: int(s.reconciler.Slowness()), DroppedLogLines: s.cfg.Log.Limiter.Dropped()}
}

// Stop makes Run return at once, as a steward has no requests to finish.
func (s *Steward) Stop() {
	select {
	case s.stopRequested <- struct{}{}:
	default:
	}
}

// Reload does nothing, since none of a steward's settings can change while it runs.
func (s *Steward) Reload(StewardConfig) {}

// Run serves until ctx ends, Stop is called or a server fails, and returns the server's
// error, if any.
func (s *Steward) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(puller.WithAccount(ctx, s.peers))
	defer cancel()
	var g sync.WaitGroup
	for _, run := range []func(context.Context){s.syncer.run, s.messenger.Run, s.acquireFence, s.pollRunner, s.sendOrders, s.origins.log.runWrites, s.origins.log.runReads, s.judge, s.keepVerdicts} {
		g.Go(func() { run(ctx) })
	}
	errc := make(chan error, 2)
	g.Go(func() { errc <- s.admin.Run(ctx) })
	g.Go(func() { errc <- s.exchanger.Run(ctx) })
	var err error
	select {
	case err = <-errc:
	case <-s.stopRequested:
	case <-ctx.Done():
	}
	cancel()
	g.Wait()
	return err
}

// acquireFence acquires the fencing token that the orders of this process carry, and
// retries until it succeeds or ctx ends.
func (s *Steward) acquireFence(ctx context.Context) {
	for ctx.Err() == nil {
		fence, err := s.cfg.Fencer.AcquireFence(ctx, s.cfg.Name)
		if err == nil {
			s.cfg.Log.Logger.Info().Int64("fence", fence).Msg("fencing number taken")
			s.reduce(reconciler.FenceAcquired{Fence: fence})
			return
		}
		s.cfg.Log.Logger.Warn().Err(err).Msg("cannot acquire fencing number")
		pause(ctx, fenceRetryDelay)
	}
}

// pollRunner fetches the runner's state every statePollPeriod, and at once after an
// order, until ctx ends.
func (s *Steward) pollRunner(ctx context.Context) {
	up := true
	for ctx.Err() == nil {
		if wait := s.pauseLeft(); wait > 0 {
			pause(ctx, min(wait, statePollPeriod))
			continue
		}
		state, err := s.cfg.Runner.FetchState(ctx)
		s.recordPause(err)
		switch {
		case err == nil:
			s.recordRunnerLimit(state)
			s.reduce(reconciler.StateReported{State: state})
		case ctx.Err() == nil:
			s.reduce(reconciler.RunnerLost{})
		}
		if (err == nil) != up && ctx.Err() == nil {
			up = err == nil
			s.cfg.Log.Logger.Info().Bool("up", up).AnErr("cause", err).Int64("born", state.Incarnation).Msg("runner reached or lost")
		}
		s.cfg.Log.ReportDropped()
		t := time.NewTimer(statePollPeriod)
		select {
		case <-t.C:
		case <-s.pollNow:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// sendOrders sends the queued orders to the runner until ctx ends.
func (s *Steward) sendOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.orders:
			result, err := s.sendOrder(ctx, o)
			s.cfg.Log.Logger.Info().Str("op", string(o.Op)).Str("model", string(o.Model)).Str("adapter", string(o.Adapter)).
				Int64("sequence", o.ExpectedSequence).Str("reason", o.Reason).Str("result", string(result)).AnErr("cause", err).Msg("order")
			s.reduce(reconciler.OrderAnswered{Order: o, Result: result})
			select {
			case s.pollNow <- struct{}{}:
			default:
			}
		}
	}
}

// sendOrder sends an order unless the runner wants no calls.
func (s *Steward) sendOrder(ctx context.Context, o reconciler.Order) (reconciler.Result, error) {
	if wait := s.pauseLeft(); wait > 0 {
		return reconciler.Refused, &reconciler.PauseError{For: wait}
	}
	result, err := s.cfg.Runner.SendOrder(ctx, o)
	s.recordPause(err)
	return result, err
}

// recordPause stops calls to the runner for the time of a PauseError.
func (s *Steward) recordPause(err error) {
	var pause *reconciler.PauseError
	if !errors.As(err, &pause) {
		return
	}
	s.syncer.mu.Lock()
	defer s.syncer.mu.Unlock()
	s.pausedUntil = max(s.pausedUntil, s.syncer.now()+pause.For)
	s.cfg.Log.Logger.Info().Int64("pause", pause.For.Milliseconds()).Msg("runner paused")
}

// pauseLeft returns how long the runner still wants no calls, zero or less if it takes them.
func (s *Steward) pauseLeft() time.Duration {
	s.syncer.mu.Lock()
	defer s.syncer.mu.Unlock()
	return s.pausedUntil - s.syncer.now()
}

// refreshRunners passes the live runners of the service to the reconciler and updates
// the addresses of the other stewards. The caller holds syncer.mu.
func (s *Steward) refreshRunners() {
	all := s.syncer.registrar.Upstreams(s.cfg.Service)
	s.peerStewards = nil
	incarnation := int64(0)
	for _, u := range all {
		if u.Address != s.cfg.RunnerAddress {
			s.peerStewards = append(s.peerStewards, stewardAddress(u.Address, s.peerPort)...)
			continue
		}
		if u.Incarnation >= incarnation {
			s.runner, incarnation = u.ID, u.Incarnation
		}
	}
	if incarnation > s.incarnation {
		s.incarnation, s.pausedUntil = incarnation, 0 // a pause holds for the incarnation that asked for it
	}
	s.origins.Releases.List(s.syncer.now(), s.syncer.registrar.All())
	s.apply(reconciler.RunnersListed{Upstreams: all})
}

// stewardAddress returns the address of the steward beside a runner: the port on the
// runner's host. The slice is empty if runner is not an IP address with a port.
func stewardAddress(runner string, port uint16) []netip.AddrPort {
	a, err := netip.ParseAddrPort(runner)
	if err != nil {
		return nil // not for a decoded entry, whose address has been checked
	}
	return []netip.AddrPort{netip.AddrPortFrom(a.Addr(), port)}
}

// handleMessage handles a message from another steward, which carries a report, or from
// a gateway.
func (s *Steward) handleMessage(from netip.AddrPort, m messenger.Message) {
	s.syncer.mu.Lock()
	defer s.syncer.mu.Unlock()
	s.syncer.handlePeerVersion(from, m.Version)
	s.learnLimits(m.Limits)
	s.learnVerdicts(m.Verdicts, m.Sender)
	if m.Report != nil {
		s.apply(reconciler.PeerReported{Report: *m.Report})
	}
	if m.Report != nil || len(m.Verdicts) > 0 || len(m.Limits) > 0 || len(m.Suspects) > 0 {
		return // of another steward
	}
	if m.Crash != nil {
		s.recordCrash(*m.Crash)
	}
	s.verdicts.analyst.Clear(s.syncer.now(), m.Answered)
	if m.Origin != nil {
		s.origins.record(s.syncer.now(), *m.Origin)
	}
	if m.Stream != "" {
		s.tellOrigin(from, m.Service, m.Stream)
	}
	s.gatewaySeenAt[from] = s.syncer.now()
	s.issueTokens(from, m)
	if m.PermitRequest != nil {
		s.issuePermits(from, *m.PermitRequest)
	}
	if ratios := m.Paces.Of(s.cfg.RunnerAddress); len(ratios) > 0 {
		s.apply(reconciler.PaceObserved{Ratios: ratios})
		s.logSlowness()
	}
	if m.Demands != nil {
		demands, err := m.Demands.Unpack(s.syncer.models())
		if err != nil {
			s.cfg.Log.Logger.Debug().Str("peer", from.String()).Err(err).Msg("demand report ignored")
			return
		}
		s.apply(reconciler.DemandReported{Gateway: from.String(), Demands: demands})
	}
	if m.RequestedAdapter != nil {
		s.apply(reconciler.AdapterRequested{Adapter: *m.RequestedAdapter})
	}
}

// reduce passes an event to the reconciler and carries out the effects.
func (s *Steward) reduce(e reconciler.Event) {
	s.syncer.mu.Lock()
	defer s.syncer.mu.Unlock()
	s.syncer.expire()
	s.apply(e)
}

// apply passes an event to the reconciler and carries out the effects. The caller holds
// syncer.mu.
func (s *Steward) apply(e reconciler.Event) {
	for _, effect := range s.reconciler.Reduce(s.syncer.now(), e) {
		switch ef := effect.(type) {
		case reconciler.SendOrder:
			s.orders <- ef.Order // doesn't block: the reconciler has one order under way at a time
		case reconciler.BroadcastReport:
			s.broadcastReport(ef)
		}
	}
}

// broadcastReport sends a report to the gateways seen within gatewayTTL and, unless it is
// partial, to the other stewards. The caller holds syncer.mu.
func (s *Steward) broadcastReport(r reconciler.BroadcastReport) {
	datagrams, err := messenger.Encode(messenger.Message{Sender: s.cfg.Name, Report: &r.Report, Version: s.syncer.version(), Limits: s.limitsToSend(), Verdicts: s.verdicts.toSend(s.syncer.now())})
	if err != nil {
		s.cfg.Log.Logger.Error().Err(err).Msg("cannot encode report")
		return
	}
	for gateway, seenAt := range s.gatewaySeenAt {
		if s.syncer.now()-seenAt > gatewayTTL {
			delete(s.gatewaySeenAt, gateway)
			continue
		}
		s.messenger.Send(gateway, datagrams...)
	}
	if r.Report.Partial {
		return
	}
	for _, p := range s.peerStewards {
		s.messenger.Send(p, datagrams...)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
