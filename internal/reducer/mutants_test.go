package reducer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMutantsAreCaught checks that the invariants of verify detect each of these
// deliberate faults of the reducers. AcceptStaleChunks and ForgetLostOrders are
// covered in scenario_test.go, AcceptOlderVersions in package follower.
func TestMutantsAreCaught(t *testing.T) {
	mutants := map[string]TestHooks{
		"no claim":               {SkipClaims: true},
		"claim after run":        {RunBeforeClaim: true},
		"unknown as not run":     {ReportUnknownAsNotRun: true},
		"retry of a single call": {RetryNonRepeatable: true},
	}
	for name, hooks := range mutants {
		t.Run(name, func(t *testing.T) {
			var caught error
			rapid.Check(t, func(rt *rapid.T) {
				if caught != nil {
					return
				}
				caught = runHistory(rt, allSteps, hooks, map[string]int{})
			})
			require.Error(t, caught, "no invariant detects this mutant")
			t.Log(caught)
		})
	}
}
