package estimator

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEqualEnginesCostTheSame(t *testing.T) {
	costs := Costs([]Observation{
		{"a", 40 * time.Millisecond, 90000}, {"a", 43 * time.Millisecond, 20000}, {"b", 46 * time.Millisecond, 30000}, {"c", 36 * time.Millisecond, 8000},
	})
	for m, cost := range costs {
		require.Equal(t, 1.0, cost, m)
	}
	require.Len(t, costs, 3)
}

func TestFasterModelCostsLess(t *testing.T) {
	costs := Costs([]Observation{{"fast", 10 * time.Millisecond, 50000}, {"slow", 40 * time.Millisecond, 50000}})
	require.InDelta(t, 0.4, costs["fast"], 0.01)
	require.InDelta(t, 1.6, costs["slow"], 0.01)
}

func TestGatewayWithFewAnswersDoesNotSetTheCost(t *testing.T) {
	costs := Costs([]Observation{
		{"a", 40 * time.Millisecond, 50000}, {"b", 40 * time.Millisecond, 50000}, {"b", 41 * time.Millisecond, 40000}, {"b", 4 * time.Second, 900},
	})
	require.Equal(t, 1.0, costs["a"])
	require.Equal(t, 1.0, costs["b"])
}

func TestOrderOfGatewaysDoesNotChangeCosts(t *testing.T) {
	all := []Observation{
		{"a", 11 * time.Millisecond, 31000.7}, {"b", 40 * time.Millisecond, 11000.1}, {"c", 17 * time.Millisecond, 9000.3}, {"b", 39 * time.Millisecond, 11000.1},
	}
	costs := Costs(all)
	for range len(all) {
		all = append(all[1:], all[0])
		require.Equal(t, costs, Costs(all))
	}
}

func TestCostsWithoutDemandOrPace(t *testing.T) {
	require.Empty(t, Costs(nil))
	require.Empty(t, Costs([]Observation{{"a", 0, 1000}, {"b", time.Millisecond, 0}}))
	require.Equal(t, 1.0, Costs([]Observation{{"a", time.Millisecond, 1000}})["a"])
	invalid := Costs([]Observation{{"a", time.Millisecond, math.Inf(1)}, {"b", 9 * time.Millisecond, 1000}})
	require.Equal(t, 1.0, invalid["a"])
}
