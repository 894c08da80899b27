package generator

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/examples"
	"github.com/egretwall/egretwall/pkg/configurator"
)

func answers(t testing.TB, name string) ([]byte, Questionnaire) {
	data, err := examples.Questionnaire(name)
	require.NoError(t, err)
	q, problems := Parse(data)
	require.Empty(t, problems)
	return data, q
}

func TestSameAnswersGiveTheSameBytes(t *testing.T) {
	for _, name := range []string{"havengelden", "kelheim"} {
		_, q := answers(t, name)
		first, problems := Generate(q)
		require.Empty(t, problems)
		second, _ := Generate(q)
		require.Equal(t, configurator.Encode(first), configurator.Encode(second))
		require.NotContains(t, string(configurator.Encode(first)), q.Callers[0].Token, "keys are hashed")
	}
}

func TestMistakesAreNamedByTheirAnswer(t *testing.T) {
	_, q := answers(t, "kelheim")
	q.MoveCost = "often"
	q.Runners[2].WeightMemoryGB = 0
	q.Services[1].Address = "jobs:7000"
	q.IdempotencyMinutes = 0
	var paths []string
	_, problems := Generate(q)
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	require.ElementsMatch(t, []string{"$.moves", "$.runners[2].size", "$.services[1].address", "$.memory"}, paths)
}

func TestInfeasibleAnswersShowTheArithmetic(t *testing.T) {
	_, q := answers(t, "kelheim")
	q.Models[0].SizeGB = 500
	_, problems := Generate(q)
	require.Len(t, problems, 1)
	require.Contains(t, problems[0].Text, "takes 500800000000 bytes with its adapters, the largest runner has 160000000000")
	q.Models[0].SizeGB = 60
	q.Runners = q.Runners[:4]
	_, problems = Generate(q)
	require.Len(t, problems, 1)
	require.Contains(t, problems[0].Text, "without failure domain")
}

func FuzzGenerate(f *testing.F) {
	data, _ := answers(f, "havengelden")
	f.Add(data)
	f.Add([]byte(`{"runners": [{"size": -1}], "models": [{"size": 1e300, "copies": -3}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		q, problems := Parse(data)
		cfg, more := Generate(q)
		if len(problems) == 0 && len(more) == 0 {
			again, mistakes := configurator.Parse(configurator.Encode(cfg))
			require.Empty(t, mistakes)
			require.True(t, bytes.Equal(configurator.Encode(cfg), configurator.Encode(again)))
		}
	})
}
