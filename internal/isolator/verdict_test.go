package isolator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

func TestVerdictsEndAfterTheirLifetime(t *testing.T) {
	v := NewVerdicts()
	require.Equal(t, []registrar.PartID{"a"}, v.Learn(time.Minute, []Verdict{{Part: "a", Age: 10 * time.Second}, {Part: ""}, {Part: "old", Age: verdictLifetime}}))
	part, ok := v.Isolated(time.Minute, []registrar.PartID{"b", "a"})
	require.True(t, ok)
	require.Equal(t, registrar.PartID("a"), part)
	end := 50*time.Second + verdictLifetime
	_, ok = v.Isolated(end-1, []registrar.PartID{"a"})
	require.True(t, ok)
	_, ok = v.Isolated(end, []registrar.PartID{"a"})
	require.False(t, ok)
	require.Empty(t, v.All(end))
	require.Equal(t, []registrar.PartID{"a"}, v.Learn(end, []Verdict{{Part: "a"}}), "reached again")
}

// Processes tell each other verdicts all the time, which must not renew them.
func TestVerdictsThatAreToldAgainAreNotRenewed(t *testing.T) {
	a, b := NewVerdicts(), NewVerdicts()
	a.Learn(0, []Verdict{{Part: "p"}})
	now := time.Duration(0)
	for range 1000 {
		told := a.All(now)
		now += 100 * time.Millisecond // the datagram's delay
		b.Learn(now, told)
		told = b.All(now)
		now += 100 * time.Millisecond
		require.Empty(t, a.Learn(now, told))
	}
	require.Equal(t, []Verdict{{Part: "p", Age: now}}, a.All(now))
}

func TestVerdictsAreBounded(t *testing.T) {
	v := NewVerdicts()
	for i := range 3 * maxVerdicts {
		v.Learn(time.Duration(i), []Verdict{{Part: registrar.PartID(fmt.Sprint(i)), Age: -time.Hour}})
	}
	require.Len(t, v.All(3*maxVerdicts), maxVerdicts)
	_, ok := v.Isolated(3*maxVerdicts, []registrar.PartID{registrar.PartID(fmt.Sprint(3*maxVerdicts - 1))})
	require.True(t, ok, "the newest")
}
