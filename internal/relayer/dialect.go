// Package relayer moves requests and answers between callers and upstreams.
//
// Usage:
//
//	g := relayer.New(relayer.Config{Dialect: dialect, Decider: decider, Logger: log})
//	err := g.Serve(listener)
//	g.Drain()
//
// It serves callers with the server of net/http, whose requests end when their
// caller closes the connection; fasthttp doesn't notice that while an answer is
// awaited. Connections to upstreams are its own, since a request may be written
// only once and a late answer must not reach another request. What runs where
// is decided elsewhere; the relayer carries the effects out.
package relayer

import (
	"net/http"
	"time"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/registrar"
)

// RequestInfo is what the headers of a caller's request say.
type RequestInfo struct {
	AttemptID    string        // the caller's id of the attempt
	Timeout      time.Duration // how long the caller waits, zero when it doesn't say
	Model        registrar.ModelName
	Adapter      registrar.AdapterName
	PromptTokens registrar.Tokens
	OutputTokens registrar.Tokens
	LastEventID  int64 // id of the last event that the caller has, negative without one
}

// ResponseInfo is what the headers of an upstream's answer say.
type ResponseInfo struct {
	AttemptID       string // id of the attempt that it answers, empty when it doesn't say
	FromApplication bool   // it bears the receipt of the upstream's application
	NotRun          bool   // the upstream did not run the request and never will
	// Upstream is the instance that answered, empty when it doesn't say.
	Upstream registrar.UpstreamID
}

// ForwardInfo is what the system adds to a request that it sends on.
type ForwardInfo struct {
	Timeout     time.Duration
	Upstream    registrar.UpstreamID
	Priority    int
	LastEventID int64 // id of the last event that the caller has, negative for none
}

// HeaderCodec translates between the headers on the wire and these types.
type HeaderCodec interface {
	// ParseRequest reads a caller's headers.
	ParseRequest(h http.Header) (RequestInfo, error)
	// Reserved tells whether only the system may set a header of requests.
	Reserved(name string) bool
	// SetForwardHeaders sets the system's headers; h holds the caller's other headers.
	SetForwardHeaders(h http.Header, o ForwardInfo)
	// ParseResponse reads the headers of an upstream's answer.
	ParseResponse(h http.Header) ResponseInfo
	// SetErrorHeaders sets the headers of an answer that the system makes itself.
	SetErrorHeaders(h http.Header, name string)
}

// Dispatcher turns events into effects. Effects of a request are delivered to the
// mailbox that Arrive was called with.
type Dispatcher interface {
	// Configuration returns the one in force, nil before the first.
	Configuration() *registrar.Configuration
	// Submit reports a request whose effects go to box. It sets the request's
	// id and service.
	Submit(req dispatcher.Request, box *Mailbox) dispatcher.RequestID
	// Now is the time since the process started.
	Now() time.Duration
	// Reduce applies an event.
	Reduce(e dispatcher.Event)
}
