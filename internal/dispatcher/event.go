// Package dispatcher decides for one gateway which upstream runs which request,
// and which requests wait, are retried or are refused.
//
// Usage:
//
//	d := dispatcher.New(dispatcher.Config{Domain: "be-north-a", Seed: 7})
//	for _, effect := range d.Reduce(now, event) { run(effect) }
//
// A send is one forwarding of a request to an upstream; a request that is retried
// has several. A plain service has ordinary upstreams; the upstreams of other
// services are model runners. A steward is the process beside a runner that loads
// and unloads its models and reports its state.
//
// The dispatcher is a deterministic function of its events, like the reducers of
// package reducer: it has no clock, no I/O and no goroutines. Bodies of requests
// and answers don't pass through it. The slice that Reduce returns is valid until
// the next call.
package dispatcher

import (
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/estimator"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/tracker"
)

type (
	// RequestID identifies a request within one gateway.
	RequestID uint64
	// Try numbers the sends of one request from 1.
	Try int
)

// Event is an input of the dispatcher.
type Event interface{ event() }

// Tick checks timeouts and waiting requests; the driver sends it every TickPeriod.
type Tick struct{}

// Configured carries the configuration to apply.
type Configured struct{ Configuration *registrar.Configuration }

// KeysConfirmed says whether the keys in the configuration are known to be current.
type KeysConfirmed struct{ Confirmed bool }

// UpstreamsListed carries the live upstreams of all services.
type UpstreamsListed struct{ Upstreams []*registrar.Upstream }

// ListConfirmed says that the upstreams of the last UpstreamsListed are those of the list at a
// time or later.
type ListConfirmed struct{ At time.Duration }

// Reported carries the state of a runner as its steward sent it.
type Reported struct{ Report Report }

// Stopping says that this gateway shuts down. Requests that still wait at RefuseAt, and
// those that come later, are refused, so that their callers can retry at another gateway. Those
// without any part of an answer at EndAt are told that they may have run.
type Stopping struct{ RefuseAt, EndAt time.Duration }

// Arrived carries a request that has been read completely from its caller.
type Arrived struct{ Request Request }

// CallerDisconnected says that the caller closed its connection.
type CallerDisconnected struct{ ID RequestID }

// AnswerBegan says that the first part of a send's answer was written to the caller.
type AnswerBegan struct {
	ID      RequestID
	Try     Try
	Resumed bool // parts of an earlier send's answer were written before
}

// SendStalled says that an upstream has sent no part of its answer for the
// FirstTimeout or GapTimeout of the Send. It is repeated after each further
// GapTimeout.
type SendStalled struct {
	ID  RequestID
	Try Try
}

// SendEnded reports how a send ended.
type SendEnded struct {
	ID           RequestID
	Try          Try
	Outcome      Outcome
	Cause        string        // error text for the log
	Events       int           // numbered events of the answer that reached the caller
	LongestPause time.Duration // between two parts of a stream
}

// UpstreamNotice carries what an upstream's response says of new requests: that it wants
// none, for a while or for good, or how many.
type UpstreamNotice struct {
	Request     RequestID // of the Send
	Upstream    registrar.UpstreamID
	Incarnation int64         // of the Send
	Address     string        // of the Send
	Other       bool          // another instance than that of the Send answered at its address; its incarnation is unknown
	Leaving     bool          // the upstream is shutting down
	Pause       time.Duration // how long it wants no requests from this gateway, zero if it does not say
	Limit       float64       // requests per second that it takes from all gateways together, zero if it does not say
	Unlimited   bool          // it answered the request and named no limit
}

// LimitsReported carries the limits of upstreams that a steward knows.
type LimitsReported struct{ Limits []limiter.Limit }

// PermitsIssued carries a steward's answer to RequestPermits.
type PermitsIssued struct{ Permits limiter.Permits }

// StreamFound says which release began a stream, in answer to FindStream.
type StreamFound struct{ Origin tracker.Origin }

// StreamUnknown says that a steward does not know a stream, in answer to FindStream.
type StreamUnknown struct{ Absence tracker.Absence }

// StreamsRead carries the origins of streams that have been read from the store, in answer to
// ReadStreams. With those of earlier events they are all that it had at a time or later.
type StreamsRead struct {
	At      time.Duration
	Origins []tracker.Origin
}

// UpstreamProbed says whether an upstream refuses connections, in answer to ProbeUpstream.
type UpstreamProbed struct {
	Upstream    registrar.UpstreamID
	Incarnation int64
	Refused     bool
}

// VerdictsReported carries verdicts on requests that crash upstreams, as a steward or the
// platform's store knows them.
type VerdictsReported struct{ Verdicts []isolator.Verdict }

// Outcome is how a send to an upstream ended.
type Outcome string

// The outcomes of sends, as they appear in the log.
const (
	Completed         Outcome = "whole"    // the complete answer was written to the caller
	Failed            Outcome = "failed"   // the upstream ran the request and answered with a 5xx status, which is kept
	NotRun            Outcome = "notrun"   // the upstream answered that it did not run the request
	WrongInstance     Outcome = "moved"    // another instance has the address and did not run the request
	ModelMissing      Outcome = "missing"  // the upstream did not run the request since it lacks the model or adapter
	Unsent            Outcome = "unsent"   // nothing was written to the upstream
	Withheld          Outcome = "withheld" // nothing was written, since the upstream asked for no new requests
	ConnectionRefused Outcome = "absent"   // nothing listens at the upstream's address; nothing was written
	Unknown           Outcome = "unknown"  // the request was sent and no usable answer came
	Interrupted       Outcome = "broken"   // the answer ended after a part of it had reached the caller
	CallerClosed      Outcome = "closed"   // the caller closed its connection
)

// Request is a caller's request without its body.
type Request struct {
	ID           RequestID
	AttemptID    string // as the caller sent it
	Route        *registrar.Route
	Service      registrar.ServiceName
	Model        registrar.ModelName
	Adapter      registrar.AdapterName
	PromptTokens registrar.Tokens     // length of the prompt
	OutputTokens registrar.Tokens     // expected length of the answer
	Workspace    *registrar.Workspace // of the caller, nil without workspaces or a key
	Key          registrar.KeyDigest  // that identified the workspace
	Deadline     time.Duration        // when the caller stops waiting, on the clock of Reduce
	Resumed      bool                 // the caller has received events of the stream
	Resumes      string               // attempt that brought the first of them, empty if it is unknown
	Traits       []isolator.Trait     // the most specific first
	Size         budgeter.Bytes       // of the body
}

// Priority returns the priority of the caller's workspace or, if it has none, of the route.
// 0 is the most urgent.
func (r *Request) Priority() int {
	if r.Workspace != nil && r.Workspace.Priority != nil {
		return *r.Workspace.Priority
	}
	return r.Route.Priority
}

// Report is the state of a model runner. Its steward sends it to the gateways and
// to the other stewards of the service, with the numbers of the cbor tags for names. A
// number is never used again for another field.
type Report struct {
	Address        string                    `json:"address" cbor:"1,keyasint"`
	Incarnation    int64                     `json:"born" cbor:"2,keyasint"`                          // Unix milliseconds of the runner's start
	Sequence       int64                     `json:"sequence,omitempty" cbor:"3,keyasint,omitempty"`  // load and unload orders accepted since the start
	Partial        bool                      `json:"partial,omitempty" cbor:"4,keyasint,omitempty"`   // Residents is omitted because it has not changed since the last report
	Residents      []registrar.ResidentModel `json:"holdings,omitempty" cbor:"5,keyasint,omitempty"`  // models in memory, without one that is about to be unloaded
	Loading        registrar.ModelName       `json:"loading,omitempty" cbor:"6,keyasint,omitempty"`   // model being loaded, empty without one
	LoadRemaining  time.Duration             `json:"ready,omitempty" cbor:"7,keyasint,omitempty"`     // time until Loading is loaded
	Running        int                       `json:"running,omitempty" cbor:"8,keyasint,omitempty"`   // requests that have a slot
	Waiting        int                       `json:"waiting,omitempty" cbor:"9,keyasint,omitempty"`   // requests in the runner's own queue
	KVUsed         registrar.Tokens          `json:"used,omitempty" cbor:"10,keyasint,omitempty"`     // KV cache that can't be evicted
	KVTotal        registrar.Tokens          `json:"total,omitempty" cbor:"11,keyasint,omitempty"`    // size of the KV cache
	Draining       bool                      `json:"draining,omitempty" cbor:"12,keyasint,omitempty"` // the runner is shutting down
	Busy           bool                      `json:"busy,omitempty" cbor:"13,keyasint,omitempty"`     // an order for a model is under way; the runner accepts no other
	Unreachable    bool                      `json:"lost,omitempty" cbor:"14,keyasint,omitempty"`     // the runner does not answer its steward
	Gateways       int                       `json:"gateways,omitempty" cbor:"15,keyasint,omitempty"` // gateways that the steward has heard from lately
	LoadQueued     bool                      `json:"claimed,omitempty" cbor:"16,keyasint,omitempty"`  // the load of Loading is announced but waits for the weight store's rate limit
	SinceStoreLoad time.Duration             `json:"stored,omitempty" cbor:"17,keyasint"`             // time since the last load from the weight store began, negative before the first
	Slowness       estimator.Percent         `json:"slowness,omitempty" cbor:"18,keyasint,omitempty"` // time that the runner takes for a token, of that of others; zero if it is unknown
	StartRate      float64                   `json:"starts,omitempty" cbor:"19,keyasint,omitempty"`   // answers that the runner begins per second while requests wait for it, zero if it is unknown
}

func (Tick) event()               {}
func (Configured) event()         {}
func (KeysConfirmed) event()      {}
func (Stopping) event()           {}
func (UpstreamsListed) event()    {}
func (ListConfirmed) event()      {}
func (Reported) event()           {}
func (Arrived) event()            {}
func (CallerDisconnected) event() {}
func (AnswerBegan) event()        {}
func (SendStalled) event()        {}
func (SendEnded) event()          {}
func (UpstreamNotice) event()     {}
func (LimitsReported) event()     {}
func (PermitsIssued) event()      {}
func (StreamFound) event()        {}
func (StreamUnknown) event()      {}
func (StreamsRead) event()        {}
func (VerdictsReported) event()   {}
func (UpstreamProbed) event()     {}

// Effect is an output of the dispatcher, which the driver carries out.
type Effect interface{ effect() }

// Send forwards a request to an upstream; SendEnded reports its end.
type Send struct {
	ID           RequestID
	Try          Try
	Upstream     registrar.UpstreamID
	Incarnation  int64 // of the upstream
	Address      string
	At           time.Duration // when it was decided, on the clock of Reduce
	Timeout      time.Duration // time left then for the complete answer
	Priority     int           // 0 is admitted first
	FirstTimeout time.Duration // longest wait for the first part of the answer before SendStalled, zero for no limit
	GapTimeout   time.Duration // the same between two parts of the answer
}

// Failover cancels the send under way, so that the request can be retried at
// another upstream after SendEnded.
type Failover struct{ ID RequestID }

// Fail ends a request with the gateway's own error answer.
type Fail struct {
	ID         RequestID
	Kind       classifier.Kind
	RetryAfter time.Duration // zero for the default of the kind
}

// RelayFailure ends a request with the kept 5xx answer of an upstream.
type RelayFailure struct{ ID RequestID }

// Abort cancels the send under way. The caller's connection is closed if a part of
// the answer has reached it.
type Abort struct {
	ID   RequestID
	Kind classifier.Kind
}

// ReadList asks for a read of the list of upstreams now; ListConfirmed follows.
type ReadList struct{}

// LoadAdapter asks a runner's steward to load an adapter of a model that the runner
// holds.
type LoadAdapter struct {
	Address string // of the runner
	Adapter registrar.AdapterID
}

// RequestPermits asks a steward for permits to send requests to an upstream with a limit,
// or announces the limit.
type RequestPermits struct {
	Address string // of the steward's runner
	Request limiter.Request
}

// ProbeUpstream asks whether an upstream still listens; UpstreamProbed is the answer.
type ProbeUpstream struct {
	Upstream    registrar.UpstreamID
	Incarnation int64
	Address     string
}

// RecordStream tells stewards which release began a stream.
type RecordStream struct {
	Addresses []string // of the stewards' runners
	Origin    tracker.Origin
}

// SaveStream writes to the store which release began a stream, since no steward reports.
type SaveStream struct{ Origin tracker.Origin }

// FindStream asks stewards which release began a stream and, if that is not known, which
// releases of a service may have.
type FindStream struct {
	Addresses []string // of the stewards' runners
	Service   registrar.ServiceName
	Stream    tracker.StreamID
}

// ReadStreams asks for a read of the origins of streams in the store; StreamsRead follows.
type ReadStreams struct{}

// ReportCrash tells stewards what this gateway saw of the crash of an upstream.
type ReportCrash struct {
	Addresses []string // of the stewards' runners
	Crash     isolator.Crash
}

// Events of a Log with fields of their own.
const (
	UpstreamCrashed = "upstream crashed" // has Analysts
	BeyondQuota     = "beyond quota"     // has the fields from Workspace to OwnPart
)

// Log writes a line to the log.
type Log struct {
	Event        string
	AttemptID    string
	Model        string // "model" or "model/adapter", empty for plain services
	Upstream     registrar.UpstreamID
	Kind         classifier.Kind // of the error answer, empty without one
	Cause        string
	ReportAge    time.Duration // age of the upstream's last report, zero without one
	Try          Try
	Waiting      int           // requests waiting at this gateway
	TimeToSend   time.Duration // from the request's arrival to its last send
	Elapsed      time.Duration // from its arrival to now
	StartDelay   time.Duration // from the last send to the beginning of its answer
	LongestPause time.Duration // between two parts of the stream
	Pace         time.Duration // mean time between the events of the answer, zero if it has too few
	Pause        time.Duration // how long the upstream wants no requests, zero if it does not say
	Release      registrar.Release
	Resumes      string           // attempt that began the stream that the request resumes, empty without one
	Limit        float64          // requests per second that the upstream takes from all gateways together, zero if it does not say
	Analysts     int              // stewards that a crash is reported to
	Traits       []isolator.Trait // of a request whose send was broken off, or the one that is isolated
	LeftOut      int              // traits that are not reported, since the crash has too many
	Workspace    registrar.WorkspaceName
	Cost         float64       // of the request
	Balance      float64       // of the workspace at this gateway
	BalanceAge   time.Duration // since the issuer answered
	RetryAfter   time.Duration
	Refusals     int                     // of the workspace since the last line about it, this one included
	OwnPart      bool                    // no issuer counts this gateway, which uses its own part of the quota
	YieldedTo    registrar.WorkspaceName // whose share went before the request's, empty without one
	Bytes        budgeter.Bytes          // of request bodies that upstreams of the service may hold for this gateway
}

func (Send) effect()           {}
func (Fail) effect()           {}
func (RelayFailure) effect()   {}
func (Abort) effect()          {}
func (Failover) effect()       {}
func (LoadAdapter) effect()    {}
func (ReadList) effect()       {}
func (RequestPermits) effect() {}
func (RecordStream) effect()   {}
func (SaveStream) effect()     {}
func (FindStream) effect()     {}
func (ReadStreams) effect()    {}
func (ReportCrash) effect()    {}
func (ProbeUpstream) effect()  {}
func (Log) effect()            {}
