// Package messenger carries datagrams between gateways and stewards.
//
// Usage:
//
//	m, err := messenger.New(messenger.Config{Address: "10.1.0.38:7380", Handle: handle})
//	m.Send("10.1.0.40:7380", messenger.Message{Report: &report})
//	m.Run(ctx)
//
// A message may be lost or come late; the next one of its kind replaces it. It
// has to fit into one datagram.
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

// datagramBound is the most bytes that a UDP datagram carries over IPv4.
const datagramBound = 65507

// Message is one datagram; one of its parts is set.
type Message struct {
	Sender           string               `json:"name"`              // of the sender
	Demands          *PackedDemands       `json:"demands,omitempty"` // from a gateway, every period
	RequestedAdapter *registrar.AdapterID `json:"wanted,omitempty"`  // from a gateway
	Report           *dispatcher.Report   `json:"report,omitempty"`  // from a steward
	Version          registrar.Version    `json:"version,omitempty"` // of the sender's configuration
}

// Config configures a Messenger.
type Config struct {
	Address string
	Handle  func(from netip.AddrPort, m Message)
	Logger  zerolog.Logger
}

// Messenger sends and receives datagrams at one address.
type Messenger struct {
	cfg  Config
	conn *net.UDPConn
}

// New listens on the address.
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

// Encode prepares a message that goes to several receivers.
func Encode(m Message) ([]byte, error) {
	data, err := json.Marshal(m)
	if err == nil && len(data) > datagramBound {
		err = fmt.Errorf("message of %d bytes exceeds a datagram", len(data))
	}
	return data, err
}

// Send sends an encoded message. Datagrams may be lost, so that a failure is
// only logged.
func (m *Messenger) Send(to netip.AddrPort, data []byte) {
	if _, err := m.conn.WriteToUDPAddrPort(data, to); err != nil {
		m.cfg.Logger.Debug().Str("peer", to.String()).Err(err).Msg("datagram not sent")
	}
}

// Run hands over what is received until ctx ends.
func (m *Messenger) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	buf := make([]byte, datagramBound)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.cfg.Logger.Debug().Err(err).Msg("datagram not received")
			continue
		}
		var msg Message
		if err := json.Unmarshal(buf[:n], &msg); err != nil {
			m.cfg.Logger.Warn().Str("peer", from.String()).Err(err).Msg("datagram is not readable")
			continue
		}
		m.cfg.Handle(from, msg)
	}
}
