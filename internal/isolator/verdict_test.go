package isolator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestVerdictsEndAfterTheirLifetime(t *testing.T) {
	v := NewVerdicts()
	require.Equal(t, []Trait{"a"}, v.Learn(time.Minute, []Verdict{{Trait: "a", Age: 10 * time.Second}, {Trait: ""}, {Trait: "old", Age: verdictLifetime}}))
	part, ok := v.Isolated(time.Minute, []Trait{"b", "a"})
	require.True(t, ok)
	require.Equal(t, Trait("a"), part)
	end := 50*time.Second + verdictLifetime
	_, ok = v.Isolated(end-1, []Trait{"a"})
	require.True(t, ok)
	_, ok = v.Isolated(end, []Trait{"a"})
	require.False(t, ok)
	require.Empty(t, v.All(end))
	require.Equal(t, []Trait{"a"}, v.Learn(end, []Verdict{{Trait: "a"}}), "reached again")
}

// Processes tell each other verdicts all the time, which must not renew them.
func TestVerdictsThatAreToldAgainAreNotRenewed(t *testing.T) {
	a, b := NewVerdicts(), NewVerdicts()
	a.Learn(0, []Verdict{{Trait: "p"}})
	now := time.Duration(0)
	for range 1000 {
		told := a.All(now)
		now += 100 * time.Millisecond // the datagram's delay
		b.Learn(now, told)
		told = b.All(now)
		now += 100 * time.Millisecond
		require.Empty(t, a.Learn(now, told))
	}
	require.Equal(t, []Verdict{{Trait: "p", Age: now}}, a.All(now))
}

func TestVerdictsAreBounded(t *testing.T) {
	v := NewVerdicts()
	for i := range 3 * maxVerdicts {
		v.Learn(time.Duration(i), []Verdict{{Trait: Trait(fmt.Sprint(i)), Age: -time.Hour}})
	}
	require.Len(t, v.All(3*maxVerdicts), maxVerdicts)
	_, ok := v.Isolated(3*maxVerdicts, []Trait{Trait(fmt.Sprint(3*maxVerdicts - 1))})
	require.True(t, ok, "the newest")
}

// A verdict for a short time must not shorten the one that follows it.
func TestLaterVerdictCounts(t *testing.T) {
	v := NewVerdicts()
	short := Verdict{Trait: "request:r", Age: verdictLifetime - trialDelay}
	v.Learn(0, []Verdict{short})
	v.Learn(trialDelay-time.Second, []Verdict{{Trait: "request:r"}})
	v.Learn(trialDelay-time.Second, []Verdict{{Trait: "request:r", Age: verdictLifetime - time.Second}})
	require.Equal(t, verdictLifetime-time.Second, v.Remaining(trialDelay, []Trait{"request:r"}))
	_, ok := v.Isolated(trialDelay+time.Second, []Trait{"request:r"})
	require.True(t, ok)
}
