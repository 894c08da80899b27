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
		a.Record(0, Crash{Upstream: registrar.UpstreamID(fmt.Sprint(i)), Suspects: []registrar.PartID{"base", "dead"}})
	}
	require.Equal(t, []registrar.PartID{"base", "dead"}, a.Suspects(0))
	require.Empty(t, a.Decide(0))
	a.Clear(time.Millisecond, []registrar.PartID{"base"})
	require.Equal(t, []Verdict{{Part: "dead"}}, a.Decide(time.Second))
}
