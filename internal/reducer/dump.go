package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/follower"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// EntryDump is the state of an entry as operators read it.
type EntryDump struct {
	Role            string          `json:"role"`
	ID              EntryID         `json:"id"`
	Draining        bool            `json:"draining"`
	Configuration   follower.Report `json:"configuration"`
	OpenRequests    int             `json:"open"`
	WaitingRequests int             `json:"waiting"`
	RetryBudget     float64         `json:"budget"` // retries that may be made now
	Counters        EntryCounters   `json:"counters"`
	Peers           []PeerDump      `json:"peers"`
	Shortfalls      []string        `json:"short"` // what falls short of the promises
}

// PeerDump is an entry's view of an agent.
type PeerDump struct {
	Upstream         configurator.UpstreamName `json:"upstream"`
	LinkState        string                    `json:"link"`
	Epoch            Epoch                     `json:"epoch"`
	OpenAttempts     int                       `json:"open"`
	Queued           int                       `json:"queued"`
	Active           int                       `json:"active"`
	Leaving          bool                      `json:"leaving"`
	Listed           bool                      `json:"listed"` // live by the platform's list
	SinceLastMessage time.Duration             `json:"silent"` // since the last message
	ResidentModels   int                       `json:"holds"`
}

// Dump describes the entry at time now.
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

// AgentDump is the state of an agent as operators read it.
type AgentDump struct {
	Role                string                    `json:"role"`
	Upstream            configurator.UpstreamName `json:"upstream"`
	Draining            bool                      `json:"draining"`
	Configuration       follower.Report           `json:"configuration"`
	Queued              int                       `json:"queued"`
	Cold                int                       `json:"cold"` // waiting for a model to load
	Active              int                       `json:"active"`
	Attempts            int                       `json:"attempts"`
	Claims              int                       `json:"claims"`
	CachedResponseBytes int                       `json:"answers"` // bytes kept for repeated keys
	Counters            AgentCounters             `json:"counters"`
	Lease               LeaseDump                 `json:"lease"`
	Memory              MemoryDump                `json:"memory"`
	Shortfalls          []string                  `json:"short"` // what falls short of the promises
}

// LeaseDump tells whether an agent may give orders.
type LeaseDump struct {
	Held               bool                 `json:"held"`
	Superseded         bool                 `json:"superseded"`
	PriorOrdersSettled bool                 `json:"clean"` // no order of an earlier agent can land any more
	LastOrder          reserver.OrderNumber `json:"number"`
}

// MemoryDump is the ledger of a runner.
type MemoryDump struct {
	Capacity     configurator.Bytes       `json:"capacity"`
	Used         configurator.Bytes       `json:"used"`
	Unresolved   int                      `json:"unresolved"` // orders whose outcome is not known
	Residents    []configurator.ModelName `json:"residents"`
	MissingHomes []configurator.ModelName `json:"missing"` // home copies that are not resident
}

// Dump describes the agent at time now.
func (a *Agent) Dump(time.Duration) AgentDump {
	d := AgentDump{
		Role: "agent", Upstream: a.cfg.Upstream, Draining: a.draining, Configuration: a.follower.Report(),
		Queued: a.queue.Len(), Cold: len(a.cold), Active: a.active, Attempts: len(a.attempts),
		Claims: a.claimTable.Len(), CachedResponseBytes: a.keyed.cachedBytes, Counters: a.Counters,
		Lease:      LeaseDump{a.lease.held, a.lease.superseded, a.lease.priorOrdersSettled, reserver.OrderNumber(uint64(a.lease.offset)<<counterBits | a.lease.counter)},
		Memory:     MemoryDump{Residents: []configurator.ModelName{}, MissingHomes: []configurator.ModelName{}},
		Shortfalls: []string{},
	}
	if d.Configuration.Version == 0 {
		d.Shortfalls = append(d.Shortfalls, "no configuration is in force")
	}
	if a.ledger == nil {
		return d
	}
	d.Memory.Capacity, d.Memory.Used = a.upstream.Memory, a.ledger.Used()
	d.Memory.Unresolved, d.Memory.Residents = a.ledger.Unresolved(), a.ledger.Residents()
	for _, m := range a.wantedModels() {
		if !a.ledger.Resident(m) {
			d.Memory.MissingHomes = append(d.Memory.MissingHomes, m)
		}
	}
	if a.engineUnavailable() {
		d.Shortfalls = append(d.Shortfalls, "the engine does not report")
	}
	if len(d.Memory.MissingHomes) > 0 {
		d.Shortfalls = append(d.Shortfalls, "home copies are not resident")
	}
	return d
}
