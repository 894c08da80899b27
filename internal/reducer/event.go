// Package reducer holds the decisions of entries and agents.
//
// Usage:
//
//	entry := reducer.NewEntry(cfg)
//	for _, effect := range entry.Reduce(now, event) { run(effect) }
//
// A reducer is a deterministic function of its events: it starts no goroutine,
// reads no clock and does no I/O. Time is the time since the process started.
// Results of effects come back as events. The slice that Reduce returns is
// valid until the next call.
package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

type (
	// RequestID names a caller's request; callers see it as Egretwall-Id.
	RequestID string
	// AttemptID names one try to run a request at one agent.
	AttemptID string
	// EntryID names an entry.
	EntryID string
	// Incarnation tells the runs of a process under the same name apart.
	Incarnation uint64
	// Epoch counts the connections between an entry and an agent.
	Epoch uint64
)

// Event is an input of a reducer.
type Event interface{ event() }

// Tick lets time-outs pass; the driver sends it every TickPeriod.
type Tick struct{}

// Drain asks the process to finish what is open and stop.
type Drain struct{}

// Read carries records of a stream of the log.
type Read struct {
	Stream recorder.Stream
	Batch  recorder.Batch
}

// Learned carries the accepted configuration of a peer.
type Learned struct{ Document *linkpb.Document }

// Listed carries the upstreams that the platform's list shows as live.
type Listed struct {
	Live map[configurator.UpstreamName]bool
}

// Appended reports on an append to the log. Err is nil when it took effect,
// and ambiguous otherwise.
type Appended struct {
	ID     string
	Offset recorder.Offset
	Err    error
}

// Request is what a caller asks for.
type Request struct {
	ID         RequestID
	Caller     configurator.CallerName
	Class      configurator.Class
	Early      bool // prefers an early refusal
	Model      configurator.ModelName
	Service    configurator.ServiceName
	Method     string
	Path       string
	Headers    []*linkpb.Header
	Body       []byte
	Key        string // idempotency key, empty without one
	Repeatable bool   // running twice is harmless
	Stream     bool   // the caller wants tokens as they come
	Length     int    // estimated prompt tokens
}

// Arrived carries a caller's request to an entry.
type Arrived struct{ Request Request }

// Gone tells that the caller closed its request.
type Gone struct{ ID RequestID }

// Consumed tells that the caller has taken the chunks below Next.
type Consumed struct {
	ID   RequestID
	Next uint64
}

// Linked tells an entry that a connection to an agent is open.
type Linked struct {
	Peer        configurator.UpstreamName
	Epoch       Epoch
	Incarnation Incarnation
}

// Unlinked tells an entry that a connection failed or could not be opened.
type Unlinked struct {
	Peer  configurator.UpstreamName
	Epoch Epoch
}

// Heard carries an agent's message to an entry.
type Heard struct {
	Peer  configurator.UpstreamName
	Epoch Epoch
	Down  *linkpb.Down
}

// Opened tells an agent that an entry has connected.
type Opened struct {
	Entry       EntryID
	Incarnation Incarnation
	Epoch       Epoch
	Version     configurator.Version
}

// Closed tells an agent that a connection of an entry is gone.
type Closed struct {
	Entry EntryID
	Epoch Epoch
}

// Told carries an entry's message to an agent.
type Told struct {
	Entry EntryID
	Epoch Epoch
	Up    *linkpb.Up
}

// Began tells an agent that the upstream has started to answer.
type Began struct {
	Attempt AttemptID
	Status  int
	Headers []*linkpb.Header
}

// Piece carries a part of an upstream's answer.
type Piece struct {
	Attempt AttemptID
	Data    []byte
	Text    string // the text in Data, if it is a part of a stream
	Tokens  int
}

// Finished tells that the upstream's answer has ended; Kind is None when it is
// whole. Ran is RanNo only when the upstream provably did not run the request.
type Finished struct {
	Attempt AttemptID
	Kind    classifier.Kind
	Ran     classifier.Ran
}

// Reported carries the engine's state, asked for at time Asked.
type Reported struct {
	Report reserver.Report
	Asked  time.Duration
	Err    error
}

// Outcome is what became of an order to an engine.
type Outcome string

// The outcomes of orders.
const (
	Taken   Outcome = "taken"   // the engine acknowledged it
	Refused Outcome = "refused" // the engine refused it
	Unsent  Outcome = "unsent"  // it never left the process
	Unknown Outcome = "unknown" // the answer was lost
)

// Ordered reports on an order.
type Ordered struct {
	Number  reserver.Number
	Outcome Outcome
	Highest reserver.Number // highest number the engine has seen, with Refused
}

// Looked carries what another runner holds, asked for before an unload.
type Looked struct {
	Upstream  configurator.UpstreamName
	Residents []configurator.ModelName
	Err       error
}

func (Tick) event()     {}
func (Drain) event()    {}
func (Read) event()     {}
func (Learned) event()  {}
func (Listed) event()   {}
func (Appended) event() {}
func (Arrived) event()  {}
func (Gone) event()     {}
func (Consumed) event() {}
func (Linked) event()   {}
func (Unlinked) event() {}
func (Heard) event()    {}
func (Opened) event()   {}
func (Closed) event()   {}
func (Told) event()     {}
func (Began) event()    {}
func (Piece) event()    {}
func (Finished) event() {}
func (Reported) event() {}
func (Ordered) event()  {}
func (Looked) event()   {}
