package reconciler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/estimator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// copiesOf returns the planned number of copies of each model in a fleet of 16 runners
// with eight models, for the demand of three gateways.
func copiesOf(t *testing.T, demands ...[]dispatcher.Demand) map[registrar.ModelName]int {
	f := newFleet(1, 16, 8, 10)
	m := f.members[0]
	f.now = 10 * time.Second
	for _, peer := range f.members[1:] {
		f.reduce(peer, StateReported{peer.state})
		f.reduce(m, PeerReported{dispatcher.Report{Address: peer.upstream.Address, Incarnation: peer.upstream.Incarnation, SinceStoreLoad: -1}})
	}
	for i, d := range demands {
		f.reduce(m, DemandReported{fmt.Sprint("gateway", i), d})
	}
	f.reduce(m, StateReported{m.state})
	require.NotNil(t, m.reconciler.plan)
	copies := map[registrar.ModelName]int{}
	for name := range f.cfg.Services[service].Engine.Models {
		copies[name] = len(m.reconciler.plan.Runners(name))
	}
	return copies
}

// fourModels returns the demand for four models, of which m0 and m1 are asked for equally
// often, with the paces of their answers.
func fourModels(paces ...time.Duration) []dispatcher.Demand {
	var all []dispatcher.Demand
	for i, work := range []float64{50000, 50000, 30000, 20000} {
		d := dispatcher.Demand{Model: registrar.ModelName(fmt.Sprint("m", i)), WorkRate: work, RecentWorkRate: work, RecentRequests: 20}
		if len(paces) > 0 {
			d.Pace = paces[i]
		}
		all = append(all, d)
	}
	return all
}

// Guards against as many copies for a model that runs at a quarter of the cost.
func TestCopiesFollowTheCostOfModels(t *testing.T) {
	fast, slow := 10*time.Millisecond, 42*time.Millisecond
	copies := copiesOf(t, fourModels(fast, slow, slow, fast), fourModels(fast, slow, slow, fast))
	require.GreaterOrEqual(t, copies["m1"], 2*copies["m0"])
	require.Positive(t, copies["m0"])
}

// Guards against another placement where engines run all models alike.
func TestEqualPacesKeepThePlan(t *testing.T) {
	unknown := copiesOf(t, fourModels(), fourModels())
	require.Equal(t, unknown, copiesOf(t, fourModels(40*time.Millisecond, 43*time.Millisecond, 38*time.Millisecond, 45*time.Millisecond), fourModels()))
}

// Guards against a plan that one gateway with slow callers changes.
func TestOneGatewayWithSlowCallersKeepsThePlan(t *testing.T) {
	pace := 40 * time.Millisecond
	usual := fourModels(pace, pace, pace, pace)
	slow := fourModels(pace, 2*time.Second, pace, pace)
	require.Equal(t, copiesOf(t, usual, usual, usual), copiesOf(t, usual, usual, slow))
}

// Guards against costs that outlive the gateway that reported them.
func TestCostsEndWithTheReports(t *testing.T) {
	f := newFleet(1, 4, 4, 10)
	r := f.members[0].reconciler
	f.now = 10 * time.Second
	f.reduce(f.members[0], DemandReported{"gateway", fourModels(10*time.Millisecond, 40*time.Millisecond, 40*time.Millisecond, 40*time.Millisecond)})
	require.Less(t, r.modelCosts()["m0"], 0.5)
	f.now += demandTTL + time.Second
	f.reduce(f.members[0], Tick{})
	require.Empty(t, r.modelCosts())
}

// lastReport returns the report that an event causes.
func lastReport(t *testing.T, f *fixture, e Event) dispatcher.Report {
	var report *dispatcher.Report
	f.now += fullReportPeriod
	for _, effect := range f.reconciler.Reduce(f.now, e) {
		if broadcast, ok := effect.(BroadcastReport); ok {
			report = &broadcast.Report
		}
	}
	require.NotNil(t, report)
	return *report
}

// Guards against a restarted runner, maybe on another host, that passes for slow.
func TestSlownessEndsWithTheRunner(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a"}, []registrar.ModelName{"b"})
	state := f.ownState(0)
	f.reduce(state)
	for range 9 {
		f.reduce(PaceObserved{[]estimator.Percent{240}})
	}
	require.Equal(t, estimator.Percent(240), lastReport(t, f, state).Slowness)
	state.State.Incarnation++
	require.Zero(t, lastReport(t, f, state).Slowness)
}

// Guards against a peer that passes for slow after its steward has ended.
func TestSlownessOfASilentPeerIsUnknown(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a"}, []registrar.ModelName{"b"})
	peer := f.runners[1]
	f.reduce(PeerReported{dispatcher.Report{Address: peer.Address, Incarnation: peer.Incarnation, SinceStoreLoad: -1, Slowness: 240}})
	require.Equal(t, 2.4, f.reconciler.slownessOf(peer))
	f.now += peerReportTTL
	f.reduce(Tick{})
	require.Equal(t, 1.0, f.reconciler.slownessOf(peer))
}
