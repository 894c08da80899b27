package stocker

import (
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Dump is the state of a stocker, for people; times are milliseconds.
type Dump struct {
	Upstream registrar.UpstreamID  `json:"upstream"` // empty while the list doesn't show it
	Fence    int64                 `json:"fence"`    // zero without one
	State    State                 `json:"state"`
	Loading  registrar.ModelName   `json:"loading"`
	Leaving  registrar.ModelName   `json:"leaving"`
	Planned  []registrar.ModelName `json:"planned"`
	Age      int64                 `json:"age"`    // of the plan
	Stored   int                   `json:"stored"` // loads that others began within the weight store's window
	Gateways int                   `json:"gateways"`
	Counters Counters              `json:"counters"`
}

// Dump returns the state at time now.
func (s *Stocker) Dump(now time.Duration) Dump {
	dump := Dump{
		Fence: s.fence, State: s.state, Loading: s.loading, Leaving: s.leaving, Stored: s.storeLoads(false),
		Gateways: s.Gateways(), Counters: s.Counters,
	}
	if s.self != nil {
		dump.Upstream = s.self.ID
	}
	if s.plan != nil && s.self != nil {
		dump.Planned, dump.Age = s.plan.Of(s.self.ID), (now - s.planned).Milliseconds()
	}
	return dump
}
