// Package router chooses the upstream for an attempt.
//
// Usage:
//
//	r := router.New(seed)
//	i := r.Pick(candidates)
//
// Two different candidates drawn at random are compared, so that many entries that
// decide on the same stale report do not all choose the same upstream.
package router

import (
	"math/rand/v2"
	"time"
)

// Candidate is an upstream that can take an attempt.
type Candidate struct {
	Outstanding       int           // own attempts open there
	OthersOutstanding int           // attempts of other entries by its last report
	ReportAge         time.Duration // age of that report
	Slots             int           // attempts it runs at once
	SameDomain        bool          // in the same failure domain
	LoadTime          time.Duration // expected time to load what is missing
	Penalty           time.Duration // added after recent failures
}

// Costs of the parts of a score.
const (
	waitPerRound = 400 * time.Millisecond // one full round of slots
	farCost      = 2 * time.Millisecond
	reportLife   = 2 * time.Second // a report's weight falls to zero over this age
)

// Router holds the seeded random source of the choices.
type Router struct {
	rnd *rand.Rand
}

// New returns a router whose choices depend on seed.
func New(seed uint64) *Router {
	return &Router{rnd: rand.New(rand.NewPCG(seed, 1))}
}

// EstimatedWait estimates how long an attempt waits at c; lower is better.
func EstimatedWait(c *Candidate) time.Duration {
	weight := float64(max(0, reportLife-c.ReportAge)) / float64(reportLife)
	load := float64(c.Outstanding) + float64(c.OthersOutstanding)*weight
	wait := time.Duration(load / float64(max(1, c.Slots)) * float64(waitPerRound))
	if !c.SameDomain {
		wait += farCost
	}
	return wait + c.LoadTime + c.Penalty
}

// Pick returns the index of the chosen candidate and -1 if there is none.
func (r *Router) Pick(candidates []Candidate) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	if n == 1 {
		return 0
	}
	a := r.rnd.IntN(n)
	b := (a + 1 + r.rnd.IntN(n-1)) % n
	if EstimatedWait(&candidates[b]) < EstimatedWait(&candidates[a]) {
		return b
	}
	return a
}

// Jitter returns a duration between half of d and d.
func (r *Router) Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rnd.Int64N(int64(d/2)+1))
}
