package evaluator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/examples"
	"github.com/egretwall/egretwall/internal/generator"
	"github.com/egretwall/egretwall/pkg/configurator"
)

func kelheimConfiguration(t *testing.T) configurator.Configuration {
	data, err := examples.Questionnaire("kelheim")
	require.NoError(t, err)
	q, problems := generator.Parse(data)
	require.Empty(t, problems)
	cfg, problems := generator.Generate(q)
	require.Empty(t, problems)
	return cfg
}

func TestTheSameSeedGivesTheSameResult(t *testing.T) {
	cfg := kelheimConfiguration(t)
	s := Scenario{Name: "short", Duration: 15 * time.Second, Bursts: true, OrderLossRate: 0.2, FailureAt: 5 * time.Second, Fails: func(i int, _ string) bool { return i == 1 }}
	trace := NewTrace(cfg, s, 3)
	require.Equal(t, trace, NewTrace(cfg, s, 3))
	for _, p := range Policies() {
		require.Equal(t, Run(p, cfg, s, trace, 3), Run(p, cfg, s, trace, 3), p)
	}
}

func TestNoOvercommitAndNoUnavailableModelWithoutFailure(t *testing.T) {
	cfg := kelheimConfiguration(t)
	for _, s := range Scenarios() {
		s.Duration = 25 * time.Second
		s.FailureAt = min(s.FailureAt, 5*time.Second)
		r := Run(Egretwall, cfg, s, NewTrace(cfg, s, 1), 1)
		require.Zero(t, r.OvercommittedBytes, s.Name)
		switch {
		case s.ColdStart: // no model is available before the store has delivered it
			require.LessOrEqual(t, r.UnavailableSeconds, 1.2*minUnavailableSeconds(cfg), s.Name)
		case s.Fails == nil:
			require.Zero(t, r.UnavailableSeconds, s.Name)
		}
	}
}

// minUnavailableSeconds returns the time during which a model is resident nowhere,
// summed over the models, when the store delivers one copy of each model as fast as
// its limits allow.
func minUnavailableSeconds(cfg configurator.Configuration) float64 {
	sum := 0.0
	for i, m := range cfg.Models {
		sum += max(0, float64(i+1-modelLoadBurst))/cfg.Store.ModelLoadRate + float64(m.Bytes)/weightBytesPerSecond
	}
	return sum
}
