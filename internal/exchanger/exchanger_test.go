package exchanger

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/faker"
)

func TestRecordIsServedUnchanged(t *testing.T) {
	var record Record
	s, err := New(Config{Address: "127.0.0.1:0", Current: func() Record { return record }})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()

	_, err = Fetch(t.Context(), s.Address())
	require.ErrorContains(t, err, "404")
	record = Record{Key: "k", Value: []byte("{\"Version\": 7}\x00\xff")}
	got, err := Fetch(t.Context(), s.Address())
	require.NoError(t, err)
	require.Equal(t, record, got)

	cancel()
	require.NoError(t, <-done)
	_, err = Fetch(t.Context(), s.Address())
	require.Error(t, err)
}

func TestRecordThatTakesLongOnASlowLinkIsFetched(t *testing.T) {
	record := Record{Key: "k", Value: make([]byte, 600<<10)}
	_, _ = rand.NewChaCha8([32]byte{}).Read(record.Value)
	s, err := New(Config{Address: "127.0.0.1:0", Current: func() Record { return record }})
	require.NoError(t, err)
	go func() { _ = s.Run(t.Context()) }()
	relay, err := faker.NewRelay("127.0.0.1:0", s.Address())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	relay.SetFault(faker.RelayFault{Rate: 150 << 10})
	got, err := Fetch(t.Context(), relay.Address())
	require.NoError(t, err)
	require.Equal(t, record, got)
}
