package registrar

// State tells whether an upstream takes new work.
type State string

// The states of upstreams.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Upstream is one live instance of a service as the platform's list shows it.
type Upstream struct {
	ID           UpstreamID
	Service      ServiceName
	Address      string // IP and port
	Domain       DomainName
	State        State
	Incarnation  int64 // Unix milliseconds of its start, changes when an id starts again
	Heartbeat    int64 // number of its heartbeat, rises in one run
	Slots        int
	Residents    []ResidentModel // what its memory holds; empty for plain services
	InHostMemory []ModelName     // weights in its host's memory
	OnHostDisk   []ModelName     // weights on its host's disk
}

// ResidentModel is a model in an upstream's memory, with the adapters that are ready.
type ResidentModel struct {
	Model    ModelName     `json:"model"`
	Version  int           `json:"version"`
	Adapters []AdapterName `json:"adapters,omitempty"`
}

// AdapterID names an adapter of a model.
type AdapterID struct {
	Model ModelName   `json:"model"`
	Name  AdapterName `json:"name"`
}

// Change is one record of the platform's list; Upstream is nil when the entry
// was removed.
type Change struct {
	ID       UpstreamID
	Upstream *Upstream
}

// older tells whether u is an earlier word of an instance than other.
func (u *Upstream) older(other *Upstream) bool {
	return u.Incarnation < other.Incarnation || u.Incarnation == other.Incarnation && u.Heartbeat < other.Heartbeat
}

// SameIncarnation tells whether two entries describe the same run of an instance.
func (u *Upstream) SameIncarnation(other *Upstream) bool {
	return u.ID == other.ID && u.Incarnation == other.Incarnation && u.Address == other.Address && u.Service == other.Service
}

// Holds tells whether the model is in the upstream's memory.
func (u *Upstream) Holds(m ModelName) bool {
	for i := range u.Residents {
		if u.Residents[i].Model == m {
			return true
		}
	}
	return false
}
