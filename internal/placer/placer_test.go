package placer

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/generator"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// exampleConfiguration generates the configuration of a questionnaire in examples/.
func exampleConfiguration(t testing.TB, name string) configurator.Configuration {
	data, err := os.ReadFile("../../examples/" + name + "/questionnaire.json")
	require.NoError(t, err)
	q, problems := generator.Parse(data)
	require.Empty(t, problems)
	cfg, problems := generator.Generate(q)
	require.Empty(t, problems)
	return cfg
}

func allLive(configurator.UpstreamName) bool { return true }

// checkPlacement checks that every model has a copy, that no copy is on a dead runner,
// and that the copies fit into the runners' memory.
func checkPlacement(t *testing.T, cfg configurator.Configuration, homes Placement, dead func(configurator.UpstreamName) bool) {
	used := map[configurator.UpstreamName]configurator.Bytes{}
	sizes := configurator.BytesWithAdapters(cfg)
	for _, m := range cfg.Models {
		require.NotEmpty(t, homes[m.Name], m.Name)
		for _, u := range homes[m.Name] {
			require.False(t, dead(u))
			used[u] += sizes[m.Name]
		}
	}
	for _, u := range cfg.Upstreams {
		require.LessOrEqual(t, used[u.Name], u.WeightMemory)
	}
}

func TestPlacementSurvivesLossOfAnyRunnerOrDomain(t *testing.T) {
	for _, name := range []string{"havengelden", "kelheim"} {
		cfg := exampleConfiguration(t, name)
		full := Place(&cfg, allLive)
		checkPlacement(t, cfg, full, func(configurator.UpstreamName) bool { return false })
		for _, lost := range cfg.Upstreams {
			dead := func(u configurator.UpstreamName) bool { return u == lost.Name }
			homes := Place(&cfg, func(u configurator.UpstreamName) bool { return !dead(u) })
			checkPlacement(t, cfg, homes, dead)
			for m, before := range full {
				for _, u := range before {
					if !dead(u) {
						require.Contains(t, homes[m], u, "copies on live runners stay")
					}
				}
			}
			domain := lost.Domain
			dead = func(u configurator.UpstreamName) bool { up, _ := cfg.Upstream(u); return up.Domain == domain }
			checkPlacement(t, cfg, Place(&cfg, func(u configurator.UpstreamName) bool { return !dead(u) }), dead)
		}
	}
}

func TestSpareCopiesFitBesideHomeCopies(t *testing.T) {
	cfg := exampleConfiguration(t, "havengelden")
	homes := Place(&cfg, allLive)
	spares := PlaceSpares(&cfg, homes, allLive)
	all, placed := Placement{}, 0
	for _, m := range cfg.Models {
		for _, u := range spares[m.Name] {
			require.NotContains(t, homes[m.Name], u)
			placed++
		}
		all[m.Name] = append(append(all[m.Name], homes[m.Name]...), spares[m.Name]...)
	}
	require.Positive(t, placed)
	checkPlacement(t, cfg, all, func(configurator.UpstreamName) bool { return false })
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{12, 75, 300, 600} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			cfg := configurator.Configuration{}
			for i := range n {
				cfg.Upstreams = append(cfg.Upstreams, configurator.Upstream{
					Name: configurator.UpstreamName(fmt.Sprintf("r%d", i)), Role: configurator.Runner,
					Domain: configurator.DomainName(fmt.Sprintf("d%d", i%6)), WeightMemory: 160e9,
				})
			}
			for i := range n * 14 / 10 {
				cfg.Models = append(cfg.Models, configurator.Model{Name: configurator.ModelName(fmt.Sprintf("m%d", i)), Bytes: 30e9, Copies: 2})
			}
			for b.Loop() {
				Place(&cfg, allLive)
			}
		})
	}
}
