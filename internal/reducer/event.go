// Package reducer implements entries and agents as deterministic state machines.
//
// An entry accepts callers' requests and sends each as one or more attempts to
// agents. An agent runs beside one upstream, queues attempts for it and, if the
// upstream is a model runner, decides what its engine loads and unloads.
//
// Usage:
//
//	entry := reducer.NewEntry(cfg)
//	for _, effect := range entry.Reduce(now, event) { run(effect) }
//
// A reducer turns events into effects. It starts no goroutine, reads no clock and
// does no I/O; the result of an effect comes back as an event. Times are counted
// from the start of the process. The slice that Reduce returns is valid until the
// next call.
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
	// RequestID identifies a caller's request; it is sent to the caller in the
	// Egretwall-Id header.
	RequestID string
	// AttemptID identifies one try to run a request at one agent. It consists of
	// the request's id, a dot and a serial number.
	AttemptID string
	// EntryID identifies an entry and is kept across restarts.
	EntryID string
	// Incarnation distinguishes the runs of a process under the same name.
	Incarnation uint64
	// Epoch numbers the connections between an entry and an agent, ascending.
	Epoch uint64
)

// Event is an input of a reducer.
type Event interface{ event() }

// Tick makes the reducer act on timeouts; it comes every TickPeriod.
type Tick struct{}

// Drain makes the process refuse new work, finish what is open and stop.
type Drain struct{}

// RecordsRead carries the next records of a stream of the log.
type RecordsRead struct {
	Stream recorder.Stream
	Batch  recorder.Batch
}

// ConfigurationConfirmed reports that all records that the log had at a time, on the clock of
// Reduce, have been passed on.
type ConfigurationConfirmed struct{ At time.Duration }

// ConfigurationReceived carries a configuration fetched from another process.
type ConfigurationReceived struct{ Document *linkpb.Document }

// UpstreamsListed carries the upstreams that the platform's list of instances
// shows as live.
type UpstreamsListed struct {
	Live map[configurator.UpstreamName]bool // nil leaves the last list in force
}

// Appended reports the result of an Append. The record is in the log if Err is
// nil, and may or may not be otherwise.
type Appended struct {
	ID     string // of the record
	Offset recorder.Offset
	Err    error
}

// Request is an authenticated request of a caller, for a model or a service.
type Request struct {
	ID           RequestID
	Caller       configurator.CallerName
	Class        configurator.Class
	FailFast     bool                     // prefers an early refusal to a late response
	Model        configurator.ModelName   // model or adapter, empty for a service
	Service      configurator.ServiceName // empty for a model
	Method       string
	Path         string
	Headers      []*linkpb.Header
	Body         []byte
	Key          string // idempotency key, empty if there is none
	Repeatable   bool   // running twice is harmless
	Stream       bool   // the caller reads tokens as they are generated
	PromptTokens int    // estimated prompt tokens
}

// RequestArrived gives a new request to an entry.
type RequestArrived struct{ Request Request }

// CallerGone tells an entry that the caller has closed its connection.
type CallerGone struct{ ID RequestID }

// BodyConsumed tells an entry that the caller has taken all parts of the body up
// to the WriteBody with the same Next.
type BodyConsumed struct {
	ID   RequestID
	Next uint64
}

// AgentConnected tells an entry that a connection to an agent is open.
type AgentConnected struct {
	Peer        configurator.UpstreamName
	Epoch       Epoch
	Incarnation Incarnation
}

// AgentDisconnected tells an entry that a connection to an agent was lost or
// could not be opened.
type AgentDisconnected struct {
	Peer  configurator.UpstreamName
	Epoch Epoch
}

// MessageFromAgent carries a message that an entry received from an agent.
type MessageFromAgent struct {
	Peer    configurator.UpstreamName
	Epoch   Epoch
	Message *linkpb.Down
}

// EntryConnected tells an agent that a connection from an entry is open.
type EntryConnected struct {
	Entry       EntryID
	Incarnation Incarnation
	Epoch       Epoch
	Version     configurator.Version // configuration in force at the entry
}

// EntryDisconnected tells an agent that a connection from an entry was lost or
// closed.
type EntryDisconnected struct {
	Entry EntryID
	Epoch Epoch
}

// MessageFromEntry carries a message that an agent received from an entry.
type MessageFromEntry struct {
	Entry   EntryID
	Epoch   Epoch
	Message *linkpb.Up
}

// ResponseStarted carries the status and headers of an upstream's response.
type ResponseStarted struct {
	Attempt AttemptID
	Status  int
	Headers []*linkpb.Header
}

// ResponseChunk carries a part of an upstream's response body.
type ResponseChunk struct {
	Attempt AttemptID
	Data    []byte
	Text    string // generated text in Data, if the response is a stream of tokens
	Tokens  int    // generated tokens in Data
}

// ResponseFinished ends an upstream's response. Kind is None if it is complete. Ran
// is RanNo only if the upstream certainly did not run the request.
type ResponseFinished struct {
	Attempt AttemptID
	Kind    classifier.Kind
	Ran     classifier.Ran
}

// EngineReported carries the engine's report of its state, or the error of the query.
type EngineReported struct {
	Report      reserver.EngineReport
	RequestedAt time.Duration // when the report was asked for
	Err         error
}

// OrderOutcome is the result of an order as far as the agent knows it.
type OrderOutcome string

// Outcomes of orders.
const (
	OrderAccepted OrderOutcome = "taken"   // acknowledged by the engine
	OrderRefused  OrderOutcome = "refused" // refused by the engine
	OrderUnsent   OrderOutcome = "unsent"  // never left the process
	OrderUnknown  OrderOutcome = "unknown" // sent, but the engine's response was lost
)

// OrderCompleted reports the result of an Order.
type OrderCompleted struct {
	Number      reserver.OrderNumber
	Outcome     OrderOutcome
	HighestSeen reserver.OrderNumber // highest number that the engine has seen, with OrderRefused
}

// ResidentsReceived carries the result of a QueryResidents. Before an agent
// unloads a copy, it checks that another runner holds the model.
type ResidentsReceived struct {
	Upstream  configurator.UpstreamName
	Residents []configurator.ModelName
	Err       error
}

func (Tick) event()                   {}
func (Drain) event()                  {}
func (RecordsRead) event()            {}
func (ConfigurationConfirmed) event() {}
func (ConfigurationReceived) event()  {}
func (UpstreamsListed) event()        {}
func (Appended) event()               {}
func (RequestArrived) event()         {}
func (CallerGone) event()             {}
func (BodyConsumed) event()           {}
func (AgentConnected) event()         {}
func (AgentDisconnected) event()      {}
func (MessageFromAgent) event()       {}
func (EntryConnected) event()         {}
func (EntryDisconnected) event()      {}
func (MessageFromEntry) event()       {}
func (ResponseStarted) event()        {}
func (ResponseChunk) event()          {}
func (ResponseFinished) event()       {}
func (EngineReported) event()         {}
func (OrderCompleted) event()         {}
func (ResidentsReceived) event()      {}
