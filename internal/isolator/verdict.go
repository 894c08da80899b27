// Package isolator finds what requests that crash upstreams have in common, so that no more
// of them reach any.
//
// Usage:
//
//	verdicts := isolator.NewVerdicts()
//	analyst := isolator.NewAnalyst(verdicts)
//	traits := isolator.TraitsOf(content, sharedParts)
//	analyst.Record(now, isolator.Crash{Upstream: "i-7f3a91c2", Incarnation: born, Requests: [][]isolator.Trait{traits}})
//	ask(analyst.Suspects(now)) // whether a request with them has been answered
//	analyst.Clear(now, answered)
//	spread(analyst.Decide(now))
//	trait, isolated := verdicts.Isolated(now, traits)
//
// One part of a prompt may crash each upstream that begins to answer it, or one request that
// comes again and again. Gateways report the traits of the requests that an upstream was
// about to answer when it crashed, and which of the suspected traits they have seen answered;
// analysts, which run in several stewards, isolate the trait that several crashes have in
// common and that was never answered, a request before the parts that it has. Requests that
// were broken off together each time are isolated for a short time and then on trial. All
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
	verdictLifetime = time.Hour        // after which the upstreams may have been mended
	trialDelay      = 10 * time.Second // until requests are sent again of which only one crashes upstreams; these are back by then
	trialTime       = time.Minute      // from then on, during which they are sent with care; longer than all gateways together take
	retellTime      = time.Minute      // between verdicts on a trait that are not the same one, told again
)

// Verdict says that requests with a trait crash upstreams. It is sent between processes and
// kept in the store with the numbers of the cbor tags for names.
type Verdict struct {
	Trait Trait         `json:"part" cbor:"1,keyasint"`
	Age   time.Duration `json:"age" cbor:"2,keyasint"` // since it was reached, or long if it is for a short time only
}

// Lasting reports whether a verdict that was just reached holds for long.
func (v Verdict) Lasting() bool { return v.Age == 0 }

// Verdicts holds the verdicts that a process knows. It is not safe for concurrent use.
type Verdicts struct {
	reachedAt map[Trait]time.Duration
	trialFrom map[Trait]time.Duration // since when requests with a trait are sent with care
}

// NewVerdicts returns an empty set.
func NewVerdicts() *Verdicts {
	return &Verdicts{reachedAt: map[Trait]time.Duration{}, trialFrom: map[Trait]time.Duration{}}
}

// Learn stores verdicts and returns the traits that were not isolated before. Of what
// several processes tell of one verdict the earliest counts, since the ages that they tell
// each other only grow; of different verdicts on a trait the latest.
func (v *Verdicts) Learn(now time.Duration, verdicts []Verdict) []Trait {
	var added []Trait
	for _, verdict := range verdicts {
		reachedAt := now - max(0, verdict.Age)
		if verdict.Trait == "" || verdict.Age >= verdictLifetime {
			continue
		}
		known, ok := v.reachedAt[verdict.Trait]
		switch {
		case !ok || now-known >= verdictLifetime:
			v.makeRoom(now)
			v.reachedAt[verdict.Trait] = reachedAt
			added = append(added, verdict.Trait)
			v.startTrial(now, verdict)
		case reachedAt-known >= retellTime || reachedAt < known && known-reachedAt < retellTime:
			v.reachedAt[verdict.Trait] = reachedAt
		}
	}
	return added
}

// startTrial begins the trial of a request that is isolated for a short time only, or of
// what other callers may send of the content of one that is isolated for long.
func (v *Verdicts) startTrial(now time.Duration, verdict Verdict) {
	switch {
	case verdict.Age >= verdictLifetime-trialDelay:
		v.trialFrom[verdict.Trait] = now - verdict.Age + verdictLifetime
	case verdict.Trait.Kind() == RequestTrait:
		v.trialFrom[verdict.Trait.content()] = now
	}
}

// makeRoom forgets verdicts that have expired and, if there are still maxVerdicts, the
// oldest one.
func (v *Verdicts) makeRoom(now time.Duration) {
	if len(v.reachedAt) < maxVerdicts {
		return
	}
	maps.DeleteFunc(v.reachedAt, func(_ Trait, at time.Duration) bool { return now-at >= verdictLifetime })
	maps.DeleteFunc(v.trialFrom, func(_ Trait, from time.Duration) bool { return now >= from+trialTime })
	for len(v.reachedAt) >= maxVerdicts {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(v.reachedAt)), func(a, b Trait) int {
			return cmp.Or(cmp.Compare(v.reachedAt[a], v.reachedAt[b]), cmp.Compare(a, b))
		})
		delete(v.reachedAt, oldest)
	}
}

// Isolated returns the first of the traits that crashes upstreams, and false without one.
func (v *Verdicts) Isolated(now time.Duration, traits []Trait) (Trait, bool) {
	if len(v.reachedAt) == 0 {
		return "", false
	}
	for _, t := range traits {
		if at, ok := v.reachedAt[t]; ok && now-at < verdictLifetime {
			return t, true
		}
	}
	return "", false
}

// OnTrial returns the first of the traits that may crash upstreams, so that requests with it
// should be sent one at a time, and since when; false without one.
func (v *Verdicts) OnTrial(now time.Duration, traits []Trait) (t Trait, from time.Duration, ok bool) {
	if len(v.trialFrom) == 0 {
		return "", 0, false
	}
	for _, t := range traits {
		if from, ok := v.trialFrom[t]; ok && now < from+trialTime {
			return t, from, true
		}
	}
	return "", 0, false
}

// Remaining returns how long requests with the traits will be kept from upstreams.
func (v *Verdicts) Remaining(now time.Duration, traits []Trait) time.Duration {
	remaining := time.Duration(0)
	for _, t := range traits {
		if at, ok := v.reachedAt[t]; ok {
			remaining = max(remaining, at+verdictLifetime-now)
		}
	}
	return remaining
}

// Age returns how long ago a verdict was reached, zero without one.
func (v *Verdicts) Age(now time.Duration, t Trait) time.Duration {
	at, ok := v.reachedAt[t]
	if !ok {
		return 0
	}
	return now - at
}

// brief reports whether a trait is isolated for a short time only.
func (v *Verdicts) brief(now time.Duration, t Trait) bool {
	remaining := v.Remaining(now, []Trait{t})
	return remaining > 0 && remaining <= trialDelay
}

// Lasting returns the verdicts in force that hold for long, in the order of their traits.
func (v *Verdicts) Lasting(now time.Duration) []Verdict {
	return slices.DeleteFunc(v.All(now), func(verdict Verdict) bool { return v.brief(now, verdict.Trait) })
}

// All returns the verdicts in force, in the order of their traits.
func (v *Verdicts) All(now time.Duration) []Verdict {
	var all []Verdict
	for t, at := range v.reachedAt {
		if now-at < verdictLifetime {
			all = append(all, Verdict{Trait: t, Age: now - at})
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int { return cmp.Compare(a.Trait, b.Trait) })
	return all
}
