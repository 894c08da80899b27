package evaluator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func agreementLoad(prepare time.Duration) AgreementLoad {
	return AgreementLoad{PerDay: 1800, Prepare: prepare, Teams: 12, Models: 840, Shared: 0.02}
}

func TestNarrowerRulesRefuseLess(t *testing.T) {
	var refused []int
	for _, rule := range []Rule{WholeDocument, ReadKeys, Dangerous, WrittenKeys} {
		refused = append(refused, Agreement(rule, agreementLoad(10*time.Minute), 1).Refused)
	}
	require.IsNonIncreasing(t, refused)
	require.Zero(t, Agreement(ReadKeys, agreementLoad(10*time.Minute), 1).Anomaly)
}

// BenchmarkAgreement reports the share of changes that each rule refuses.
func BenchmarkAgreement(b *testing.B) {
	for _, prepare := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour} {
		for _, rule := range Rules() {
			b.Run(prepare.String()+"/"+string(rule), func(b *testing.B) {
				var r AgreementResult
				for b.Loop() {
					r = Agreement(rule, agreementLoad(prepare), 1)
				}
				b.ReportMetric(100*float64(r.Refused)/float64(r.Changes), "refused%")
				b.ReportMetric(100*float64(r.Anomaly)/float64(r.Changes), "stale-read%")
			})
		}
	}
}
