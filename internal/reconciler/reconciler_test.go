package reconciler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

const (
	self    = "10.0.0.1:80"
	service = registrar.ServiceName("llm")
)

// fixture is a reconciler in a service of runners with memory for three models
// each.
type fixture struct {
	t           *testing.T
	reconciler  *Reconciler
	now         time.Duration
	runners     []*registrar.Upstream
	peersSilent bool // the other stewards send no reports
}

// newFixture lists one runner for each set of resident models; the first is the
// reconciler's own.
func newFixture(t *testing.T, residents ...[]registrar.ModelName) *fixture {
	f := &fixture{t: t, reconciler: New(Config{Address: self, Holder: "side-1", Window: 5 * time.Second})}
	engine := &registrar.Engine{
		Slots: 64, WeightMemory: 220, AdapterSlots: 2, StoreLoadRate: 1.8, Models: map[registrar.ModelName]registrar.Model{},
	}
	for _, m := range []registrar.ModelName{"a", "b", "c", "d"} {
		engine.Models[m] = registrar.Model{Name: m, WeightSize: 72, AdapterSize: 1, AdapterCount: 9, StoreLoadTime: 5 * time.Second, DiskLoadTime: time.Second}
	}
	for i, models := range residents {
		u := &registrar.Upstream{
			ID: registrar.UpstreamID(rune('p' + i)), Service: service, Address: self, State: registrar.Ready, Incarnation: 7,
		}
		if i > 0 {
			u.Address = fmt.Sprintf("10.0.0.%d:80", i+1)
		}
		for _, m := range models {
			u.Residents = append(u.Residents, registrar.ResidentModel{Model: m})
		}
		f.runners = append(f.runners, u)
	}
	f.reduce(ConfigurationChanged{&registrar.Configuration{Services: map[registrar.ServiceName]registrar.Service{service: {Name: service, Engine: engine}}}})
	f.reduce(RunnersListed{f.runners})
	f.reduce(FenceAcquired{41})
	f.now += time.Minute
	return f
}

// reduce returns the order that an event causes, nil without one.
func (f *fixture) reduce(e Event) *Order {
	for _, effect := range f.reconciler.Reduce(f.now, e) {
		if order, ok := effect.(SendOrder); ok {
			return &order.Order
		}
	}
	return nil
}

// deliverPeerReports delivers the reports of the other stewards.
func (f *fixture) deliverPeerReports() {
	for _, u := range f.runners[1:] {
		if !f.peersSilent {
			f.reduce(PeerReported{dispatcher.Report{Address: u.Address, Incarnation: u.Incarnation, Residents: u.Residents, SinceStoreLoad: -1}})
		}
	}
}

// awaitOrder repeats an event every 100 ms until it causes an order or d has
// passed.
func (f *fixture) awaitOrder(d time.Duration, e Event) *Order {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		f.deliverPeerReports()
		if o := f.reduce(e); o != nil {
			return o
		}
	}
	return nil
}

// ownState returns the event that reports the state of the own runner with its listed
// models and, on the first of these, the adapters.
func (f *fixture) ownState(sequence int64, adapters ...registrar.AdapterName) StateReported {
	st := State{Incarnation: 7, Sequence: sequence}
	for _, resident := range f.runners[0].Residents {
		st.Residents = append(st.Residents, registrar.ResidentModel{Model: resident.Model})
	}
	if len(st.Residents) > 0 {
		st.Residents[0].Adapters = adapters
	}
	return StateReported{st}
}

func adapterOfA(name registrar.AdapterName) registrar.AdapterID {
	return registrar.AdapterID{Model: "a", Name: name}
}

func TestNoOrderBeforeTheStateShowsTheLastOne(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"a", "d"})
	require.Nil(t, f.reduce(f.ownState(0, "a1")))
	first := f.reduce(AdapterRequested{adapterOfA("a2")})
	require.NotNil(t, first)
	require.EqualValues(t, 0, first.ExpectedSequence)
	f.reduce(OrderAnswered{*first, Accepted})
	require.Nil(t, f.reduce(AdapterRequested{adapterOfA("a3")}), "the order just accepted may take the second adapter slot")
	next := f.reduce(f.ownState(1, "a1", "a2"))
	require.NotNil(t, next)
	require.Equal(t, OpUnload, next.Op)
	require.EqualValues(t, 1, next.ExpectedSequence)
}

func TestAdaptersNeverExceedTheirPlaces(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"a", "d"})
	st := f.ownState(4, "a1")
	st.State.LoadingAdapters = []registrar.AdapterID{adapterOfA("a2")}
	f.reduce(st)
	o := f.reduce(AdapterRequested{adapterOfA("a3")})
	require.NotNil(t, o)
	require.Equal(t, OpUnload, o.Op, "loading adapters take slots")
}

func TestModelWithoutCopyIsLoadedByOneRunner(t *testing.T) {
	residents := [][]registrar.ModelName{{"a", "b"}, {"a", "b"}, {"a", "c"}}
	loaders := 0
	for own := range residents {
		residents[0], residents[own] = residents[own], residents[0]
		f := newFixture(t, residents...)
		ids := []registrar.UpstreamID{"p", "q", "r"}
		ids[0], ids[own] = ids[own], ids[0]
		for i, u := range f.runners {
			u.ID = ids[i]
		}
		if o := f.awaitOrder(2*time.Second, f.ownState(0)); o != nil {
			require.Equal(t, OpLoad, o.Op)
			require.EqualValues(t, "d", o.Model)
			loaders++
		}
		residents[0], residents[own] = residents[own], residents[0]
	}
	require.Equal(t, 1, loaders)
}

func TestRunnerTakesOverFromSilentStewards(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a", "b"}, []registrar.ModelName{"a", "b"}, []registrar.ModelName{"a", "c"})
	f.peersSilent = true
	o := f.awaitOrder(time.Second, f.ownState(0))
	require.NotNil(t, o, "runners whose stewards send no reports get no new models")
	require.EqualValues(t, "d", o.Model)
}

func TestLastCopyIsNotEvicted(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"d"})
	f.reduce(DemandReported{"g", []dispatcher.Demand{{Model: "d", WorkRate: 500000}}})
	require.Nil(t, f.reduce(f.ownState(0)), "each resident model has its only copy at this runner")
}

func TestSpareCopyIsEvictedForDemand(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"d"})
	f.reduce(DemandReported{"g", []dispatcher.Demand{{Model: "d", WorkRate: 500000}}})
	o := f.awaitOrder(time.Second, f.ownState(0))
	require.NotNil(t, o)
	require.Equal(t, OpUnload, o.Op)
}

func TestStoreLoadsAreRateLimited(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a"}, []registrar.ModelName{"a"})
	first := f.awaitOrder(3*time.Second, f.ownState(0))
	require.NotNil(t, first)
	f.reduce(OrderAnswered{*first, Accepted})
	f.runners[0].Residents = append(f.runners[0].Residents, registrar.ResidentModel{Model: first.Model})
	require.Nil(t, f.awaitOrder(4*time.Second, f.ownState(1)))
	require.NotNil(t, f.awaitOrder(4*time.Second, f.ownState(1)))
}

func TestNoOrderWithoutAFencingNumber(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a"}, []registrar.ModelName{"a"})
	f.reconciler.fence = 0
	require.Nil(t, f.awaitOrder(3*time.Second, f.ownState(0)))
}

// A restarted runner may execute a delayed order that was sent before the restart,
// once it has accepted as many orders as that one expects. The order's memory must
// stay reserved while that is possible.
func TestLateOrderFromBeforeARestartKeepsItsMemory(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a", "b"})
	unknown := f.awaitOrder(time.Second, f.ownState(2))
	require.NotNil(t, unknown)
	require.Equal(t, OpLoad, unknown.Op)
	f.reduce(OrderAnswered{*unknown, Unknown})
	freeAfterRestart := func(sequence int64, models ...registrar.ModelName) registrar.Megabytes {
		st := State{Incarnation: 8, Sequence: sequence}
		for _, m := range models {
			st.Residents = append(st.Residents, registrar.ResidentModel{Model: m})
		}
		f.reduce(StateReported{st})
		return f.reconciler.freeMemory(f.reconciler.engine())
	}
	require.EqualValues(t, 220-72, freeAfterRestart(0))
	require.EqualValues(t, 220-72-72-72, freeAfterRestart(2, "a", "b"), "the late order may be executed now")
	require.EqualValues(t, 220-72-72, freeAfterRestart(2, "a", unknown.Model), "the late order's model is resident already")
	require.EqualValues(t, 220-72-72, freeAfterRestart(3, "a", "b"), "the runner has accepted more orders than the late one expects")
	f.now += maxOrderDelay + time.Millisecond
	require.EqualValues(t, 220-72-72, freeAfterRestart(2, "a", "b"), "the late order has expired")
}

func TestReportOmitsModelBeingEvicted(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"d"})
	for range 20 {
		f.reduce(DemandReported{"g", []dispatcher.Demand{{Model: "d", WorkRate: 500000}}})
		f.deliverPeerReports()
		for _, effect := range f.reconciler.Reduce(f.now, f.ownState(0)) {
			if broadcast, ok := effect.(BroadcastReport); ok && f.reconciler.evicting != "" {
				require.Len(t, broadcast.Report.Residents, 2)
				return
			}
		}
		f.now += 100 * time.Millisecond
	}
	t.Fatal("no model was chosen for eviction")
}

// Adapter orders have precedence because adapters load fast. Without a bound on
// consecutive ones, a steady demand for adapters would delay for ever the load of a
// model that no runner holds.
func TestAdapterOrdersDoNotStarveModelLoad(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a"})
	sequence := int64(0)
	for range 3 * maxConsecutiveAdapterOrders {
		for i := range 9 {
			f.reduce(AdapterRequested{registrar.AdapterID{Model: "a", Name: registrar.AdapterName(fmt.Sprint("a", i))}})
		}
		o := f.awaitOrder(time.Second, f.ownState(sequence))
		require.NotNil(t, o)
		if o.Adapter == "" {
			require.Equal(t, OpLoad, o.Op)
			return
		}
		f.reduce(OrderAnswered{*o, Accepted})
		sequence++
		f.now += 20 * time.Millisecond // load time of an adapter
	}
	require.Fail(t, "no model was ordered")
}

// A restarted runner with another ID refuses orders to its predecessor, so orders without
// an answer must not keep its memory from new loads.
func TestLostOrdersToAnotherInstanceReserveNoMemory(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a"}, []registrar.ModelName{"a", "b"}, []registrar.ModelName{"c"})
	lost := Order{Op: OpLoad, Model: "d", Upstream: f.runners[0].ID, ExpectedSequence: 4}
	f.reduce(f.ownState(4))
	f.reduce(OrderAnswered{lost, Unknown})
	restarted := *f.runners[0]
	restarted.Incarnation++
	restarted.Residents = nil
	state := State{Incarnation: restarted.Incarnation}
	f.runners[0] = &restarted
	f.reduce(RunnersListed{f.runners})
	f.reduce(StateReported{state})
	require.Len(t, f.reconciler.staleLoads(), 1, "the same ID")
	other := restarted
	other.ID = "another"
	f.runners[0] = &other
	f.reduce(RunnersListed{f.runners})
	require.Empty(t, f.reconciler.staleLoads())
}

// While the load of the model in most demand waits for the weight store's rate limit, a
// model on the runner's own disk is loaded.
func TestOwnDiskIsUsedWhileTheStoreLoadWaits(t *testing.T) {
	f := newFixture(t, nil, []registrar.ModelName{"a", "b"}, []registrar.ModelName{"c"})
	f.reconciler.startedAt, f.reconciler.started = f.now, true // a new steward
	f.reduce(DemandReported{Gateway: "g", Demands: []dispatcher.Demand{{Model: "d", WorkRate: 30000, RecentWorkRate: 30000, RecentRequests: 9}, {Model: "a", WorkRate: 30000, RecentWorkRate: 30000, RecentRequests: 9}}})
	st := f.ownState(0)
	st.State.OnHostDisk = []registrar.ModelName{"a"}
	f.runners[0].OnHostDisk = st.State.OnHostDisk
	o := f.awaitOrder(time.Second, st)
	require.NotNil(t, o)
	require.Equal(t, registrar.ModelName("a"), o.Model)
	require.Less(t, f.now-f.reconciler.startedAt, startupDelay)
}

// A model without a copy must not wait for a runner that is busy for long with the unload
// of another one.
func TestModelIsNotPlannedWhereAnUnloadTakesLong(t *testing.T) {
	f := newFixture(t, []registrar.ModelName{"a", "b"}, []registrar.ModelName{"c"})
	f.reduce(f.ownState(0))
	busy := dispatcher.Report{Address: f.runners[1].Address, Incarnation: 7, Residents: f.runners[1].Residents, Busy: true, SinceStoreLoad: -1}
	for range 20 {
		f.now += 100 * time.Millisecond
		f.reduce(PeerReported{busy})
		f.reduce(f.ownState(0))
	}
	v := f.reconciler.buildView(f.reconciler.engine())
	require.Equal(t, []registrar.UpstreamID{f.runners[0].ID}, v.plan.Runners("d"))
	require.Equal(t, []registrar.UpstreamID{f.runners[1].ID}, v.plan.Runners("c"), "what it holds stays there")
	busy.Busy = false
	f.reduce(PeerReported{busy})
	f.now += planTTL
	f.reduce(PeerReported{busy})
	v = f.reconciler.buildView(f.reconciler.engine())
	require.Equal(t, []registrar.UpstreamID{f.runners[1].ID}, v.plan.Runners("d"))
}

// A steward knows before the list that its runner drains or was restarted. The models that only this runner held must be planned elsewhere at once.
func TestModelsOfARunnerThatStopsServingArePlannedElsewhere(t *testing.T) {
	for name, change := range map[string]func(*dispatcher.Report){
		"draining":  func(r *dispatcher.Report) { r.Draining = true },
		"restarted": func(r *dispatcher.Report) { r.Incarnation, r.Residents = 8, nil },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, []registrar.ModelName{"a", "b"}, []registrar.ModelName{"c"}, []registrar.ModelName{"d"})
			report := dispatcher.Report{Address: f.runners[1].Address, Incarnation: 7, Residents: f.runners[1].Residents, SinceStoreLoad: -1}
			plan := func() []registrar.UpstreamID {
				f.reduce(PeerReported{dispatcher.Report{Address: f.runners[2].Address, Incarnation: 7, Residents: f.runners[2].Residents, SinceStoreLoad: -1}})
				f.reduce(PeerReported{report})
				f.reduce(f.ownState(0))
				v := f.reconciler.buildView(f.reconciler.engine())
				return v.plan.Runners("c")
			}
			require.Equal(t, []registrar.UpstreamID{f.runners[1].ID}, plan())
			change(&report)
			f.now += planTTL
			planned := plan()
			require.Len(t, planned, 1)
			require.NotEqual(t, f.runners[1].ID, planned[0])
		})
	}
}
