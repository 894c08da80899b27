// Package registrar keeps a process's view of its deployment: the configuration
// in force and the live upstreams.
//
// Usage:
//
//	r := registrar.New(registrar.Config{OutageGrace: 2500 * time.Millisecond})
//	r.Install(configuration)
//	r.Apply(now, []registrar.Change{{ID: id, Upstream: &upstream}})
//	route, ok := r.Configuration().Route("dues.example", "/drafts/7")
//	for _, u := range r.Upstreams(route.Service) { ... }
//
// The version of the configuration in force only rises. An upstream whose entry
// disappears from the list is removed at once, except around an outage of the
// store, when the entry may have expired although the instance is alive.
package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"
)

type (
	// Version is the version of a configuration; the highest one is in force.
	Version int64
	// HostName is the host of a caller's request.
	HostName string
	// ServiceName identifies a service, a group of upstreams.
	ServiceName string
	// UpstreamID identifies one upstream instance in the platform's list.
	UpstreamID string
	// ModelName identifies a base model.
	ModelName string
	// AdapterName identifies an adapter among those of its model.
	AdapterName string
	// PartID identifies a part of a prompt that several requests share, such as an
	// instruction or a document.
	PartID string
	// DomainName identifies a failure domain.
	DomainName string
	// Tokens is a number of tokens, of a text or of KV cache.
	Tokens int
	// Megabytes is a size of model weights or of the memory for them.
	Megabytes float64
)

// Kind classifies requests by whether they may run more than once.
type Kind string

// The kinds of requests.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "nonidempotent"
	Streaming     Kind = "streaming" // may run more than once if the route is resumable
)

// Configuration is one version of the configuration that operators approved.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services map[ServiceName]Service
	Limits   Limits
	// Workspaces is nil if callers need no keys.
	Workspaces []Workspace

	routesByHost    map[HostName]map[string]*Route // by path prefix
	models          []ModelName                    // of all services, sorted
	workspacesByKey map[KeyDigest]workspaceKey
}

// Models lists the names of the models of all services, sorted. It is empty before
// Install.
func (c *Configuration) Models() []ModelName {
	return c.models
}

// Route configures the requests for one host and path prefix.
type Route struct {
	Name          string
	Host          HostName
	Prefix        string // ends with a slash
	Kind          Kind
	Timeout       time.Duration // longest time that a caller may be kept waiting
	TargetLatency time.Duration // until the answer, or the first event of a stream
	TargetGap     time.Duration // longest target pause between events of a stream
	Priority      int           // 0 is the most urgent
	Service       ServiceName   // empty if Split is set
	Split         []WeightedService
	AttemptLimit  int  // number of upstreams that may run the same request
	Resumable     bool // whether another upstream can continue an interrupted stream
	Public        bool // callers need no key
}

// WeightedService is a service with its share of a route's requests, which is
// relative to the other weights of the route.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Service configures a group of upstreams that run the same requests.
type Service struct {
	Name   ServiceName
	Engine *Engine // nil for a service without models
}

// Engine configures the model runners of a service, which are all alike.
type Engine struct {
	Slots         int       // requests that a runner executes at once
	WeightMemory  Megabytes // memory of a runner for weights of models and adapters
	AdapterSlots  int       // adapters that a runner can hold, over all models
	StoreLoadRate float64   // loads a second that the weight store allows all runners together
	Models        map[ModelName]Model
}

// Model configures a base model.
type Model struct {
	Name           ModelName
	WeightSize     Megabytes
	AdapterSize    Megabytes // of each adapter
	AdapterCount   int
	StoreLoadTime  time.Duration // from the weight store
	DiskLoadTime   time.Duration // from the host's disk
	MemoryLoadTime time.Duration // from the host's memory
}

// Limits bounds a caller's requests and connections.
type Limits struct {
	HeaderLimit   int           // largest headers in bytes; not enforced, gateways have a fixed limit
	BodyLimit     int           // largest body in bytes
	HeaderTimeout time.Duration // to read the headers of a request; not enforced, gateways have a fixed limit
	IdleTimeout   time.Duration // until an idle connection is closed
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Destinations lists the services that run the route's requests, with their weights.
func (r *Route) Destinations() []WeightedService {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedService{{r.Service, 1}}
}

// SplitStreams returns the services that share a route of resumable streams with others.
func (c *Configuration) SplitStreams() map[ServiceName]bool {
	split := map[ServiceName]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != Streaming || !r.Repeatable() || len(r.Split) < 2 {
			continue
		}
		for _, d := range r.Split {
			split[d.Service] = true
		}
	}
	return split
}

// index builds the indexes of routes and models.
func (c *Configuration) index() {
	names := map[ModelName]bool{}
	for _, service := range c.Services {
		if service.Engine != nil {
			for name := range service.Engine.Models {
				names[name] = true
			}
		}
	}
	c.models = slices.Sorted(maps.Keys(names))
	c.indexWorkspaces()
	c.routesByHost = map[HostName]map[string]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if c.routesByHost[r.Host] == nil {
			c.routesByHost[r.Host] = map[string]*Route{}
		}
		c.routesByHost[r.Host][r.Prefix] = r
	}
}

// Route returns the route of a host with the longest path prefix that matches. It
// needs Install.
func (c *Configuration) Route(host HostName, path string) (*Route, bool) {
	prefixes := c.routesByHost[host]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if r, ok := prefixes[path[:slash+1]]; ok {
			return r, true
		}
		end = slash
	}
	return nil, false
}
