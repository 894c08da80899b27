package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/follower"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// EntryDump is the state of an entry for operators, in the JSON of /dump.
type EntryDump struct {
	Role            string          `json:"role"`
	ID              EntryID         `json:"id"`
	Draining        bool            `json:"draining"`
	Configuration   follower.Report `json:"configuration"`
	OpenRequests    int             `json:"open"`    // not answered yet
	WaitingRequests int             `json:"waiting"` // open requests that wait to be retried
	RetryBudget     float64         `json:"budget"`  // retries that the budget allows now
	Counters        EntryCounters   `json:"counters"`
	Peers           []PeerDump      `json:"peers"`
	Shortfalls      []string        `json:"short"` // guarantees that don't hold now
}

// PeerDump is an entry's view of an agent.
type PeerDump struct {
	Upstream         configurator.UpstreamName `json:"upstream"`
	LinkState        string                    `json:"link"`
	Epoch            Epoch                     `json:"epoch"`
	OpenAttempts     int                       `json:"open"`    // of this entry
	Queued           int                       `json:"queued"`  // attempts of all entries that wait at the agent, by its last report
	Active           int                       `json:"active"`  // attempts of all entries that run, by the same report
	Leaving          bool                      `json:"leaving"` // the agent takes no new attempts
	Listed           bool                      `json:"listed"`  // live in the platform's list of instances
	SinceLastMessage time.Duration             `json:"silent"`  // in nanoseconds
	ResidentModels   int                       `json:"holds"`   // models and adapters in accelerator memory
}

// Dump returns the state of the entry. Now is the time since the process
// started.
func (e *Entry) Dump(now time.Duration) EntryDump {
	d := EntryDump{
		Role: "entry", ID: e.cfg.ID, Draining: e.draining, Configuration: e.follower.Report(),
		OpenRequests: len(e.requests), WaitingRequests: len(e.waiting), RetryBudget: e.retryBudget, Counters: e.Counters, Peers: []PeerDump{}, Shortfalls: []string{},
	}
	for _, name := range e.peerNames {
		p := e.peers[name]
		d.Peers = append(d.Peers, PeerDump{
			Upstream: name, LinkState: string(p.state), Epoch: p.epoch, OpenAttempts: len(p.openAttempts), Queued: p.queued, Active: p.active,
			Leaving: p.leaving, Listed: e.liveness.listed(name), SinceLastMessage: now - p.lastReceived, ResidentModels: len(p.residents),
		})
	}
	if d.Configuration.Version == 0 {
		d.Shortfalls = append(d.Shortfalls, "no configuration is in force")
	}
	return d
}

// AgentDump is the state of an agent for operators, in the JSON of /dump.
type AgentDump struct {
	Role                string                    `json:"role"`
	Upstream            configurator.UpstreamName `json:"upstream"`
	Draining            bool                      `json:"draining"`
	Configuration       follower.Report           `json:"configuration"`
	Queued              int                       `json:"queued"`   // attempts that wait for a slot
	Cold                int                       `json:"cold"`     // attempts that wait for a model to load
	Active              int                       `json:"active"`   // attempts running at the upstream
	Attempts            int                       `json:"attempts"` // including those whose response is not acknowledged yet
	Claims              int                       `json:"claims"`   // idempotency keys of all agents in this one's group
	CachedResponseBytes int                       `json:"answers"`  // responses kept for repeated idempotency keys
	Counters            AgentCounters             `json:"counters"`
	Lease               LeaseDump                 `json:"lease"`
	Memory              MemoryDump                `json:"memory"`
	Shortfalls          []string                  `json:"short"` // guarantees that don't hold now
}

// LeaseDump shows whether an agent may send orders to its engine.
type LeaseDump struct {
	Held               bool                 `json:"held"`       // the log shows a lease of this agent
	Superseded         bool                 `json:"superseded"` // a later agent of the upstream has taken the lease
	PriorOrdersSettled bool                 `json:"clean"`      // no order of an earlier agent can take effect any more
	LastOrder          reserver.OrderNumber `json:"number"`     // highest number given to an order
}

// MemoryDump is the accelerator memory of a runner as its agent accounts for it,
// in bytes.
type MemoryDump struct {
	Capacity         configurator.Bytes       `json:"capacity"`
	Used             configurator.Bytes       `json:"used"`       // including loads under way and unresolved load orders
	UnresolvedOrders int                      `json:"unresolved"` // orders whose outcome is unknown
	Residents        []configurator.ModelName `json:"residents"`
	MissingModels    []configurator.ModelName `json:"missing"` // models to be loaded: awaited by attempts, home copies, or requested by entries
}

// Dump returns the state of the agent.
func (a *Agent) Dump(time.Duration) AgentDump {
	d := AgentDump{
		Role: "agent", Upstream: a.cfg.Upstream, Draining: a.draining, Configuration: a.follower.Report(),
		Queued: a.queue.Len(), Cold: len(a.cold), Active: a.active, Attempts: len(a.attempts),
		Claims: a.claimTable.Len(), CachedResponseBytes: a.keyed.cachedBytes, Counters: a.Counters,
		Lease:      LeaseDump{a.lease.held, a.lease.superseded, a.lease.priorOrdersSettled, reserver.OrderNumber(uint64(a.lease.offset)<<counterBits | a.lease.counter)},
		Memory:     MemoryDump{Residents: []configurator.ModelName{}, MissingModels: []configurator.ModelName{}},
		Shortfalls: []string{},
	}
	if d.Configuration.Version == 0 {
		d.Shortfalls = append(d.Shortfalls, "no configuration is in force")
	}
	if a.ledger == nil {
		return d
	}
	d.Memory.Capacity, d.Memory.Used = a.upstream.WeightMemory, a.ledger.Used()
	d.Memory.UnresolvedOrders, d.Memory.Residents = a.ledger.Unresolved(), a.ledger.Residents()
	for _, m := range a.wantedModels() {
		if !a.ledger.Resident(m) {
			d.Memory.MissingModels = append(d.Memory.MissingModels, m)
		}
	}
	// The text is also reported when the lease is superseded.
	if a.engineUnavailable() {
		d.Shortfalls = append(d.Shortfalls, "the engine does not report")
	}
	// The text also covers models that attempts wait for or entries request.
	if len(d.Memory.MissingModels) > 0 {
		d.Shortfalls = append(d.Shortfalls, "home copies are not resident")
	}
	return d
}
