package messenger

import (
	"context"
	"net/netip"
	"testing"

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
	sender.Send(to, []byte("{torn"))
	data, err := Encode(Message{Sender: "a", Report: &dispatcher.Report{Address: "10.0.0.1:80", Running: 3}})
	require.NoError(t, err)
	sender.Send(to, data)
	m := <-got
	require.Equal(t, 3, m.Report.Running)
	cancel()
	<-done
}

func TestOversizedMessageIsRejected(t *testing.T) {
	demands := PackedDemands{Rows: make([][]float64, 20000)}
	_, err := Encode(Message{Demands: &demands})
	require.Error(t, err)
}
