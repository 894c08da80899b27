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

// bench is a stocker with a service of runners that hold three models each.
type bench struct {
	t       *testing.T
	s       *Reconciler
	now     time.Duration
	runners []*registrar.Upstream
	silent  bool // the other stewards are
}

func newBench(t *testing.T, holdings ...[]registrar.ModelName) *bench {
	b := &bench{t: t, s: New(Config{Address: self, Holder: "side-1", Window: 5 * time.Second})}
	engine := &registrar.Engine{
		Slots: 64, WeightMemory: 220, AdapterSlots: 2, StoreLoadRate: 1.8, Models: map[registrar.ModelName]registrar.Model{},
	}
	for _, m := range []registrar.ModelName{"a", "b", "c", "d"} {
		engine.Models[m] = registrar.Model{Name: m, WeightSize: 72, AdapterSize: 1, AdapterCount: 9, StoreLoadTime: 5 * time.Second, DiskLoadTime: time.Second}
	}
	for i, models := range holdings {
		u := &registrar.Upstream{
			ID: registrar.UpstreamID(rune('p' + i)), Service: service, Address: self, State: registrar.Ready, Incarnation: 7,
		}
		if i > 0 {
			u.Address = fmt.Sprintf("10.0.0.%d:80", i+1)
		}
		for _, m := range models {
			u.Residents = append(u.Residents, registrar.ResidentModel{Model: m})
		}
		b.runners = append(b.runners, u)
	}
	b.reduce(ConfigurationChanged{&registrar.Configuration{Services: map[registrar.ServiceName]registrar.Service{service: {Name: service, Engine: engine}}}})
	b.reduce(RunnersListed{b.runners})
	b.reduce(FenceAcquired{41})
	b.now += time.Minute
	return b
}

// reduce returns the order that follows from an event, if there is one.
func (b *bench) reduce(e Event) *Order {
	for _, effect := range b.s.Reduce(b.now, e) {
		if send, ok := effect.(SendOrder); ok {
			return &send.Order
		}
	}
	return nil
}

// hear lets the stewards of the other runners tell what these hold.
func (b *bench) hear() {
	for _, u := range b.runners[1:] {
		if !b.silent {
			b.reduce(PeerReported{dispatcher.Report{Address: u.Address, Incarnation: u.Incarnation, Residents: u.Residents, SinceStoreLoad: -1}})
		}
	}
}

// after reduces the same state again until an order follows or d has passed.
func (b *bench) after(d time.Duration, e Event) *Order {
	for end := b.now + d; b.now < end; b.now += 100 * time.Millisecond {
		b.hear()
		if o := b.reduce(e); o != nil {
			return o
		}
	}
	return nil
}

// state is the own runner's state with its listed models.
func (b *bench) state(sequence int64, adapters ...registrar.AdapterName) StateReported {
	st := State{Incarnation: 7, Sequence: sequence}
	for _, h := range b.runners[0].Residents {
		st.Residents = append(st.Residents, registrar.ResidentModel{Model: h.Model})
	}
	if len(st.Residents) > 0 {
		st.Residents[0].Adapters = adapters
	}
	return StateReported{st}
}

func adapter(name registrar.AdapterName) registrar.AdapterID {
	return registrar.AdapterID{Model: "a", Name: name}
}

func TestNoOrderBeforeTheStateShowsTheLastOne(t *testing.T) {
	b := newBench(t, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"a", "d"})
	require.Nil(t, b.reduce(b.state(0, "a1")))
	first := b.reduce(AdapterRequested{adapter("a2")})
	require.NotNil(t, first)
	require.EqualValues(t, 0, first.ExpectedSequence)
	b.reduce(OrderAnswered{*first, Accepted})
	require.Nil(t, b.reduce(AdapterRequested{adapter("a3")}), "the second adapter place may be taken by the order under way")
	next := b.reduce(b.state(1, "a1", "a2"))
	require.NotNil(t, next)
	require.Equal(t, OpUnload, next.Op)
	require.EqualValues(t, 1, next.ExpectedSequence)
}

func TestAdaptersNeverExceedTheirPlaces(t *testing.T) {
	b := newBench(t, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"a", "d"})
	st := b.state(4, "a1")
	st.State.LoadingAdapters = []registrar.AdapterID{adapter("a2")}
	b.reduce(st)
	o := b.reduce(AdapterRequested{adapter("a3")})
	require.NotNil(t, o)
	require.Equal(t, OpUnload, o.Op, "adapters on their way count")
}

func TestModelWithoutCopyIsLoadedByOneRunner(t *testing.T) {
	holdings := [][]registrar.ModelName{{"a", "b"}, {"a", "b"}, {"a", "c"}}
	loaders := 0
	for own := range holdings {
		holdings[0], holdings[own] = holdings[own], holdings[0]
		b := newBench(t, holdings...)
		ids := []registrar.UpstreamID{"p", "q", "r"}
		ids[0], ids[own] = ids[own], ids[0]
		for i, u := range b.runners {
			u.ID = ids[i]
		}
		if o := b.after(2*time.Second, b.state(0)); o != nil {
			require.Equal(t, OpLoad, o.Op)
			require.EqualValues(t, "d", o.Model)
			loaders++
		}
		holdings[0], holdings[own] = holdings[own], holdings[0]
	}
	require.Equal(t, 1, loaders)
}

func TestRunnerTakesOverFromSilentStewards(t *testing.T) {
	b := newBench(t, []registrar.ModelName{"a", "b"}, []registrar.ModelName{"a", "b"}, []registrar.ModelName{"a", "c"})
	b.silent = true
	o := b.after(time.Second, b.state(0))
	require.NotNil(t, o, "the other stewards have not been heard")
	require.EqualValues(t, "d", o.Model)
}

func TestLastCopyStays(t *testing.T) {
	b := newBench(t, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"d"})
	b.reduce(DemandReported{"g", []dispatcher.Demand{{Model: "d", WorkRate: 500000}}})
	require.Nil(t, b.reduce(b.state(0)), "every held model has its only copy here")
}

func TestCopyFollowsDemand(t *testing.T) {
	b := newBench(t, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"d"})
	b.reduce(DemandReported{"g", []dispatcher.Demand{{Model: "d", WorkRate: 500000}}})
	o := b.after(time.Second, b.state(0))
	require.NotNil(t, o)
	require.Equal(t, OpUnload, o.Op)
}

func TestLoadsFromTheStoreArePaced(t *testing.T) {
	b := newBench(t, []registrar.ModelName{"a"}, []registrar.ModelName{"a"})
	first := b.after(3*time.Second, b.state(0))
	require.NotNil(t, first)
	b.reduce(OrderAnswered{*first, Accepted})
	b.runners[0].Residents = append(b.runners[0].Residents, registrar.ResidentModel{Model: first.Model})
	require.Nil(t, b.after(4*time.Second, b.state(1)))
	require.NotNil(t, b.after(4*time.Second, b.state(1)))
}

func TestNoOrderWithoutAFencingNumber(t *testing.T) {
	b := newBench(t, []registrar.ModelName{"a"}, []registrar.ModelName{"a"})
	b.s.fence = 0
	require.Nil(t, b.after(3*time.Second, b.state(0)))
}

// A runner that starts again under its id accepts a late order of before as soon
// as it has accepted as many orders as that one names.
func TestLateOrderFromBeforeARestartKeepsItsMemory(t *testing.T) {
	b := newBench(t, []registrar.ModelName{"a", "b"})
	lost := b.after(time.Second, b.state(2))
	require.NotNil(t, lost)
	require.Equal(t, OpLoad, lost.Op)
	b.reduce(OrderAnswered{*lost, Unknown})
	restarted := func(sequence int64, models ...registrar.ModelName) registrar.Megabytes {
		st := State{Incarnation: 8, Sequence: sequence}
		for _, m := range models {
			st.Residents = append(st.Residents, registrar.ResidentModel{Model: m})
		}
		b.reduce(StateReported{st})
		return b.s.free(b.s.engine())
	}
	require.EqualValues(t, 220-72, restarted(0))
	require.EqualValues(t, 220-72-72-72, restarted(2, "a", "b"), "it may be carried out now")
	require.EqualValues(t, 220-72-72, restarted(2, "a", lost.Model), "it would load what is held")
	require.EqualValues(t, 220-72-72, restarted(3, "a", "b"), "it names too few orders")
	b.now += orderFlight + time.Millisecond
	require.EqualValues(t, 220-72-72, restarted(2, "a", "b"), "it is not carried out any more")
}

func TestReportLeavesOutAModelThatMakesWay(t *testing.T) {
	b := newBench(t, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"a", "b", "c"}, []registrar.ModelName{"d"})
	for range 20 {
		b.reduce(DemandReported{"g", []dispatcher.Demand{{Model: "d", WorkRate: 500000}}})
		b.hear()
		for _, effect := range b.s.Reduce(b.now, b.state(0)) {
			if tell, ok := effect.(BroadcastReport); ok && b.s.leaving != "" {
				require.Len(t, tell.Report.Residents, 2)
				return
			}
		}
		b.now += 100 * time.Millisecond
	}
	t.Fatal("no model made way")
}

// Adapters are ordered first, as they come fast; without end they would keep a
// model away that no runner holds.
func TestAdaptersDoNotKeepAModelAway(t *testing.T) {
	b := newBench(t, []registrar.ModelName{"a"})
	sequence := int64(0)
	for range 3 * adapterStreak {
		for i := range 9 {
			b.reduce(AdapterRequested{registrar.AdapterID{Model: "a", Name: registrar.AdapterName(fmt.Sprint("a", i))}})
		}
		o := b.after(time.Second, b.state(sequence))
		require.NotNil(t, o)
		if o.Adapter == "" {
			require.Equal(t, OpLoad, o.Op)
			return
		}
		b.reduce(OrderAnswered{*o, Accepted})
		sequence++
		b.now += 20 * time.Millisecond // an adapter's load
	}
	require.Fail(t, "no model was ordered")
}
