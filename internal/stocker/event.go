// Package stocker decides what one model runner holds: which models and
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
package stocker

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
	Load   Op = "load"
	Unload Op = "unload"
)

// Order is an order to the runner.
type Order struct {
	Op       Op
	Model    registrar.ModelName
	Adapter  registrar.AdapterName // empty for the model itself
	Upstream registrar.UpstreamID  // the instance that must obey, empty when its id isn't known
	Sequence int64                 // orders that the runner has accepted before this one
	Holder   string
	Fence    int64
	Reason   string // for the log
}

// Result is what became of an order.
type Result string

// The results of orders.
const (
	Begun   Result = "begun" // it is carried out
	Done    Result = "done"  // it holds already
	Refused Result = "refused"
	Unknown Result = "unknown" // the answer was lost; it may be carried out later
)

// State is what the runner says of itself.
type State struct {
	Born     int64                 `json:"Born"`     // Unix milliseconds of its start
	Sequence int64                 `json:"Sequence"` // orders accepted since
	Holdings []registrar.Holding   `json:"Holdings"`
	Coming   []registrar.AdapterID `json:"Coming"` // on their way
	Busy     bool                  `json:"Busy"`   // an order for a model is under way
	Running  int                   `json:"Running"`
	Waiting  int                   `json:"Waiting"`
	Used     registrar.Tokens      `json:"Used"`
	Total    registrar.Tokens      `json:"Total"`
	Warm     []registrar.ModelName `json:"Warm"` // weights in the host's memory
	Disk     []registrar.ModelName `json:"Disk"` // weights on the host's disk
	Draining bool                  `json:"Draining"`
}

// Runner is the runner beside a steward.
type Runner interface {
	Report(ctx context.Context) (State, error)
	Order(ctx context.Context, o Order) (Result, error)
}

// Event is an input of a stocker.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Configured carries a newer configuration.
type Configured struct{ Configuration *registrar.Configuration }

// Listed carries the live runners of the steward's service.
type Listed struct{ Upstreams []*registrar.Upstream }

// Reported carries the runner's state.
type Reported struct{ State State }

// Lost tells that the runner doesn't answer.
type Lost struct{}

// Demanded carries what the callers of one gateway ask for.
type Demanded struct {
	Gateway string
	Demands []dispatcher.Demand
}

// Told carries the state of another runner of the service.
type Told struct{ Report dispatcher.Report }

// Wanted tells that a gateway has a request for an adapter.
type Wanted struct{ Adapter registrar.AdapterID }

// Fenced gives the number that orders carry from now on.
type Fenced struct{ Fence int64 }

// Ordered reports on an order.
type Ordered struct {
	Order  Order
	Result Result
}

func (Tick) event()       {}
func (Configured) event() {}
func (Listed) event()     {}
func (Reported) event()   {}
func (Lost) event()       {}
func (Demanded) event()   {}
func (Told) event()       {}
func (Wanted) event()     {}
func (Fenced) event()     {}
func (Ordered) event()    {}

// Effect is an output of a stocker, which its driver carries out.
type Effect interface{ effect() }

// Send gives the runner an order; Ordered answers it, and a new state follows.
type Send struct{ Order Order }

// Tell passes the runner's state on to the gateways. A report that is not
// partial goes to the other stewards too.
type Tell struct{ Report dispatcher.Report }

func (Send) effect() {}
func (Tell) effect() {}

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
