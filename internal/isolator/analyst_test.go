package isolator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

func TestAnalystWaitsForObjections(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range 3 {
		a.Record(0, Crash{Upstream: registrar.UpstreamID(fmt.Sprint(i)), Requests: [][]Trait{{"base", "dead"}}})
	}
	require.Equal(t, []Trait{"base", "dead"}, a.Suspects(0))
	require.Empty(t, a.Decide(0))
	a.Clear(time.Millisecond, []Trait{"base"})
	require.Equal(t, []Verdict{{Trait: "dead"}}, a.Decide(time.Second))
}

func crash(upstream int, suspects ...Trait) Crash {
	return Crash{Upstream: registrar.UpstreamID(fmt.Sprint("u", upstream)), Requests: [][]Trait{suspects}}
}

// decide asks about suspects and decides when the time for objections is over.
func decide(a *Analyst, now time.Duration) []Verdict {
	a.Suspects(now)
	for a.Busy(now) {
		now += objectionTime / 3
		a.Suspects(now)
		if verdicts := a.Decide(now); len(verdicts) > 0 {
			return verdicts
		}
	}
	return nil
}

func TestReportsOfOneCrashCountOnce(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for range 10 {
		a.Record(0, crash(1, "p"))
	}
	require.Empty(t, a.Suspects(0))
	require.False(t, a.Busy(0))
}

func TestCrashesThatAreFarApartHaveNoCommonCause(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range 10 {
		a.Record(time.Duration(i)*crashMemory/2, crash(i, "p"))
		require.Empty(t, decide(a, time.Duration(i)*crashMemory/2))
	}
}

// Requests that were at the same upstreams must not be blamed for a crash that is explained.
func TestExplainedCrashesSayNothingOfOtherParts(t *testing.T) {
	v := NewVerdicts()
	a := NewAnalyst(v)
	v.Learn(0, []Verdict{{Trait: "dead"}})
	for i := range 10 {
		a.Record(0, crash(i, "rare"))
		a.Record(0, crash(i, "dead"))
	}
	require.Empty(t, a.Suspects(0))
}

func TestPartsAlwaysSeenTogetherAreIsolatedTogether(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	now := time.Duration(0)
	for i := range maxCrashes - 1 {
		a.Record(now, crash(i, "x", "y"))
		require.Empty(t, decide(a, now), "further crashes may tell them apart")
		now += time.Second
	}
	a.Record(now, crash(maxCrashes, "x", "y"))
	require.Equal(t, []Verdict{{Trait: "x"}, {Trait: "y"}}, decide(a, now))
}

// Gateways may have seen an answer since they were asked last.
func TestGatewaysAreAskedAnewAfterAPause(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range maxCrashes - 1 {
		a.Record(0, crash(i, "x", "y"))
	}
	require.Empty(t, decide(a, 0))
	a.Record(10*time.Second, crash(maxCrashes, "x"))
	a.Record(10*time.Second, crash(maxCrashes+1, "x"))
	require.Equal(t, []Trait{"x", "y"}, a.Suspects(10*time.Second))
	require.Empty(t, a.Decide(10*time.Second), "no time to object")
}

func TestPartThatIsAnsweredAfterItsFirstCrashesIsNoSuspect(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range 5 {
		a.Record(0, crash(i, "p"))
	}
	a.Suspects(0)
	a.Clear(0, []Trait{"p"})
	require.Empty(t, decide(a, 0))
	require.Empty(t, decide(a, answerMemory-time.Second))
	require.Equal(t, []Verdict{{Trait: "p"}}, decide(a, answerMemory))
}

func TestAnalystIsBounded(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range 2 * maxRecorded {
		a.Record(0, crash(i, Trait(fmt.Sprint(i))))
	}
	require.Len(t, a.crashes, maxRecorded)
	for i := range 2 * maxCleared {
		a.Clear(0, []Trait{Trait(fmt.Sprint(i))})
	}
	require.LessOrEqual(t, a.cleared.Len(), maxCleared)
	a.Record(crashMemory, crash(1, "p"))
	require.Len(t, a.crashes, 1)
}

// Crashes of requests with thousands of parts must not fill the memory; the latest tell most.
func TestOldestCrashesAreForgottenWhenTheyHaveTooManyTraits(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	many := make([]Trait, maxTraits/4)
	for i := range many {
		many[i] = Trait(fmt.Sprint("part", i))
	}
	for i := range 10 {
		a.Record(time.Duration(i)*time.Second, crash(i, many...))
	}
	require.Len(t, a.crashes, 4)
	for _, c := range a.crashes {
		require.GreaterOrEqual(t, c.at, 6*time.Second)
	}
}

func TestRequestIsBlamedBeforeItsParts(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range 3 {
		a.Record(0, crash(i, "request:r.1", "content:r", "rare"))
	}
	require.Equal(t, []Verdict{{Trait: "request:r.1"}}, decide(a, 0))
	// A further crash of another cause says nothing of the part.
	a.Record(time.Second, crash(3, "request:s.1", "content:s", "rare"))
	require.Empty(t, decide(a, time.Second))
}

func TestContentIsBlamedWhenCallersDiffer(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range 3 {
		a.Record(0, crash(i, Trait(fmt.Sprint("request:r.", i)), "content:r", "rare"))
	}
	require.Equal(t, []Verdict{{Trait: "content:r"}}, decide(a, 0))
}

// Another caller's sound request with the same content must be served on.
func TestContentOfOneCallerIsNotBlamed(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range 3 {
		a.Record(0, crash(i, "request:r.1", "content:r"))
	}
	require.Equal(t, []Verdict{{Trait: "request:r.1"}}, decide(a, 0))
	a.Record(time.Second, crash(3, "request:r.2", "content:r"))
	a.Clear(time.Second, []Trait{"content:r", "request:r.2"})
	require.Empty(t, decide(a, time.Second))
}

func TestContentThatTwoCallersSentTogetherIsNotBlamed(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range 2 {
		a.Record(0, crash(i, "request:r.1", "content:r"))
		a.Record(0, crash(i, "request:r.2", "content:r"))
	}
	a.Record(0, crash(2, "request:r.1", "content:r"))
	require.Equal(t, []Verdict{{Trait: "request:r.1"}}, decide(a, 0))
}

func TestContentIsBlamedAfterASecondCallersCrash(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range 3 {
		a.Record(0, crash(i, "request:r.1", "content:r"))
	}
	require.Equal(t, []Verdict{{Trait: "request:r.1"}}, decide(a, 0))
	a.Record(time.Second, crash(3, "request:r.2", "content:r"))
	require.Equal(t, []Verdict{{Trait: "content:r"}}, decide(a, time.Second))
}

// A second caller's sound request with the content was broken off by another request that
// crashes upstreams.
func TestContentIsNotBlamedForACrashOfAnotherSuspect(t *testing.T) {
	for _, crashes := range []int{minCrashes, maxCrashes} {
		v := NewVerdicts()
		a := NewAnalyst(v)
		for i := range crashes {
			a.Record(0, crash(i, "request:r.1", "content:r"))
			a.Record(0, crash(100+i, "request:s.1", "content:s"))
		}
		a.Record(0, crash(100, "request:r.2", "content:r"))
		verdicts := decide(a, 0)
		require.Len(t, verdicts, 2)
		for _, verdict := range verdicts {
			require.Contains(t, []Trait{"request:r.1", "request:s.1"}, verdict.Trait)
		}
	}
}

// A sound request that is broken off in each crash is a suspect too.
func TestContentOfSeveralCallersIsBlamedBesideAnotherSuspect(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range minCrashes {
		a.Record(0, crash(i, Trait(fmt.Sprint("request:r.", i)), "content:r"))
		a.Record(0, crash(i, "request:s.1", "content:s"))
	}
	verdicts := decide(a, 0)
	require.Len(t, verdicts, 2)
	require.Equal(t, Trait("content:r"), verdicts[0].Trait)
}

func TestPartIsBlamedWhenSeveralRequestsCrash(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	now := time.Duration(0)
	for i := range 3 {
		a.Record(now, crash(i, "request:r.1", "content:r", "dead"))
	}
	require.Equal(t, []Verdict{{Trait: "request:r.1"}}, decide(a, now))
	now += time.Second
	a.Record(now, crash(3, "request:s.1", "content:s", "dead"))
	require.Empty(t, decide(a, now))
	a.Record(now, crash(4, "request:t.1", "content:t", "dead"))
	require.Equal(t, []Verdict{{Trait: "dead"}}, decide(a, now))
}

func TestRequestsThatWereBrokenOffTogetherAreTriedAgain(t *testing.T) {
	v := NewVerdicts()
	a := NewAnalyst(v)
	for i := range 3 {
		a.Record(0, crash(i, "request:r.1", "content:r", "request:s.1", "content:s", "part"))
	}
	verdicts := decide(a, 0)
	require.Len(t, verdicts, 2)
	for _, verdict := range verdicts {
		require.Equal(t, RequestTrait, verdict.Trait.Kind())
		require.False(t, verdict.Lasting())
	}
	now := objectionTime + trialDelay + time.Second
	_, isolated := v.Isolated(now, []Trait{"request:r.1", "request:s.1"})
	require.False(t, isolated)
	trait, _, onTrial := v.OnTrial(now, []Trait{"request:s.1"})
	require.True(t, onTrial)
	require.Equal(t, Trait("request:s.1"), trait)
	a.Record(now, crash(4, "request:r.1", "content:r"))
	require.Equal(t, []Verdict{{Trait: "request:r.1"}}, decide(a, now))
}

// A sound request that was broken off with the one that crashes upstreams, and once by a crash
// of another cause, was isolated for long in its place.
func TestOneFurtherCrashDoesNotTellRequestsApart(t *testing.T) {
	v := NewVerdicts()
	a := NewAnalyst(v)
	a.Record(0, crash(0, "request:r.sound", "content:r"))
	for i := range 3 {
		a.Record(0, crash(1+i, "request:r.crashing", "content:r"))
		a.Record(0, crash(1+i, "request:r.sound", "content:r"))
	}
	verdicts := decide(a, 0)
	require.Len(t, verdicts, 2, "both, until they are tried one at a time")
	for _, verdict := range verdicts {
		require.Equal(t, RequestTrait, verdict.Trait.Kind())
		require.False(t, verdict.Lasting())
	}
	now := objectionTime + trialDelay + time.Second
	a.Clear(now, []Trait{"request:r.sound", "content:r"})
	a.Record(now, crash(4, "request:r.crashing", "content:r"))
	require.Equal(t, []Verdict{{Trait: "request:r.crashing"}}, decide(a, now))
}

// Several sound requests with a rare part may be broken off with the one that comes again.
func TestPartIsNotBlamedWhileARequestWithoutItHasAsManyCrashes(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range 3 {
		a.Record(0, crash(i, "request:r.1", "content:r"))
		a.Record(0, crash(i, Trait(fmt.Sprintf("request:s%d.1", i)), Trait(fmt.Sprint("content:s", i)), "rare"))
	}
	verdicts := decide(a, 0)
	require.Len(t, verdicts, 1)
	require.Equal(t, Trait("request:r.1"), verdicts[0].Trait)
	require.False(t, verdicts[0].Lasting())
}

func TestRequestThatWasAnsweredIsNotBlamed(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	for i := range 3 {
		a.Record(0, crash(i, "request:r.1", "content:r", "request:s.1", "content:s"))
	}
	a.Clear(0, []Trait{"request:s.1", "content:s"})
	require.Equal(t, []Verdict{{Trait: "request:r.1"}}, decide(a, 0))
}

// Prompts of hundreds of parts, of which gateways have seen all others answered.
func TestPartIsFoundAmongMany(t *testing.T) {
	a := NewAnalyst(NewVerdicts())
	var shared []Trait
	for i := range 500 {
		shared = append(shared, Trait(fmt.Sprint("shared", i)))
	}
	for i := range 3 {
		a.Record(0, crash(i, append([]Trait{Trait(fmt.Sprintf("request:r%d.c", i)), Trait(fmt.Sprintf("content:r%d", i)), "poison"}, shared...)...))
	}
	require.Len(t, a.Suspects(0), 501)
	a.Clear(0, shared)
	require.Equal(t, []Verdict{{Trait: "poison"}}, decide(a, 0))
}
