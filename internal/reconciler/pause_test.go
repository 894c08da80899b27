package reconciler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// A steward that was paused must not load what it announced before, as others may have since.
func TestAnnouncedLoadIsAnnouncedAnewAfterAPause(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a", "b"}, []registrar.ModelName{"a", "c"})
	f.deliverPeerReports()
	require.Nil(t, f.reduce(f.ownState(0)))
	require.NotEmpty(t, f.reconciler.queuedLoad.model, "announced")
	f.now += peerReportTTL - time.Second
	require.Nil(t, f.reduce(Tick{}))
	peer := f.runners[1]
	residents := append([]registrar.ResidentModel{{Model: "d"}}, peer.Residents...)
	f.reduce(PeerReported{dispatcher.Report{Address: peer.Address, Incarnation: peer.Incarnation, Sequence: 1, Residents: residents, SinceStoreLoad: time.Second}})
	for range 20 {
		f.now += 100 * time.Millisecond
		require.Nil(t, f.reduce(f.ownState(0)))
	}
}

// The other copy of the model may be gone by the end of the pause.
func TestAnnouncedEvictionIsAnnouncedAnewAfterAPause(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"a", "b", "c"})
	f.deliverPeerReports()
	for range 50 {
		require.Nil(t, f.reduce(f.ownState(0)))
		if f.reconciler.evicting != "" {
			break
		}
		f.now += 100 * time.Millisecond
		f.deliverPeerReports()
	}
	require.NotEmpty(t, f.reconciler.evicting, "announced")
	f.now += peerReportTTL - time.Second
	require.Nil(t, f.reduce(Tick{}))
}
