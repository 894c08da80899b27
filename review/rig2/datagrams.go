package main

import (
	"net"
	"net/netip"
	"sync"
)

// maxDatagram is the largest payload of a datagram, in bytes.
const maxDatagram = 65507

// datagramRelay stands at the address of a steward and passes datagrams on, both ways, unless
// the machine of a peer is cut off.
type datagramRelay struct {
	conn   *net.UDPConn
	target netip.AddrPort

	mu    sync.Mutex
	peers map[netip.AddrPort]*net.UDPConn // sockets to the target, by the peer they stand for
	cut   map[netip.Addr]bool
}

func newDatagramRelay(address, target string) (*datagramRelay, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	t, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	r := &datagramRelay{conn: conn, target: t, peers: map[netip.AddrPort]*net.UDPConn{}, cut: map[netip.Addr]bool{}}
	go r.forward()
	return r, nil
}

// setCut cuts a machine off, or ends that.
func (r *datagramRelay) setCut(machine netip.Addr, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[machine] = cut
}

func (r *datagramRelay) isCut(machine netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[machine]
}

// forward passes what peers send on to the target.
func (r *datagramRelay) forward() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue
		}
		if r.isCut(from.Addr()) {
			continue
		}
		if c := r.socketFor(from); c != nil {
			_, _ = c.Write(buf[:n])
		}
	}
}

// socketFor returns the socket to the target that stands for a peer.
func (r *datagramRelay) socketFor(peer netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.peers[peer]; c != nil {
		return c
	}
	c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	r.peers[peer] = c
	go r.answer(peer, c)
	return c
}

// answer passes what the target sends back to a peer.
func (r *datagramRelay) answer(peer netip.AddrPort, c *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.Read(buf)
		if err != nil || r.isCut(peer.Addr()) {
			continue
		}
		_, _ = r.conn.WriteToUDPAddrPort(buf[:n], peer)
	}
}
