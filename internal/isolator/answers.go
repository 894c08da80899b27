package isolator

import "time"

// Answers remembers which traits were answered lately. When there are too many, it forgets
// those that were answered first. It is not safe for concurrent use.
type Answers struct {
	memory            time.Duration
	limit             int
	current, previous map[Trait]time.Duration // when each was last answered
}

// NewAnswers returns a memory of a length for a number of traits at most.
func NewAnswers(memory time.Duration, limit int) *Answers {
	return &Answers{memory: memory, limit: limit, current: map[Trait]time.Duration{}}
}

// Record notes that a request with a trait has been answered.
func (a *Answers) Record(now time.Duration, t Trait) {
	if _, known := a.current[t]; !known && len(a.current) >= a.limit/2 {
		a.previous, a.current = a.current, map[Trait]time.Duration{}
	}
	a.current[t] = now
}

// Recent reports whether a request with a trait has been answered lately.
func (a *Answers) Recent(now time.Duration, t Trait) bool {
	at, ok := a.current[t]
	if !ok {
		at, ok = a.previous[t]
	}
	return ok && now-at < a.memory
}

// Len returns the number of traits that are remembered, of which some may count twice.
func (a *Answers) Len() int { return len(a.current) + len(a.previous) }
