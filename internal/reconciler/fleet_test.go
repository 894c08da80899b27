package reconciler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// fleet simulates several reconcilers with runners that start empty; 2 % of their
// reports to one another are lost.
type fleet struct {
	rng        *rand.Rand
	now        time.Duration
	cfg        *registrar.Configuration
	members    []*member
	storeLoads []time.Duration // start times of all loads from the weight store
	loads      map[registrar.ModelName]int
}

// member is a reconciler with its simulated runner.
type member struct {
	reconciler *Reconciler
	upstream   *registrar.Upstream
	state      State
	loading    registrar.ModelName
	loadDoneAt time.Duration
	loads      int // orders to load a model
}

// Load times of the fleet's models.
const (
	storeLoadTime = 5 * time.Second
	diskLoadTime  = time.Second
)

func newFleet(seed uint64, runners, models int, loadRate float64) *fleet {
	engine := &registrar.Engine{WeightMemory: 220, AdapterSlots: 8, StoreLoadRate: loadRate, Models: map[registrar.ModelName]registrar.Model{}}
	for i := range models {
		m := registrar.ModelName(fmt.Sprint("m", i))
		engine.Models[m] = registrar.Model{Name: m, WeightSize: 72, StoreLoadTime: storeLoadTime, DiskLoadTime: diskLoadTime}
	}
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 2)), loads: map[registrar.ModelName]int{},
		cfg: &registrar.Configuration{Services: map[registrar.ServiceName]registrar.Service{service: {Name: service, Engine: engine}}},
	}
	var all []*registrar.Upstream
	for i := range runners {
		u := &registrar.Upstream{
			ID: registrar.UpstreamID(fmt.Sprint("r", i)), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), State: registrar.Ready, Incarnation: 7,
		}
		all = append(all, u)
		f.members = append(f.members, &member{upstream: u, state: State{Incarnation: 7}})
	}
	for _, m := range f.members {
		m.reconciler = New(Config{Address: m.upstream.Address, Holder: string(m.upstream.ID), Window: 5 * time.Second})
		f.reduce(m, ConfigurationChanged{f.cfg})
		f.reduce(m, RunnersListed{all})
		f.reduce(m, FenceAcquired{3})
	}
	return f
}

// reduce applies an event and carries out the effects at once.
func (f *fleet) reduce(m *member, e Event) {
	for _, effect := range m.reconciler.Reduce(f.now, e) {
		switch ef := effect.(type) {
		case SendOrder:
			f.execute(m, ef.Order)
		case BroadcastReport:
			for _, other := range f.members {
				if !ef.Report.Partial && other != m && f.rng.Float64() > 0.02 {
					f.reduce(other, PeerReported(ef))
				}
			}
		}
	}
}

// execute accepts every order of a member's reconciler.
func (f *fleet) execute(m *member, o Order) {
	if o.Op == OpUnload {
		m.state.Residents = slices.DeleteFunc(slices.Clone(m.state.Residents), func(resident registrar.ResidentModel) bool { return resident.Model == o.Model })
		m.upstream.Residents = m.state.Residents
	} else {
		loadTime := diskLoadTime
		if !slices.Contains(m.state.OnHostDisk, o.Model) {
			loadTime = storeLoadTime
			f.storeLoads = append(f.storeLoads, f.now)
		}
		f.loads[o.Model]++
		m.loads++
		m.loading, m.loadDoneAt = o.Model, f.now+loadTime
		m.state.Busy = true
	}
	m.state.Sequence++
	m.reconciler.Reduce(f.now, OrderAnswered{o, Accepted})
}

// step advances the clock by 10 ms. Each runner reports its state every 150 ms.
func (f *fleet) step() {
	f.now += 10 * time.Millisecond
	for i, m := range f.members {
		if m.loading != "" && f.now >= m.loadDoneAt {
			m.state.Residents = append(m.state.Residents, registrar.ResidentModel{Model: m.loading})
			m.upstream.Residents = m.state.Residents
			m.loading, m.state.Busy = "", false
		}
		if (int(f.now/(10*time.Millisecond))+i)%15 == 0 {
			f.reduce(m, StateReported{m.state})
		}
	}
}

func TestLoadsOfAllRunnersStayBelowTheStoresLimit(t *testing.T) {
	const window = 5 * time.Second
	for _, c := range []struct {
		runners, models int
		rate            float64
	}{{12, 21, 1.8}, {9, 17, 1.5}, {20, 55, 1.8}} {
		for seed := range uint64(2) {
			f := newFleet(seed, c.runners, c.models, c.rate)
			for f.now < 60*time.Second {
				f.step()
			}
			limit := int(c.rate*window.Seconds()*1.1) + 3
			for i := range f.storeLoads {
				n := 0
				for _, at := range f.storeLoads[i:] {
					if at < f.storeLoads[i]+window {
						n++
					}
				}
				require.LessOrEqual(t, n, limit, "%d runners, seed %d, from %s", c.runners, seed, f.storeLoads[i])
			}
			require.Len(t, f.loads, min(c.models, 3*c.runners), "every model that fits gets a copy")
			for m, n := range f.loads {
				require.LessOrEqual(t, n, 2, "model %s", m)
			}
		}
	}
}

// After a loss of power all runners are empty and all stewards new. Most models are on some
// disks, and one that many callers ask for is on none. Runners must load from their disks
// while they may not load from the store, and the model that is on no disk must be loaded
// without waiting for a whole window.
func TestEmptyFleetRecoversSoon(t *testing.T) {
	const runners, models, hot = 12, 26, registrar.ModelName("m0")
	const storeLimit = 10 // 1.4 loads a second for 5 s, a tenth and three more
	for seed := range uint64(3) {
		f := newFleet(seed, runners, models, 1.4)
		for i, m := range f.members {
			m.state.OnHostDisk = nil
			for j := range 6 {
				if model := registrar.ModelName(fmt.Sprint("m", 1+(5*i+j)%(models-1))); !slices.Contains(m.state.OnHostDisk, model) {
					m.state.OnHostDisk = append(m.state.OnHostDisk, model)
				}
			}
			m.upstream.OnHostDisk = m.state.OnHostDisk
		}
		loaded := func() map[registrar.ModelName]bool {
			all := map[registrar.ModelName]bool{}
			for _, m := range f.members {
				for _, resident := range m.state.Residents {
					all[resident.Model] = true
				}
			}
			return all
		}
		asked, found := 0, 0 // requests for the models in demand, and those that find a copy
		for f.now < 12*time.Second {
			f.step()
			if f.now%(250*time.Millisecond) == 0 {
				demands := []dispatcher.Demand{{Model: hot, WorkRate: 20000, RecentWorkRate: 20000, RecentRequests: 9}, {Model: "m1", WorkRate: 15000, RecentWorkRate: 15000, RecentRequests: 9}}
				copies := loaded()
				for _, d := range demands {
					asked++
					if copies[d.Model] {
						found++
					}
				}
				for _, m := range f.members {
					f.reduce(m, DemandReported{Gateway: "g", Demands: demands})
				}
			}
			if f.now == startupDelay+storeLoadTime+time.Second {
				require.True(t, loaded()[hot], "seed %d: the model that is on no disk", seed)
			}
			if f.now == 5*time.Second {
				require.GreaterOrEqual(t, len(loaded()), models-4, "seed %d: models with a copy", seed)
			}
		}
		require.GreaterOrEqual(t, float64(found)/float64(asked), 0.65, "seed %d: requests that find a copy", seed)
		for i := range f.storeLoads {
			n := 0
			for _, at := range f.storeLoads[i:] {
				if at < f.storeLoads[i]+5*time.Second {
					n++
				}
			}
			require.LessOrEqual(t, n, storeLimit, "seed %d", seed)
		}
	}
}
