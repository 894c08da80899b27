package allocator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// deployment returns runners for three models each, and models with work.
func deployment(runners int, work ...float64) ([]Runner, []Model) {
	var rs []Runner
	for i := range runners {
		rs = append(rs, Runner{ID: registrar.UpstreamID(fmt.Sprint("r", i)), Memory: 220, Schedulable: true})
	}
	var ms []Model
	for i, w := range work {
		ms = append(ms, Model{Name: registrar.ModelName(fmt.Sprint("m", i)), WeightSize: 72, Demand: w})
	}
	return rs, ms
}

func work(models int, busy ...float64) []float64 {
	return append(busy, make([]float64, models-len(busy))...)
}

// apply lets the runners hold what the plan says.
func apply(p *Plan, runners []Runner) []Runner {
	var next []Runner
	for _, r := range runners {
		r.Resident = p.Models(r.ID)
		next = append(next, r)
	}
	return next
}

// moved counts the copies that one plan has and the other has not.
func moved(from, to *Plan, runners []Runner) int {
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

func allocator() *Allocator {
	return New(Config{Hysteresis: 1.3, DemandExponent: 1, MinDemandPerCopy: 1})
}

func TestEveryModelAndEveryRunnerHasItsShare(t *testing.T) {
	runners, models := deployment(12, work(21, 73, 27)...)
	p := allocator().Plan(runners, models)
	for _, m := range models {
		require.NotEmpty(t, p.Runners(m.Name), m.Name)
	}
	for _, r := range runners {
		require.LessOrEqual(t, len(p.Models(r.ID)), 3)
		require.True(t, p.Assigns(r.ID, "m0") || p.Assigns(r.ID, "m1"), "runner %s has no busy model: %v", r.ID, p.Models(r.ID))
	}
}

func TestPlanIsStableOnceItIsCarriedOut(t *testing.T) {
	runners, models := deployment(12, work(21, 73, 27)...)
	p := allocator().Plan(runners, models)
	models[0].Demand, models[1].Demand = 66, 31 // ordinary swing
	again := allocator().Plan(apply(p, runners), models)
	require.Zero(t, moved(p, again, runners))
}

func TestShiftMovesBusyCopiesOnly(t *testing.T) {
	runners, models := deployment(12, work(21, 73, 27)...)
	p := allocator().Plan(runners, models)
	models[0].Demand, models[1].Demand, models[2].Demand = 0, 73, 27
	q := allocator().Plan(apply(p, runners), models)
	for _, m := range models[3:] {
		require.Equal(t, p.Runners(m.Name), q.Runners(m.Name))
	}
	require.Greater(t, len(q.Runners("m1")), len(p.Runners("m1")))
	require.Greater(t, len(q.Runners("m2")), 1)
}

func TestQuietModelsLeaveARunnerThatHoldsOnlySuch(t *testing.T) {
	runners, models := deployment(4, work(7, 50)...)
	runners[0].Resident = []registrar.ModelName{"m1", "m2", "m3"}
	runners[1].Resident = []registrar.ModelName{"m4", "m0"}
	runners[2].Resident = []registrar.ModelName{"m5", "m0"}
	runners[3].Resident = []registrar.ModelName{"m6", "m0"}
	p := allocator().Plan(runners, models)
	require.True(t, p.Assigns("r0", "m0"))
	require.Len(t, p.Runners("m0"), 4)
}

func TestRunnerWithoutStewardGetsNothingNew(t *testing.T) {
	runners, models := deployment(3, work(6, 20)...)
	runners[0].Schedulable = false
	runners[0].Resident = []registrar.ModelName{"m3"}
	p := allocator().Plan(runners, models)
	require.Subset(t, []registrar.ModelName{"m3"}, p.Models("r0"))
	for _, m := range models {
		require.NotEmpty(t, p.Runners(m.Name))
	}
}

func TestMoreModelsThanPlaces(t *testing.T) {
	runners, models := deployment(2, work(9, 5, 4, 3)...)
	p := allocator().Plan(runners, models)
	require.Len(t, p.Models("r0"), 3)
	require.Len(t, p.Models("r1"), 3)
	require.NotEmpty(t, p.Runners("m0"))
	require.NotEmpty(t, p.Runners("m1"))
}

func BenchmarkPlan(b *testing.B) {
	runners, models := deployment(600, work(840, 900, 500, 200)...)
	a := allocator()
	for b.Loop() {
		a.Plan(runners, models)
	}
}
