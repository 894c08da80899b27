package driver

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/tracker"
)

// A service with one release costs no calls to the store. With the second one, streams that
// began before are written too.
func TestOriginsAreWrittenWhileThereAreSeveralReleases(t *testing.T) {
	k := newOriginKeeper(nil, zerolog.Nop())
	one, two := &registrar.Upstream{Release: "v1"}, &registrar.Upstream{Release: "v2"}
	k.Releases.List(0, []*registrar.Upstream{one})
	a, b, c := tracker.Origin{Stream: "a", Release: "v1"}, tracker.Origin{Stream: "b", Release: "v2"}, tracker.Origin{Stream: "c", Release: "v2"}
	k.record(0, a)
	require.Empty(t, k.takePending(0))
	k.Releases.List(time.Second, []*registrar.Upstream{one, two})
	require.Equal(t, []tracker.Origin{a}, k.takePending(time.Second))
	k.record(time.Second, b)
	k.record(time.Second, b)
	pending := k.takePending(2 * time.Second)
	require.Equal(t, []tracker.Origin{b}, pending)
	k.record(2*time.Second, c)
	k.giveBack(pending)
	require.Equal(t, []tracker.Origin{b, c}, k.takePending(3*time.Second), "written again after a failure")
	k.Releases.List(4*time.Second, []*registrar.Upstream{two})
	k.record(4*time.Second, tracker.Origin{Stream: "d", Release: "v2"})
	require.Len(t, k.takePending(4*time.Second), 1, "the release that is gone may have begun streams")
	k.takePending(2 * time.Minute)
	k.record(2*time.Minute, tracker.Origin{Stream: "e", Release: "v2"})
	require.Empty(t, k.takePending(2*time.Minute))
}
