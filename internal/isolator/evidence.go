package isolator

import (
	"cmp"
	"maps"
	"time"
)

// Weights of evidence.
const (
	crashWeight   = 2
	requestWeight = 3               // of a request that is isolated for its crashes: two of them make a part that they share a suspect
	clearMajority = 2 * crashWeight // that a trait must have beyond other suspects to be isolated at once
)

// evidence is what speaks for a trait.
type evidence struct {
	crashes  map[crashKey]bool           // unexplained ones of requests that have it
	isolated map[Trait]bool              // of a part, requests with it that explain other crashes
	parts    map[Trait]bool              // of a request or a content
	callers  map[Trait]map[crashKey]bool // of a content, the crashes by the request with it
	rivalled map[crashKey]bool           // of a content, crashes of a request that has clearly more without it
	onTrial  bool                        // requests with it were sent one at a time
}

func newEvidence() *evidence {
	return &evidence{
		crashes: map[crashKey]bool{}, isolated: map[Trait]bool{}, parts: map[Trait]bool{},
		callers: map[Trait]map[crashKey]bool{}, rivalled: map[crashKey]bool{},
	}
}

func (e *evidence) weight() int {
	return crashWeight*len(e.crashes) + requestWeight*len(e.isolated)
}

// beyond returns the weight of the evidence that another trait does not explain.
func (e *evidence) beyond(other *evidence) int {
	weight := requestWeight * len(e.isolated)
	for key := range e.crashes {
		if !other.crashes[key] {
			weight += crashWeight
		}
	}
	return weight
}

// frequent reports whether a trait has enough crashes in common.
func (e *evidence) frequent() bool {
	return e.weight() >= minCrashes*crashWeight
}

// suspicious reports whether a trait may be to blame for its crashes. A content is no suspect
// while one caller's request with it explains them.
func (e *evidence) suspicious(t Trait) bool {
	if !e.frequent() {
		return false
	}
	if t.Kind() != ContentTrait {
		return true
	}
	for _, crashes := range e.callers {
		if e.explainedByCaller(crashes) {
			return false
		}
	}
	return true
}

// explainedByCaller reports whether the request of one caller with these crashes explains
// those of its content: it was in all, or is a suspect itself and in all but those of others.
func (e *evidence) explainedByCaller(crashes map[crashKey]bool) bool {
	for key := range e.crashes {
		if !crashes[key] && (len(crashes) < minCrashes || !e.rivalled[key]) {
			return false
		}
	}
	return true
}

// collect returns the evidence for each trait that was not answered lately.
func (a *Analyst) collect(now time.Duration) map[Trait]*evidence {
	all := map[Trait]*evidence{}
	for key, c := range a.crashes {
		if now-c.at >= crashMemory {
			continue
		}
		explanation, explained := a.explanation(now, c)
		for t := range c.traits {
			if a.cleared.Recent(now, t) || explained && !explanation.leavesOpen(c, t) && !a.verdicts.brief(now, t) {
				continue
			}
			if all[t] == nil {
				all[t] = newEvidence()
				_, _, all[t].onTrial = a.verdicts.OnTrial(now, []Trait{t})
			}
			if explained && explanation.lasting && t.Kind() == PartTrait {
				all[t].isolated[explanation.trait] = true
			} else {
				all[t].crashes[key] = true
			}
			maps.Copy(all[t].parts, c.parts[t])
		}
		for t := range c.traits {
			if t.Kind() != RequestTrait {
				continue
			}
			if e := all[t.content()]; e != nil && e.crashes[key] {
				if e.callers[t] == nil {
					e.callers[t] = map[crashKey]bool{}
				}
				e.callers[t][key] = true
			}
		}
	}
	a.markRivalled(all)
	return all
}

// markRivalled finds the crashes of contents that another request may be to blame for. One
// that was merely broken off with a content has few others.
func (a *Analyst) markRivalled(all map[Trait]*evidence) {
	for t, e := range all {
		if t.Kind() != RequestTrait || !e.frequent() {
			continue
		}
		for key := range e.crashes {
			for content := range a.crashes[key].traits {
				if other := all[content]; other != nil && content.Kind() == ContentTrait && e.beyond(other) >= clearMajority {
					other.rivalled[key] = true
				}
			}
		}
	}
}

// explanation is an isolated trait that explains a crash.
type explanation struct {
	trait   Trait
	lasting bool
}

// explanation returns the broadest isolated trait that explains a crash, and false without
// one.
func (a *Analyst) explanation(now time.Duration, c *recordedCrash) (explanation, bool) {
	var broadest Trait
	for t := range c.traits {
		if _, ok := a.verdicts.Isolated(now, []Trait{t}); !ok {
			continue
		}
		if broadest == "" || cmp.Or(cmp.Compare(breadth[t.Kind()], breadth[broadest.Kind()]), cmp.Compare(broadest, t)) > 0 {
			broadest = t
		}
	}
	return explanation{broadest, !a.verdicts.brief(now, broadest)}, broadest != ""
}

// leavesOpen reports whether t may be to blame for a crash all the same: what contains the
// isolated trait, or a part while it is not certain which request is to blame.
func (e explanation) leavesOpen(c *recordedCrash, t Trait) bool {
	if t.Kind() == PartTrait {
		return c.parts[e.trait][t] || !e.lasting
	}
	return e.trait.ofContent(t)
}

// explainedByOther reports whether another suspect explains the crashes of t. Of a request
// and a part of it that nearly always come together, the request does, since its verdict
// keeps fewer from upstreams.
func explainedByOther(all map[Trait]*evidence, t Trait) bool {
	for s, e := range all {
		if t == s || !e.suspicious(s) || s.ofContent(t) {
			continue
		}
		beyond, otherBeyond := all[t].beyond(e), e.beyond(all[t])
		switch {
		case t.ofContent(s):
			return true
		case e.parts[t]:
			if beyond < clearMajority {
				return true
			}
		case all[t].parts[s]:
			if beyond == 0 && otherBeyond >= clearMajority {
				return true
			}
		case t.Kind() != PartTrait && s.Kind() != PartTrait && beyond == 0:
			if otherBeyond >= clearMajority || otherBeyond > 0 && e.onTrial {
				return true
			}
		}
	}
	return false
}
