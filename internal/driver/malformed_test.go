package driver

import (
	"io"
	"math/rand"
	"net/netip"
	"reflect"
	"testing"
	"testing/quick"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/apportioner"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/messenger"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/reconciler"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/relayer"
	"github.com/egretwall/egretwall/internal/tracker"
)

// messagesSent is the number of random messages that each process gets.
const messagesSent = 5000

// randomMessage returns a message of random content that a peer could send: some of its
// fields are set, and names are mostly known ones.
func randomMessage(rnd *rand.Rand) messenger.Message {
	v, ok := quick.Value(reflect.TypeFor[messenger.Message](), rnd)
	if !ok {
		panic("no value")
	}
	m := v.Interface().(messenger.Message)
	fields := reflect.ValueOf(&m).Elem()
	for i := range fields.NumField() {
		if rnd.Intn(3) > 0 {
			fields.Field(i).SetZero()
		}
	}
	if m.Report != nil {
		m.Report.Address, m.Report.Incarnation = "10.0.0.1:80", 7
	}
	return m
}

// A malformed message of a peer must not end the process.
func TestMalformedMessagesAreBorne(t *testing.T) {
	log, err := observer.NewBoundedLogger(io.Discard, "error")
	require.NoError(t, err)
	m, err := messenger.New(messenger.Config{Address: "127.0.0.1:0", Logger: log.Logger})
	require.NoError(t, err)
	const address = "10.0.0.1:80"
	upstream := &registrar.Upstream{ID: "i-1", Service: "llm", Address: address, Incarnation: 7, State: registrar.Ready, Slots: 8}
	configuration := &registrar.Configuration{Version: 1, Services: map[registrar.ServiceName]registrar.Service{"llm": {Name: "llm", Engine: &registrar.Engine{Slots: 8}}}}
	syncer := newSyncer(&longPollStore{}, log.Logger, stewardPollTiming)
	s := &Steward{
		cfg: StewardConfig{RunnerAddress: address, Service: "llm", Log: log}, syncer: syncer, messenger: m,
		reconciler: reconciler.New(reconciler.Config{Address: address}), limits: limiter.NewTable(), origins: newOriginKeeper("llm", syncer, nil, log.Logger), verdicts: newVerdictKeeper(nil), quotas: apportioner.NewLedger(),
		gatewaySeenAt: map[netip.AddrPort]time.Duration{},
	}
	s.issuer = limiter.NewIssuer(s.limits, s.quotas)
	s.apply(reconciler.ConfigurationChanged{Configuration: configuration})
	s.apply(reconciler.RunnersListed{Upstreams: []*registrar.Upstream{upstream}})
	g := &Gateway{
		cfg: GatewayConfig{Log: log}, syncer: newSyncer(&longPollStore{}, log.Logger, stewardPollTiming), messenger: m,
		dispatcher: dispatcher.New(dispatcher.Config{}), mailboxes: map[dispatcher.RequestID]*relayer.Mailbox{}, arrivedAt: map[dispatcher.RequestID]time.Duration{},
		savedStreams: tracker.New(),
	}
	g.origins = newGatewayOrigins(g)
	g.Reduce(dispatcher.Configured{Configuration: configuration})
	g.Reduce(dispatcher.UpstreamsListed{Upstreams: []*registrar.Upstream{upstream}})
	t.Cleanup(func() { require.NoError(t, log.Close()) })
	from := netip.MustParseAddrPort("127.0.0.1:9")
	rnd := rand.New(rand.NewSource(1))
	for range messagesSent {
		message := randomMessage(rnd)
		require.NotPanics(t, func() { s.handleMessage(from, message) }, "steward: %+v", message)
		require.NotPanics(t, func() { s.judgeOnce() }, "steward: %+v", message)
		require.NotPanics(t, func() { g.handleMessage(from, message) }, "gateway: %+v", message)
		require.NotPanics(t, func() { g.Reduce(dispatcher.Tick{}) }, "gateway: %+v", message)
	}
}
