package relayer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Timing of connections to upstreams.
const (
	dialTimeout   = time.Second            // opening a connection, a lost opening packet is sent again after one
	idleLife      = 20 * time.Second       // of an idle connection whose upstream names no timeout
	idleMargin    = 500 * time.Millisecond // an idle connection is dropped this long before its upstream does
	keepAliveIdle = 2 * time.Second        // probes start after it, so that a silent path is found
	maxIdle       = 64                     // idle connections kept for one upstream; a runner's batch
	readBuffer    = 4 << 10                // bytes; an answer's header fits
)

// Pool keeps connections to upstreams open between requests.
type Pool struct {
	mu        sync.Mutex
	idle      map[string][]*upstreamConn // by address, the longest idle first
	dialer    net.Dialer
	OnConnect func() // called for each new connection
}

// upstreamConn is a connection that carries one request at a time.
type upstreamConn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	until   time.Time // when it must not be used again
	life    time.Duration
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		idle: map[string][]*upstreamConn{},
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 3},
		},
		OnConnect: func() {},
	}
}

// Get returns an idle connection or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*upstreamConn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.OnConnect()
	return &upstreamConn{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readBuffer), life: idleLife}, nil
}

func (p *Pool) take(address string) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// Put keeps a connection for the next request.
func (p *Pool) Put(c *upstreamConn) {
	c.until = time.Now().Add(c.life)
	p.mu.Lock()
	conns := p.idle[c.address]
	full := len(conns) >= maxIdle
	if !full {
		p.idle[c.address] = append(conns, c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// Sweep closes connections that were idle too long, and all those to addresses
// that are not live.
func (p *Pool) Sweep(live func(address string) bool) {
	now := time.Now()
	var dropped []*upstreamConn
	p.mu.Lock()
	for address, conns := range p.idle {
		alive := live(address)
		kept := conns[:0]
		for _, c := range conns {
			if alive && now.Before(c.until) {
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

// abort drops the connection together with what has not been delivered yet, so
// that a request held up on the way does not reach its upstream later.
func (c *upstreamConn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Fails only on a connection that is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// quiet tells whether the connection is open and has nothing to read: what an
// upstream sends between requests belongs to none.
func (c *upstreamConn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(rerr, syscall.EAGAIN)
	})
	return err == nil && open
}

// remember takes over how long the upstream keeps the connection, and tells
// whether it does.
func (c *upstreamConn) remember(resp *http.Response) bool {
	if resp.Close {
		return false
	}
	c.life = idleLife
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.life = time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return c.life > 0
}
