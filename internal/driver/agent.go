package driver

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/egretwall/egretwall/internal/authenticator"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/forwarder"
	"github.com/egretwall/egretwall/internal/linker"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// orderBuffer bounds the orders that wait for the engine's answers.
const orderBuffer = 64

// AgentConfig describes an agent and its surroundings.
type AgentConfig struct {
	Upstream      configurator.UpstreamName
	Address       string // for entries
	AdminAddress  string // for operators
	EngineAddress string // IP number and port of the upstream
	Retention     time.Duration
	RecordLog     RecordLog
	InstanceList  InstanceList
	TLS           *authenticator.Authenticator
	Logger        zerolog.Logger
	Seed          uint64
	Hooks         reducer.TestHooks
}

// Agent is a running agent.
type Agent struct {
	cfg       AgentConfig
	reducer   *reducer.Agent
	loop      *loop
	platform  *platform
	server    *linker.Server
	grpc      *grpc.Server
	listener  net.Listener
	forwarder *forwarder.Forwarder
	admin     *observer.AdminServer
	state     atomic.Pointer[configurator.State]
	leaving   atomic.Bool
	orders    chan reducer.Order
	ctx       context.Context
	cancel    context.CancelFunc
}

// NewAgent listens on the addresses of an agent.
func NewAgent(cfg AgentConfig) (*Agent, error) {
	a := &Agent{cfg: cfg, orders: make(chan reducer.Order, orderBuffer)}
	incarnation := reducer.Incarnation(rand.Uint64()) // must differ between runs with one seed
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.reducer = reducer.NewAgent(reducer.AgentConfig{
		Upstream: cfg.Upstream, Incarnation: incarnation, Retention: cfg.Retention, Seed: cfg.Seed, Hooks: cfg.Hooks,
	})
	a.loop = newLoop(a.reducer.Reduce, a.run)
	a.platform = newPlatform(cfg.RecordLog, cfg.InstanceList, cfg.TLS.ClientCredentials(), cfg.Seed)
	a.platform.post = a.loop.post
	a.forwarder = forwarder.New(forwarder.Config{Address: cfg.EngineAddress, Post: a.loop.post})
	a.server = linker.NewServer(linker.ServerConfig{
		Agent: string(cfg.Upstream), Incarnation: incarnation, Post: a.loop.post, Residents: a.holds, Document: a.document,
	})
	a.grpc = grpc.NewServer(grpc.Creds(cfg.TLS.ServerCredentials()), grpc.MaxRecvMsgSize(linker.MaxMessageBytes))
	linkpb.RegisterLinkServer(a.grpc, a.server)
	var err error
	if a.listener, err = net.Listen("tcp", cfg.Address); err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen for entries on %s", cfg.Address)
	}
	a.admin, err = observer.NewAdminServer(observer.AdminConfig{
		Name: string(cfg.Upstream), Address: cfg.AdminAddress, Healthy: func() bool { return !a.leaving.Load() }, Dump: a.Dump, Metrics: a.metrics,
	})
	return a, err
}

// metrics returns what the agent has counted.
func (a *Agent) metrics() any {
	var counters reducer.AgentCounters
	a.loop.inspect(func() { counters = a.reducer.Counters })
	return counters
}

// Address returns where entries connect.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// AdminAddress returns where operators connect.
func (a *Agent) AdminAddress() string { return a.admin.Address() }

// Dump returns the state of the agent, and nil when it has stopped.
func (a *Agent) Dump() any {
	var state any
	if !a.loop.inspect(func() { state = a.reducer.Dump(a.loop.now()) }) {
		return nil
	}
	return state
}

// Run serves until the agent has drained or ctx ends. Stop drains it.
func (a *Agent) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, a.cancel)
	defer stop()
	defer a.cancel()
	a.platform.start(a.ctx)
	go a.giveOrders()
	go func() { _ = a.grpc.Serve(a.listener) }()
	go func() { _ = a.admin.Run(a.ctx) }()
	a.loop.serve(a.ctx)
	a.grpc.Stop()
	a.forwarder.Close()
	a.cfg.RecordLog.Close()
	a.cfg.InstanceList.Close()
	return nil
}

// Stop refuses new work and ends Run when all open attempts are handed over.
func (a *Agent) Stop() {
	if a.leaving.Swap(true) {
		return
	}
	go a.loop.post(reducer.Drain{})
}

// run carries out an effect.
func (a *Agent) run(effect reducer.Effect) {
	switch ef := effect.(type) {
	case reducer.SendToEntry:
		a.server.Send(ef.Entry, ef.Epoch, ef.Message)
	case reducer.Forward:
		a.forwarder.Forward(ef)
	case reducer.Abort:
		a.forwarder.Abort(ef.Attempt)
	case reducer.Credit:
		a.forwarder.Credit(ef.Attempt, ef.Bytes)
	case reducer.Order:
		a.queueOrder(ef)
	case reducer.PollEngine:
		go a.ask()
	case reducer.QueryResidents:
		go a.look(ef)
	case reducer.Append:
		a.platform.append(a.ctx, ef.Stream, ef.Record)
	case reducer.FollowStream:
		go a.platform.follow(a.ctx, ef.Stream)
	case reducer.PublishConfiguration:
		a.state.Store(ef.State)
		a.platform.installed()
	case reducer.LogEvent:
		observer.Log(a.cfg.Logger.With().Str("upstream", string(a.cfg.Upstream)).Logger(), ef)
	case reducer.Stop:
		a.cancel()
	}
}

// queueOrder keeps orders in the sequence of their numbers. One that finds no
// room is reported as unsent.
func (a *Agent) queueOrder(o reducer.Order) {
	select {
	case a.orders <- o:
	default:
		go a.loop.post(reducer.OrderCompleted{Number: o.Number, Outcome: reducer.OrderUnsent})
	}
}

func (a *Agent) giveOrders() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case o := <-a.orders:
			a.order(o)
		}
	}
}

// order gives an order to the engine unless its lease has lapsed meanwhile.
func (a *Agent) order(o reducer.Order) {
	if o.Expires > 0 && a.loop.now() >= o.Expires {
		a.loop.post(reducer.OrderCompleted{Number: o.Number, Outcome: reducer.OrderUnsent})
		return
	}
	a.loop.post(a.forwarder.SendOrder(a.ctx, forwarder.OrderRequest{Number: o.Number, Op: o.Op, Model: o.Model, Bytes: o.Bytes}))
}

func (a *Agent) ask() {
	asked := a.loop.now()
	report, err := a.forwarder.PollEngine(a.ctx)
	a.loop.post(reducer.EngineReported{Report: report, RequestedAt: asked, Err: err})
}

func (a *Agent) look(l reducer.QueryResidents) {
	holds, err := linker.QueryResidents(a.ctx, l.Address, a.cfg.TLS.ClientCredentials())
	ev := reducer.ResidentsReceived{Upstream: l.Upstream, Err: err}
	if err == nil {
		for _, m := range holds.Residents {
			ev.Residents = append(ev.Residents, configurator.ModelName(m))
		}
	}
	a.loop.post(ev)
}

// holds answers other agents.
func (a *Agent) holds() *linkpb.Holds {
	holds := &linkpb.Holds{}
	a.loop.inspect(func() { holds = a.reducer.Residents() })
	return holds
}

// document answers processes that have no configuration yet.
func (a *Agent) document() *linkpb.Document {
	state := a.state.Load()
	if state == nil {
		return nil
	}
	data, hash := state.Snapshot()
	return &linkpb.Document{Snapshot: data, Hash: hash}
}
