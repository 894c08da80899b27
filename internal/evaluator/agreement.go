package evaluator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Rule decides whether a change conflicts with those accepted since its base.
type Rule string

// The rules that are compared.
const (
	WholeDocument Rule = "whole document"        // any change since the base
	WrittenKeys   Rule = "written keys"          // a key that it writes was written
	ReadKeys      Rule = "read and written"      // a key that it reads or writes was written
	Dangerous     Rule = "consecutive conflicts" // it reads what another wrote, and writes what another read
)

// Rules lists the rules.
func Rules() []Rule {
	return []Rule{WholeDocument, WrittenKeys, ReadKeys, Dangerous}
}

// AgreementLoad describes the changes that operators publish.
type AgreementLoad struct {
	PerDay  float64       // changes
	Prepare time.Duration // mean time between reading the base and publishing
	Teams   int           // each writes mostly its own models
	Models  int
	Shared  float64 // share of changes that write a key all teams use
}

// AgreementResult counts decisions.
type AgreementResult struct {
	Rule    Rule
	Changes int
	Refused int
	Anomaly int // accepted although what it read was overwritten meanwhile
}

// publication is a change with what it read and wrote.
type publication struct {
	base, at      time.Duration
	reads, writes []int
}

// Agreement plays a month of changes under a rule.
func Agreement(rule Rule, load AgreementLoad, seed uint64) AgreementResult {
	changes := publications(load, seed)
	result := AgreementResult{Rule: rule, Changes: len(changes)}
	var accepted []publication
	for _, c := range changes {
		var since []publication
		for i := len(accepted) - 1; i >= 0 && accepted[i].at > c.base; i-- {
			since = append(since, accepted[i])
		}
		if refuses(rule, c, since) {
			result.Refused++
			continue
		}
		if overwritten(c.reads, since) {
			result.Anomaly++
		}
		accepted = append(accepted, c)
	}
	return result
}

// Key numbers: models come first, then the keys that all teams share.
const sharedKeys = 4

func publications(load AgreementLoad, seed uint64) []publication {
	rnd := rand.New(rand.NewPCG(seed, 17))
	const month = 30 * 24 * time.Hour
	mean := time.Duration(24 * float64(time.Hour) / load.PerDay)
	var list []publication
	for at := time.Duration(0); at < month; at += time.Duration(rnd.ExpFloat64() * float64(mean)) {
		own := load.Models / load.Teams
		first := rnd.IntN(load.Teams) * own
		p := publication{at: at, base: at - time.Duration(rnd.ExpFloat64()*float64(load.Prepare))}
		p.writes = append(p.writes, first+rnd.IntN(own))
		if rnd.Float64() < load.Shared {
			p.writes = append(p.writes, load.Models+rnd.IntN(sharedKeys))
		}
		// A copy count depends on the sizes of some other models and on a shared key.
		p.reads = append(p.reads, load.Models+rnd.IntN(sharedKeys))
		for range 3 {
			p.reads = append(p.reads, first+rnd.IntN(own))
		}
		list = append(list, p)
	}
	return list
}

func refuses(rule Rule, c publication, since []publication) bool {
	switch rule {
	case WholeDocument:
		return len(since) > 0
	case WrittenKeys:
		return overwritten(c.writes, since)
	case ReadKeys:
		return overwritten(c.writes, since) || overwritten(c.reads, since)
	}
	return overwritten(c.writes, since) || overwritten(c.reads, since) && overread(c.writes, since)
}

func overwritten(keys []int, since []publication) bool {
	return slices.ContainsFunc(since, func(p publication) bool { return meet(keys, p.writes) })
}

func overread(keys []int, since []publication) bool {
	return slices.ContainsFunc(since, func(p publication) bool { return meet(keys, p.reads) })
}

func meet(a, b []int) bool {
	return slices.ContainsFunc(a, func(k int) bool { return slices.Contains(b, k) })
}
