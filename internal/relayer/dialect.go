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

// Call is what the headers of a caller's request say.
type Call struct {
	Name    string        // the caller's id of the attempt
	Budget  time.Duration // how long the caller waits, zero when it doesn't say
	Model   registrar.ModelName
	Adapter registrar.AdapterName
	Prompt  registrar.Tokens
	Output  registrar.Tokens
	After   int64 // id of the last event that the caller has, negative without one
}

// Reply is what the headers of an upstream's answer say.
type Reply struct {
	Name   string // id of the attempt that it answers, empty when it doesn't say
	Sealed bool   // it bears the receipt of the upstream's application
	NotRun bool   // the upstream did not run the request and never will
	// Upstream is the instance that answered, empty when it doesn't say.
	Upstream registrar.UpstreamID
}

// Onward is what the system adds to a request that it sends on.
type Onward struct {
	Budget   time.Duration
	Upstream registrar.UpstreamID
	Priority int
	After    int64 // id of the last event that the caller has, negative for none
}

// Dialect translates between the headers on the wire and these types.
type Dialect interface {
	// Call reads a caller's headers.
	Call(h http.Header) (Call, error)
	// Reserved tells whether only the system may set a header of requests.
	Reserved(name string) bool
	// Onward sets the system's headers; h holds the caller's other headers.
	Onward(h http.Header, o Onward)
	// Reply reads the headers of an upstream's answer.
	Reply(h http.Header) Reply
	// Refuse sets the headers of an answer that the system makes itself.
	Refuse(h http.Header, name string)
}

// Decider turns events into effects. Effects of a request are delivered to the
// mailbox that Arrive was called with.
type Decider interface {
	// Configuration returns the one in force, nil before the first.
	Configuration() *registrar.Configuration
	// Arrive reports a request whose effects go to box. It sets the request's
	// id and service.
	Arrive(req dispatcher.Request, box *Mailbox) dispatcher.RequestID
	// Now is the time since the process started.
	Now() time.Duration
	// Reduce applies an event.
	Reduce(e dispatcher.Event)
}
