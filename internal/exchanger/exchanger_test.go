package exchanger

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRecordIsServedUnchanged(t *testing.T) {
	var record Record
	e, err := New(Config{Address: "127.0.0.1:0", Current: func() Record { return record }})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()

	_, err = Fetch(t.Context(), e.Address())
	require.ErrorContains(t, err, "404")
	record = Record{Key: "k", Value: []byte("{\"Version\": 7}\x00\xff")}
	got, err := Fetch(t.Context(), e.Address())
	require.NoError(t, err)
	require.Equal(t, record, got)

	cancel()
	require.NoError(t, <-done)
	_, err = Fetch(t.Context(), e.Address())
	require.Error(t, err)
}
