package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// namedWorkspaces returns workspaces without quotas.
func namedWorkspaces(n int) []registrar.Workspace {
	all := make([]registrar.Workspace, n)
	for i := range all {
		all[i].Name = registrar.WorkspaceName(fmt.Sprint("w", i))
	}
	return all
}

// shortClass returns a class of short requests from a workspace, nil for none.
func shortClass(w *registrar.Workspace, share float64) *batchClass {
	return &batchClass{share: share, priority: 1, promptTokens: 300, outputTokens: 15, target: 800 * time.Millisecond, timeout: 5 * time.Second, workspace: w}
}

// fairServed returns the max-min fair served shares of classes for what was served in all.
func fairServed(classes []*batchClass) []float64 {
	left, fair := 0.0, make([]float64, len(classes))
	order := make([]int, len(classes))
	for i, c := range classes {
		left += float64(c.onTime + c.late)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return classes[a].asked - classes[b].asked })
	for i, n := range order {
		asked := float64(classes[n].asked)
		part := min(asked, left/float64(len(order)-i))
		fair[n] = part / asked
		left -= part
	}
	return fair
}

// totalServed returns the number of requests of all classes that were completed.
func totalServed(classes []*batchClass) int {
	total := 0
	for _, c := range classes {
		total += c.onTime + c.late
	}
	return total
}

// A workspace that sends six times as much as each of the others, through all gateways or
// through one, must leave them their shares, and what they leave must be used.
func TestFloodOfOneWorkspaceLeavesOthersTheirShares(t *testing.T) {
	const gateways = 6
	for _, rate := range []float64{45, 60, 90} { // requests a second; the engine serves about 38
		for _, floodGateways := range []int{gateways, 1} {
			play := func(workspaces []registrar.Workspace) []*batchClass {
				var classes []*batchClass
				for i := range 5 {
					c := shortClass(nil, 0.1)
					if workspaces != nil {
						c.workspace = &workspaces[i]
					}
					classes = append(classes, c)
				}
				classes[0].share, classes[0].gateways = 0.6, floodGateways
				return runClasses(rate, 1, gateways, workspaces, classes)
			}
			classes := play(namedWorkspaces(5))
			fair := fairServed(classes)
			for i, c := range classes[1:] {
				require.GreaterOrEqual(t, c.served(), 0.75*fair[i+1], "workspace %v of %v requests a second, flood through %v gateways", i+1, rate, floodGateways)
			}
			require.GreaterOrEqual(t, float64(totalServed(classes)), 0.9*float64(totalServed(play(nil))), "work in all, %v requests a second", rate)
		}
	}
}
