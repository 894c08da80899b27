package recorder_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/faker"
	"github.com/egretwall/egretwall/internal/recorder"
)

func leaseRecord(id string) recorder.Record {
	return recorder.Record{ID: id, Kind: recorder.KindLease, Lease: &recorder.LeaseRecord{Upstream: "u", Incarnation: 1}}
}

func TestSilentConnectionToTheLogIsReplaced(t *testing.T) {
	server, err := faker.Serve("127.0.0.1:0", faker.NewLog(time.Hour))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	relay, err := faker.NewRelay("127.0.0.1:0", server.Address())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	client := recorder.NewClient(recorder.Config{Address: relay.Address()})
	t.Cleanup(client.Close)
	_, err = client.Append(t.Context(), recorder.MainStream, leaseRecord("1"))
	require.NoError(t, err)
	relay.Blackhole()
	_, err = client.Append(t.Context(), recorder.MainStream, leaseRecord("2"))
	require.Equal(t, classifier.Lost, classifier.KindOf(err))
	offset, err := client.Append(t.Context(), recorder.MainStream, leaseRecord("3"))
	require.NoError(t, err)
	require.EqualValues(t, 1, offset)
}

func TestAppendWithLostResponseTakesEffectOnce(t *testing.T) {
	log := faker.NewLog(time.Hour)
	server, err := faker.Serve("127.0.0.1:0", log)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client := recorder.NewClient(recorder.Config{Address: server.Address()})
	t.Cleanup(client.Close)
	log.SetFault(faker.LogLossy)
	_, err = client.Append(t.Context(), recorder.MainStream, leaseRecord("1"))
	require.Equal(t, classifier.Lost, classifier.KindOf(err))
	log.SetFault(faker.LogHealthy)
	batch, err := client.Read(t.Context(), recorder.MainStream, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1, "the record has been appended once")
	require.Equal(t, "1", batch.Records[0].ID)
}

func TestManyRecordsAreReadOverASlowLink(t *testing.T) {
	server, err := faker.Serve("127.0.0.1:0", faker.NewLog(time.Hour))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	relay, err := faker.NewRelay("127.0.0.1:0", server.Address())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	client := recorder.NewClient(recorder.Config{Address: relay.Address()})
	t.Cleanup(client.Close)
	record := recorder.Record{ID: "1", Kind: recorder.KindState, State: &recorder.Snapshot{Data: []byte(`"` + strings.Repeat("x", 256<<10) + `"`)}}
	for range 4 {
		_, err := client.Append(t.Context(), recorder.MainStream, record)
		require.NoError(t, err)
	}
	relay.SetFault(faker.RelayFault{Rate: 400 << 10}) // over 3 s
	batch, err := client.Read(t.Context(), recorder.MainStream, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 4)
}
