package sharer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// offer is the load of one workspace.
type offer struct {
	perSecond float64
	weight    float64
	beyond    int // requests beyond the share
	asked     int
}

// playMeter offers requests of 100 for 20 s, of which capacity a second are served, and
// counts those of the last 15 s that lie beyond shares.
func playMeter(capacity float64, offers map[registrar.WorkspaceName]*offer, names ...registrar.WorkspaceName) {
	const step = 10 * time.Millisecond
	var m Meter
	due := map[registrar.WorkspaceName]float64{}
	room := 0.0
	for now := time.Duration(0); now < 20*time.Second; now += step {
		room = min(room+capacity*step.Seconds(), 2)
		if now%(100*time.Millisecond) == 0 {
			m.Update(now)
		}
		for _, name := range names {
			o := offers[name]
			for due[name] += o.perSecond * step.Seconds(); due[name] >= 1; due[name]-- {
				beyond := m.Arrive(now, name, o.weight, 100)
				if room >= 1 {
					room--
					m.Serve(now, 100)
				}
				if now >= 5*time.Second {
					o.asked++
					if beyond {
						o.beyond++
					}
				}
			}
		}
	}
}

func TestOnlyTheFloodIsBeyondItsShare(t *testing.T) {
	offers := map[registrar.WorkspaceName]*offer{"flood": {perSecond: 60, weight: 1}, "a": {perSecond: 4, weight: 1}, "b": {perSecond: 6, weight: 1}}
	playMeter(30, offers, "flood", "a", "b")
	require.InDelta(t, 40, float64(offers["flood"].beyond)/15, 4, "requests a second beyond 20")
	require.LessOrEqual(t, offers["a"].beyond+offers["b"].beyond, 2)
}

func TestSharesFollowWeights(t *testing.T) {
	offers := map[registrar.WorkspaceName]*offer{"a": {perSecond: 40, weight: 1}, "b": {perSecond: 40, weight: 3}}
	playMeter(40, offers, "a", "b")
	require.InDelta(t, 30, float64(offers["a"].beyond)/15, 3)
	require.InDelta(t, 10, float64(offers["b"].beyond)/15, 3)
}

func TestNothingIsBeyondSharesWhileThereIsRoom(t *testing.T) {
	offers := map[registrar.WorkspaceName]*offer{"flood": {perSecond: 60, weight: 1}, "a": {perSecond: 4, weight: 1}}
	playMeter(100, offers, "flood", "a")
	require.Zero(t, offers["flood"].beyond+offers["a"].beyond)
}

// The largest flood is still served about a third as often as all.
func TestFloodIsNotStarved(t *testing.T) {
	offers := map[registrar.WorkspaceName]*offer{"flood": {perSecond: 200, weight: 1}}
	names := []registrar.WorkspaceName{"flood"}
	for i := range 15 {
		name := registrar.WorkspaceName(rune('a' + i))
		offers[name] = &offer{perSecond: 2, weight: 1}
		names = append(names, name)
	}
	playMeter(30, offers, names...)
	flood := offers["flood"]
	require.GreaterOrEqual(t, float64(flood.asked-flood.beyond)/float64(flood.asked), 0.25*30/230)
}

func TestOneWorkspaceAloneIsNeverBeyondItsShare(t *testing.T) {
	offers := map[registrar.WorkspaceName]*offer{"a": {perSecond: 60, weight: 1}}
	playMeter(30, offers, "a")
	require.Zero(t, offers["a"].beyond)
}

func TestLoadsTellRatesAndShares(t *testing.T) {
	var m Meter
	for range 20 {
		m.Arrive(0, "b", 1, 100)
	}
	m.Arrive(0, "a", 1, 100)
	m.Update(0)
	require.Equal(t, []registrar.WorkspaceName{"a", "b"}, []registrar.WorkspaceName{m.Loads(0)[0].Workspace, m.Loads(0)[1].Workspace})
	require.InDelta(t, 500, m.Loads(0)[1].Rate, 1, "over 4 s")
	require.Zero(t, m.Loads(0)[1].Share-m.Loads(0)[0].Share, "nothing was served")
}

func TestMeterForgetsIdleWorkspaces(t *testing.T) {
	var m Meter
	for i := range 1000 {
		m.Arrive(0, registrar.WorkspaceName(rune('a'+i)), 1, 100)
	}
	m.Update(30 * time.Second)
	require.Empty(t, m.flows)
}
