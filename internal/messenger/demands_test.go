package messenger

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

func TestUnpackReturnsRoundedDemands(t *testing.T) {
	names := []registrar.ModelName{"a", "b", "c"}
	packed := Pack(names, []dispatcher.Demand{
		{Model: "a", WorkRate: 123456, RecentWorkRate: 0.5, RecentRequests: 1.2}, {Model: "c", WorkRate: 999.9, WaitingWork: 4321}, {Model: "unknown", WorkRate: 1},
	})
	all, err := packed.Unpack(names)
	require.NoError(t, err)
	require.Equal(t, []dispatcher.Demand{
		{Model: "a", WorkRate: 123000, RecentWorkRate: 0.5, RecentRequests: 1.2}, {Model: "c", WorkRate: 1000, WaitingWork: 4320},
	}, all)
	paced := []dispatcher.Demand{{Model: "a", WorkRate: 1000, Pace: 41 * time.Millisecond}, {Model: "b", WorkRate: 1000, WaitingWork: 50, Pace: 7 * time.Millisecond}}
	all, err = Pack(names, paced).Unpack(names)
	require.NoError(t, err)
	require.Equal(t, paced, all)
	for _, pace := range []float64{math.NaN(), math.Inf(1), -4, 1e300} {
		all, err = PackedDemands{NamesChecksum: packed.NamesChecksum, Rows: [][]float64{{0, 1, 1, 1, 0, pace}}}.Unpack(names)
		require.NoError(t, err)
		require.Zero(t, all[0].Pace)
	}
	_, err = packed.Unpack(names[:2])
	require.ErrorContains(t, err, "other model names")
	for _, row := range [][]float64{{}, {3, 1, 1, 1}, {-1, 1, 1, 1}, {math.NaN(), 1, 1, 1}, {math.Inf(1), 1, 1, 1}, {1e300, 1, 1, 1}, {0, -1, 1, 1}, {0, math.NaN(), 1, 1}, {0, 1, math.Inf(1), 1}, {0, 1, 1, 1, math.NaN()}} {
		_, err = PackedDemands{NamesChecksum: packed.NamesChecksum, Rows: [][]float64{row}}.Unpack(names)
		require.ErrorContains(t, err, "invalid row")
	}
}

// A gateway sends its demands to each steward about once a second. With 100 models and
// 100 stewards, this must take less than 30 % of a link of 10 Mbit/s.
func TestDemandsOfManyModelsAreSmall(t *testing.T) {
	var names []registrar.ModelName
	var all []dispatcher.Demand
	for i := range 100 {
		name := registrar.ModelName(fmt.Sprintf("model%05d", i))
		names = append(names, name)
		all = append(all, dispatcher.Demand{Model: name, WorkRate: 98765.4 + float64(i), RecentWorkRate: 87654.3, RecentRequests: 12.3, WaitingWork: 45678, Pace: 43210 * time.Microsecond})
	}
	demands := Pack(names, all)
	told, err := demands.Unpack(names)
	require.NoError(t, err)
	require.NotZero(t, told[99].Pace, "it has the most work")
	d, err := encodeOne(Message{Sender: "front-be-north-a-1", Demands: &demands, Version: 12})
	require.NoError(t, err)
	const stewards, periodSeconds, linkBytesPerSecond = 100, 0.8, 10e6 / 8
	require.Less(t, float64(len(d.compact))*stewards/periodSeconds, 0.3*linkBytesPerSecond)
}
