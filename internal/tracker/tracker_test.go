package tracker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

func TestOriginsAreRememberedForAWhile(t *testing.T) {
	tr := New()
	tr.Record(0, Origin{Stream: "a", Release: "v1"})
	tr.Record(time.Second, Origin{Stream: "a", Release: "v2"})
	origin, ok := tr.Origin("a")
	require.True(t, ok)
	require.EqualValues(t, "v1", origin.Release, "a stream has one origin")
	tr.Record(generationTime, Origin{Stream: "b", Release: "v2"})
	_, ok = tr.Origin("a")
	require.True(t, ok)
	tr.Record(2*generationTime, Origin{Stream: "c", Release: "v2"})
	_, ok = tr.Origin("a")
	require.False(t, ok)
}

func TestNumberOfStreamsIsBounded(t *testing.T) {
	tr := New()
	for i := range 5 * maxStreams {
		tr.Record(0, Origin{Stream: StreamID(fmt.Sprint(i)), Release: "v1"})
	}
	require.LessOrEqual(t, len(tr.current)+len(tr.previous), 2*maxStreams)
}

func TestReleasesAreCompleteAfterAMinuteOfListing(t *testing.T) {
	r := NewReleases()
	require.False(t, r.Complete(time.Hour), "nothing listed")
	r.List(time.Hour, []*registrar.Upstream{{Release: "v1"}})
	require.False(t, r.Complete(time.Hour))
	require.True(t, r.Complete(time.Hour+releaseMemory))
}

// Thousands of origins share a record of the store, whatever callers send for IDs.
func TestStreamIDsAreShortAndDistinct(t *testing.T) {
	long := strings.Repeat("a", 10_000)
	seen := map[StreamID]bool{}
	for _, attempt := range []string{"9c41d07be2a35f68", long[:64], long[:65], long, "\xff", "sha256:x", string(NewStreamID(long))} {
		id := NewStreamID(attempt)
		require.LessOrEqual(t, len(id), 64, attempt)
		require.Equal(t, string(id), strings.ToValidUTF8(string(id), ""))
		require.False(t, seen[id], attempt)
		seen[id] = true
		require.Equal(t, id, NewStreamID(attempt))
	}
	require.True(t, seen["9c41d07be2a35f68"], "short ones are told as they are")
}
