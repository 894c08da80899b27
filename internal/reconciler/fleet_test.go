package reconciler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// fleet plays several stockers beside runners that start empty, with datagrams
// that get lost.
type fleet struct {
	rnd     *rand.Rand
	now     time.Duration
	cfg     *registrar.Configuration
	members []*member
	stored  []time.Duration // loads from the weight store
	loads   map[registrar.ModelName]int
}

type member struct {
	stocker *Reconciler
	up      *registrar.Upstream
	state   State
	loading registrar.ModelName
	ready   time.Duration
}

func newFleet(seed uint64, runners, models int, rate float64) *fleet {
	engine := &registrar.Engine{WeightMemory: 220, AdapterSlots: 8, StoreLoadRate: rate, Models: map[registrar.ModelName]registrar.Model{}}
	for i := range models {
		m := registrar.ModelName(fmt.Sprint("m", i))
		engine.Models[m] = registrar.Model{Name: m, WeightSize: 72, StoreLoadTime: 5 * time.Second}
	}
	f := &fleet{
		rnd: rand.New(rand.NewPCG(seed, 2)), loads: map[registrar.ModelName]int{},
		cfg: &registrar.Configuration{Services: map[registrar.ServiceName]registrar.Service{service: {Name: service, Engine: engine}}},
	}
	var all []*registrar.Upstream
	for i := range runners {
		u := &registrar.Upstream{
			ID: registrar.UpstreamID(fmt.Sprint("r", i)), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), State: registrar.Ready, Incarnation: 7,
		}
		all = append(all, u)
		f.members = append(f.members, &member{up: u, state: State{Incarnation: 7}})
	}
	for _, m := range f.members {
		m.stocker = New(Config{Address: m.up.Address, Holder: string(m.up.ID), Window: 5 * time.Second})
		f.reduce(m, ConfigurationChanged{f.cfg})
		f.reduce(m, RunnersListed{all})
		f.reduce(m, FenceAcquired{3})
	}
	return f
}

func (f *fleet) reduce(m *member, e Event) {
	for _, effect := range m.stocker.Reduce(f.now, e) {
		switch ef := effect.(type) {
		case SendOrder:
			f.order(m, ef.Order)
		case BroadcastReport:
			for _, other := range f.members {
				if !ef.Report.Partial && other != m && f.rnd.Float64() > 0.02 {
					f.reduce(other, PeerReported(ef))
				}
			}
		}
	}
}

func (f *fleet) order(m *member, o Order) {
	if o.Op == OpUnload {
		m.state.Residents = slices.DeleteFunc(slices.Clone(m.state.Residents), func(h registrar.ResidentModel) bool { return h.Model == o.Model })
		m.up.Residents = m.state.Residents
	} else {
		f.stored = append(f.stored, f.now)
		f.loads[o.Model]++
		m.loading, m.ready = o.Model, f.now+5*time.Second
		m.state.Busy = true
	}
	m.state.Sequence++
	m.stocker.Reduce(f.now, OrderAnswered{o, Accepted})
}

func (f *fleet) step() {
	f.now += 10 * time.Millisecond
	for i, m := range f.members {
		if m.loading != "" && f.now >= m.ready {
			m.state.Residents = append(m.state.Residents, registrar.ResidentModel{Model: m.loading})
			m.up.Residents = m.state.Residents
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
			for i := range f.stored {
				n := 0
				for _, at := range f.stored[i:] {
					if at < f.stored[i]+window {
						n++
					}
				}
				require.LessOrEqual(t, n, limit, "%d runners, seed %d, from %s", c.runners, seed, f.stored[i])
			}
			require.Len(t, f.loads, min(c.models, 3*c.runners), "every model that fits gets a copy")
			for m, n := range f.loads {
				require.LessOrEqual(t, n, 2, "model %s", m)
			}
		}
	}
}
