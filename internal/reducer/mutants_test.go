package reducer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMutantsAreCaught breaks one decision at a time on purpose. The state
// machine must notice each. The decisions on old chunks and lost orders are
// broken in scenario_test.go, that on versions in package follower.
func TestMutantsAreCaught(t *testing.T) {
	mutants := map[string]Hooks{
		"no claim":               {NoClaim: true},
		"claim after run":        {LateClaim: true},
		"unknown as not run":     {DenyUnknown: true},
		"retry of a single call": {RepeatAlways: true},
	}
	for name, hooks := range mutants {
		t.Run(name, func(t *testing.T) {
			var caught error
			rapid.Check(t, func(rt *rapid.T) {
				if caught != nil {
					return
				}
				caught = play(rt, anything, hooks, map[string]int{})
			})
			require.Error(t, caught, "the checks miss this mutant")
			t.Log(caught)
		})
	}
}
