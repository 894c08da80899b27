package relayer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretwall/egretwall/internal/verifier"
)

// Limits of connections to upstreams.
const (
	dialTimeout        = time.Second            // of a new connection; TCP retransmits a lost SYN only after one second
	defaultKeepAlive   = 20 * time.Second       // idle time of a connection whose upstream sends no Keep-Alive timeout
	keepAliveMargin    = 500 * time.Millisecond // an idle connection expires this long before its upstream closes it
	tcpKeepAliveIdle   = 2 * time.Second        // until TCP keep-alive probes begin, which detect a broken network path
	maxIdlePerUpstream = 64                     // as many as the requests that a runner executes in one batch
	readBufferSize     = 4 << 10                // bytes, enough for the headers of a response
)

// Pool keeps idle connections to upstreams for later requests. It is safe for
// concurrent use.
type Pool struct {
	mu        sync.Mutex
	idle      map[string][]*upstreamConn // by address, in the order of their last use
	dialer    net.Dialer
	OnConnect func() // called for each new connection, set before the first Get
	account   *account
}

// upstreamConn is a connection to an upstream. It carries one request at a time.
type upstreamConn struct {
	*verifier.Conn
	address   string
	source    *headerLimiter // of reader
	reader    *bufio.Reader
	expires   time.Time     // from when the idle connection must not be used any more
	keepAlive time.Duration // how long the connection may be idle
	answered  bool          // a response has been read from it
	account   *account
	closed    atomic.Bool
}

// Close closes the connection.
func (c *upstreamConn) Close() error {
	if !c.closed.Swap(true) {
		c.account.upstreamConnected(-1)
	}
	return c.Conn.Close()
}

// newPool returns an empty pool whose connections are counted by an account.
func newPool(a *account) *Pool {
	return &Pool{
		account: a,
		idle:    map[string][]*upstreamConn{},
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: tcpKeepAliveIdle, Interval: time.Second, Count: 3},
		},
		OnConnect: func() {},
	}
}

// Get returns the most recently used idle connection to the address that is not excluded, or
// dials a new one. A request excludes those that have carried it before: a late copy of the
// earlier response can't be told from the response to the next send.
func (p *Pool) Get(ctx context.Context, address string, excluded []*upstreamConn) (*upstreamConn, error) {
	for {
		c := p.pop(address, excluded)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, address)
}

// Warm dials a new connection to the address and adds it to the idle ones. The error says
// why the upstream can't be reached.
func (p *Pool) Warm(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.Put(c)
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*upstreamConn, error) {
	socket, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.OnConnect()
	p.account.upstreamConnected(1)
	conn := verifier.NewConn(socket)
	source := &headerLimiter{conn: conn}
	return &upstreamConn{Conn: conn, address: address, source: source, reader: bufio.NewReaderSize(source, readBufferSize), keepAlive: defaultKeepAlive, account: p.account}, nil
}

// pop removes and returns the most recently used idle connection to the address that is not
// excluded, nil without one.
func (p *Pool) pop(address string, excluded []*upstreamConn) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i, c := range slices.Backward(conns) {
		if !slices.Contains(excluded, c) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// Put adds an idle connection to the pool, or closes it if the pool has enough to
// its address or the process has too many sockets.
func (p *Pool) Put(c *upstreamConn) {
	if p.account.crowded() {
		_ = c.Close()
		return
	}
	c.expires = time.Now().Add(c.keepAlive)
	p.mu.Lock()
	conns := p.idle[c.address]
	full := len(conns) >= maxIdlePerUpstream
	if !full {
		p.idle[c.address] = append(conns, c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// Sweep closes expired idle connections and all idle connections to addresses that
// are not live, or all while the process has too many sockets.
func (p *Pool) Sweep(live func(address string) bool) {
	now, crowded := time.Now(), p.account.crowded()
	var dropped []*upstreamConn
	p.mu.Lock()
	for address, conns := range p.idle {
		alive := live(address)
		kept := conns[:0]
		for _, c := range conns {
			if alive && !crowded && now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				dropped = append(dropped, c)
			}
		}
		clear(conns[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range dropped {
		_ = c.Close()
	}
}

// abort resets the connection, which discards undelivered data, so that a cancelled
// request does not reach its upstream later.
func (c *upstreamConn) abort() {
	if tcp, ok := c.NetConn().(*net.TCPConn); ok {
		// Fails only if the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// reusable reports whether the connection is open and has no data to read. Data
// that an upstream sends between requests belongs to no request.
func (c *upstreamConn) reusable() bool {
	return c.reader.Buffered() == 0 && peekInput(c.NetConn()) == inputNone
}

// updateKeepAlive sets keepAlive from the headers of a response and reports whether
// the upstream keeps the connection open.
func (c *upstreamConn) updateKeepAlive(resp *http.Response) bool {
	if resp.Close {
		return false
	}
	c.keepAlive = defaultKeepAlive
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.keepAlive = time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return c.keepAlive > 0
}
