package linker

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/egretwall/egretwall/internal/faker"
	"github.com/egretwall/egretwall/internal/linkpb"
)

// serveDocument serves an agent's configuration behind a relay until the test ends.
func serveDocument(t *testing.T, snapshot []byte) *faker.Relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := grpc.NewServer(grpc.MaxSendMsgSize(MaxMessageBytes))
	linkpb.RegisterLinkServer(s, NewServer(ServerConfig{Document: func() *linkpb.Document { return &linkpb.Document{Snapshot: snapshot} }}))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	relay, err := faker.NewRelay("127.0.0.1:0", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	return relay
}

func TestLargeConfigurationIsFetchedOverASlowLink(t *testing.T) {
	snapshot := make([]byte, 1<<20)
	relay := serveDocument(t, snapshot)
	relay.SetFault(faker.RelayFault{Rate: 400 << 10})
	doc, err := FetchConfiguration(t.Context(), relay.Address(), insecure.NewCredentials())
	require.NoError(t, err)
	require.Equal(t, snapshot, doc.Snapshot)
}

func TestSilentAgentIsGivenUp(t *testing.T) {
	relay := serveDocument(t, nil)
	relay.SetFault(faker.RelayFault{DropDown: true})
	ctx, cancel := context.WithTimeout(t.Context(), maxCallTime)
	defer cancel()
	_, err := FetchConfiguration(ctx, relay.Address(), insecure.NewCredentials())
	require.Error(t, err)
	require.NoError(t, ctx.Err())
}
