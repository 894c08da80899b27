// Package reconciler decides what one model runner holds: which models and
// adapters its steward orders it to load and to unload.
//
// Usage:
//
//	s := stocker.New(stocker.Config{Address: "10.1.0.40:8145", Holder: "side-1"})
//	for _, effect := range s.Reduce(now, event) { run(effect) }
//
// It is a deterministic function of its events. Each steward makes the same plan
// for all runners from the same list and the same demand, and carries out the
// part of its own runner. Where views differ for a while, what stewards tell each
// other keeps the last copies and the weight store's limit.
//
// Every order names the number of orders that the runner has accepted before.
// The runner refuses it when another one came first, so that an order whose
// answer was lost takes effect only in the state that it was made for.
package reconciler

import (
	"context"
	"time"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Op is what an order does.
type Op string

// The operations of orders.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
)

// Order is an order to the runner.
type Order struct {
	Op               Op
	Model            registrar.ModelName
	Adapter          registrar.AdapterName // empty for the model itself
	Upstream         registrar.UpstreamID  // the instance that must obey, empty when its id isn't known
	ExpectedSequence int64                 // orders that the runner has accepted before this one
	Holder           string
	Fence            int64
	Reason           string // for the log
}

// Result is what became of an order.
type Result string

// The results of orders.
const (
	Accepted Result = "begun" // it is carried out
	Done     Result = "done"  // it holds already
	Refused  Result = "refused"
	Unknown  Result = "unknown" // the answer was lost; it may be carried out later
)

// State is what the runner says of itself.
type State struct {
	Incarnation     int64                     `json:"Born"`     // Unix milliseconds of its start
	Sequence        int64                     `json:"Sequence"` // orders accepted since
	Residents       []registrar.ResidentModel `json:"Holdings"`
	LoadingAdapters []registrar.AdapterID     `json:"Coming"` // on their way
	Busy            bool                      `json:"Busy"`   // an order for a model is under way
	Running         int                       `json:"Running"`
	Waiting         int                       `json:"Waiting"`
	KVUsed          registrar.Tokens          `json:"Used"`
	KVTotal         registrar.Tokens          `json:"Total"`
	InHostMemory    []registrar.ModelName     `json:"Warm"` // weights in the host's memory
	OnHostDisk      []registrar.ModelName     `json:"Disk"` // weights on the host's disk
	Draining        bool                      `json:"Draining"`
}

// Runner is the runner beside a steward.
type Runner interface {
	FetchState(ctx context.Context) (State, error)
	SendOrder(ctx context.Context, o Order) (Result, error)
}

// Event is an input of a stocker.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// ConfigurationChanged carries a newer configuration.
type ConfigurationChanged struct{ Configuration *registrar.Configuration }

// RunnersListed carries the live runners of the steward's service.
type RunnersListed struct{ Upstreams []*registrar.Upstream }

// StateReported carries the runner's state.
type StateReported struct{ State State }

// RunnerLost tells that the runner doesn't answer.
type RunnerLost struct{}

// DemandReported carries what the callers of one gateway ask for.
type DemandReported struct {
	Gateway string
	Demands []dispatcher.Demand
}

// PeerReported carries the state of another runner of the service.
type PeerReported struct{ Report dispatcher.Report }

// AdapterRequested tells that a gateway has a request for an adapter.
type AdapterRequested struct{ Adapter registrar.AdapterID }

// FenceAcquired gives the number that orders carry from now on.
type FenceAcquired struct{ Fence int64 }

// OrderAnswered reports on an order.
type OrderAnswered struct {
	Order  Order
	Result Result
}

func (Tick) event()                 {}
func (ConfigurationChanged) event() {}
func (RunnersListed) event()        {}
func (StateReported) event()        {}
func (RunnerLost) event()           {}
func (DemandReported) event()       {}
func (PeerReported) event()         {}
func (AdapterRequested) event()     {}
func (FenceAcquired) event()        {}
func (OrderAnswered) event()        {}

// Effect is an output of a stocker, which its driver carries out.
type Effect interface{ effect() }

// SendOrder gives the runner an order; Ordered answers it, and a new state follows.
type SendOrder struct{ Order Order }

// BroadcastReport passes the runner's state on to the gateways. A report that is not
// partial goes to the other stewards too.
type BroadcastReport struct{ Report dispatcher.Report }

func (SendOrder) effect()       {}
func (BroadcastReport) effect() {}

// Timing and limits of decisions.
const (
	demandLife     = 2 * time.Second        // a gateway's demand counts this long; several lost datagrams
	wholePeriod    = time.Second            // an unchanged state is told whole this often, and to stewards
	gatewayPause   = 5 * time.Millisecond   // between reports for each gateway, so that many gateways get fewer
	longestPause   = 400 * time.Millisecond // between reports, half of what gateways take for silence
	peerLife       = 3 * time.Second        // an older state of a peer gives way to the list's
	planLife       = 250 * time.Millisecond // a plan is kept this long; demand is told as often
	claimDelay     = 60 * time.Millisecond  // from an announcement to its effect; a datagram takes a few
	wantLife       = time.Second            // a want is repeated while its request waits
	copyGain       = 1.35                   // how much more a new copy must serve than a present one
	copySpread     = 0.75                   // models with less work get more copies than their share, against the next shift
	copyWork       = 16000.0                // prompt tokens a second that one copy serves easily
	idleShare      = 3                      // loads of the store's limit that are kept for models in demand
	adapterStreak  = 8                      // adapter orders in a row while a model should come, a runner's places
	comingBound    = 4                      // adapters that may be on their way to one runner
	unsettledPause = 300 * time.Millisecond // after an order without an answer, before the next one
	orderFlight    = 13 * time.Second       // after which an order without an answer is not carried out any more; they take 12 at most
	refusedPause   = 100 * time.Millisecond // after a refused order
)
