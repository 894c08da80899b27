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

func TestOnlyKindsThatDidNotRunAreRetryable(t *testing.T) {
	for _, k := range Kinds() {
		r := ResponseOf(k)
		require.GreaterOrEqual(t, r.Status, 400, k)
		if r.Retryable {
			require.Equal(t, RanNo, r.Ran, k)
			require.Positive(t, r.RetryAfter, k)
		}
	}
}

func TestCallersDocumentListsEveryKind(t *testing.T) {
	doc, err := os.ReadFile("../../docs/CALLERS.md")
	require.NoError(t, err)
	for _, k := range Kinds() {
		r := ResponseOf(k)
		retryAfter := "no"
		if r.Retryable {
			retryAfter = fmt.Sprintf("%.0f s", r.RetryAfter.Seconds())
		}
		require.Contains(t, string(doc), fmt.Sprintf("| `%s` | %d | %s | %s |", k, r.Status, r.Ran, retryAfter))
	}
}
