package faker

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/egretwall/egretwall/internal/classifier"
)

// Relay passes TCP connections on and can silence those that are open: their
// bytes vanish both ways without a reset, while new connections work.
type Relay struct {
	target   string
	listener net.Listener
	bytes    atomic.Int64

	mu    sync.Mutex
	conns map[*relayConn]bool
}

type relayConn struct {
	relay   *Relay
	in, out net.Conn
	mu      sync.Mutex
	silent  bool
}

const relayBuffer = 32 << 10

// NewRelay listens for connections to target.
func NewRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen on %s", address)
	}
	r := &Relay{target: target, listener: listener, conns: map[*relayConn]bool{}}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// Bytes returns what its connections have carried, both ways.
func (r *Relay) Bytes() int64 {
	return r.bytes.Load()
}

// Retarget sends later connections elsewhere.
func (r *Relay) Retarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Silence makes the open connections drop everything for good.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// Close ends the relay and its connections.
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
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(in)
	}
}

func (r *Relay) connect(in net.Conn) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = in.Close()
		return
	}
	c := &relayConn{relay: r, in: in, out: out}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	go c.copy(in, out)
	c.copy(out, in)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy passes bytes on until one side closes; a silent connection passes
// neither bytes nor the close.
func (c *relayConn) copy(from, to net.Conn) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		c.relay.bytes.Add(int64(n))
		if c.isSilent() {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
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

func (c *relayConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *relayConn) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}
