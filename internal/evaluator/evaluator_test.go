package evaluator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/examples"
	"github.com/egretwall/egretwall/internal/generator"
	"github.com/egretwall/egretwall/pkg/configurator"
)

func kelheim(t *testing.T) configurator.Configuration {
	data, err := examples.Questionnaire("kelheim")
	require.NoError(t, err)
	q, problems := generator.Parse(data)
	require.Empty(t, problems)
	cfg, problems := generator.Generate(q)
	require.Empty(t, problems)
	return cfg
}

func TestTheSameSeedGivesTheSameResult(t *testing.T) {
	cfg := kelheim(t)
	s := Scenario{Name: "short", Length: 15 * time.Second, Bursts: true, LostRate: 0.2, DeathAt: 5 * time.Second, Deaths: func(i int, _ string) bool { return i == 1 }}
	trace := NewTrace(cfg, s, 3)
	require.Equal(t, trace, NewTrace(cfg, s, 3))
	for _, p := range Policies() {
		require.Equal(t, Run(p, cfg, s, trace, 3), Run(p, cfg, s, trace, 3), p)
	}
}

func TestNoScenarioOvercommitsOrLosesAModelWithoutADeath(t *testing.T) {
	cfg := kelheim(t)
	for _, s := range Scenarios() {
		s.Length = 25 * time.Second
		s.DeathAt = min(s.DeathAt, 5*time.Second)
		r := Run(Egretwall, cfg, s, NewTrace(cfg, s, 1), 1)
		require.Zero(t, r.Over, s.Name)
		switch {
		case s.Cold: // nothing is resident before the store has delivered it
			require.LessOrEqual(t, r.Unreachable, 1.2*storeLimit(cfg), s.Name)
		case s.Deaths == nil:
			require.Zero(t, r.Unreachable, s.Name)
		}
	}
}

// storeLimit returns the model-seconds without a copy when the store delivers
// one copy of each model as fast as its limits allow.
func storeLimit(cfg configurator.Configuration) float64 {
	sum := 0.0
	for i, m := range cfg.Models {
		sum += max(0, float64(i+1-storeBurst))/cfg.Store.ModelLoadRate + float64(m.Bytes)/weightSpeed
	}
	return sum
}
