package reconciler

import (
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Dump is the state of a stocker, for people; times are milliseconds.
type Dump struct {
	Upstream       registrar.UpstreamID  `json:"upstream"` // empty while the list doesn't show it
	Fence          int64                 `json:"fence"`    // zero without one
	State          State                 `json:"state"`
	Loading        registrar.ModelName   `json:"loading"`
	Evicting       registrar.ModelName   `json:"leaving"`
	Planned        []registrar.ModelName `json:"planned"`
	PlanAgeMs      int64                 `json:"age"`    // of the plan
	PeerStoreLoads int                   `json:"stored"` // loads that others began within the weight store's window
	Gateways       int                   `json:"gateways"`
	Counters       Counters              `json:"counters"`
}

// Dump returns the state at time now.
func (s *Reconciler) Dump(now time.Duration) Dump {
	dump := Dump{
		Fence: s.fence, State: s.state, Loading: s.loading, Evicting: s.leaving, PeerStoreLoads: s.storeLoads(false),
		Gateways: s.GatewayCount(), Counters: s.Counters,
	}
	if s.self != nil {
		dump.Upstream = s.self.ID
	}
	if s.plan != nil && s.self != nil {
		dump.Planned, dump.PlanAgeMs = s.plan.Models(s.self.ID), (now - s.planned).Milliseconds()
	}
	return dump
}
