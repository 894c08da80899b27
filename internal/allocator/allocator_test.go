package allocator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// deployment returns runners with memory for three models each, and one model per
// demand.
func deployment(runners int, demands ...float64) ([]Runner, []Model) {
	var rs []Runner
	for i := range runners {
		rs = append(rs, Runner{ID: registrar.UpstreamID(fmt.Sprint("r", i)), Memory: 220, Schedulable: true})
	}
	var ms []Model
	for i, d := range demands {
		ms = append(ms, Model{Name: registrar.ModelName(fmt.Sprint("m", i)), WeightSize: 72, Demand: d})
	}
	return rs, ms
}

// demands returns the demands of a number of models: the busy ones first, 0 for the rest.
func demands(models int, busyDemands ...float64) []float64 {
	return append(busyDemands, make([]float64, models-len(busyDemands))...)
}

// apply returns the runners with the assigned models resident.
func apply(p *Plan, runners []Runner) []Runner {
	var next []Runner
	for _, r := range runners {
		r.Resident = p.Models(r.ID)
		next = append(next, r)
	}
	return next
}

// addedCopies counts the copies in to that are not in from.
func addedCopies(from, to *Plan, runners []Runner) int {
	n := 0
	for _, r := range runners {
		for _, m := range to.Models(r.ID) {
			if !from.Assigns(r.ID, m) {
				n++
			}
		}
	}
	return n
}

func newTestAllocator() *Allocator {
	return New(Config{Hysteresis: 1.3, DemandExponent: 1, MinDemandPerCopy: 1})
}

func TestEveryModelIsPlacedAndEveryRunnerHasABusyModel(t *testing.T) {
	runners, models := deployment(12, demands(21, 73, 27)...)
	p := newTestAllocator().Plan(runners, models)
	for _, m := range models {
		require.NotEmpty(t, p.Runners(m.Name), m.Name)
	}
	for _, r := range runners {
		require.LessOrEqual(t, len(p.Models(r.ID)), 3)
		require.True(t, p.Assigns(r.ID, "m0") || p.Assigns(r.ID, "m1"), "runner %s has no busy model: %v", r.ID, p.Models(r.ID))
	}
}

func TestPlanIsStableUnderSmallDemandChanges(t *testing.T) {
	runners, models := deployment(12, demands(21, 73, 27)...)
	p := newTestAllocator().Plan(runners, models)
	models[0].Demand, models[1].Demand = 66, 31
	replanned := newTestAllocator().Plan(apply(p, runners), models)
	require.Zero(t, addedCopies(p, replanned, runners))
}

func TestDemandShiftMovesNoIdleModel(t *testing.T) {
	runners, models := deployment(12, demands(21, 73, 27)...)
	p := newTestAllocator().Plan(runners, models)
	models[0].Demand, models[1].Demand, models[2].Demand = 0, 73, 27
	q := newTestAllocator().Plan(apply(p, runners), models)
	for _, m := range models[3:] {
		require.Equal(t, p.Runners(m.Name), q.Runners(m.Name))
	}
	require.Greater(t, len(q.Runners("m1")), len(p.Runners("m1")))
	require.Greater(t, len(q.Runners("m2")), 1)
}

func TestRunnerFullOfIdleModelsGetsABusyModel(t *testing.T) {
	runners, models := deployment(4, demands(7, 50)...)
	runners[0].Resident = []registrar.ModelName{"m1", "m2", "m3"}
	runners[1].Resident = []registrar.ModelName{"m4", "m0"}
	runners[2].Resident = []registrar.ModelName{"m5", "m0"}
	runners[3].Resident = []registrar.ModelName{"m6", "m0"}
	p := newTestAllocator().Plan(runners, models)
	require.True(t, p.Assigns("r0", "m0"))
	require.Len(t, p.Runners("m0"), 4)
}

func TestUnschedulableRunnerGetsNoNewModel(t *testing.T) {
	runners, models := deployment(3, demands(6, 20)...)
	runners[0].Schedulable = false
	runners[0].Resident = []registrar.ModelName{"m3"}
	p := newTestAllocator().Plan(runners, models)
	require.Subset(t, []registrar.ModelName{"m3"}, p.Models("r0"))
	for _, m := range models {
		require.NotEmpty(t, p.Runners(m.Name))
	}
}

func TestMoreModelsThanFitIntoMemory(t *testing.T) {
	runners, models := deployment(2, demands(9, 5, 4, 3)...)
	p := newTestAllocator().Plan(runners, models)
	require.Len(t, p.Models("r0"), 3)
	require.Len(t, p.Models("r1"), 3)
	require.NotEmpty(t, p.Runners("m0"))
	require.NotEmpty(t, p.Runners("m1"))
}

func BenchmarkPlan(b *testing.B) {
	runners, models := deployment(600, demands(840, 900, 500, 200)...)
	a := newTestAllocator()
	for b.Loop() {
		a.Plan(runners, models)
	}
}
