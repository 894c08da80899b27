package registrar

// State determines whether an upstream takes new requests.
type State string

// The states of upstreams.
const (
	Ready    State = "ready"
	Draining State = "draining" // finishes its requests and takes no new ones
)

// Release is the version of an upstream's software, which has no order. A stream that one
// release has begun can't be continued by another.
type Release string

// Upstream is the entry of one instance of a service in the platform's list.
type Upstream struct {
	ID           UpstreamID
	Service      ServiceName
	Address      string // IP and port
	Domain       DomainName
	Release      Release // version of its software
	State        State
	Incarnation  int64           // start of its process in Unix milliseconds, higher after a restart under the same ID
	Heartbeat    int64           // number of the heartbeat, rises within an incarnation
	Slots        int             // requests that it executes at once
	Residents    []ResidentModel // empty for a service without models
	InHostMemory []ModelName     // models with their weights in its host's memory
	OnHostDisk   []ModelName     // models with their weights on its host's disk
}

// ResidentModel is a model in the memory of an upstream's accelerators, ready to run
// requests, with its resident adapters.
type ResidentModel struct {
	Model    ModelName     `json:"model" cbor:"1,keyasint"`
	Version  int           `json:"version" cbor:"2,keyasint"`
	Adapters []AdapterName `json:"adapters,omitempty" cbor:"3,keyasint,omitempty"`
}

// AdapterID identifies an adapter by its model and its name.
type AdapterID struct {
	Model ModelName   `json:"model" cbor:"1,keyasint"`
	Name  AdapterName `json:"name" cbor:"2,keyasint"`
}

// Change is one change of the platform's list: a new or updated entry, or with a
// nil Upstream its removal.
type Change struct {
	ID       UpstreamID
	Upstream *Upstream
}

// older reports whether u is an earlier entry of the instance than other.
func (u *Upstream) older(other *Upstream) bool {
	return u.Incarnation < other.Incarnation || u.Incarnation == other.Incarnation && u.Heartbeat < other.Heartbeat
}

// SameIncarnation reports whether two entries describe the same incarnation of an
// instance, at the same address and in the same service.
func (u *Upstream) SameIncarnation(other *Upstream) bool {
	return u.ID == other.ID && u.Incarnation == other.Incarnation && u.Address == other.Address && u.Service == other.Service
}

// Holds reports whether the model is resident at the upstream.
func (u *Upstream) Holds(m ModelName) bool {
	for i := range u.Residents {
		if u.Residents[i].Model == m {
			return true
		}
	}
	return false
}
