package classifier

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKindSurvivesWrapping(t *testing.T) {
	err := Wrap(Busy, errors.New("full"), "submit %d", 1)
	require.Equal(t, Busy, KindOf(err))
	require.Equal(t, Internal, KindOf(errors.New("other")))
}

func TestNotRunKindsAreTheOnlyRetryableOnes(t *testing.T) {
	for _, k := range Kinds() {
		a := ResponseOf(k)
		require.GreaterOrEqual(t, a.Status, 400, k)
		if a.Retryable {
			require.Equal(t, RanNo, a.Ran, k)
			require.Positive(t, a.RetryAfter, k)
		}
	}
}

func TestCallersPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	require.NoError(t, err)
	for _, k := range Kinds() {
		a := ResponseOf(k)
		again := "no"
		if a.Retryable {
			again = fmt.Sprintf("%.0f s", a.RetryAfter.Seconds())
		}
		require.Contains(t, string(page), fmt.Sprintf("| `%s` | %d | %s | %s |", k, a.Status, a.Ran, again))
	}
}
