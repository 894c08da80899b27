package classifier

import (
	"errors"
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
		a := AnswerOf(k)
		require.GreaterOrEqual(t, a.Status, 400, k)
		if a.Retryable {
			require.Equal(t, RanNo, a.Ran, k)
			require.Positive(t, a.RetryAfter, k)
		}
	}
}
