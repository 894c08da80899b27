package messenger

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

func TestUndecodableDatagramIsSkipped(t *testing.T) {
	got := make(chan Message, 1)
	handle := func(_ netip.AddrPort, m Message) { got <- m }
	receiver, err := New(Config{Address: "127.0.0.1:0", Handle: handle, Logger: zerolog.Nop()})
	require.NoError(t, err)
	sender, err := New(Config{Address: "127.0.0.1:0", Logger: zerolog.Nop()})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		receiver.Run(ctx)
		close(done)
	}()
	to := netip.MustParseAddrPort(receiver.conn.LocalAddr().String())
	sender.write(to, []byte("{torn"))
	sender.write(to, []byte{0xa1, 0x04})
	data, err := encodeOne(Message{Sender: "a", Report: &dispatcher.Report{Address: "10.0.0.1:80", Running: 3}})
	require.NoError(t, err)
	sender.Send(to, data)
	m := <-got
	require.Equal(t, 3, m.Report.Running)
	cancel()
	<-done
}

func TestOversizedMessageIsRejected(t *testing.T) {
	demands := PackedDemands{Rows: make([][]float64, 70000)}
	_, err := Encode(Message{Demands: &demands})
	require.Error(t, err)
}

// A partial report is sent to each gateway several times a second.
func TestPartialReportIsSmall(t *testing.T) {
	report := dispatcher.Report{
		Address: "10.103.200.240:18765", Incarnation: 1793000000000, Sequence: 42, Partial: true, Running: 60, Waiting: 12, KVUsed: 90000, KVTotal: 132258, Gateways: 103, SinceStoreLoad: 73 * time.Second,
	}
	d, err := encodeOne(Message{Sender: "side-be-north-a-101", Report: &report, Version: 1792})
	require.NoError(t, err)
	require.Less(t, len(d.compact), 110)
	asJSON, err := d.json()
	require.NoError(t, err)
	require.Greater(t, len(asJSON), 2*len(d.compact))
	for _, data := range [][]byte{d.compact, asJSON} {
		m, _, err := decode(data)
		require.NoError(t, err)
		require.Equal(t, &report, m.Report)
		require.EqualValues(t, 1792, m.Version)
	}
}

// format of a message that reaches a socket.
func receivedFormat(t *testing.T, conn *net.UDPConn) format {
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	buf := make([]byte, maxDatagramBytes)
	n, _, err := conn.ReadFromUDPAddrPort(buf)
	require.NoError(t, err)
	_, f, err := decode(buf[:n])
	require.NoError(t, err)
	return f
}

// Earlier builds understand JSON only; a peer gets both formats until it has sent one.
func TestPeersGetTheFormatThatTheySend(t *testing.T) {
	handled := make(chan Message, 1)
	m, err := New(Config{Address: "127.0.0.1:0", Handle: func(_ netip.AddrPort, m Message) { handled <- m }, Logger: zerolog.Nop()})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(done)
	}()
	peer, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	address, own := netip.MustParseAddrPort(peer.LocalAddr().String()), netip.MustParseAddrPort(m.conn.LocalAddr().String())
	d, err := encodeOne(Message{Sender: "a", Version: 3})
	require.NoError(t, err)
	asJSON, err := d.json()
	require.NoError(t, err)
	m.Send(address, d)
	require.Equal(t, formatCBOR, receivedFormat(t, peer))
	require.Equal(t, formatJSON, receivedFormat(t, peer))
	for _, c := range []struct {
		sent     []byte
		expected format
	}{{asJSON, formatJSON}, {d.compact, formatCBOR}, {asJSON, formatCBOR}} {
		_, err = peer.WriteToUDPAddrPort(c.sent, own)
		require.NoError(t, err)
		require.EqualValues(t, 3, (<-handled).Version)
		m.Send(address, d)
		require.Equal(t, c.expected, receivedFormat(t, peer))
	}
	cancel()
	<-done
}

func FuzzDecode(f *testing.F) {
	d, err := encodeOne(Message{Sender: "a", Report: &dispatcher.Report{Address: "10.0.0.1:80"}, Demands: &PackedDemands{Rows: [][]float64{{1, 2, 3, 4}}}})
	require.NoError(f, err)
	asJSON, err := d.json()
	require.NoError(f, err)
	f.Add(d.compact)
	f.Add(asJSON)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, _, err := decode(data)
		if err != nil {
			return
		}
		if m.Demands != nil {
			// Only valid rows are unpacked; any others are an error.
			_, _ = m.Demands.Unpack(nil)
		}
	})
}
