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
	maxCrashes    = 2 * minCrashes         // from which on all parts with the most crashes are isolated
	maxRecorded   = 500                    // crashes that are remembered
	maxTraits     = 200_000                // of these crashes together, beyond which the oldest are forgotten
	maxCleared    = 50_000                 // traits whose answers are remembered
)

// Crash says that an upstream crashed and which traits the requests had that it was about to
// answer. Field 3 was a list of parts.
type Crash struct {
	Upstream    registrar.UpstreamID `json:"upstream" cbor:"1,keyasint"`
	Incarnation int64                `json:"born" cbor:"2,keyasint"`
	Requests    [][]Trait            `json:"requests" cbor:"4,keyasint"`
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
	parts  map[Trait]map[Trait]bool // by the request or content that has them
}

// add adds the traits of one request.
func (c *recordedCrash) add(traits []Trait) {
	for _, t := range traits {
		c.traits[t] = true
		if t.Kind() == PartTrait {
			continue
		}
		if c.parts[t] == nil {
			c.parts[t] = map[Trait]bool{}
		}
		for _, part := range traits {
			c.parts[t][part] = part.Kind() == PartTrait
		}
	}
}

// Analyst finds the trait that several crashes have in common. It is not safe for concurrent
// use.
type Analyst struct {
	verdicts    *Verdicts
	crashes     map[crashKey]*recordedCrash
	cleared     *Answers                // as gateways tell
	suspectedAt map[Trait]time.Duration // since when Suspects has named the trait
	askedAt     time.Duration           // of the last call of Suspects
}

// NewAnalyst returns an analyst that knows of no crash and adds its verdicts to those given.
func NewAnalyst(verdicts *Verdicts) *Analyst {
	return &Analyst{verdicts: verdicts, crashes: map[crashKey]*recordedCrash{}, cleared: NewAnswers(answerMemory, maxCleared), suspectedAt: map[Trait]time.Duration{}}
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
		crash = &recordedCrash{at: now, traits: map[Trait]bool{}, parts: map[Trait]map[Trait]bool{}}
		a.crashes[key] = crash
	}
	for _, traits := range c.Requests {
		crash.add(traits)
	}
	a.makeRoom(key)
}

// makeRoom forgets the oldest crashes except one while there are too many traits.
func (a *Analyst) makeRoom(kept crashKey) {
	total := 0
	for _, c := range a.crashes {
		total += len(c.traits)
	}
	for total > maxTraits && len(a.crashes) > 1 {
		var oldest crashKey
		found := false
		for key, c := range a.crashes {
			if key != kept && (!found || c.at < a.crashes[oldest].at) {
				oldest, found = key, true
			}
		}
		total -= len(a.crashes[oldest].traits)
		delete(a.crashes, oldest)
	}
}

// forget drops what is too old to matter.
func (a *Analyst) forget(now time.Duration) {
	maps.DeleteFunc(a.crashes, func(_ crashKey, c *recordedCrash) bool { return now-c.at >= crashMemory })
}

// Clear records that requests with these traits have been answered.
func (a *Analyst) Clear(now time.Duration, traits []Trait) {
	for _, t := range traits {
		a.cleared.Record(now, t)
		delete(a.suspectedAt, t)
	}
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
		if _, isolated := a.verdicts.Isolated(now, []Trait{t}); isolated || !e.suspicious(t) {
			continue
		}
		suspects = append(suspects, t)
		if _, ok := a.suspectedAt[t]; !ok {
			a.suspectedAt[t] = now
		}
	}
	maps.DeleteFunc(a.suspectedAt, func(t Trait, _ time.Duration) bool { return !slices.Contains(suspects, t) })
	slices.Sort(suspects)
	return suspects
}

// Decide isolates the suspects with the most crashes when no gateway has objected within
// objectionTime: a part if one explains the crashes, else a request.
func (a *Analyst) Decide(now time.Duration) []Verdict {
	all := a.collect(now)
	parts, requests := a.rank(all)
	verdicts := a.decideParts(now, all, parts)
	if len(verdicts) == 0 {
		verdicts = a.decideRequests(now, all, requests, parts)
	}
	for _, v := range verdicts {
		delete(a.suspectedAt, v.Trait)
	}
	a.verdicts.Learn(now, verdicts)
	return verdicts
}

// decideParts isolates the part with the most crashes. Parts with about as many crashes are
// told apart by further ones, up to maxCrashes, as are a part and a request without it.
func (a *Analyst) decideParts(now time.Duration, all map[Trait]*evidence, ranked []Trait) []Verdict {
	if len(ranked) == 0 || now-a.suspectedAt[ranked[0]] < objectionTime {
		return nil
	}
	most := all[ranked[0]].weight()
	if (isTie(all, ranked) || isRivalled(all, ranked[0])) && most < maxCrashes*crashWeight {
		return nil
	}
	return a.verdictsOn(now, all, ranked, most, 0)
}

// decideRequests isolates the request with the most crashes, several with about as many for
// trialDelay only. So it does while there are parts with as many to which nobody objects.
func (a *Analyst) decideRequests(now time.Duration, all map[Trait]*evidence, ranked, parts []Trait) []Verdict {
	if len(ranked) == 0 || now-a.suspectedAt[ranked[0]] < objectionTime {
		return nil
	}
	most := all[ranked[0]].weight()
	doubtful := isTie(all, ranked) || slices.ContainsFunc(parts, func(p Trait) bool {
		return all[p].weight() >= most && now-a.suspectedAt[p] >= objectionTime
	})
	if doubtful {
		return a.verdictsOn(now, all, ranked, most-clearMajority+1, verdictLifetime-trialDelay)
	}
	return a.verdictsOn(now, all, ranked, most, 0)
}

// isTie reports whether the first of the ranked traits has no clear majority.
func isTie(all map[Trait]*evidence, ranked []Trait) bool {
	return len(ranked) > 1 && all[ranked[0]].weight()-all[ranked[1]].weight() < clearMajority
}

// isRivalled reports whether a request without the part has as many crashes.
func isRivalled(all map[Trait]*evidence, part Trait) bool {
	for t, e := range all {
		if t.Kind() != PartTrait && e.suspicious(t) && !e.parts[part] && e.weight() >= all[part].weight() {
			return true
		}
	}
	return false
}

// verdictsOn returns verdicts on the traits with at least some weight of evidence.
func (a *Analyst) verdictsOn(now time.Duration, all map[Trait]*evidence, ranked []Trait, least int, age time.Duration) []Verdict {
	var verdicts []Verdict
	for _, t := range ranked {
		if all[t].weight() >= least && now-a.suspectedAt[t] >= objectionTime {
			verdicts = append(verdicts, Verdict{Trait: t, Age: age})
		}
	}
	return verdicts
}

// rank returns the suspects, those with the most crashes first, without those whose crashes
// another one explains.
func (a *Analyst) rank(all map[Trait]*evidence) (parts, requests []Trait) {
	for t := range a.suspectedAt {
		switch {
		case all[t] == nil || explainedByOther(all, t):
		case t.Kind() == PartTrait:
			parts = append(parts, t)
		default:
			requests = append(requests, t)
		}
	}
	for _, ranked := range [][]Trait{parts, requests} {
		slices.SortFunc(ranked, func(s, t Trait) int {
			return cmp.Or(cmp.Compare(all[t].weight(), all[s].weight()), cmp.Compare(s, t))
		})
	}
	return parts, requests
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
