// Package acceptor serves callers over HTTP: the OpenAI-compatible routes for
// models and a route for plain services.
//
// Usage:
//
//	a, err := acceptor.New(acceptor.Config{Address: "10.0.0.1:8080", Post: loop.post})
//	a.Install(state) // whenever a configuration comes into force
//	a.Deliver(effect) // for each Reply, Push and Close of the reducer
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
	maxBody      = 8 << 20
	maxHeader    = 16 << 10
	readTimeout  = 30 * time.Second
	idleTimeout  = 60 * time.Second
	writeTimeout = 30 * time.Second // for one part of an answer
	maxConns     = 20_000
)

// Config connects the acceptor with its entry.
type Config struct {
	Address string
	Post    func(reducer.Event)
	NewID   func() reducer.RequestID
}

// Acceptor owns the connections of callers.
type Acceptor struct {
	cfg      Config
	listener net.Listener
	server   *fasthttp.Server
	table    atomic.Pointer[table]

	mu    sync.Mutex
	boxes map[reducer.RequestID]*mailbox
	conns map[net.Conn]bool
}

// table holds what the acceptor needs from the configuration.
type table struct {
	callers  map[string]configurator.Caller // by hashed key
	classes  map[configurator.ClassName]configurator.Class
	models   []configurator.ModelName
	services map[configurator.ServiceName]bool
}

// New listens on the callers' address.
func New(cfg Config) (*Acceptor, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen on %s", cfg.Address)
	}
	a := &Acceptor{cfg: cfg, listener: listener, boxes: map[reducer.RequestID]*mailbox{}, conns: map[net.Conn]bool{}}
	a.table.Store(&table{})
	r := router.New()
	r.POST("/v1/chat/completions", a.complete)
	r.POST("/v1/completions", a.complete)
	r.GET("/v1/models", a.listModels)
	r.ANY("/svc/{service}/{path:*}", a.callService)
	r.NotFound = func(ctx *fasthttp.RequestCtx) { a.refuse(ctx, "", classifier.Missing, "no such route") }
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) { a.refuse(ctx, "", classifier.Invalid, "method not allowed here") }
	a.server = &fasthttp.Server{
		Handler: r.Handler, ErrorHandler: a.badRequest,
		MaxRequestBodySize: maxBody, ReadBufferSize: maxHeader, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		ConnState: a.track, Concurrency: maxConns, NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
	return a, nil
}

// Address returns where callers connect.
func (a *Acceptor) Address() string {
	return a.listener.Addr().String()
}

// Run serves until ctx ends, which cuts the connections that are still open.
func (a *Acceptor) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, a.Close)
	defer stop()
	return a.server.Serve(a.listener)
}

// Close ends listening and cuts the open connections.
func (a *Acceptor) Close() {
	_ = a.listener.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.conns {
		_ = conn.Close()
	}
}

// track keeps the set of open connections.
func (a *Acceptor) track(conn net.Conn, state fasthttp.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		a.conns[conn] = true
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(a.conns, conn)
	}
}

// Shutdown takes no new connection and returns when open requests have been
// answered.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	return a.server.ShutdownWithContext(ctx)
}

// SetConfiguration publishes the configuration in force.
func (a *Acceptor) SetConfiguration(s *configurator.State) {
	t := &table{
		callers: map[string]configurator.Caller{}, classes: map[configurator.ClassName]configurator.Class{}, services: map[configurator.ServiceName]bool{},
	}
	for _, c := range s.Config.Callers {
		t.callers[c.TokenHash] = c
	}
	for _, c := range s.Config.Classes {
		t.classes[c.Name] = c
	}
	for _, m := range s.Config.Models {
		t.models = append(t.models, m.Name)
	}
	for _, ad := range s.Config.Adapters {
		t.models = append(t.models, ad.Name)
	}
	for _, u := range s.Config.Upstreams {
		if u.Role == configurator.Service {
			t.services[u.Service] = true
		}
	}
	a.table.Store(t)
}

// Deliver hands an effect to the request it belongs to.
func (a *Acceptor) Deliver(id reducer.RequestID, e reducer.Effect) {
	a.mu.Lock()
	box := a.boxes[id]
	a.mu.Unlock()
	if box != nil {
		box.put(e)
	}
}

func (a *Acceptor) open(id reducer.RequestID) *mailbox {
	box := newMailbox()
	a.mu.Lock()
	a.boxes[id] = box
	a.mu.Unlock()
	return box
}

func (a *Acceptor) close(id reducer.RequestID) {
	a.mu.Lock()
	delete(a.boxes, id)
	a.mu.Unlock()
}

// authenticate returns the caller of a request and its urgency class. The
// Egretwall-Class header may choose a less urgent class.
func (a *Acceptor) authenticate(ctx *fasthttp.RequestCtx) (configurator.Caller, configurator.Class, error) {
	t := a.table.Load()
	if len(t.classes) == 0 {
		return configurator.Caller{}, configurator.Class{}, classifier.New(classifier.Loading, "no configuration is in force yet")
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	caller, known := t.callers[configurator.HashToken(token)]
	if !ok || !known {
		return caller, configurator.Class{}, classifier.New(classifier.Denied, "send Authorization: Bearer with the key of a configured caller")
	}
	class := t.classes[caller.Class]
	if name := string(ctx.Request.Header.Peek(classHeader)); name != "" {
		wanted, ok := t.classes[configurator.ClassName(name)]
		if !ok || wanted.Rank < class.Rank {
			return caller, class, classifier.New(classifier.Invalid, "%s must name a class that is no more urgent than %s", classHeader, class.Name)
		}
		class = wanted
	}
	return caller, class, nil
}
