// Package relayer is the reverse proxy of a gateway: it forwards the requests of
// callers to upstreams and returns their responses.
//
// Usage:
//
//	g := relayer.New(relayer.Config{HeaderCodec: codec, Dispatcher: d, Logger: logger})
//	err := g.Serve(listener)
//	g.Drain()
//
// Callers are served by the server of net/http, which cancels the context of a
// request when its caller closes the connection; fasthttp doesn't notice that
// while the handler waits for a response. Requests to upstreams don't use the
// client of net/http, because a send must write its request only once and a late
// response must not be returned for another request. A Dispatcher decides which
// upstream gets a request; the relayer carries out its effects.
package relayer

import (
	"net/http"
	"time"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// RequestInfo is the content of the headers of a caller's request.
type RequestInfo struct {
	AttemptID    string        // as the caller sent it
	Timeout      time.Duration // how long the caller waits for the response, zero if unknown
	Model        registrar.ModelName
	Adapter      registrar.AdapterName
	PromptTokens registrar.Tokens    // length of the prompt
	OutputTokens registrar.Tokens    // expected length of the response
	LastEventID  int64               // id of the last event that the caller has received, negative without one
	SharedParts  []registrar.PartID  // of the prompt in their order, without its last part, which belongs to this request or its session
	Key          registrar.KeyDigest // of the caller's workspace, zero without exactly one
	Resumes      string              // attempt that brought the first event of the stream that the request resumes, empty without one
}

// ResponseInfo is the content of the headers of an upstream's response.
type ResponseInfo struct {
	AttemptID string // attempt that it responds to, empty if unknown
	Ambiguous bool   // it names several attempts
	HasSeal   bool   // it carries the seal, which proves that the upstream's application made it
	NotRun    bool   // the upstream did not run the request and never will
	// Upstream is the instance that responded, empty if unknown.
	Upstream registrar.UpstreamID
	// Leaving says that the upstream is shutting down and must get no new requests.
	Leaving bool
	// RequestLimit is the number of requests per second that the upstream takes from all
	// gateways together, zero without a limit.
	RequestLimit float64
	// RetryAfter of a response with status 503 is how long the upstream wants no requests
	// from this gateway, zero if it does not say.
	RetryAfter time.Duration
}

// ForwardInfo is the content of the headers that the gateway sets on a request to
// an upstream.
type ForwardInfo struct {
	Timeout     time.Duration           // time left for the complete response
	Upstream    registrar.UpstreamID    // the only instance that may run the request
	Priority    int                     // 0 is admitted first
	LastEventID int64                   // id of the last event that the caller has received, negative without one
	Workspace   registrar.WorkspaceName // of the caller, empty without one
}

// HeaderCodec translates between HTTP headers and RequestInfo, ResponseInfo and
// ForwardInfo.
type HeaderCodec interface {
	// ParseRequest reads the headers of a caller's request. With an error, it
	// returns the fields that it has read.
	ParseRequest(h http.Header) (RequestInfo, error)
	// Reserved reports whether a request header is removed from callers' requests
	// because only the gateway may set it. The name is in canonical form.
	Reserved(name string) bool
	// Identifies reports whether a request header carries the caller's key or names its
	// workspace, so that it is removed if the configuration has workspaces. The name is in
	// canonical form.
	Identifies(name string) bool
	// SetForwardHeaders sets the gateway's headers of a request to an upstream; h
	// holds the headers that are forwarded from the caller.
	SetForwardHeaders(h http.Header, info ForwardInfo)
	// ParseResponse reads the headers of an upstream's response.
	ParseResponse(h http.Header) ResponseInfo
	// SetErrorHeaders sets the headers of an error response of the gateway itself.
	// The attempt id is empty if the request has none.
	SetErrorHeaders(h http.Header, attemptID string)
}

// Dispatcher turns events into effects. Effects of a request are put into the
// mailbox that Submit was called with.
type Dispatcher interface {
	// Configuration returns the configuration in force, nil before the first.
	Configuration() *registrar.Configuration
	// KeysConfirmed reports whether the keys in the configuration are known to be current.
	// If not, a key may be unknown only here.
	KeysConfirmed() bool
	// ConfigurationAge returns how long ago the configuration in force was known to be the
	// newest one, negative if it never was.
	ConfigurationAge() time.Duration
	// MayLag reports whether a newer configuration may have to be in force, so that what is
	// unknown here may be known elsewhere.
	MayLag() bool
	// Outdated reports whether a newer configuration should be in force by now, so that the one
	// in force allows nothing any more.
	Outdated() bool
	// Overloaded reports whether there is too little processor time for a further request.
	Overloaded() bool
	// ProcessorDelay returns for how long each step of any work waits for the processor now.
	ProcessorDelay() time.Duration
	// Submit reports a request that has been read completely; its effects go to
	// mailbox. Submit sets the ID and the Service of the request and returns the ID.
	Submit(req dispatcher.Request, mailbox *Mailbox) dispatcher.RequestID
	// Sendable reports whether the upstream of a Send may still get the request. It is
	// asked when a connection is open, just before the request is written.
	Sendable(id dispatcher.RequestID, try dispatcher.Try) bool
	// Now returns the time since the process started.
	Now() time.Duration
	// Reduce applies an event and delivers its effects.
	Reduce(e dispatcher.Event)
}
