package driver

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/exchanger"
	"github.com/egretwall/egretwall/internal/messenger"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/reconciler"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Timing of stewards.
const (
	reportPeriod = 150 * time.Millisecond // of the runner's own state, which lags by as much
	gatewayLife  = 3 * time.Second        // a gateway that is silent longer gets no reports
	fencePause   = 300 * time.Millisecond // between tries to get a fencing number
)

// stewardPace is slower than a gateway's: loads take seconds, stewards hear of
// each other's runners directly, and of a newer configuration from gateways.
var stewardPace = pace{hold: 10 * time.Second, pause: 2500 * time.Millisecond}

// Fencer hands out fencing numbers that only rise.
type Fencer interface {
	AcquireFence(ctx context.Context, holder string) (int64, error)
}

// StewardConfig describes a steward.
type StewardConfig struct {
	Name          string
	Service       registrar.ServiceName
	RunnerAddress string        // address of the runner beside it
	PeerAddress   string        // address for datagrams; gateways and other stewards use its port too
	LoadWindow    time.Duration // over which loads from the weight store are counted
	MemoryMB      float64       // megabytes that the process may use
	Store         Store
	Fencer        Fencer
	Runner        reconciler.Runner
	AdminAddress  string // address for operators
	Log           *observer.BoundedLogger
}

// StewardMetrics is what a steward counts.
type StewardMetrics struct {
	reconciler.Counters
	Gateways        int   `json:"gateways"` // heard lately
	DroppedLogLines int64 `json:"dropped"`  // log lines
}

// Steward runs a stocker beside a model runner.
type Steward struct {
	cfg      StewardConfig
	dir      *directory
	stocker  *reconciler.Reconciler // guarded by dir.mu
	gateways map[netip.AddrPort]time.Duration
	peers    []netip.AddrPort // the other stewards
	port     uint16
	orders   chan reconciler.Order
	asked    chan struct{}
	stopping chan struct{}

	messenger *messenger.Messenger
	exchanger *exchanger.Server
	admin     *observer.AdminServer
}

// NewSteward listens on the steward's address.
func NewSteward(cfg StewardConfig) (*Steward, error) {
	s := &Steward{
		cfg: cfg, dir: newDirectory(cfg.Store, cfg.Log.Logger, stewardPace), gateways: map[netip.AddrPort]time.Duration{},
		orders: make(chan reconciler.Order, 1), asked: make(chan struct{}, 1), stopping: make(chan struct{}, 1),
	}
	limitMemory(cfg.MemoryMB)
	s.stocker = reconciler.New(reconciler.Config{Address: cfg.RunnerAddress, Holder: cfg.Name, Window: cfg.LoadWindow})
	s.dir.onConfiguration = func(c *registrar.Configuration) { s.apply(reconciler.ConfigurationChanged{Configuration: c}) }
	s.dir.onList = s.relist
	peer, err := netip.ParseAddrPort(cfg.PeerAddress)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "peer address")
	}
	s.port = peer.Port()
	if s.messenger, err = messenger.New(messenger.Config{Address: cfg.PeerAddress, Handle: s.hear, Logger: cfg.Log.Logger}); err != nil {
		return nil, err
	}
	if s.exchanger, err = exchanger.New(exchanger.Config{Address: cfg.PeerAddress, Current: s.dir.newest}); err != nil {
		return nil, err
	}
	s.admin, err = observer.NewAdminServer(observer.AdminConfig{
		Name: cfg.Name, Address: cfg.AdminAddress, Healthy: func() bool { return true }, Dump: s.dump, Metrics: s.metrics,
	})
	return s, err
}

func (s *Steward) dump() any {
	s.dir.mu.Lock()
	defer s.dir.mu.Unlock()
	return StewardDump{s.dir.dump("steward", s.cfg.Name), s.stocker.Dump(s.dir.now())}
}

func (s *Steward) metrics() any {
	s.dir.mu.Lock()
	defer s.dir.mu.Unlock()
	return StewardMetrics{Counters: s.stocker.Counters, Gateways: s.stocker.GatewayCount(), DroppedLogLines: s.cfg.Log.Limiter.Dropped()}
}

// Stop ends the steward; it has no requests to finish.
func (s *Steward) Stop() {
	select {
	case s.stopping <- struct{}{}:
	default:
	}
}

// Reload takes over nothing: the addresses of a steward don't change while it runs.
func (s *Steward) Reload(StewardConfig) {}

// Run serves until ctx ends or Stop is called.
func (s *Steward) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g sync.WaitGroup
	for _, part := range []func(context.Context){s.dir.run, s.messenger.Run, s.fence, s.poll, s.order} {
		g.Go(func() { part(ctx) })
	}
	failed := make(chan error, 2)
	g.Go(func() { failed <- s.admin.Run(ctx) })
	g.Go(func() { failed <- s.exchanger.Run(ctx) })
	var err error
	select {
	case err = <-failed:
	case <-s.stopping:
	case <-ctx.Done():
	}
	cancel()
	g.Wait()
	return err
}

// fence gets the number that this run's orders carry.
func (s *Steward) fence(ctx context.Context) {
	for ctx.Err() == nil {
		fence, err := s.cfg.Fencer.AcquireFence(ctx, s.cfg.Name)
		if err == nil {
			s.cfg.Log.Logger.Info().Int64("fence", fence).Msg("fencing number taken")
			s.reduce(reconciler.FenceAcquired{Fence: fence})
			return
		}
		s.cfg.Log.Logger.Warn().Err(err).Msg("no fencing number")
		pause(ctx, fencePause)
	}
}

// poll asks the runner for its state, at once after an order.
func (s *Steward) poll(ctx context.Context) {
	up := true
	for ctx.Err() == nil {
		state, err := s.cfg.Runner.FetchState(ctx)
		switch {
		case err == nil:
			s.reduce(reconciler.StateReported{State: state})
		case ctx.Err() == nil:
			s.reduce(reconciler.RunnerLost{})
		}
		if (err == nil) != up && ctx.Err() == nil {
			up = err == nil
			s.cfg.Log.Logger.Info().Bool("up", up).AnErr("cause", err).Int64("born", state.Incarnation).Msg("runner reached or lost")
		}
		s.cfg.Log.ReportDropped()
		t := time.NewTimer(reportPeriod)
		select {
		case <-t.C:
		case <-s.asked:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

func (s *Steward) order(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.orders:
			result, err := s.cfg.Runner.SendOrder(ctx, o)
			s.cfg.Log.Logger.Info().Str("op", string(o.Op)).Str("model", string(o.Model)).Str("adapter", string(o.Adapter)).
				Int64("sequence", o.ExpectedSequence).Str("reason", o.Reason).Str("result", string(result)).AnErr("cause", err).Msg("order")
			s.reduce(reconciler.OrderAnswered{Order: o, Result: result})
			select {
			case s.asked <- struct{}{}:
			default:
			}
		}
	}
}

// relist takes over the runners of the service.
func (s *Steward) relist() {
	all := s.dir.registrar.Upstreams(s.cfg.Service)
	s.peers = nil
	for _, u := range all {
		if u.Address != s.cfg.RunnerAddress {
			s.peers = append(s.peers, stewardOf(u.Address, s.port)...)
		}
	}
	s.apply(reconciler.RunnersListed{Upstreams: all})
}

// stewardOf returns the address of the steward beside a runner.
func stewardOf(runner string, port uint16) []netip.AddrPort {
	a, err := netip.ParseAddrPort(runner)
	if err != nil {
		return nil // checked when the entry was read
	}
	return []netip.AddrPort{netip.AddrPortFrom(a.Addr(), port)}
}

func (s *Steward) hear(from netip.AddrPort, m messenger.Message) {
	s.dir.mu.Lock()
	defer s.dir.mu.Unlock()
	s.dir.heard(from, m.Version)
	if m.Report != nil {
		s.apply(reconciler.PeerReported{Report: *m.Report})
		return
	}
	s.gateways[from] = s.dir.now()
	if m.Demands != nil {
		demands, err := m.Demands.Unpack(s.dir.models())
		if err != nil {
			s.cfg.Log.Logger.Debug().Str("peer", from.String()).Err(err).Msg("demands not taken over")
			return
		}
		s.apply(reconciler.DemandReported{Gateway: from.String(), Demands: demands})
	}
	if m.RequestedAdapter != nil {
		s.apply(reconciler.AdapterRequested{Adapter: *m.RequestedAdapter})
	}
}

func (s *Steward) reduce(e reconciler.Event) {
	s.dir.mu.Lock()
	defer s.dir.mu.Unlock()
	s.dir.expire()
	s.apply(e)
}

// apply reduces an event and carries out the effects; dir.mu is held.
func (s *Steward) apply(e reconciler.Event) {
	for _, effect := range s.stocker.Reduce(s.dir.now(), e) {
		switch ef := effect.(type) {
		case reconciler.SendOrder:
			s.orders <- ef.Order // one at a time is under way, so that there is room
		case reconciler.BroadcastReport:
			s.tell(ef)
		}
	}
}

func (s *Steward) tell(t reconciler.BroadcastReport) {
	data, err := messenger.Encode(messenger.Message{Sender: s.cfg.Name, Report: &t.Report, Version: s.dir.version()})
	if err != nil {
		s.cfg.Log.Logger.Error().Err(err).Msg("report not encoded")
		return
	}
	for gateway, heard := range s.gateways {
		if s.dir.now()-heard > gatewayLife {
			delete(s.gateways, gateway)
			continue
		}
		s.messenger.Send(gateway, data)
	}
	if t.Report.Partial {
		return
	}
	for _, p := range s.peers {
		s.messenger.Send(p, data)
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
