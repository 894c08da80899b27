package allocator

import "github.com/egretwall/egretwall/internal/registrar"

// slow reports whether the runner takes longer for its work than others.
func (s *runnerState) slow() bool {
	return s.Slowness > 1
}

// workTime returns the time that the runner takes for the work assigned to it, and for a
// copy of the model too if it is slow, relative to one of usual speed.
func (s *runnerState) workTime(m *plannedModel) float64 {
	if !s.slow() {
		return s.assignedDemand
	}
	copyDemand := m.Demand / float64(m.copies)
	return (s.assignedDemand+copyDemand)*s.Slowness - copyDemand
}

// shareSingleCopies sets how many models with a single copy each runner may get: equal
// numbers, so that every runner keeps memory for a busy model, but as many as fit on slow
// runners, so that fast ones keep the busy models. Models with a single copy have little
// demand.
func shareSingleCopies(states []*runnerState, singleCopies int, largest registrar.Megabytes) {
	left, usual := singleCopies, 0
	for _, s := range states {
		if !s.slow() {
			usual++
			continue
		}
		if largest > 0 {
			s.maxSingle = min(left, int(s.Memory/largest))
		}
		left -= s.maxSingle
	}
	for _, s := range states {
		if !s.slow() {
			s.maxSingle = (left + usual - 1) / usual
		}
	}
}

// largestOf returns the size of the largest model.
func largestOf(models []Model) registrar.Megabytes {
	var largest registrar.Megabytes
	for _, m := range models {
		largest = max(largest, m.WeightSize)
	}
	return largest
}
