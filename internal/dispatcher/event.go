// Package dispatcher decides for one gateway which upstream runs which request,
// and which requests wait, are tried again or are refused.
//
// Usage:
//
//	d := dispatcher.New(dispatcher.Config{Domain: "be-north-a", Seed: 7})
//	for _, effect := range d.Reduce(now, event) { run(effect) }
//
// It is a deterministic function of its events, as the reducers of package
// reducer are: no clock, no I/O, no goroutines. Bytes of answers don't pass
// through it. The slice that Reduce returns is valid until the next call.
package dispatcher

import (
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

type (
	// RequestID numbers the requests of one gateway.
	RequestID uint64
	// Try numbers the sends of one request.
	Try int
)

// Event is an input of the dispatcher.
type Event interface{ event() }

// Tick lets time-outs pass; the driver sends it every TickPeriod.
type Tick struct{}

// Configured carries a newer configuration.
type Configured struct{ Configuration *registrar.Configuration }

// UpstreamsListed carries the live upstreams of all services.
type UpstreamsListed struct{ Upstreams []*registrar.Upstream }

// Reported carries what the steward beside an upstream says of it.
type Reported struct{ Report Report }

// Stopping tells that this gateway ends. What still waits at End is refused, so
// that its caller can go to another gateway.
type Stopping struct{ RefuseAt time.Duration }

// Arrived carries a request that has been read from its caller.
type Arrived struct{ Request Request }

// CallerDisconnected tells that the caller closed its connection.
type CallerDisconnected struct{ ID RequestID }

// AnswerBegan tells that the first part of an upstream's answer reached the caller.
type AnswerBegan struct {
	ID  RequestID
	Try Try
}

// SendStalled tells that nothing of an upstream's answer has come for as long as its
// Send allows.
type SendStalled struct {
	ID  RequestID
	Try Try
}

// SendEnded tells how a send ended.
type SendEnded struct {
	ID      RequestID
	Try     Try
	Outcome Outcome
	Cause   string // for the log
}

// Outcome is how a send to an upstream ended.
type Outcome string

// The outcomes of sends.
const (
	Completed         Outcome = "whole"   // the caller has the whole answer
	Failed            Outcome = "failed"  // the upstream ran it and answered with a failure, which is kept
	NotRun            Outcome = "notrun"  // the upstream says that it did not run it
	WrongInstance     Outcome = "moved"   // another instance has the address; it did not run it
	ModelMissing      Outcome = "missing" // the upstream doesn't hold the model or adapter
	Unsent            Outcome = "unsent"  // it never left the process
	ConnectionRefused Outcome = "absent"  // nothing listens at the upstream's address
	Unknown           Outcome = "unknown" // it was sent and no usable answer came
	Interrupted       Outcome = "broken"  // a part of the answer has reached the caller
	CallerClosed      Outcome = "closed"  // the caller closed its connection
)

// Request is what a caller asks for.
type Request struct {
	ID           RequestID
	AttemptID    string // the caller's id of the attempt
	Route        *registrar.Route
	Service      registrar.ServiceName
	Model        registrar.ModelName
	Adapter      registrar.AdapterName
	PromptTokens registrar.Tokens
	OutputTokens registrar.Tokens
	Deadline     time.Duration // when the caller stops waiting
}

// Report is the state of a model runner.
type Report struct {
	Address        string                    `json:"address"`
	Incarnation    int64                     `json:"born"`
	Sequence       int64                     `json:"sequence,omitempty"` // orders accepted
	Partial        bool                      `json:"partial,omitempty"`  // Holdings are left out since they are as in the last report
	Residents      []registrar.ResidentModel `json:"holdings,omitempty"`
	Loading        registrar.ModelName       `json:"loading,omitempty"` // under way, empty when none is
	LoadRemaining  time.Duration             `json:"ready,omitempty"`   // until Loading has finished
	Running        int                       `json:"running,omitempty"`
	Waiting        int                       `json:"waiting,omitempty"`
	KVUsed         registrar.Tokens          `json:"used,omitempty"` // KV memory that can't yield
	KVTotal        registrar.Tokens          `json:"total,omitempty"`
	Draining       bool                      `json:"draining,omitempty"`
	Busy           bool                      `json:"busy,omitempty"`     // it takes no orders now
	Unreachable    bool                      `json:"lost,omitempty"`     // it does not answer its steward
	Gateways       int                       `json:"gateways,omitempty"` // gateways that the steward hears
	LoadQueued     bool                      `json:"claimed,omitempty"`  // Loading waits for its turn at the weight store
	SinceStoreLoad time.Duration             `json:"stored,omitempty"`   // since the last load from the weight store began, negative before the first
}

func (Tick) event()               {}
func (Configured) event()         {}
func (Stopping) event()           {}
func (UpstreamsListed) event()    {}
func (Reported) event()           {}
func (Arrived) event()            {}
func (CallerDisconnected) event() {}
func (AnswerBegan) event()        {}
func (SendStalled) event()        {}
func (SendEnded) event()          {}

// Effect is an output of the dispatcher, which its driver carries out.
type Effect interface{ effect() }

// Send hands a request to an upstream; Returned answers it.
type Send struct {
	ID           RequestID
	Try          Try
	Upstream     registrar.UpstreamID
	Address      string
	Timeout      time.Duration // time left for the answer
	Priority     int           // 0 is admitted first
	FirstTimeout time.Duration // without an answer's beginning for so long it is Stalled, never when zero
	GapTimeout   time.Duration // the same between two parts of the answer
}

// Failover stops the send under way, so that another upstream may go on.
type Failover struct{ ID RequestID }

// Fail ends a request without an upstream's answer.
type Fail struct {
	ID         RequestID
	Kind       classifier.Kind
	RetryAfter time.Duration
}

// RelayFailure ends a request with the failure that an upstream answered.
type RelayFailure struct{ ID RequestID }

// Abort stops the send under way; the caller's connection is closed when a
// part of the answer has reached it.
type Abort struct {
	ID   RequestID
	Kind classifier.Kind
}

// LoadAdapter asks a runner's steward for an adapter of a model that it holds.
type LoadAdapter struct {
	Address string // of the runner
	Adapter registrar.AdapterID
}

// Log is a line for the log.
type Log struct {
	Event      string
	AttemptID  string
	Model      string // with its adapter, empty for plain services
	Upstream   registrar.UpstreamID
	Kind       classifier.Kind
	Cause      string
	ReportAge  time.Duration // of the report that decided, zero when none did
	Try        Try
	Waiting    int           // requests that wait here
	TimeToSend time.Duration // between the request's arrival and its last send
	Elapsed    time.Duration // between its arrival and now
}

func (Send) effect()         {}
func (Fail) effect()         {}
func (RelayFailure) effect() {}
func (Abort) effect()        {}
func (Failover) effect()     {}
func (LoadAdapter) effect()  {}
func (Log) effect()          {}
