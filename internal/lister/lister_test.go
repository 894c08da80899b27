package lister_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
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

// Failures and broken responses whose bodies read as a list were taken for the list.
func TestOnlyWholeListsCount(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 500 Oops\r\n", "HTTP/1.1 503 Full\r\n", "HTTP/1.1 000 Oops\r\n", "HTTP/1.1 200 OK\r\nNo te: x\r\n"} {
		t.Run(head, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = io.WriteString(c, head+"Content-Length: 2\r\n\r\n[]")
					_ = c.Close()
				}
			}))
			defer server.Close()
			client := lister.NewClient(lister.Config{Address: strings.TrimPrefix(server.URL, "http://")})
			defer client.Close()
			_, _, err := client.List(t.Context())
			require.Equal(t, classifier.Lost, classifier.KindOf(err))
		})
	}
}
