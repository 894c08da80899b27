package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOriginsAreRememberedForAWhile(t *testing.T) {
	tr := New()
	tr.Record(0, Origin{"a", "v1"})
	tr.Record(time.Second, Origin{"a", "v2"})
	release, ok := tr.Release("a")
	require.True(t, ok)
	require.EqualValues(t, "v1", release, "a stream has one origin")
	tr.Record(generationTime, Origin{"b", "v2"})
	_, ok = tr.Release("a")
	require.True(t, ok)
	tr.Record(2*generationTime, Origin{"c", "v2"})
	_, ok = tr.Release("a")
	require.False(t, ok)
}

func TestNumberOfStreamsIsBounded(t *testing.T) {
	tr := New()
	for i := range 5 * maxStreams {
		tr.Record(0, Origin{StreamID(fmt.Sprint(i)), "v1"})
	}
	require.LessOrEqual(t, len(tr.current)+len(tr.previous), 2*maxStreams)
}
