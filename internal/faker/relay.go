package faker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
)

// Relay passes TCP connections on and can disturb them.
type Relay struct {
	target   string
	listener net.Listener
	bytes    atomic.Int64

	mu          sync.Mutex
	conns       map[*relayConn]bool
	disturbance RelayFault
}

// RelayFault is what a Relay does to the bytes that come while it lasts. A
// connection that has lost bytes in a direction passes none there for good.
type RelayFault struct {
	Delay    time.Duration // of each chunk
	DropUp   bool          // bytes to the target vanish
	DropDown bool          // bytes from the target vanish
}

type relayConn struct {
	relay   *Relay
	in, out net.Conn
	mu      sync.Mutex
	silent  map[net.Conn]bool // by the side whose bytes vanish
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

// SetTarget sends later connections elsewhere.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Blackhole makes the open connections drop everything for good, while new ones
// work.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.drop(c.in)
		c.drop(c.out)
	}
}

// SetFault replaces the disturbance; the zero value ends it.
func (r *Relay) SetFault(d RelayFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbance = d
}

// Reset ends the open connections without delivering what is on its way.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		for _, side := range []net.Conn{c.in, c.out} {
			if tcp, ok := side.(*net.TCPConn); ok {
				// Fails only on a connection that is closed already.
				_ = tcp.SetLinger(0)
			}
		}
		c.close()
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
	c := &relayConn{relay: r, in: in, out: out, silent: map[net.Conn]bool{}}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	go c.copy(in, out)
	c.copy(out, in)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy passes bytes on until one side closes; a silent side passes neither
// bytes nor the close.
func (c *relayConn) copy(from, to net.Conn) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		c.relay.bytes.Add(int64(n))
		d := c.relay.current()
		if n > 0 && (from == c.in && d.DropUp || from == c.out && d.DropDown) {
			c.drop(from)
		}
		if c.drops(from) {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		time.Sleep(d.Delay)
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

func (r *Relay) current() RelayFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disturbance
}

func (c *relayConn) drop(side net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[side] = true
}

func (c *relayConn) drops(side net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent[side]
}

func (c *relayConn) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}
