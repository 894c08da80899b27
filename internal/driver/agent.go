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

// orderQueueSize is the number of orders that may wait while the engine answers an
// earlier one.
const orderQueueSize = 64

// AgentConfig configures an Agent.
type AgentConfig struct {
	Upstream      configurator.UpstreamName
	Address       string        // where entries connect, as host:port
	AdminAddress  string        // of the admin server, as host:port
	EngineAddress string        // of the upstream, as IP:port
	Retention     time.Duration // how long the log keeps records
	RecordLog     RecordLog
	InstanceList  InstanceList
	TLS           *authenticator.Authenticator
	Logger        zerolog.Logger
	Seed          uint64 // of the random choices
	Hooks         reducer.TestHooks
}

// Agent is the process in front of one upstream, a model engine or a plain service.
// It forwards the requests that entries send it.
type Agent struct {
	cfg         AgentConfig
	reducer     *reducer.Agent
	loop        *eventLoop
	platform    *platformClient
	server      *linker.Server
	grpc        *grpc.Server
	listener    net.Listener
	forwarder   *forwarder.Forwarder
	admin       *observer.AdminServer
	configState atomic.Pointer[configurator.State]
	draining    atomic.Bool
	orders      chan reducer.Order
	ctx         context.Context
	cancel      context.CancelFunc
}

// NewAgent returns an agent that listens on Address and AdminAddress; Run serves them.
func NewAgent(cfg AgentConfig) (*Agent, error) {
	a := &Agent{cfg: cfg, orders: make(chan reducer.Order, orderQueueSize)}
	incarnation := reducer.Incarnation(rand.Uint64()) // must differ between runs with one seed
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.reducer = reducer.NewAgent(reducer.AgentConfig{
		Upstream: cfg.Upstream, Incarnation: incarnation, Retention: cfg.Retention, Seed: cfg.Seed, Hooks: cfg.Hooks,
	})
	a.loop = newEventLoop(a.reducer.Reduce, a.execute)
	a.platform = newPlatformClient(cfg.RecordLog, cfg.InstanceList, cfg.TLS.ClientCredentials(), cfg.Seed)
	a.platform.post, a.platform.now = a.loop.post, a.loop.now
	a.forwarder = forwarder.New(forwarder.Config{Address: cfg.EngineAddress, Post: a.loop.post})
	a.server = linker.NewServer(linker.ServerConfig{
		Agent: string(cfg.Upstream), Incarnation: incarnation, Post: a.loop.post, Residents: a.residents, Document: a.document,
	})
	a.grpc = grpc.NewServer(grpc.Creds(cfg.TLS.ServerCredentials()), grpc.MaxRecvMsgSize(linker.MaxMessageBytes))
	linkpb.RegisterLinkServer(a.grpc, a.server)
	var err error
	if a.listener, err = net.Listen("tcp", cfg.Address); err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen for entries on %s", cfg.Address)
	}
	a.admin, err = observer.NewAdminServer(observer.AdminConfig{
		Name: string(cfg.Upstream), Address: cfg.AdminAddress, Healthy: func() bool { return !a.draining.Load() }, Dump: a.Dump, Metrics: a.metrics,
	})
	return a, err
}

// metrics returns the counters, zeros once the agent has stopped.
func (a *Agent) metrics() any {
	var counters reducer.AgentCounters
	a.loop.inspect(func() { counters = a.reducer.Counters })
	return counters
}

// Address returns the address where entries connect, as host:port.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// AdminAddress returns the address of the admin server, as host:port.
func (a *Agent) AdminAddress() string { return a.admin.Address() }

// Dump returns the state of the agent for a JSON dump, nil when it has stopped.
func (a *Agent) Dump() any {
	var state any
	if !a.loop.inspect(func() { state = a.reducer.Dump(a.loop.now()) }) {
		return nil
	}
	return state
}

// Run serves until ctx ends or until the agent has drained after Stop. It returns nil.
func (a *Agent) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, a.cancel)
	defer stop()
	defer a.cancel()
	a.platform.start(a.ctx)
	go a.sendOrders()
	go func() { _ = a.grpc.Serve(a.listener) }()
	go func() { _ = a.admin.Run(a.ctx) }()
	a.loop.serve(a.ctx)
	a.grpc.Stop()
	a.forwarder.Close()
	a.cfg.RecordLog.Close()
	a.cfg.InstanceList.Close()
	return nil
}

// Stop makes the agent refuse new attempts and drain: Run returns when the answers of
// all open attempts have been delivered to the entries.
func (a *Agent) Stop() {
	if a.draining.Swap(true) {
		return
	}
	go a.loop.post(reducer.Drain{})
}

// execute carries out an effect.
func (a *Agent) execute(effect reducer.Effect) {
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
		go a.pollEngine()
	case reducer.QueryResidents:
		go a.queryResidents(ef)
	case reducer.Append:
		a.platform.appendRecord(a.ctx, ef.Stream, ef.Record)
	case reducer.FollowStream:
		go a.platform.follow(a.ctx, ef.Stream)
	case reducer.PublishConfiguration:
		a.configState.Store(ef.State)
		a.platform.setConfigured()
	case reducer.LogEvent:
		observer.Log(a.cfg.Logger.With().Str("upstream", string(a.cfg.Upstream)).Logger(), ef)
	case reducer.Stop:
		a.cancel()
	}
}

// queueOrder queues an order behind those with lower numbers. When the queue is full,
// it reports the order as unsent.
func (a *Agent) queueOrder(o reducer.Order) {
	select {
	case a.orders <- o:
	default:
		go a.loop.post(reducer.OrderCompleted{Number: o.Number, Outcome: reducer.OrderUnsent})
	}
}

func (a *Agent) sendOrders() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case o := <-a.orders:
			a.sendOrder(o)
		}
	}
}

// sendOrder sends an order to the engine unless its lease has expired in the queue.
func (a *Agent) sendOrder(o reducer.Order) {
	if o.Expires > 0 && a.loop.now() >= o.Expires {
		a.loop.post(reducer.OrderCompleted{Number: o.Number, Outcome: reducer.OrderUnsent})
		return
	}
	a.loop.post(a.forwarder.SendOrder(a.ctx, forwarder.OrderRequest{Number: o.Number, Op: o.Op, Model: o.Model, Bytes: o.Bytes}))
}

func (a *Agent) pollEngine() {
	requestedAt := a.loop.now()
	report, err := a.forwarder.PollEngine(a.ctx)
	a.loop.post(reducer.EngineReported{Report: report, RequestedAt: requestedAt, Err: err})
}

func (a *Agent) queryResidents(q reducer.QueryResidents) {
	reply, err := linker.QueryResidents(a.ctx, q.Address, a.cfg.TLS.ClientCredentials())
	ev := reducer.ResidentsReceived{Upstream: q.Upstream, Err: err}
	if err == nil {
		for _, m := range reply.Residents {
			ev.Residents = append(ev.Residents, configurator.ModelName(m))
		}
	}
	a.loop.post(ev)
}

// residents answers the queries of other agents with the models resident in the engine.
func (a *Agent) residents() *linkpb.Holds {
	reply := &linkpb.Holds{}
	a.loop.inspect(func() { reply = a.reducer.Residents() })
	return reply
}

// document answers the queries of processes that have no configuration yet; nil means
// that this agent has none either.
func (a *Agent) document() *linkpb.Document {
	state := a.configState.Load()
	if state == nil {
		return nil
	}
	data, hash := state.Snapshot()
	return &linkpb.Document{Snapshot: data, Hash: hash}
}
