package reconciler

import (
	"time"

	"github.com/egretwall/egretwall/internal/estimator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Dump is the state of a reconciler, for operators.
type Dump struct {
	Upstream       registrar.UpstreamID            `json:"upstream"` // empty while the runner is not listed
	Fence          int64                           `json:"fence"`    // fencing token, zero before it is acquired
	State          State                           `json:"state"`
	Loading        registrar.ModelName             `json:"loading"`
	Evicting       registrar.ModelName             `json:"leaving"`
	Planned        []registrar.ModelName           `json:"planned"` // models assigned to the runner
	PlanAgeMs      int64                           `json:"age"`
	PeerStoreLoads int                             `json:"stored"`             // loads from the weight store that other runners began within the window
	Gateways       int                             `json:"gateways"`           // heard from lately
	Costs          map[registrar.ModelName]float64 `json:"costs,omitempty"`    // of a unit of work, relative to the mean; learned from answers
	Slowness       estimator.Percent               `json:"slowness,omitempty"` // time that the runner takes for a token, of that of others; zero if it is unknown
	Counters       Counters                        `json:"counters"`
}

// Dump returns the reconciler's state at time now.
func (r *Reconciler) Dump(now time.Duration) Dump {
	dump := Dump{
		Fence: r.fence, State: r.state, Loading: r.loading, Evicting: r.evicting, PeerStoreLoads: r.peerStoreLoads(false),
		Gateways: r.GatewayCount(), Costs: r.modelCosts(), Slowness: r.slowness.Value(now), Counters: r.Counters,
	}
	if r.self != nil {
		dump.Upstream = r.self.ID
	}
	if r.plan != nil && r.self != nil {
		dump.Planned, dump.PlanAgeMs = r.plan.Models(r.self.ID), (now - r.plannedAt).Milliseconds()
	}
	return dump
}
