package configurator

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// scaledConfiguration returns a configuration with the given number of runners and 1.4
// models per runner, that is 840 models on 600 runners.
func scaledConfiguration(runners int) Configuration {
	cfg := Configuration{
		Name: "scale", IdempotencyWindow: 600_000, Store: StoreLimits{ModelLoadRate: 2, ConcurrentModelLoads: 9, ConcurrentAdapterLoads: 70},
		Classes: []Class{{Name: "desk", TargetFirstToken: 930, TargetGap: 48, Timeout: 30_000}},
		Callers: []Caller{{Name: "c", TokenHash: HashToken("c"), Class: "desk", MaxOpenRequests: 10}},
	}
	for i := range runners {
		cfg.Upstreams = append(cfg.Upstreams, Upstream{
			Name: UpstreamName(fmt.Sprintf("runner-%03d", i)), Role: Runner, Domain: DomainName(fmt.Sprintf("domain-%d", i%6)),
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Accelerators: 4, WeightMemory: 160e9, Slots: 32, Fenced: true, Lease: 10_000, MaxDeliveryDelay: 5000,
		})
	}
	for i := range runners * 14 / 10 {
		name := ModelName(fmt.Sprintf("model-%03d", i))
		cfg.Models = append(cfg.Models, Model{Name: name, Bytes: Bytes(16e9 + i%4*12e9), Copies: 2})
		for j := range 4 {
			cfg.Adapters = append(cfg.Adapters, Adapter{Name: ModelName(fmt.Sprintf("%s.%d", name, j)), Model: name, Bytes: 2e8})
		}
	}
	return cfg
}

// The loss of each runner is checked only once per memory size; the size of a single
// large runner must not be left out.
func TestLostRunnersOfEveryMemorySizeAreChecked(t *testing.T) {
	cfg := scaledConfiguration(12)
	for i := range cfg.Models {
		cfg.Models[i].Bytes = 1e9
	}
	require.Empty(t, InfeasibilityReason(cfg))
	cfg.Upstreams[7].WeightMemory = 400e9
	cfg.Models[3].Bytes = 300e9
	require.Contains(t, InfeasibilityReason(cfg), "without", "only one runner has the memory for the model")
}

// BenchmarkAccept measures the time and memory that a process needs to accept a change.
func BenchmarkAccept(b *testing.B) {
	for _, n := range []int{12, 75, 300, 600} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			first, verdict := State{}.Apply(Diff("first", State{}, scaledConfiguration(n)))
			require.True(b, verdict.Accepted)
			change := Change{ID: "c", Base: 1, Puts: Items{"window": json.RawMessage("700000")}}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			accepted, _ := first.Apply(change)
			runtime.GC()
			runtime.ReadMemStats(&after)
			data, _ := accepted.Snapshot()
			for b.Loop() {
				_, v := first.Apply(change)
				require.True(b, v.Accepted)
			}
			b.ReportMetric(float64(len(data)), "state-bytes")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
	}
}
