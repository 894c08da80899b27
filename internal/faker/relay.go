package faker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
)

// Relay forwards TCP connections to a target and injects faults into them.
type Relay struct {
	target   string
	listener net.Listener
	bytes    atomic.Int64

	mu         sync.Mutex
	conns      map[*relayConn]bool
	fault      RelayFault
	linkFreeAt time.Time // when the bytes received so far have passed at the Rate of the fault
}

// RelayFault delays, slows or drops the bytes that a Relay receives while it is set. Once
// a connection has dropped bytes in a direction, it drops all later bytes in that
// direction too, since TCP delivers no stream with gaps.
type RelayFault struct {
	Delay    time.Duration // of each read
	Rate     int           // bytes per second that all connections share, zero for no limit
	DropUp   bool          // drop bytes to the target
	DropDown bool          // drop bytes from the target
}

// relayConn is a connection of a client and its connection to the target.
type relayConn struct {
	relay          *Relay
	client, server net.Conn
	mu             sync.Mutex
	dropping       map[net.Conn]bool // by the side whose bytes are dropped
}

const relayBufferBytes = 32 << 10

// NewRelay listens on address and forwards connections to target, both host:port.
func NewRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen on %s", address)
	}
	r := &Relay{target: target, listener: listener, conns: map[*relayConn]bool{}}
	go r.accept()
	return r, nil
}

// Address returns the host:port that the relay listens on.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// Bytes returns the number of bytes received on all connections, in both
// directions.
func (r *Relay) Bytes() int64 {
	return r.bytes.Load()
}

// SetTarget sets the target of later connections.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Blackhole makes the open connections drop all bytes in both directions for the
// rest of their lives, without closing them; new connections work.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.startDropping(c.client)
		c.startDropping(c.server)
	}
}

// SetFault replaces the current fault; the zero value ends it.
func (r *Relay) SetFault(f RelayFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Reset closes the open connections with a TCP reset, which discards the bytes in
// flight.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		for _, side := range []net.Conn{c.client, c.server} {
			if tcp, ok := side.(*net.TCPConn); ok {
				// SetLinger fails only on a connection that is already closed.
				_ = tcp.SetLinger(0)
			}
		}
		c.close()
	}
}

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.handleConn(client)
	}
}

func (r *Relay) handleConn(client net.Conn) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &relayConn{relay: r, client: client, server: server, dropping: map[net.Conn]bool{}}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	go c.copy(client, server)
	c.copy(server, client)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy forwards bytes until one side closes. A direction that drops bytes doesn't
// forward the close either.
func (c *relayConn) copy(from, to net.Conn) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		c.relay.bytes.Add(int64(n))
		fault := c.relay.currentFault()
		if n > 0 && (from == c.client && fault.DropUp || from == c.server && fault.DropDown) {
			c.startDropping(from)
		}
		if c.isDropping(from) {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		time.Sleep(fault.Delay + c.relay.linkDelay(n))
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				c.close()
				return
			}
		}
		if err != nil {
			c.close()
			return
		}
	}
}

// linkDelay returns how long n bytes take to pass at the Rate of the fault, behind those
// received before.
func (r *Relay) linkDelay(n int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault.Rate == 0 {
		return 0
	}
	now := time.Now()
	if r.linkFreeAt.Before(now) {
		r.linkFreeAt = now
	}
	r.linkFreeAt = r.linkFreeAt.Add(time.Duration(n) * time.Second / time.Duration(r.fault.Rate))
	return r.linkFreeAt.Sub(now)
}

func (r *Relay) currentFault() RelayFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

func (c *relayConn) startDropping(side net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropping[side] = true
}

func (c *relayConn) isDropping(side net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropping[side]
}

func (c *relayConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}
