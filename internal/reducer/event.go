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

// RecordsRead carries records of a stream of the log.
type RecordsRead struct {
	Stream recorder.Stream
	Batch  recorder.Batch
}

// ConfigurationReceived carries the accepted configuration of a peer.
type ConfigurationReceived struct{ Document *linkpb.Document }

// UpstreamsListed carries the upstreams that the platform's list shows as live.
type UpstreamsListed struct {
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
	ID           RequestID
	Caller       configurator.CallerName
	Class        configurator.Class
	FailFast     bool // prefers an early refusal
	Model        configurator.ModelName
	Service      configurator.ServiceName
	Method       string
	Path         string
	Headers      []*linkpb.Header
	Body         []byte
	Key          string // idempotency key, empty without one
	Repeatable   bool   // running twice is harmless
	Stream       bool   // the caller wants tokens as they come
	PromptTokens int    // estimated prompt tokens
}

// RequestArrived carries a caller's request to an entry.
type RequestArrived struct{ Request Request }

// CallerGone tells that the caller closed its request.
type CallerGone struct{ ID RequestID }

// BodyConsumed tells that the caller has taken the chunks below Next.
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

// AgentDisconnected tells an entry that a connection failed or could not be opened.
type AgentDisconnected struct {
	Peer  configurator.UpstreamName
	Epoch Epoch
}

// MessageFromAgent carries an agent's message to an entry.
type MessageFromAgent struct {
	Peer    configurator.UpstreamName
	Epoch   Epoch
	Message *linkpb.Down
}

// EntryConnected tells an agent that an entry has connected.
type EntryConnected struct {
	Entry       EntryID
	Incarnation Incarnation
	Epoch       Epoch
	Version     configurator.Version
}

// EntryDisconnected tells an agent that a connection of an entry is gone.
type EntryDisconnected struct {
	Entry EntryID
	Epoch Epoch
}

// MessageFromEntry carries an entry's message to an agent.
type MessageFromEntry struct {
	Entry   EntryID
	Epoch   Epoch
	Message *linkpb.Up
}

// ResponseStarted tells an agent that the upstream has started to answer.
type ResponseStarted struct {
	Attempt AttemptID
	Status  int
	Headers []*linkpb.Header
}

// ResponseChunk carries a part of an upstream's answer.
type ResponseChunk struct {
	Attempt AttemptID
	Data    []byte
	Text    string // the text in Data, if it is a part of a stream
	Tokens  int
}

// ResponseFinished tells that the upstream's answer has ended; Kind is None when it is
// whole. Ran is RanNo only when the upstream provably did not run the request.
type ResponseFinished struct {
	Attempt AttemptID
	Kind    classifier.Kind
	Ran     classifier.Ran
}

// EngineReported carries the engine's state, asked for at time Asked.
type EngineReported struct {
	Report      reserver.EngineReport
	RequestedAt time.Duration
	Err         error
}

// OrderOutcome is what became of an order to an engine.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderAccepted OrderOutcome = "taken"   // the engine acknowledged it
	OrderRefused  OrderOutcome = "refused" // the engine refused it
	OrderUnsent   OrderOutcome = "unsent"  // it never left the process
	OrderUnknown  OrderOutcome = "unknown" // the answer was lost
)

// OrderCompleted reports on an order.
type OrderCompleted struct {
	Number      reserver.OrderNumber
	Outcome     OrderOutcome
	HighestSeen reserver.OrderNumber // highest number the engine has seen, with Refused
}

// ResidentsReceived carries what another runner holds, asked for before an unload.
type ResidentsReceived struct {
	Upstream  configurator.UpstreamName
	Residents []configurator.ModelName
	Err       error
}

func (Tick) event()                  {}
func (Drain) event()                 {}
func (RecordsRead) event()           {}
func (ConfigurationReceived) event() {}
func (UpstreamsListed) event()       {}
func (Appended) event()              {}
func (RequestArrived) event()        {}
func (CallerGone) event()            {}
func (BodyConsumed) event()          {}
func (AgentConnected) event()        {}
func (AgentDisconnected) event()     {}
func (MessageFromAgent) event()      {}
func (EntryConnected) event()        {}
func (EntryDisconnected) event()     {}
func (MessageFromEntry) event()      {}
func (ResponseStarted) event()       {}
func (ResponseChunk) event()         {}
func (ResponseFinished) event()      {}
func (EngineReported) event()        {}
func (OrderCompleted) event()        {}
func (ResidentsReceived) event()     {}
