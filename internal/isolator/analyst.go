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
	objectionTime = 300 * time.Millisecond // for gateways to say that a suspected trait has been answered; three periods of being asked
	answerMemory  = 30 * time.Second       // how long such an answer clears the trait
	minCrashes    = 3                      // that have a trait in common before it is suspected
	clearMajority = 2                      // crashes that a trait must have beyond other suspects to be isolated at once
	maxCrashes    = 2 * minCrashes         // from which on all parts with the most crashes are isolated
	maxRecorded   = 500                    // crashes that are remembered
	maxCleared    = 20_000                 // traits whose answers are remembered
)

// Crash says that an upstream crashed and which traits the requests had that it was about to
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

// recordedCrash is a crash with the traits that any gateway reported.
type recordedCrash struct {
	at     time.Duration
	traits map[Trait]bool
}

// Analyst finds the trait that several crashes have in common. It is not safe for concurrent
// use.
type Analyst struct {
	verdicts    *Verdicts
	crashes     map[crashKey]*recordedCrash
	clearedAt   map[Trait]time.Duration // when the last answer to the trait was known
	suspectedAt map[Trait]time.Duration // since when Suspects has named the trait
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
		crash = &recordedCrash{at: now, traits: map[Trait]bool{}}
		a.crashes[key] = crash
	}
	for _, t := range c.Suspects {
		crash.traits[t] = true
	}
}

// forget drops what is too old to matter.
func (a *Analyst) forget(now time.Duration) {
	maps.DeleteFunc(a.crashes, func(_ crashKey, c *recordedCrash) bool { return now-c.at >= crashMemory })
	if len(a.clearedAt) >= maxCleared {
		maps.DeleteFunc(a.clearedAt, func(_ Trait, at time.Duration) bool { return now-at >= answerMemory })
	}
}

// Clear records that requests with these traits have been answered.
func (a *Analyst) Clear(now time.Duration, traits []Trait) {
	for _, t := range traits {
		if len(a.clearedAt) < maxCleared {
			a.clearedAt[t] = now
		}
		delete(a.suspectedAt, t)
	}
}

func (a *Analyst) cleared(now time.Duration, t Trait) bool {
	at, ok := a.clearedAt[t]
	return ok && now-at < answerMemory
}

// evidence is what speaks for a trait.
type evidence struct {
	crashes  map[crashKey]bool // unexplained ones of requests that have it
	isolated map[Trait]bool    // narrower traits that explain other such crashes
}

// weight counts the causes that would be needed to explain the evidence otherwise.
func (e evidence) weight() int { return len(e.crashes) + len(e.isolated) }

// beyond returns how much of the evidence another trait does not explain.
func (e evidence) beyond(other evidence) int {
	n := len(e.isolated)
	for key := range e.crashes {
		if !other.crashes[key] {
			n++
		}
	}
	return n
}

// collect returns the evidence for each trait that was not answered lately.
func (a *Analyst) collect(now time.Duration) map[Trait]evidence {
	all := map[Trait]evidence{}
	for key, c := range a.crashes {
		if now-c.at >= crashMemory {
			continue
		}
		explanation, explained := a.explanation(now, c)
		for t := range c.traits {
			if a.cleared(now, t) || explained && !explanation.narrower(t) {
				continue
			}
			e, ok := all[t]
			if !ok {
				e = evidence{map[crashKey]bool{}, map[Trait]bool{}}
				all[t] = e
			}
			if explained {
				e.isolated[explanation] = true
			} else {
				e.crashes[key] = true
			}
		}
	}
	return all
}

// explanation returns the least specific isolated trait that explains a crash, and false
// without one. The crash says nothing of other traits, unless they are less specific.
func (a *Analyst) explanation(now time.Duration, c *recordedCrash) (Trait, bool) {
	var widest Trait
	for t := range c.traits {
		if _, ok := a.verdicts.Isolated(now, []Trait{t}); !ok {
			continue
		}
		if widest == "" || widest.narrower(t) || !t.narrower(widest) && t < widest {
			widest = t
		}
	}
	return widest, widest != ""
}

// Suspects returns the traits that have enough crashes in common, in their order. Gateways
// are to be asked whether they have seen an answer to them, and are asked anew after a pause.
func (a *Analyst) Suspects(now time.Duration) []Trait {
	if now-a.askedAt > objectionTime {
		clear(a.suspectedAt)
	}
	a.askedAt = now
	all := a.collect(now)
	var suspects []Trait
	for t, e := range all {
		if e.weight() < minCrashes {
			continue
		}
		suspects = append(suspects, t)
		if _, ok := a.suspectedAt[t]; !ok {
			a.suspectedAt[t] = now
		}
	}
	maps.DeleteFunc(a.suspectedAt, func(t Trait, _ time.Duration) bool { return all[t].weight() < minCrashes })
	slices.Sort(suspects)
	return suspects
}

// Decide isolates the suspect with the most crashes when no gateway has objected within
// objectionTime. Suspects with about as many crashes are told apart by further ones: parts
// go on reaching upstreams until maxCrashes, requests are isolated for trialDelay.
func (a *Analyst) Decide(now time.Duration) []Verdict {
	all := a.collect(now)
	ranked := a.rank(all)
	if len(ranked) == 0 {
		return nil
	}
	first := ranked[0]
	most := all[first].weight()
	if now-a.suspectedAt[first] < objectionTime {
		return nil
	}
	var age time.Duration
	if len(ranked) > 1 && most-all[ranked[1]].weight() < clearMajority {
		switch {
		case first.Kind() != PartTrait:
			age = verdictLifetime - trialDelay
		case most < maxCrashes:
			return nil
		}
	}
	var verdicts []Verdict
	for _, t := range ranked {
		if all[t].weight() == most && now-a.suspectedAt[t] >= objectionTime && (age == 0 || t.Kind() != PartTrait) {
			verdicts = append(verdicts, Verdict{Trait: t, Age: age})
		}
	}
	for _, v := range verdicts {
		delete(a.suspectedAt, v.Trait)
	}
	a.verdicts.Learn(now, verdicts)
	return verdicts
}

// rank returns the suspects, those with the most crashes first, without those whose crashes
// another one explains.
func (a *Analyst) rank(all map[Trait]evidence) []Trait {
	var ranked []Trait
	for t := range a.suspectedAt {
		if !a.explainedByOther(all, t) {
			ranked = append(ranked, t)
		}
	}
	slices.SortFunc(ranked, func(s, t Trait) int {
		return cmp.Or(cmp.Compare(all[t].weight(), all[s].weight()), cmp.Compare(s, t))
	})
	return ranked
}

// explainedByOther reports whether another suspect explains the crashes of t. Of two that
// nearly always come together, the more specific one does, since its verdict keeps fewer
// requests from upstreams.
func (a *Analyst) explainedByOther(all map[Trait]evidence, t Trait) bool {
	for s := range a.suspectedAt {
		switch beyond := all[t].beyond(all[s]); {
		case s.narrower(t) && beyond < clearMajority:
			return true
		case t.narrower(s) && beyond == 0 && all[s].beyond(all[t]) >= clearMajority:
			return true
		case s.Kind() == t.Kind() && s.Kind() != PartTrait && beyond == 0 && all[s].beyond(all[t]) > 0:
			return true
		}
	}
	return false
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
