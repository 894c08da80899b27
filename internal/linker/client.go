package linker

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Timeouts and limits of connections.
const (
	openTimeout = 400 * time.Millisecond // to connect and receive the agent's welcome message
	callTimeout = 800 * time.Millisecond // without any progress, for QueryResidents and FetchConfiguration
	maxCallTime = 30 * time.Second       // for these, however they progress
	// MaxMessageBytes is the size limit of a gRPC message between two processes.
	MaxMessageBytes = 16 << 20
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Entry       reducer.EntryID
	Incarnation reducer.Incarnation
	Credentials credentials.TransportCredentials
	Post        func(reducer.Event) // passes an event to the entry's reducer
}

// Client manages an entry's connections to agents, one for each upstream. It is safe
// for concurrent use.
type Client struct {
	cfg ClientConfig

	mu    sync.Mutex
	conns map[configurator.UpstreamName]*clientConn
}

type clientConn struct {
	epoch     reducer.Epoch
	sendQueue *queue[*linkpb.Up]
	cancel    context.CancelFunc
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, conns: map[configurator.UpstreamName]*clientConn{}}
}

// Dial opens a connection in the background and closes an older one to the same
// upstream. It posts AgentConnected once the agent has sent its welcome message,
// MessageFromAgent for each message, and AgentDisconnected when the connection has
// failed or ended.
func (c *Client) Dial(ctx context.Context, d reducer.Dial) {
	ctx, cancel := context.WithCancel(ctx)
	conn := &clientConn{epoch: d.Epoch, sendQueue: newQueue[*linkpb.Up](), cancel: cancel}
	c.mu.Lock()
	old := c.conns[d.Peer]
	c.conns[d.Peer] = conn
	c.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	go c.serve(ctx, d, conn)
}

// serve opens a connection and receives its messages until it ends.
func (c *Client) serve(ctx context.Context, d reducer.Dial, conn *clientConn) {
	defer conn.cancel()
	defer c.cfg.Post(reducer.AgentDisconnected{Peer: d.Peer, Epoch: d.Epoch})
	cc, err := newGRPCConn(d.Address, c.cfg.Credentials, nil)
	if err != nil {
		return
	}
	defer func() { _ = cc.Close() }()
	timer := time.AfterFunc(openTimeout, conn.cancel)
	stream, incarnation, err := c.open(ctx, cc, d)
	if err != nil || !timer.Stop() {
		return
	}
	c.cfg.Post(reducer.AgentConnected{Peer: d.Peer, Epoch: d.Epoch, Incarnation: incarnation})
	go conn.sendQueue.sendLoop(ctx.Done(), stream.Send)
	for {
		msg, err := stream.Recv()
		if err != nil {
			return
		}
		c.cfg.Post(reducer.MessageFromAgent{Peer: d.Peer, Epoch: d.Epoch, Message: msg})
	}
}

// open starts the stream of a connection: it sends hello and waits for the welcome
// message, which must come from the expected upstream. It returns the incarnation of the
// agent.
func (c *Client) open(ctx context.Context, cc *grpc.ClientConn, d reducer.Dial) (linkpb.Link_OpenClient, reducer.Incarnation, error) {
	stream, err := linkpb.NewLinkClient(cc).Open(ctx)
	if err != nil {
		return nil, 0, err
	}
	hello := &linkpb.Hello{Entry: string(c.cfg.Entry), Incarnation: uint64(c.cfg.Incarnation), Epoch: uint64(d.Epoch), Version: uint64(d.Version)}
	if err := stream.Send(&linkpb.Up{Kind: &linkpb.Up_Hello{Hello: hello}}); err != nil {
		return nil, 0, err
	}
	first, err := stream.Recv()
	if err != nil {
		return nil, 0, err
	}
	welcome := first.GetWelcome()
	if welcome == nil || welcome.Agent != string(d.Peer) {
		return nil, 0, classifier.New(classifier.Internal, "agent at %s belongs to another upstream, correct the address in the configuration", d.Address)
	}
	return stream, reducer.Incarnation(welcome.Incarnation), nil
}

// Send queues a message for an agent. It drops the message if the connection with this
// epoch is no longer open.
func (c *Client) Send(peer configurator.UpstreamName, epoch reducer.Epoch, msg *linkpb.Up) {
	c.mu.Lock()
	conn := c.conns[peer]
	c.mu.Unlock()
	if conn != nil && conn.epoch == epoch {
		conn.sendQueue.push(msg)
	}
}

// CloseConnection closes the connection with the given epoch.
func (c *Client) CloseConnection(peer configurator.UpstreamName, epoch reducer.Epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[peer]; conn != nil && conn.epoch == epoch {
		conn.cancel()
		delete(c.conns, peer)
	}
}

// observedConn calls onRead when bytes come.
type observedConn struct {
	net.Conn
	onRead func()
}

// Read reads from the connection.
func (c observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onRead()
	}
	return n, err
}

// newGRPCConn returns a connection that is opened on first use and never retries a call
// by itself. It calls onRead, if that is not nil, when bytes come.
func newGRPCConn(address string, creds credentials.TransportCredentials, onRead func()) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{Timeout: openTimeout}).DialContext(ctx, "tcp", addr)
			if err != nil || onRead == nil {
				return conn, err
			}
			return observedConn{conn, onRead}, nil
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	)
}

// QueryResidents asks an agent for the models resident on its runner. It opens a
// connection for this call only.
func QueryResidents(ctx context.Context, address string, creds credentials.TransportCredentials) (*linkpb.Holds, error) {
	return callAgent(ctx, address, creds, linkpb.LinkClient.Look)
}

// FetchConfiguration asks an agent for a snapshot of the configuration in force. It
// opens a connection for this call only. The error has code NotFound while the agent has
// no configuration.
func FetchConfiguration(ctx context.Context, address string, creds credentials.TransportCredentials) (*linkpb.Document, error) {
	return callAgent(ctx, address, creds, linkpb.LinkClient.Fetch)
}

// rpcMethod is a unary method of the generated client.
type rpcMethod[A any] func(linkpb.LinkClient, context.Context, *linkpb.LookRequest, ...grpc.CallOption) (A, error)

// callAgent calls m over a connection of its own.
func callAgent[A any](ctx context.Context, address string, creds credentials.TransportCredentials, m rpcMethod[A]) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	timer := time.AfterFunc(callTimeout, cancel)
	defer timer.Stop()
	var zero A
	cc, err := newGRPCConn(address, creds, func() { timer.Reset(callTimeout) })
	if err != nil {
		return zero, err
	}
	defer func() { _ = cc.Close() }()
	return m(linkpb.NewLinkClient(cc), ctx, &linkpb.LookRequest{})
}
