// Package sharer orders the requests of several workspaces so that each gets its share of
// a server in proportion to its weight: weighted fair queueing by virtual time.
//
// Usage:
//
//	var c sharer.Clock
//	tag := c.Join("desk", 1, 2060) // a request arrives; lower tags go first
//	c.Leave("desk", 2060)          // it no longer waits
//	c.Serve("desk", 2060)          // since it was served, or Refund if it was not
//
// A request's tag is the virtual time at which its workspace has had its share of the work
// before it. Virtual time advances with the work that is served, divided by the weights of
// the workspaces that wait for it. So a workspace that was idle gets no credit, and one that
// took room that nobody else wanted owes nothing for it.
//
// A Clock is not safe for concurrent use and deterministic. It forgets workspaces without
// waiting requests and debt.
package sharer

import "github.com/egretwall/egretwall/internal/registrar"

// Tag is a virtual time, in units of work for a weight of 1.
type Tag float64

// Clock is the virtual time of requests that compete for the same server with the same
// priority. Its zero value is ready for use.
type Clock struct {
	now           Tag
	flows         map[registrar.WorkspaceName]*flow
	waitingWeight float64 // of the flows with waiting requests
	waitingFlows  int
	sweepAt       int // number of flows at which those without debt are removed
}

// flow is the state of one workspace.
type flow struct {
	finish  Tag // tag of its next request, unless virtual time is later
	weight  float64
	waiting int     // requests
	work    float64 // of these
}

// minSweep is the least number of flows that is swept.
const minSweep = 64

// Join adds a waiting request of a workspace and returns its tag. The weight must be
// positive.
func (c *Clock) Join(w registrar.WorkspaceName, weight, work float64) Tag {
	f := c.flow(w)
	if f.waiting > 0 {
		c.waitingWeight += weight - f.weight
	}
	f.weight = weight
	c.wait(f, work)
	tag := max(c.now, f.finish)
	f.finish = tag + Tag(work/weight)
	return tag
}

// Rejoin adds a waiting request that has a tag already, since it was served before.
func (c *Clock) Rejoin(w registrar.WorkspaceName, weight, work float64) {
	f := c.flow(w)
	if f.weight == 0 {
		f.weight = weight
	}
	c.wait(f, work)
}

// wait counts a waiting request.
func (c *Clock) wait(f *flow, work float64) {
	if f.waiting == 0 {
		c.waitingWeight += f.weight
		c.waitingFlows++
	}
	f.waiting++
	f.work += work
}

// Leave removes a waiting request.
func (c *Clock) Leave(w registrar.WorkspaceName, work float64) {
	f := c.flows[w]
	if f == nil || f.waiting == 0 {
		return
	}
	f.waiting--
	f.work -= work
	if f.waiting > 0 {
		return
	}
	f.work = 0
	c.waitingWeight -= f.weight
	c.waitingFlows--
	if c.waitingFlows == 0 {
		c.waitingWeight = 0 // without the rounding errors of the sum
	}
}

// Serve advances virtual time by the work of a request that was served for the first time
// and no longer waits.
func (c *Clock) Serve(w registrar.WorkspaceName, work float64) {
	f := c.flows[w]
	if f == nil {
		return
	}
	weight := c.waitingWeight
	if f.waiting == 0 {
		weight += f.weight
	}
	c.now += Tag(work / weight)
}

// Refund takes back the charge for a request that was never served.
func (c *Clock) Refund(w registrar.WorkspaceName, work float64) {
	if f := c.flows[w]; f != nil {
		f.finish = max(c.now, f.finish-Tag(work/f.weight))
	}
}

// Debt returns how much work a workspace has been charged beyond its share, including that
// of its waiting requests.
func (c *Clock) Debt(w registrar.WorkspaceName) float64 {
	f := c.flows[w]
	if f == nil {
		return 0
	}
	return max(0, float64(f.finish-c.now)*f.weight)
}

// Waiting returns the work of a workspace's waiting requests.
func (c *Clock) Waiting(w registrar.WorkspaceName) float64 {
	if f := c.flows[w]; f != nil {
		return f.work
	}
	return 0
}

// Contended reports whether requests of another workspace wait.
func (c *Clock) Contended(w registrar.WorkspaceName) bool {
	if f := c.flows[w]; f != nil && f.waiting > 0 {
		return c.waitingFlows > 1
	}
	return c.waitingFlows > 0
}

// flow returns the state of a workspace. Before it adds one, it removes those without
// waiting requests and debt if there are many.
func (c *Clock) flow(w registrar.WorkspaceName) *flow {
	f := c.flows[w]
	if f != nil {
		return f
	}
	if c.flows == nil {
		c.flows = map[registrar.WorkspaceName]*flow{}
	}
	if len(c.flows) >= max(c.sweepAt, minSweep) {
		for name, f := range c.flows {
			if f.waiting == 0 && f.finish <= c.now {
				delete(c.flows, name)
			}
		}
		c.sweepAt = 2 * len(c.flows)
	}
	f = &flow{}
	c.flows[w] = f
	return f
}
