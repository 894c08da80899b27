// Package messenger carries datagrams between gateways and stewards.
//
// Usage:
//
//	m, err := messenger.New(messenger.Config{Address: "10.1.0.38:7380", Handle: handle})
//	datagrams, err := messenger.Encode(messenger.Message{Sender: "side-1", Report: &report})
//	m.Send(netip.MustParseAddrPort("10.1.0.40:7380"), datagrams...)
//	m.Run(ctx)
//
// A message whose lists are long is sent in several datagrams, each a message by itself; the
// rest must fit into one. A datagram may be lost or delayed; the next message of its kind
// supersedes it. Messages are CBOR with numbers for the names of fields. Earlier
// builds send and understand JSON; peers get the format that they send, and both before
// they have sent any.
package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/apportioner"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/tracker"
)

const (
	maxDatagramBytes = 65507 // payload of a UDP datagram over IPv4
	maxPeers         = 4096  // whose formats are remembered

	formatMemory = 5 * time.Second // several messages of a peer, some of which may be lost
)

// Message is the content of a datagram. Exactly one of Demands, RequestedAdapter, Report,
// PermitRequest, Permits, Origin, Stream, Absence, Crash, Answered, Suspects, TokenRequest,
// TokenAnswer and Leaving is set;
// Verdicts may come alone too, as may Limits that were split off a message.
type Message struct {
	Sender           string                `json:"name" cbor:"1,keyasint"`                          // name of the sending process
	Demands          *PackedDemands        `json:"demands,omitempty" cbor:"2,keyasint,omitempty"`   // from a gateway, periodically
	RequestedAdapter *registrar.AdapterID  `json:"wanted,omitempty" cbor:"3,keyasint,omitempty"`    // from a gateway; adapter that a request waits for
	Report           *dispatcher.Report    `json:"report,omitempty" cbor:"4,keyasint,omitempty"`    // from a steward
	Version          registrar.Version     `json:"version,omitempty" cbor:"5,keyasint,omitempty"`   // of the sender's configuration in force
	PermitRequest    *limiter.Request      `json:"ask,omitempty" cbor:"6,keyasint,omitempty"`       // from a gateway
	Permits          *limiter.Permits      `json:"permits,omitempty" cbor:"7,keyasint,omitempty"`   // from a steward, the answer to PermitRequest
	Limits           []limiter.Limit       `json:"limits,omitempty" cbor:"8,keyasint,omitempty"`    // from a steward, with some reports
	Origin           *tracker.Origin       `json:"origin,omitempty" cbor:"9,keyasint,omitempty"`    // from a gateway, and from a steward that knows Stream
	Stream           tracker.StreamID      `json:"stream,omitempty" cbor:"10,keyasint,omitempty"`   // from a gateway that asks for its origin
	Absence          *tracker.Absence      `json:"absence,omitempty" cbor:"11,keyasint,omitempty"`  // from a steward that does not know Stream
	Crash            *isolator.Crash       `json:"crash,omitempty" cbor:"12,keyasint,omitempty"`    // from a gateway
	Suspects         []isolator.Trait      `json:"suspects,omitempty" cbor:"13,keyasint,omitempty"` // from a steward that asks whether they have been answered
	Answered         []isolator.Trait      `json:"answered,omitempty" cbor:"14,keyasint,omitempty"` // from a gateway, of Suspects
	Verdicts         []isolator.Verdict    `json:"verdicts,omitempty" cbor:"15,keyasint,omitempty"` // from a steward, with some reports and with Suspects
	TokenRequest     *apportioner.Request  `json:"tokens,omitempty" cbor:"16,keyasint,omitempty"`   // from a gateway
	TokenAnswer      *apportioner.Answer   `json:"issued,omitempty" cbor:"17,keyasint,omitempty"`   // from a steward, the answer to TokenRequest
	Leaving          bool                  `json:"leaving,omitempty" cbor:"18,keyasint,omitempty"`  // from a gateway that shuts down
	Paces            PackedPaces           `json:"paces,omitempty" cbor:"19,keyasint,omitempty"`    // from a gateway, with Demands
	Service          registrar.ServiceName `json:"service,omitempty" cbor:"20,keyasint,omitempty"`  // from a gateway, of Stream; that of the steward's runner if it is empty
}

// Config configures a Messenger. Run calls Handle for each message that it receives.
type Config struct {
	Address string // to listen on, as IP:port
	Handle  func(from netip.AddrPort, m Message)
	Logger  zerolog.Logger
}

// peerFormat is the format of a peer's messages.
type peerFormat struct {
	format format
	at     time.Time // of its last message
}

// Messenger sends and receives messages over one UDP socket.
type Messenger struct {
	cfg  Config
	conn *net.UDPConn

	mu      sync.Mutex
	formats map[netip.AddrPort]peerFormat
}

// New returns a messenger that listens on cfg.Address.
func New(cfg Config) (*Messenger, error) {
	addr, err := netip.ParseAddrPort(cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("messenger address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	return &Messenger{cfg: cfg, conn: conn, formats: map[netip.AddrPort]peerFormat{}}, nil
}

// Send sends an encoded message. A failure is only logged, since datagrams can be lost
// anyway.
func (m *Messenger) Send(to netip.AddrPort, datagrams ...*Datagram) {
	for _, d := range datagrams {
		m.send(to, d)
	}
}

func (m *Messenger) send(to netip.AddrPort, d *Datagram) {
	m.mu.Lock()
	f := m.formats[to].format
	m.mu.Unlock()
	if f != formatJSON {
		m.write(to, d.compact)
	}
	if f == formatCBOR {
		return
	}
	data, err := d.json()
	if err != nil {
		m.cfg.Logger.Error().Str("peer", to.String()).Err(err).Msg("cannot encode message")
		return
	}
	m.write(to, data)
}

func (m *Messenger) write(to netip.AddrPort, data []byte) {
	if _, err := m.conn.WriteToUDPAddrPort(data, to); err != nil {
		m.cfg.Logger.Debug().Str("peer", to.String()).Err(err).Msg("cannot send datagram")
	}
}

// setFormat records the format of a peer's message. A peer that does not know this
// process sends both, so JSON counts only when no CBOR has come for a while.
func (m *Messenger) setFormat(from netip.AddrPort, f format) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known := m.formats[from]; f == formatJSON && known.format == formatCBOR && time.Since(known.at) < formatMemory {
		return
	}
	if len(m.formats) >= maxPeers {
		clear(m.formats) // peers that are gone; the others get both formats until their next message
	}
	m.formats[from] = peerFormat{f, time.Now()}
}

// Run receives messages until ctx ends and then closes the socket.
func (m *Messenger) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.cfg.Logger.Debug().Err(err).Msg("cannot receive datagram")
			continue
		}
		msg, f, err := decode(buf[:n])
		if err != nil {
			m.cfg.Logger.Warn().Str("peer", from.String()).Err(err).Msg("cannot decode datagram")
			continue
		}
		m.setFormat(from, f)
		m.cfg.Handle(from, msg)
	}
}
