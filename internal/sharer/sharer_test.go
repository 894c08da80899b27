package sharer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// waiter is a waiting request.
type waiter struct {
	workspace registrar.WorkspaceName
	tag       Tag
	work      float64
}

// server serves the waiting request with the lowest tag.
type server struct {
	clock   Clock
	waiting []waiter
	served  map[registrar.WorkspaceName]float64 // work
}

func newServer() *server {
	return &server{served: map[registrar.WorkspaceName]float64{}}
}

func (s *server) join(w registrar.WorkspaceName, weight, work float64, count int) {
	for range count {
		s.waiting = append(s.waiting, waiter{w, s.clock.Join(w, weight, work), work})
	}
}

func (s *server) serve(count int) {
	for range count {
		next := 0
		for i, w := range s.waiting {
			if w.tag < s.waiting[next].tag {
				next = i
			}
		}
		w := s.waiting[next]
		s.waiting = append(s.waiting[:next], s.waiting[next+1:]...)
		s.clock.Leave(w.workspace, w.work)
		s.clock.Serve(w.workspace, w.work)
		s.served[w.workspace] += w.work
	}
}

func TestWorkIsSharedByWeight(t *testing.T) {
	s := newServer()
	s.join("flood", 1, 100, 600)
	s.join("heavy", 2, 50, 600)
	s.join("light", 1, 200, 100)
	s.serve(200)
	total := s.served["flood"] + s.served["heavy"] + s.served["light"]
	require.InDelta(t, 0.25, s.served["flood"]/total, 0.02)
	require.InDelta(t, 0.5, s.served["heavy"]/total, 0.02)
	require.InDelta(t, 0.25, s.served["light"]/total, 0.02)
}

func TestUnusedShareGoesToOthers(t *testing.T) {
	s := newServer()
	s.join("flood", 1, 100, 1000)
	s.join("small", 1, 100, 5)
	s.serve(100)
	require.Equal(t, 500.0, s.served["small"])
	require.Equal(t, 9500.0, s.served["flood"])
}

func TestIdlenessGivesNoCredit(t *testing.T) {
	s := newServer()
	s.join("busy", 1, 100, 1000)
	s.serve(500)
	s.join("idle", 1, 100, 1000)
	before := s.served["busy"]
	s.serve(100)
	require.InDelta(t, 5000, s.served["busy"]-before, 200)
}

// Room that nobody else waited for must not count against a workspace later.
func TestUncontendedWorkLeavesNoDebt(t *testing.T) {
	s := newServer()
	for range 1000 {
		s.join("large", 1, 100, 1)
		s.serve(1)
	}
	require.LessOrEqual(t, s.clock.Debt("large"), 100.0)
	s.join("large", 1, 100, 50)
	s.join("small", 1, 100, 50)
	before := s.served["large"]
	s.serve(50)
	require.InDelta(t, 2500, s.served["large"]-before, 200)
}

// A workspace whose requests were refused must not be charged for them.
func TestRefusedWorkIsRefunded(t *testing.T) {
	var c Clock
	first := c.Join("a", 1, 100)
	for range 50 {
		c.Join("a", 1, 100)
		c.Leave("a", 100)
		c.Refund("a", 100)
	}
	require.Equal(t, first+100, c.Join("a", 1, 100))
	require.Equal(t, 200.0, c.Waiting("a"))
}

// Requests that can't be served at the moment, as those for a model without room, must not
// take the order among others away from those that can.
func TestBlockedBacklogDoesNotMoveTime(t *testing.T) {
	s := newServer()
	blocked := s.clock.Join("flood", 1, 1e6)
	require.Zero(t, blocked)
	s.join("flood", 1, 100, 3)
	s.join("small", 1, 100, 3)
	s.serve(3)
	require.Equal(t, 300.0, s.served["small"])
	s.join("small", 1, 100, 3)
	s.serve(3)
	require.Equal(t, 600.0, s.served["small"])
}

func TestStateIsBounded(t *testing.T) {
	s := newServer()
	for i := range 10000 {
		s.join(registrar.WorkspaceName(fmt.Sprint("w", i)), 1, 100, 1)
		s.serve(1)
	}
	require.LessOrEqual(t, len(s.clock.flows), 2*minSweep)
	require.Zero(t, s.clock.waitingWeight)
}

func TestWeightChangesWhileRequestsWait(t *testing.T) {
	var c Clock
	c.Join("a", 1, 100)
	c.Join("a", 3, 100)
	c.Join("b", 2, 100)
	require.Equal(t, 5.0, c.waitingWeight)
	require.True(t, c.Contended("a"))
	c.Leave("a", 100)
	c.Leave("a", 100)
	require.Equal(t, 2.0, c.waitingWeight)
	require.True(t, c.Contended("a"))
	require.False(t, c.Contended("b"))
	c.Leave("b", 100)
	c.Leave("b", 100)
	require.Zero(t, c.waitingWeight)
}
