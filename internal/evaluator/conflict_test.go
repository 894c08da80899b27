package evaluator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func changeLoad(meanEditTime time.Duration) ChangeLoad {
	return ChangeLoad{ChangesPerDay: 1800, MeanEditTime: meanEditTime, Teams: 12, Models: 840, SharedKeyShare: 0.02}
}

func TestNarrowerRulesRefuseLess(t *testing.T) {
	var refused []int
	for _, rule := range []ConflictRule{WholeDocument, ReadOrWrittenKeys, ConsecutiveConflicts, WrittenKeys} {
		refused = append(refused, SimulateConflicts(rule, changeLoad(10*time.Minute), 1).Refused)
	}
	require.IsNonIncreasing(t, refused)
	require.Zero(t, SimulateConflicts(ReadOrWrittenKeys, changeLoad(10*time.Minute), 1).StaleReads)
}

// BenchmarkAgreement reports the share of changes that each rule refuses and the
// share that it accepts after a stale read.
func BenchmarkAgreement(b *testing.B) {
	for _, meanEditTime := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour} {
		for _, rule := range ConflictRules() {
			b.Run(meanEditTime.String()+"/"+string(rule), func(b *testing.B) {
				var r ConflictResult
				for b.Loop() {
					r = SimulateConflicts(rule, changeLoad(meanEditTime), 1)
				}
				b.ReportMetric(100*float64(r.Refused)/float64(r.Changes), "refused%")
				b.ReportMetric(100*float64(r.StaleReads)/float64(r.Changes), "stale-read%")
			})
		}
	}
}
