package evaluator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// ConflictRule decides whether a change of the configuration conflicts with the
// changes accepted since its base, the state that it was made from.
type ConflictRule string

// The rules that are compared. The comments say what must have been accepted since the
// base of a change for the change to be refused.
const (
	WholeDocument     ConflictRule = "whole document"   // any change
	WrittenKeys       ConflictRule = "written keys"     // a write of a key that it writes
	ReadOrWrittenKeys ConflictRule = "read and written" // a write of a key that it reads or writes
	// a write of a key that it writes, or both a write of a key that it reads and a read
	// of a key that it writes (the dangerous structure of serializable snapshot isolation)
	ConsecutiveConflicts ConflictRule = "consecutive conflicts"
)

// ConflictRules lists the rules that are compared.
func ConflictRules() []ConflictRule {
	return []ConflictRule{WholeDocument, WrittenKeys, ReadOrWrittenKeys, ConsecutiveConflicts}
}

// ChangeLoad describes the configuration changes that operators publish.
type ChangeLoad struct {
	ChangesPerDay  float64
	MeanEditTime   time.Duration // mean time between reading the base and publishing
	Teams          int           // each writes only the keys of its own models and shared keys
	Models         int           // of all teams together
	SharedKeyShare float64       // share of changes that also write a key shared by all teams
}

// ConflictResult counts the changes by outcome.
type ConflictResult struct {
	Rule       ConflictRule
	Changes    int
	Refused    int
	StaleReads int // accepted changes that read a key overwritten since their base
}

// publishedChange is a change with the times at which its base was read and it was
// published, and the numbers of the keys that it read and wrote.
type publishedChange struct {
	baseReadAt, publishedAt time.Duration
	reads, writes           []int
}

// SimulateConflicts generates a month of changes and counts those that the rule
// refuses. A refused change is not published again.
func SimulateConflicts(rule ConflictRule, load ChangeLoad, seed uint64) ConflictResult {
	changes := generateChanges(load, seed)
	result := ConflictResult{Rule: rule, Changes: len(changes)}
	var accepted []publishedChange
	for _, c := range changes {
		var concurrent []publishedChange
		for i := len(accepted) - 1; i >= 0 && accepted[i].publishedAt > c.baseReadAt; i-- {
			concurrent = append(concurrent, accepted[i])
		}
		if conflicts(rule, c, concurrent) {
			result.Refused++
			continue
		}
		if anyWritten(c.reads, concurrent) {
			result.StaleReads++
		}
		accepted = append(accepted, c)
	}
	return result
}

// sharedKeys is the number of keys that all teams share. The numbers of the models
// come before them.
const sharedKeys = 4

// generateChanges draws a month of changes in the order of publication.
func generateChanges(load ChangeLoad, seed uint64) []publishedChange {
	rnd := rand.New(rand.NewPCG(seed, 17))
	const month = 30 * 24 * time.Hour
	meanInterval := time.Duration(24 * float64(time.Hour) / load.ChangesPerDay)
	var changes []publishedChange
	for at := time.Duration(0); at < month; at += time.Duration(rnd.ExpFloat64() * float64(meanInterval)) {
		modelsPerTeam := load.Models / load.Teams
		firstModel := rnd.IntN(load.Teams) * modelsPerTeam
		c := publishedChange{publishedAt: at, baseReadAt: at - time.Duration(rnd.ExpFloat64()*float64(load.MeanEditTime))}
		c.writes = append(c.writes, firstModel+rnd.IntN(modelsPerTeam))
		if rnd.Float64() < load.SharedKeyShare {
			c.writes = append(c.writes, load.Models+rnd.IntN(sharedKeys))
		}
		// The number of copies of a model depends on the sizes of some other models
		// and on a shared key.
		c.reads = append(c.reads, load.Models+rnd.IntN(sharedKeys))
		for range 3 {
			c.reads = append(c.reads, firstModel+rnd.IntN(modelsPerTeam))
		}
		changes = append(changes, c)
	}
	return changes
}

// conflicts reports whether the rule refuses c, given the changes accepted since its base.
func conflicts(rule ConflictRule, c publishedChange, concurrent []publishedChange) bool {
	switch rule {
	case WholeDocument:
		return len(concurrent) > 0
	case WrittenKeys:
		return anyWritten(c.writes, concurrent)
	case ReadOrWrittenKeys:
		return anyWritten(c.writes, concurrent) || anyWritten(c.reads, concurrent)
	}
	return anyWritten(c.writes, concurrent) || anyWritten(c.reads, concurrent) && anyRead(c.writes, concurrent)
}

// anyWritten reports whether one of the changes wrote one of the keys.
func anyWritten(keys []int, changes []publishedChange) bool {
	return slices.ContainsFunc(changes, func(c publishedChange) bool { return intersect(keys, c.writes) })
}

// anyRead reports whether one of the changes read one of the keys.
func anyRead(keys []int, changes []publishedChange) bool {
	return slices.ContainsFunc(changes, func(c publishedChange) bool { return intersect(keys, c.reads) })
}

func intersect(a, b []int) bool {
	return slices.ContainsFunc(a, func(k int) bool { return slices.Contains(b, k) })
}
