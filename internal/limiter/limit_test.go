package limiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

func TestLaterStatementOfAnUpstreamCounts(t *testing.T) {
	table := NewTable()
	require.False(t, table.Learn(time.Second, Limit{Upstream: "u", Incarnation: 1}), "no limit was known")
	require.True(t, table.Learn(10*time.Second, Limit{Upstream: "u", Incarnation: 1, Rate: 2.4}))
	require.False(t, table.Learn(11*time.Second, Limit{Upstream: "u", Incarnation: 1, Age: 2 * time.Second}), "older")
	require.InDelta(t, 2.4, table.Rate("u", 1), 0)
	require.False(t, table.Learn(12*time.Second, Limit{Upstream: "u", Incarnation: 1, Rate: 2.4, Age: time.Second}))
	require.Equal(t, 11*time.Second, table.NamedAt("u"))
	require.Len(t, table.Recent(12*time.Second, 2*time.Second), 1)
	require.Empty(t, table.Recent(14*time.Second, 2*time.Second))
	require.True(t, table.Learn(12*time.Second, Limit{Upstream: "u", Incarnation: 1}))
	require.Zero(t, table.Rate("u", 1))
}

func TestLimitBindsOneIncarnation(t *testing.T) {
	table := NewTable()
	require.True(t, table.Learn(0, Limit{Upstream: "u", Incarnation: 1, Rate: 2}))
	require.Zero(t, table.Rate("u", 2))
	require.True(t, table.Learn(0, Limit{Upstream: "u", Incarnation: 2, Rate: 3}))
	require.False(t, table.Learn(time.Second, Limit{Upstream: "u", Incarnation: 1, Rate: 1}))
	require.InDelta(t, 3, table.Rate("u", 2), 0)
}

func TestLeavingUpstreamDoesNotComeBack(t *testing.T) {
	table := NewTable()
	require.True(t, table.Learn(10*time.Second, Limit{Upstream: "u", Incarnation: 1, Rate: 2}))
	require.True(t, table.Learn(10*time.Second, Limit{Upstream: "u", Incarnation: 1, Leaving: true, Age: time.Second}), "an older statement")
	require.True(t, table.Leaving("u", 1))
	require.InDelta(t, 2, table.Rate("u", 1), 0)
	require.True(t, table.Learn(11*time.Second, Limit{Upstream: "u", Incarnation: 1}))
	require.True(t, table.Leaving("u", 1))
	require.False(t, table.Leaving("u", 2))
	require.True(t, table.Learn(12*time.Second, Limit{Upstream: "v", Incarnation: 1, Leaving: true}))
	require.Len(t, table.Recent(12*time.Second, time.Minute), 2)
}

func TestNumberOfLimitsIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxLimits {
		require.True(t, table.Learn(time.Duration(i), Limit{Upstream: registrar.UpstreamID(fmt.Sprint(i)), Rate: 1}))
	}
	require.Len(t, table.Recent(time.Second, time.Hour), maxLimits)
	require.True(t, table.Learn(2*limitMemory, Limit{Upstream: "u", Rate: 1}))
	require.Len(t, table.Recent(2*limitMemory, time.Hour), 1)
}
