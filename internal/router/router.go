// Package router chooses the upstream for an attempt.
//
// Usage:
//
//	r := router.New(seed)
//	i := r.Pick(candidates)
//
// Pick compares two random candidates, known as the power of two choices, so that
// many entry processes with the same stale report do not all choose the same
// upstream.
package router

import (
	"math/rand/v2"
	"time"
)

// Candidate is an upstream that can take an attempt.
type Candidate struct {
	Outstanding       int           // attempts of this process under way there
	OthersOutstanding int           // attempts of other processes by its last report
	ReportAge         time.Duration // age of that report
	Slots             int           // attempts that it runs at once
	SameDomain        bool          // it is in the failure domain of this process
	LoadTime          time.Duration // expected time to load the model or adapter if it lacks them
	Penalty           time.Duration // added after recent failures
}

// Parameters of EstimatedWait.
const (
	attemptDuration  = 400 * time.Millisecond // assumed time that an attempt occupies a slot
	remoteDomainCost = 2 * time.Millisecond   // added for an upstream in another failure domain
	reportLifetime   = 2 * time.Second        // age at which the weight of a report has fallen linearly to zero
)

// Router makes random choices from a seeded source. It is not safe for concurrent use.
type Router struct {
	rng *rand.Rand
}

// New returns a router whose choices depend on seed.
func New(seed uint64) *Router {
	return &Router{rng: rand.New(rand.NewPCG(seed, 1))}
}

// EstimatedWait estimates how long a new attempt waits at c, including the load time,
// the cost of another failure domain and the penalty.
func EstimatedWait(c *Candidate) time.Duration {
	weight := float64(max(0, reportLifetime-c.ReportAge)) / float64(reportLifetime)
	load := float64(c.Outstanding) + float64(c.OthersOutstanding)*weight
	wait := time.Duration(load / float64(max(1, c.Slots)) * float64(attemptDuration))
	if !c.SameDomain {
		wait += remoteDomainCost
	}
	return wait + c.LoadTime + c.Penalty
}

// Pick returns the index of the better of two random candidates, and -1 without
// candidates.
func (r *Router) Pick(candidates []Candidate) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	if n == 1 {
		return 0
	}
	a := r.rng.IntN(n)
	b := (a + 1 + r.rng.IntN(n-1)) % n
	if EstimatedWait(&candidates[b]) < EstimatedWait(&candidates[a]) {
		return b
	}
	return a
}

// Jitter returns a random duration from half of d to d.
func (r *Router) Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rng.Int64N(int64(d/2)+1))
}
