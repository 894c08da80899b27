package exchanger

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/faker"
)

// serve serves the record that current returns until the test ends.
func serve(t *testing.T, current func() Record) *Server {
	s, err := New(Config{Address: "127.0.0.1:0", Current: current})
	require.NoError(t, err)
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return s
}

func TestRecordIsServedUnchanged(t *testing.T) {
	var record Record
	s, err := New(Config{Address: "127.0.0.1:0", Current: func() Record { return record }})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()

	_, err = Fetch(t.Context(), Request{Address: s.Address()})
	require.ErrorContains(t, err, "404")
	record = Record{Key: "k", Value: []byte("{\"Version\": 7}\x00\xff"), Version: 7}
	got, err := Fetch(t.Context(), Request{Address: s.Address()})
	require.NoError(t, err)
	require.Equal(t, record, got)

	cancel()
	require.NoError(t, <-done)
	_, err = Fetch(t.Context(), Request{Address: s.Address()})
	require.Error(t, err)
}

func TestOnlyNewerRecordsAreSent(t *testing.T) {
	record := Record{Key: "k", Value: []byte("first"), Version: 7}
	s := serve(t, func() Record { return record })
	got, err := Fetch(t.Context(), Request{Address: s.Address(), After: 6})
	require.NoError(t, err)
	require.Equal(t, record, got)
	_, err = Fetch(t.Context(), Request{Address: s.Address(), After: 7})
	require.ErrorIs(t, err, ErrNotNewer)
	record = Record{Key: "k", Value: []byte("second"), Version: 8}
	got, err = Fetch(t.Context(), Request{Address: s.Address(), After: 7})
	require.NoError(t, err)
	require.Equal(t, record, got, "not the encoded one of the version before")
}

func TestRecordsAreExchangedWithEarlierBuilds(t *testing.T) {
	record := Record{Key: "k", Value: []byte("{\"Version\": 7}")}
	s := serve(t, func() Record { return record })
	resp, err := http.Get("http://" + s.Address() + configurationPath)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.JSONEq(t, `{"key": "k", "value": "eyJWZXJzaW9uIjogN30="}`, string(data))

	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(record)
	}))
	defer earlier.Close()
	got, err := Fetch(t.Context(), Request{Address: strings.TrimPrefix(earlier.URL, "http://"), After: 6})
	require.NoError(t, err)
	require.Equal(t, record, got)
}

func TestRecordThatTakesLongOnASlowLinkIsFetched(t *testing.T) {
	record := Record{Key: "k", Value: make([]byte, 600<<10), Version: 7}
	_, _ = rand.NewChaCha8([32]byte{}).Read(record.Value) // can't be compressed
	s := serve(t, func() Record { return record })
	relay, err := faker.NewRelay("127.0.0.1:0", s.Address())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	relay.SetFault(faker.RelayFault{Rate: 150 << 10})
	parts := 0
	got, err := Fetch(t.Context(), Request{Address: relay.Address(), Progress: func() { parts++ }})
	require.NoError(t, err)
	require.Equal(t, record, got)
	require.Greater(t, parts, 10)
}

func TestRecordWithManyRoutesIsCompressed(t *testing.T) {
	record := Record{Key: "k", Value: []byte(strings.Repeat(`{"Name":"r","Host":"dues.example","Kind":"streaming"},`, 50_000)), Version: 7}
	s := serve(t, func() Record { return record })
	relay, err := faker.NewRelay("127.0.0.1:0", s.Address())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	got, err := Fetch(t.Context(), Request{Address: relay.Address()})
	require.NoError(t, err)
	require.Equal(t, record, got)
	require.Less(t, relay.Bytes(), int64(len(record.Value)/10))
}
