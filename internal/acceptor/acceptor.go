// Package acceptor serves callers over HTTP: the OpenAI-compatible routes for models
// and a route for plain services.
//
// Usage:
//
//	a, err := acceptor.New(acceptor.Config{Address: "10.0.0.1:8080", Post: loop.post, NewID: newID, MayLag: mayLag})
//	a.SetConfiguration(state) // whenever a configuration comes into force
//	a.Deliver(id, effect)     // for each WriteHeader, WriteBody and EndResponse of the reducer
//	err = a.Run(ctx)
package acceptor

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Limits on callers' connections.
const (
	maxBodyBytes   = 8 << 20
	maxHeaderBytes = 16 << 10
	readTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
	writeTimeout   = 30 * time.Second // for each flush of a streamed response
	maxConns       = 20_000
)

// Config configures an Acceptor.
type Config struct {
	Address string                   // where callers connect, as host:port
	Post    func(reducer.Event)      // passes an event to the entry's reducer
	NewID   func() reducer.RequestID // returns an id that no other request has
	MayLag  func() bool              // whether a newer configuration may have to be in force
}

// Acceptor is the HTTP server that callers connect to.
type Acceptor struct {
	cfg      Config
	listener net.Listener
	// closeListener makes concurrent calls of Close wait for the first: a second
	// net.Listener.Close returns while the first is still under way.
	closeListener sync.Once
	server        *fasthttp.Server
	index         atomic.Pointer[configIndex]
	draining      atomic.Bool

	mu        sync.Mutex
	mailboxes map[reducer.RequestID]*mailbox
	conns     map[net.Conn]bool
}

// configIndex holds the parts of the configuration that the acceptor looks up.
type configIndex struct {
	callers  map[string]configurator.Caller // by TokenHash
	classes  map[configurator.ClassName]configurator.Class
	models   []configurator.ModelName
	services map[configurator.ServiceName]bool
}

// New returns an acceptor that listens on cfg.Address; Run serves it. If it can't
// listen, the error is of kind Invalid.
func New(cfg Config) (*Acceptor, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen on %s", cfg.Address)
	}
	a := &Acceptor{cfg: cfg, listener: listener, mailboxes: map[reducer.RequestID]*mailbox{}, conns: map[net.Conn]bool{}}
	a.index.Store(&configIndex{})
	r := router.New()
	r.POST("/v1/chat/completions", a.handleCompletion)
	r.POST("/v1/completions", a.handleCompletion)
	r.GET("/v1/models", a.handleModels)
	r.ANY("/svc/{service}/{path:*}", a.handleService)
	r.NotFound = func(ctx *fasthttp.RequestCtx) { a.writeError(ctx, "", classifier.Missing, "no such route") }
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) { a.writeError(ctx, "", classifier.Invalid, "method not allowed here") }
	a.server = &fasthttp.Server{
		Handler: a.closeWhenDraining(r.Handler), ErrorHandler: a.handleReadError,
		MaxRequestBodySize: maxBodyBytes, ReadBufferSize: maxHeaderBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		ConnState: a.trackConn, Concurrency: maxConns, NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
	return a, nil
}

// Address returns the address where callers connect, as host:port.
func (a *Acceptor) Address() string {
	return a.listener.Addr().String()
}

// Run serves callers until ctx ends or until Close or Shutdown is called. The end of
// ctx closes the connections that are still open.
func (a *Acceptor) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, a.Close)
	defer stop()
	return a.server.Serve(a.listener)
}

// Close stops listening and closes the open connections. When it returns, the address can
// be listened on again, also if another call has begun to close the listener.
func (a *Acceptor) Close() {
	a.closeListener.Do(func() { _ = a.listener.Close() })
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.conns {
		_ = conn.Close()
	}
}

// trackConn records which connections are open, for Close.
func (a *Acceptor) trackConn(conn net.Conn, state fasthttp.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		a.conns[conn] = true
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(a.conns, conn)
	}
}

// Drain makes the acceptor close each connection after its next response.
func (a *Acceptor) Drain() {
	a.draining.Store(true)
}

// closeWhenDraining returns a handler that tells callers of a draining acceptor not to use the
// connection again, since one that is closed while idle may lose the next request.
func (a *Acceptor) closeWhenDraining(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		if a.draining.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// Shutdown stops accepting connections and returns when all open requests have been
// answered, or the error of ctx when it ends first.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	return a.server.ShutdownWithContext(ctx)
}

// SetConfiguration makes s the configuration that requests are checked against.
func (a *Acceptor) SetConfiguration(s *configurator.State) {
	index := &configIndex{
		callers: map[string]configurator.Caller{}, classes: map[configurator.ClassName]configurator.Class{}, services: map[configurator.ServiceName]bool{},
	}
	for _, c := range s.Config.Callers {
		index.callers[c.TokenHash] = c
	}
	for _, c := range s.Config.Classes {
		index.classes[c.Name] = c
	}
	for _, m := range s.Config.Models {
		index.models = append(index.models, m.Name)
	}
	for _, adapter := range s.Config.Adapters {
		index.models = append(index.models, adapter.Name)
	}
	for _, u := range s.Config.Upstreams {
		if u.Role == configurator.Service {
			index.services[u.Service] = true
		}
	}
	a.index.Store(index)
}

// Deliver passes an effect to the request with the given id. It is dropped if the
// request has ended.
func (a *Acceptor) Deliver(id reducer.RequestID, e reducer.Effect) {
	a.mu.Lock()
	m := a.mailboxes[id]
	a.mu.Unlock()
	if m != nil {
		m.put(e)
	}
}

func (a *Acceptor) addMailbox(id reducer.RequestID) *mailbox {
	m := newMailbox()
	a.mu.Lock()
	a.mailboxes[id] = m
	a.mu.Unlock()
	return m
}

func (a *Acceptor) removeMailbox(id reducer.RequestID) {
	a.mu.Lock()
	delete(a.mailboxes, id)
	a.mu.Unlock()
}

// authenticate returns the caller of a request and the class of the request: the
// caller's, or one that is no more urgent if the Egretwall-Class header names it. A key or
// a class is refused for good only by a configuration that is known to be the newest one.
func (a *Acceptor) authenticate(ctx *fasthttp.RequestCtx) (configurator.Caller, configurator.Class, error) {
	for {
		index := a.index.Load()
		caller, class, err := authenticateBy(index, ctx)
		if kind := classifier.KindOf(err); kind != classifier.Denied && kind != classifier.Invalid {
			return caller, class, err
		}
		if a.cfg.MayLag() {
			return caller, class, classifier.New(classifier.Stale, "the key or the class may be newer than the configuration in force")
		}
		// The confirmation is that of the configuration in force by now.
		if a.index.Load() == index {
			return caller, class, err
		}
	}
}

func authenticateBy(index *configIndex, ctx *fasthttp.RequestCtx) (configurator.Caller, configurator.Class, error) {
	if len(index.classes) == 0 {
		return configurator.Caller{}, configurator.Class{}, classifier.New(classifier.Loading, "no configuration is in force yet")
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	caller, known := index.callers[configurator.HashToken(token)]
	if !ok || !known {
		return caller, configurator.Class{}, classifier.New(classifier.Denied, "send Authorization: Bearer with the key of a configured caller")
	}
	class := index.classes[caller.Class]
	if name := string(ctx.Request.Header.Peek(classHeader)); name != "" {
		requested, ok := index.classes[configurator.ClassName(name)]
		if !ok || requested.Rank < class.Rank {
			return caller, class, classifier.New(classifier.Invalid, "%s must name a class that is no more urgent than %s", classHeader, class.Name)
		}
		class = requested
	}
	return caller, class, nil
}
