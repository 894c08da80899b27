package claimer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func claim(id string, key Key) Claim {
	return Claim{AttemptID: id, Key: key, Agent: "a", Incarnation: 1}
}

func TestFirstClaimInLogOrderHoldsTheKey(t *testing.T) {
	tab := New(time.Minute)
	require.True(t, tab.Apply(claim("1", "k"), time.Second))
	require.False(t, tab.Apply(claim("2", "k"), 2*time.Second))
	require.True(t, tab.Apply(claim("1", "k"), 3*time.Second), "a repeated record of the holder keeps its claim")
	h, ok := tab.Holder("k")
	require.True(t, ok)
	require.Equal(t, "1", h.AttemptID)
}

func TestClaimExpiresOnTheLogClock(t *testing.T) {
	tab := New(time.Minute)
	tab.Apply(claim("1", "k"), time.Second)
	require.False(t, tab.Apply(claim("2", "k"), time.Minute))
	require.True(t, tab.Apply(claim("3", "k"), 61*time.Second))
	require.Equal(t, 1, tab.Len())
}

func TestSnapshotKeepsClaimsWhenTheLogDropsRecords(t *testing.T) {
	old := New(10 * time.Minute)
	old.Apply(claim("1", "k"), time.Minute)
	restored := New(10 * time.Minute) // starts after the log dropped the first record
	for _, c := range old.Snapshot(5 * time.Minute) {
		restored.Apply(c, 6*time.Minute)
	}
	require.False(t, restored.Apply(claim("2", "k"), 7*time.Minute))
	require.True(t, restored.Apply(claim("3", "k"), 11*time.Minute), "the window starts at the first append")
}
