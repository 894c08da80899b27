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

// Limits of connections.
const (
	openTimeout = 400 * time.Millisecond // to connect and be welcomed
	lookTimeout = 800 * time.Millisecond
	// MaxMessageBytes bounds a message between two processes.
	MaxMessageBytes = 16 << 20
)

// ClientConfig connects a Client with its entry.
type ClientConfig struct {
	Entry       reducer.EntryID
	Incarnation reducer.Incarnation
	Credentials credentials.TransportCredentials
	Post        func(reducer.Event)
}

// Client keeps an entry's connections to agents.
type Client struct {
	cfg ClientConfig

	mu    sync.Mutex
	conns map[configurator.UpstreamName]*clientConn
}

type clientConn struct {
	epoch  reducer.Epoch
	out    *queue[*linkpb.Up]
	cancel context.CancelFunc
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, conns: map[configurator.UpstreamName]*clientConn{}}
}

// Dial opens a connection and reports Linked or Unlinked.
func (c *Client) Dial(ctx context.Context, d reducer.Dial) {
	ctx, cancel := context.WithCancel(ctx)
	conn := &clientConn{epoch: d.Epoch, out: newQueue[*linkpb.Up](), cancel: cancel}
	c.mu.Lock()
	old := c.conns[d.Peer]
	c.conns[d.Peer] = conn
	c.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	go c.serve(ctx, d, conn)
}

// serve runs a connection until it ends.
func (c *Client) serve(ctx context.Context, d reducer.Dial, conn *clientConn) {
	defer conn.cancel()
	defer c.cfg.Post(reducer.AgentDisconnected{Peer: d.Peer, Epoch: d.Epoch})
	cc, err := connect(d.Address, c.cfg.Credentials)
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
	go conn.out.drain(ctx.Done(), stream.Send)
	for {
		down, err := stream.Recv()
		if err != nil {
			return
		}
		c.cfg.Post(reducer.MessageFromAgent{Peer: d.Peer, Epoch: d.Epoch, Message: down})
	}
}

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
		return nil, 0, classifier.New(classifier.Internal, "%s answers for another upstream, correct its address", d.Address)
	}
	return stream, reducer.Incarnation(welcome.Incarnation), nil
}

// Send queues a message for an agent; it is dropped when the connection is gone.
func (c *Client) Send(peer configurator.UpstreamName, epoch reducer.Epoch, up *linkpb.Up) {
	c.mu.Lock()
	conn := c.conns[peer]
	c.mu.Unlock()
	if conn != nil && conn.epoch == epoch {
		conn.out.push(up)
	}
}

// CloseConnection ends a connection.
func (c *Client) CloseConnection(peer configurator.UpstreamName, epoch reducer.Epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[peer]; conn != nil && conn.epoch == epoch {
		conn.cancel()
		delete(c.conns, peer)
	}
}

// connect returns a connection that never retries a call by itself.
func connect(address string, creds credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: openTimeout}).DialContext(ctx, "tcp", addr)
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	)
}

// QueryResidents asks an agent what its runner holds.
func QueryResidents(ctx context.Context, address string, creds credentials.TransportCredentials) (*linkpb.Holds, error) {
	return call(ctx, address, creds, linkpb.LinkClient.Look)
}

// FetchConfiguration asks an agent for the accepted configuration.
func FetchConfiguration(ctx context.Context, address string, creds credentials.TransportCredentials) (*linkpb.Document, error) {
	return call(ctx, address, creds, linkpb.LinkClient.Fetch)
}

type method[A any] func(linkpb.LinkClient, context.Context, *linkpb.LookRequest, ...grpc.CallOption) (A, error)

func call[A any](ctx context.Context, address string, creds credentials.TransportCredentials, m method[A]) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	var none A
	cc, err := connect(address, creds)
	if err != nil {
		return none, err
	}
	defer func() { _ = cc.Close() }()
	return m(linkpb.NewLinkClient(cc), ctx, &linkpb.LookRequest{})
}
