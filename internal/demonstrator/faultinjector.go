package demonstrator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/faker"
)

// Parameters of the faults.
const (
	meanFaultPause    = 1200 * time.Millisecond // from the end of a fault to the next
	faultFreeTail     = 3 * time.Second         // at the end of the load
	killDowntime      = time.Second             // of a killed agent; an entry is down for half as long
	logFaultDuration  = 3 * time.Second
	lostOrderShare    = 0.1 // of the orders to engines
	lateOrderShare    = 0.1
	lostResponseShare = 0.1
	maxOrderDelay     = 3 * time.Second
)

// faultInjector injects faults into a deployment: one at a time into processes,
// connections and the log, and throughout into the orders to engines.
type faultInjector struct {
	cluster *Cluster
	report  *Report
	mu      sync.Mutex
	rng     *rand.Rand
	wg      sync.WaitGroup
}

// start injects faults until faultFreeTail before the end of the load.
func (inj *faultInjector) start(ctx context.Context, loadDuration time.Duration) {
	inj.wg.Go(func() {
		inj.setOrderFaults(true)
		end := time.Now().Add(loadDuration - faultFreeTail)
		for time.Now().Before(end) && ctx.Err() == nil {
			time.Sleep(meanFaultPause/2 + time.Duration(inj.intN(int(meanFaultPause))))
			inj.injectFault()
		}
		inj.setOrderFaults(false)
	})
}

func (inj *faultInjector) wait() {
	inj.wg.Wait()
}

func (inj *faultInjector) intN(n int) int {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.rng.IntN(n)
}

func (inj *faultInjector) float() float64 {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.rng.Float64()
}

// setOrderFaults makes all engines lose or delay a share of their orders and
// responses, or ends that.
func (inj *faultInjector) setOrderFaults(enabled bool) {
	next := func() faker.OrderFault {
		draw := inj.float()
		switch {
		case draw < lostOrderShare:
			inj.report.countFault("order lost")
			return faker.OrderFault{Lost: true}
		case draw < lostOrderShare+lateOrderShare:
			inj.report.countFault("order late")
			return faker.OrderFault{Delay: time.Duration(inj.float() * float64(maxOrderDelay))}
		case draw < lostOrderShare+lateOrderShare+lostResponseShare:
			inj.report.countFault("order answer lost")
			return faker.OrderFault{ResponseLost: true}
		}
		return faker.OrderFault{}
	}
	if !enabled {
		next = nil
	}
	for _, a := range inj.cluster.Agents {
		if a.Engine != nil {
			a.Engine.SetOrderFaults(next)
		}
	}
}

// injectFault injects one random fault and waits until it has ended, except that
// silenced connections stay silent.
func (inj *faultInjector) injectFault() {
	agent := inj.cluster.Agents[inj.intN(len(inj.cluster.Agents))]
	entry := inj.cluster.Entries[inj.intN(len(inj.cluster.Entries))]
	switch inj.intN(8) {
	case 0:
		inj.report.countFault("agent killed")
		inj.cluster.KillAgent(agent)
		time.Sleep(killDowntime)
		_ = inj.cluster.StartAgent(agent)
	case 1:
		inj.report.countFault("entry killed")
		inj.cluster.KillEntry(entry)
		time.Sleep(killDowntime / 2)
		_ = inj.cluster.StartEntry(entry)
	case 2, 3:
		inj.report.countFault("connections silenced")
		agent.Relay.Blackhole()
	case 4:
		inj.injectLogFault(faker.LogDown)
	case 5:
		inj.injectLogFault(faker.LogLossy)
	case 6:
		inj.injectLogFault(faker.LogSlow)
	case 7:
		inj.report.countFault("agent restarted")
		inj.cluster.StopAgent(agent)
		_ = inj.cluster.StartAgent(agent)
	}
}

func (inj *faultInjector) injectLogFault(f faker.LogFault) {
	inj.report.countFault("log " + string(f))
	inj.cluster.Log.SetFault(f)
	time.Sleep(logFaultDuration)
	inj.cluster.Log.SetFault(faker.LogHealthy)
}
