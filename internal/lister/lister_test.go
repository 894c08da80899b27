package lister_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/faker"
	"github.com/egretwall/egretwall/internal/lister"
)

func TestLargeListIsReadOverASlowLink(t *testing.T) {
	entries := strings.Repeat(`{"name":"upstream"},`, 40_000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("[" + strings.TrimSuffix(entries, ",") + "]"))
	}))
	defer server.Close()
	relay, err := faker.NewRelay("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	relay.SetFault(faker.RelayFault{Rate: 400 << 10}) // two seconds
	client := lister.NewClient(lister.Config{Address: relay.Address()})
	defer client.Close()
	all, size, err := client.List(t.Context())
	require.NoError(t, err)
	require.Len(t, all, 40_000)
	require.Equal(t, len(entries)+1, size)
}
