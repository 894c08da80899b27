// Package reconciler brings the models and adapters in one model runner's memory
// in line with a placement plan.
//
// Usage:
//
//	r := reconciler.New(reconciler.Config{Address: "10.1.0.40:8145", Holder: "side-1", Window: 5 * time.Second})
//	for _, effect := range r.Reduce(now, event) { run(effect) }
//
// A steward, the process beside each runner, runs one reconciler and sends the
// runner its orders to load and unload. A reconciler is a deterministic function
// of its events. Each steward computes the same plan for all runners from the same
// list and the same demand, and carries out its own runner's part. While their
// views differ, the reports that stewards exchange keep the last copy of a model
// loaded and loads from the weight store within its limit.
//
// Every order carries the number of orders that the runner has accepted before.
// The runner refuses the order when it has accepted another one since, so that an
// order whose answer was lost takes effect only in the state that it was made for.
package reconciler

import (
	"context"
	"fmt"
	"time"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/estimator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Op is the operation of an order.
type Op string

// The operations of orders.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
)

// Order tells the runner to load or unload a model or an adapter.
type Order struct {
	Op               Op
	Model            registrar.ModelName
	Adapter          registrar.AdapterName // empty for the model itself
	Upstream         registrar.UpstreamID  // instance that the order is meant for, empty when its ID is unknown
	ExpectedSequence int64                 // number of orders that the runner must have accepted before
	Holder           string                // name of the steward
	Fence            int64                 // fencing token of the steward
	Reason           string                // for the log
}

// Result is the outcome of an order.
type Result string

// The results of orders.
const (
	Accepted Result = "begun"   // the runner executes it
	Done     Result = "done"    // the runner was in the ordered state already
	Refused  Result = "refused" // the runner will not execute it
	Unknown  Result = "unknown" // the answer was lost; the runner may still execute it
)

// State is the state of a runner as it reports it. The JSON form is part of dumps.
type State struct {
	Incarnation     int64                     `json:"Born"`     // start of the process, in Unix milliseconds
	Sequence        int64                     `json:"Sequence"` // number of orders accepted since the start
	Residents       []registrar.ResidentModel `json:"Holdings"`
	LoadingAdapters []registrar.AdapterID     `json:"Coming"`
	Busy            bool                      `json:"Busy"` // an order for a model is being executed
	Running         int                       `json:"Running"`
	Waiting         int                       `json:"Waiting"`
	Runs            []estimator.Progress      `json:"Runs,omitempty"` // of the requests that it runs
	KVUsed          registrar.Tokens          `json:"Used"`
	KVTotal         registrar.Tokens          `json:"Total"`
	InHostMemory    []registrar.ModelName     `json:"Warm"` // models with their weights in the host's memory
	OnHostDisk      []registrar.ModelName     `json:"Disk"` // models with their weights on the host's disk
	Draining        bool                      `json:"Draining"`
	RequestLimit    float64                   `json:"Limit,omitempty"` // requests per second that it takes from all gateways together, zero without a limit
}

// Runner is the client of a steward's model runner.
type Runner interface {
	// FetchState asks the runner for its state. The error is a PauseError if the runner
	// wants no calls for a time.
	FetchState(ctx context.Context) (State, error)
	// SendOrder sends an order once. The error explains the results Refused and
	// Unknown; it may be a PauseError.
	SendOrder(ctx context.Context, o Order) (Result, error)
}

// PauseError says that the runner refused a call and wants no further one for a time.
type PauseError struct{ For time.Duration }

func (e *PauseError) Error() string {
	return fmt.Sprintf("runner wants no calls for %v", e.For)
}

// Event is an input of a Reconciler.
type Event interface{ event() }

// Tick makes the reconciler decide again because time has passed.
type Tick struct{}

// ConfigurationChanged carries a newer configuration.
type ConfigurationChanged struct{ Configuration *registrar.Configuration }

// RunnersListed carries the live runners of the steward's service, the own one
// included.
type RunnersListed struct{ Upstreams []*registrar.Upstream }

// StateReported carries the runner's own state.
type StateReported struct{ State State }

// RunnerLost reports that the runner's state could not be fetched.
type RunnerLost struct{}

// DemandReported carries the demand at one gateway, which replaces its last report.
type DemandReported struct {
	Gateway string
	Demands []dispatcher.Demand
}

// PeerReported carries another steward's full report about its runner.
type PeerReported struct{ Report dispatcher.Report }

// AdapterRequested reports that a gateway has a request that waits for an adapter.
type AdapterRequested struct{ Adapter registrar.AdapterID }

// PaceObserved carries how long the runner's answers take between events, relative to
// those of the same models at other runners, as a gateway saw them.
type PaceObserved struct{ Ratios []estimator.Percent }

// FenceAcquired carries the fencing token for all later orders.
type FenceAcquired struct{ Fence int64 }

// OrderAnswered carries the result of the order last sent.
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
func (PaceObserved) event()         {}
func (FenceAcquired) event()        {}
func (OrderAnswered) event()        {}

// Effect is an output of a Reconciler, which its driver carries out.
type Effect interface{ effect() }

// SendOrder sends an order to the runner. The driver answers with OrderAnswered and
// then with a newer StateReported.
type SendOrder struct{ Order Order }

// BroadcastReport sends the runner's state to the gateways and, unless the report is
// partial, to the other stewards.
type BroadcastReport struct{ Report dispatcher.Report }

func (SendOrder) effect()       {}
func (BroadcastReport) effect() {}

// Timing and limits of decisions and reports.
const (
	demandTTL                   = 2 * time.Second         // of a gateway's report; outlasts several lost datagrams
	fullReportPeriod            = time.Second             // between full reports while the state is unchanged
	reportIntervalPerGateway    = 5 * time.Millisecond    // between partial reports; limits the rate of datagrams to many gateways
	maxReportInterval           = 400 * time.Millisecond  // half of the time without reports after which gateways avoid a runner
	peerReportTTL               = 3 * time.Second         // after it, the list replaces a peer's report
	planTTL                     = 250 * time.Millisecond  // the period at which gateways report their demand
	maxEventGap                 = 700 * time.Millisecond  // between events of a steward that was not paused; its runner's state comes four times as often
	announcementDelay           = 60 * time.Millisecond   // from an announcement to its effect; a datagram takes a few milliseconds
	adapterRequestTTL           = time.Second             // gateways repeat a request for an adapter while a caller waits for it
	copyHysteresis              = 1.35                    // a new copy must serve this many times the work of an existing one
	copyDemandExponent          = 0.75                    // below 1, models with less work get more copies than their share, in reserve for a shift of demand
	minDemandPerCopy            = 16000.0                 // prompt tokens a second that one copy serves with ease
	startupDelay                = 2 * time.Second         // until a new steward loads from the weight store; by then the list and the reports of its peers have come
	startupStoreLoads           = 3                       // loads from the weight store that new stewards begin within the window; the platform allows three beyond its rate
	unloadPatience              = 1500 * time.Millisecond // after it, models planned for a runner that still unloads another are planned elsewhere
	minLoadTime                 = 100 * time.Millisecond  // assumed of a load, where the configuration tells less
	storeLoadReserve            = 3                       // loads of the weight store's limit that are reserved for models in demand
	maxConsecutiveAdapterOrders = 8                       // while a load of a model is due; a runner has as many adapter slots
	maxLoadingAdapters          = 4                       // at once at one runner
	unknownResultBackoff        = 300 * time.Millisecond  // after an order whose answer was lost
	maxOrderDelay               = 13 * time.Second        // after it an unanswered order is no longer executed; orders take 12 s at most
	refusedBackoff              = 100 * time.Millisecond  // after an order that the runner refused
)
