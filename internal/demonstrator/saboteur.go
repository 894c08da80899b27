package demonstrator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/faker"
)

// Shape of the faults.
const (
	faultPause  = 1200 * time.Millisecond // mean time between two faults
	faultQuiet  = 3 * time.Second         // without faults at the end
	downTime    = time.Second             // of a killed process
	outageTime  = 3 * time.Second         // of the log
	lostOrders  = 0.1                     // share of orders to engines
	lateOrders  = 0.1
	lostAnswers = 0.1
	maxLate     = 3 * time.Second
)

// saboteur breaks parts of a deployment, one after the other.
type saboteur struct {
	cluster *Cluster
	report  *Report
	mu      sync.Mutex
	rnd     *rand.Rand
	wg      sync.WaitGroup
}

// start breaks things until shortly before the load ends.
func (s *saboteur) start(ctx context.Context, load time.Duration) {
	s.wg.Go(func() {
		s.breakOrders(true)
		end := time.Now().Add(load - faultQuiet)
		for time.Now().Before(end) && ctx.Err() == nil {
			time.Sleep(faultPause/2 + time.Duration(s.intN(int(faultPause))))
			s.strike()
		}
		s.breakOrders(false)
	})
}

func (s *saboteur) wait() {
	s.wg.Wait()
}

func (s *saboteur) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n)
}

func (s *saboteur) float() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Float64()
}

func (s *saboteur) breakOrders(on bool) {
	fate := func() faker.OrderFault {
		x := s.float()
		switch {
		case x < lostOrders:
			s.report.fault("order lost")
			return faker.OrderFault{Lost: true}
		case x < lostOrders+lateOrders:
			s.report.fault("order late")
			return faker.OrderFault{Delay: time.Duration(s.float() * float64(maxLate))}
		case x < lostOrders+lateOrders+lostAnswers:
			s.report.fault("order answer lost")
			return faker.OrderFault{ResponseLost: true}
		}
		return faker.OrderFault{}
	}
	if !on {
		fate = nil
	}
	for _, a := range s.cluster.Agents {
		if a.Engine != nil {
			a.Engine.SetOrderFaults(fate)
		}
	}
}

// strike makes one fault.
func (s *saboteur) strike() {
	agent := s.cluster.Agents[s.intN(len(s.cluster.Agents))]
	entry := s.cluster.Entries[s.intN(len(s.cluster.Entries))]
	switch s.intN(8) {
	case 0:
		s.report.fault("agent killed")
		s.cluster.KillAgent(agent)
		time.Sleep(downTime)
		_ = s.cluster.StartAgent(agent)
	case 1:
		s.report.fault("entry killed")
		s.cluster.KillEntry(entry)
		time.Sleep(downTime / 2)
		_ = s.cluster.StartEntry(entry)
	case 2, 3:
		s.report.fault("connections silenced")
		agent.Relay.Blackhole()
	case 4:
		s.outage(faker.LogDown)
	case 5:
		s.outage(faker.LogLossy)
	case 6:
		s.outage(faker.LogSlow)
	case 7:
		s.report.fault("agent restarted")
		s.cluster.StopAgent(agent)
		_ = s.cluster.StartAgent(agent)
	}
}

func (s *saboteur) outage(f faker.LogFault) {
	s.report.fault("log " + string(f))
	s.cluster.Log.SetFault(f)
	time.Sleep(outageTime)
	s.cluster.Log.SetFault(faker.LogHealthy)
}
