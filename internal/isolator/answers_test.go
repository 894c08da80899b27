package isolator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAnswersAreRememberedForAWhile(t *testing.T) {
	a := NewAnswers(time.Minute, 10)
	require.False(t, a.Recent(0, "a"))
	a.Record(0, "a")
	require.True(t, a.Recent(time.Minute-1, "a"))
	require.False(t, a.Recent(time.Minute, "a"))
}

// Prompts of many parts fill the memory within seconds. Then no answer to a later part was
// remembered, so that nobody objected when it was suspected.
func TestLatestAnswersAreRememberedWhenThereAreTooMany(t *testing.T) {
	const limit = 1000
	a := NewAnswers(time.Minute, limit)
	for i := range 10 * limit {
		a.Record(0, "shared")
		trait := Trait(fmt.Sprint(i))
		a.Record(0, trait)
		require.True(t, a.Recent(0, trait))
		require.True(t, a.Recent(0, "shared"))
		require.LessOrEqual(t, a.Len(), limit)
	}
	require.True(t, a.Recent(0, Trait(fmt.Sprint(10*limit-limit/4))))
}
