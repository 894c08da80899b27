package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStaleReportsDoNotHerd(t *testing.T) {
	candidates := make([]Candidate, 12)
	for i := range candidates {
		candidates[i] = Candidate{OthersOutstanding: 20, Slots: 32}
	}
	candidates[3].OthersOutstanding = 0
	chosen := 0
	for seed := range uint64(1000) {
		if New(seed).Pick(candidates) == 3 {
			chosen++
		}
	}
	require.Less(t, chosen, 300, "independent processes must not all pick the upstream that looks idle")
	require.Greater(t, chosen, 83, "the idle upstream gets more than an equal share")
}

func TestOwnAttemptsCountWhenTheReportIsOld(t *testing.T) {
	busy := Candidate{Outstanding: 40, OthersOutstanding: 0, ReportAge: time.Minute, Slots: 32}
	idle := Candidate{Outstanding: 0, OthersOutstanding: 40, ReportAge: time.Minute, Slots: 32}
	require.Less(t, EstimatedWait(&idle), EstimatedWait(&busy))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{2, 12, 600} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			candidates := make([]Candidate, n)
			r := New(1)
			b.ReportAllocs()
			for b.Loop() {
				r.Pick(candidates)
			}
		})
	}
}
