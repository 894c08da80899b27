// Package isolator finds the parts of prompts that crash upstreams, so that no more requests
// with them reach any.
//
// Usage:
//
//	verdicts := isolator.NewVerdicts()
//	analyst := isolator.NewAnalyst(verdicts)
//	analyst.Record(now, isolator.Crash{Upstream: "i-7f3a91c2", Incarnation: born, Suspects: parts})
//	ask(analyst.Suspects(now)) // whether an answer to a prompt with them has been written
//	analyst.Clear(now, written)
//	spread(analyst.Decide(now))
//	part, isolated := verdicts.Isolated(now, parts)
//
// Such a part crashes each upstream that begins to write an answer to it. Gateways report
// the parts of the requests that an upstream was about to answer when it crashed, and which
// of the suspected parts they have seen answered; analysts, which run in several stewards,
// isolate the part that several crashes have in common and that was never answered. All
// processes tell each other the verdicts, and the platform's store keeps them.
package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of what a process remembers.
const (
	maxVerdicts     = 1000
	verdictLifetime = time.Hour // after which a part may have been mended together with the upstreams
)

// Verdict says that a part crashes upstreams. It is sent between processes and kept in the
// store with the numbers of the cbor tags for names.
type Verdict struct {
	Trait Trait         `json:"part" cbor:"1,keyasint"`
	Age   time.Duration `json:"age" cbor:"2,keyasint"` // since it was reached
}

// Verdicts holds the verdicts that a process knows. It is not safe for concurrent use.
type Verdicts struct {
	reachedAt map[Trait]time.Duration
}

// NewVerdicts returns an empty set.
func NewVerdicts() *Verdicts {
	return &Verdicts{reachedAt: map[Trait]time.Duration{}}
}

// Learn stores verdicts and returns the parts that were not isolated before. Of several on a
// part the earliest counts, since the ages that processes tell each other only grow.
func (v *Verdicts) Learn(now time.Duration, verdicts []Verdict) []Trait {
	var added []Trait
	for _, verdict := range verdicts {
		reachedAt := now - max(0, verdict.Age)
		if verdict.Trait == "" || verdict.Age >= verdictLifetime {
			continue
		}
		if known, ok := v.reachedAt[verdict.Trait]; ok && now-known < verdictLifetime {
			v.reachedAt[verdict.Trait] = min(known, reachedAt)
			continue
		}
		v.makeRoom(now)
		v.reachedAt[verdict.Trait] = reachedAt
		added = append(added, verdict.Trait)
	}
	return added
}

// makeRoom forgets verdicts that have expired and, if there are still maxVerdicts, the
// oldest one.
func (v *Verdicts) makeRoom(now time.Duration) {
	if len(v.reachedAt) < maxVerdicts {
		return
	}
	maps.DeleteFunc(v.reachedAt, func(_ Trait, at time.Duration) bool { return now-at >= verdictLifetime })
	for len(v.reachedAt) >= maxVerdicts {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(v.reachedAt)), func(a, b Trait) int {
			return cmp.Or(cmp.Compare(v.reachedAt[a], v.reachedAt[b]), cmp.Compare(a, b))
		})
		delete(v.reachedAt, oldest)
	}
}

// Isolated returns the first of the parts that crashes upstreams, and false without one.
func (v *Verdicts) Isolated(now time.Duration, parts []Trait) (Trait, bool) {
	if len(v.reachedAt) == 0 {
		return "", false
	}
	for _, p := range parts {
		if at, ok := v.reachedAt[p]; ok && now-at < verdictLifetime {
			return p, true
		}
	}
	return "", false
}

// All returns the verdicts in force, in the order of their parts.
func (v *Verdicts) All(now time.Duration) []Verdict {
	var all []Verdict
	for p, at := range v.reachedAt {
		if now-at < verdictLifetime {
			all = append(all, Verdict{Trait: p, Age: now - at})
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int { return cmp.Compare(a.Trait, b.Trait) })
	return all
}
