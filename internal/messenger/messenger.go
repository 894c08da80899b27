// Package messenger carries datagrams between gateways and stewards.
//
// Usage:
//
//	m, err := messenger.New(messenger.Config{Address: "10.1.0.38:7380", Handle: handle})
//	data, err := messenger.Encode(messenger.Message{Sender: "side-1", Report: &report})
//	m.Send(netip.MustParseAddrPort("10.1.0.40:7380"), data)
//	m.Run(ctx)
//
// A message must fit into one datagram. It may be lost or delayed; the next message of
// its kind supersedes it.
package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// maxDatagramBytes is the maximum payload of a UDP datagram over IPv4.
const maxDatagramBytes = 65507

// Message is the JSON content of a datagram; one of Demands, RequestedAdapter and Report is
// set.
type Message struct {
	Sender           string               `json:"name"`              // name of the sending process
	Demands          *PackedDemands       `json:"demands,omitempty"` // from a gateway, periodically
	RequestedAdapter *registrar.AdapterID `json:"wanted,omitempty"`  // from a gateway; adapter that a request waits for
	Report           *dispatcher.Report   `json:"report,omitempty"`  // from a steward
	Version          registrar.Version    `json:"version,omitempty"` // of the sender's configuration in force
}

// Config configures a Messenger. Run calls Handle for each message that it receives.
type Config struct {
	Address string // to listen on, as IP:port
	Handle  func(from netip.AddrPort, m Message)
	Logger  zerolog.Logger
}

// Messenger sends and receives messages over one UDP socket.
type Messenger struct {
	cfg  Config
	conn *net.UDPConn
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
	return &Messenger{cfg, conn}, nil
}

// Encode encodes a message for Send. It fails if the message exceeds a datagram.
func Encode(m Message) ([]byte, error) {
	data, err := json.Marshal(m)
	if err == nil && len(data) > maxDatagramBytes {
		err = fmt.Errorf("message of %d bytes exceeds a datagram", len(data))
	}
	return data, err
}

// Send sends an encoded message. A failure is only logged, since datagrams can be lost
// anyway.
func (m *Messenger) Send(to netip.AddrPort, data []byte) {
	if _, err := m.conn.WriteToUDPAddrPort(data, to); err != nil {
		m.cfg.Logger.Debug().Str("peer", to.String()).Err(err).Msg("cannot send datagram")
	}
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
		var msg Message
		if err := json.Unmarshal(buf[:n], &msg); err != nil {
			m.cfg.Logger.Warn().Str("peer", from.String()).Err(err).Msg("cannot decode datagram")
			continue
		}
		m.cfg.Handle(from, msg)
	}
}
