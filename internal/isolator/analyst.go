package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Timing and limits of an Analyst.
const (
	crashMemory   = time.Minute            // crashes further apart have nothing to do with each other
	objectionTime = 300 * time.Millisecond // for gateways to say that a suspected part has been answered; three periods of being asked
	answerMemory  = 30 * time.Second       // how long such an answer clears the part
	minCrashes    = 3                      // that have a part in common before it is suspected
	clearMajority = 2                      // crashes that a part must have beyond other suspects to be isolated at once
	maxCrashes    = 2 * minCrashes         // from which on all suspects with the most crashes are isolated
	maxRecorded   = 500                    // crashes that are remembered
	maxCleared    = 20_000                 // parts whose answers are remembered
)

// Crash says that an upstream crashed and which parts the requests had that it was about to
// answer.
type Crash struct {
	Upstream    registrar.UpstreamID `json:"upstream" cbor:"1,keyasint"`
	Incarnation int64                `json:"born" cbor:"2,keyasint"`
	Suspects    []Trait              `json:"suspects" cbor:"3,keyasint"`
}

// crashKey identifies a crash, which several gateways report.
type crashKey struct {
	upstream    registrar.UpstreamID
	incarnation int64
}

// recordedCrash is a crash with the parts that any gateway reported.
type recordedCrash struct {
	at    time.Duration
	parts map[Trait]bool
}

// Analyst finds the part that several crashes have in common. It is not safe for concurrent
// use.
type Analyst struct {
	verdicts    *Verdicts
	crashes     map[crashKey]*recordedCrash
	clearedAt   map[Trait]time.Duration // when the last answer to the part was known
	suspectedAt map[Trait]time.Duration // since when Suspects has named the part
	askedAt     time.Duration           // of the last call of Suspects
}

// NewAnalyst returns an analyst that knows of no crash and adds its verdicts to those given.
func NewAnalyst(verdicts *Verdicts) *Analyst {
	return &Analyst{verdicts: verdicts, crashes: map[crashKey]*recordedCrash{}, clearedAt: map[Trait]time.Duration{}, suspectedAt: map[Trait]time.Duration{}}
}

// Record adds what a gateway saw of a crash.
func (a *Analyst) Record(now time.Duration, c Crash) {
	a.forget(now)
	key := crashKey{c.Upstream, c.Incarnation}
	crash := a.crashes[key]
	if crash == nil {
		if len(a.crashes) >= maxRecorded {
			return
		}
		crash = &recordedCrash{at: now, parts: map[Trait]bool{}}
		a.crashes[key] = crash
	}
	for _, p := range c.Suspects {
		crash.parts[p] = true
	}
}

// forget drops what is too old to matter.
func (a *Analyst) forget(now time.Duration) {
	maps.DeleteFunc(a.crashes, func(_ crashKey, c *recordedCrash) bool { return now-c.at >= crashMemory })
	if len(a.clearedAt) >= maxCleared {
		maps.DeleteFunc(a.clearedAt, func(_ Trait, at time.Duration) bool { return now-at >= answerMemory })
	}
}

// Clear records that prompts with these parts have been answered.
func (a *Analyst) Clear(now time.Duration, parts []Trait) {
	for _, p := range parts {
		if len(a.clearedAt) < maxCleared {
			a.clearedAt[p] = now
		}
		delete(a.suspectedAt, p)
	}
}

func (a *Analyst) cleared(now time.Duration, p Trait) bool {
	at, ok := a.clearedAt[p]
	return ok && now-at < answerMemory
}

// explained reports whether a crash is due to a part that is isolated already, and so says
// nothing of the others.
func (a *Analyst) explained(now time.Duration, c *recordedCrash) bool {
	_, ok := a.verdicts.Isolated(now, slices.Collect(maps.Keys(c.parts)))
	return ok
}

// counts returns the number of unexplained crashes for each part that was never answered.
func (a *Analyst) counts(now time.Duration) map[Trait]int {
	counts := map[Trait]int{}
	for _, c := range a.crashes {
		if now-c.at >= crashMemory || a.explained(now, c) {
			continue
		}
		for p := range c.parts {
			if !a.cleared(now, p) {
				counts[p]++
			}
		}
	}
	return counts
}

// Suspects returns the parts that have enough crashes in common, in their order. Gateways
// are to be asked whether they have seen an answer to them, and are asked anew after a pause.
func (a *Analyst) Suspects(now time.Duration) []Trait {
	if now-a.askedAt > objectionTime {
		clear(a.suspectedAt)
	}
	a.askedAt = now
	counts := a.counts(now)
	var suspects []Trait
	for p, n := range counts {
		if n < minCrashes {
			continue
		}
		suspects = append(suspects, p)
		if _, ok := a.suspectedAt[p]; !ok {
			a.suspectedAt[p] = now
		}
	}
	maps.DeleteFunc(a.suspectedAt, func(p Trait, _ time.Duration) bool { return counts[p] < minCrashes })
	slices.Sort(suspects)
	return suspects
}

// Decide isolates the suspect with the most crashes when no gateway has objected within
// objectionTime. Suspects with about as many crashes are told apart by further ones, up to
// maxCrashes.
func (a *Analyst) Decide(now time.Duration) []Verdict {
	counts := a.counts(now)
	var ranked []Trait
	for p := range a.suspectedAt {
		ranked = append(ranked, p)
	}
	if len(ranked) == 0 {
		return nil
	}
	slices.SortFunc(ranked, func(p, q Trait) int {
		return cmp.Or(cmp.Compare(counts[q], counts[p]), cmp.Compare(p, q))
	})
	most := counts[ranked[0]]
	if now-a.suspectedAt[ranked[0]] < objectionTime {
		return nil
	}
	if len(ranked) > 1 && most-counts[ranked[1]] < clearMajority && most < maxCrashes {
		return nil
	}
	var verdicts []Verdict
	for _, p := range ranked {
		if counts[p] == most && now-a.suspectedAt[p] >= objectionTime {
			verdicts = append(verdicts, Verdict{Trait: p})
		}
	}
	for _, v := range verdicts {
		delete(a.suspectedAt, v.Trait)
	}
	a.verdicts.Learn(now, verdicts)
	return verdicts
}

// Busy reports whether gateways may still object to a suspect. Otherwise only a further
// crash can tell the suspects apart.
func (a *Analyst) Busy(now time.Duration) bool {
	for _, at := range a.suspectedAt {
		if now-at <= objectionTime {
			return true
		}
	}
	return false
}
