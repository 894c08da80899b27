// Package registrar keeps what an instance knows of its deployment: the
// configuration in force and the upstreams that are live.
//
// Usage:
//
//	r := registrar.New(registrar.Config{Return: 2500 * time.Millisecond})
//	r.Install(configuration)
//	r.Apply(now, []registrar.Change{{ID: id, Upstream: &upstream}})
//	route, ok := r.Route("dues.example", "/drafts/7")
//	for _, u := range r.Upstreams(route.Service) { ... }
//
// Versions of the configuration only go up. An upstream that disappears from
// the list is gone at once, except around an outage of the store, where its
// entry may have lapsed although it lives.
package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"
)

type (
	// Version numbers a configuration; the higher one wins.
	Version int64
	// HostName is the host that callers name.
	HostName string
	// ServiceName names a group of upstreams.
	ServiceName string
	// UpstreamID names one upstream instance of the platform's list.
	UpstreamID string
	// ModelName names a base model.
	ModelName string
	// AdapterName names an adapter of a model.
	AdapterName string
	// DomainName names a failure domain.
	DomainName string
	// Tokens counts prompt or output tokens.
	Tokens int
	// Megabytes is a size of weights.
	Megabytes float64
)

// Kind tells what may be repeated.
type Kind string

// The kinds of requests.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "nonidempotent"
	Streaming     Kind = "streaming"
)

// Configuration is one version of what the operators approved.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services map[ServiceName]Service
	Limits   Limits

	hosts  map[HostName]map[string]*Route // by path prefix
	models []ModelName                    // of all services, sorted
}

// Models lists the models of all services by name.
func (c *Configuration) Models() []ModelName {
	return c.models
}

// Route says where requests of a host and path go.
type Route struct {
	Name          string
	Host          HostName
	Prefix        string
	Kind          Kind
	Timeout       time.Duration // longest time that a caller may be kept waiting
	TargetLatency time.Duration // an answer, or the first event, within it is on time
	TargetGap     time.Duration // longest pause between events that is on time
	Priority      int           // 0 is the most urgent
	Service       ServiceName   // empty with a split
	Split         []WeightedService
	AttemptLimit  int  // upstreams that may run one attempt of a caller
	Resumable     bool // a stream may go on at another upstream
}

// WeightedService is the part of a route's requests that goes to one service.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Service describes a group of upstreams.
type Service struct {
	Name   ServiceName
	Engine *Engine // nil for plain services
}

// Engine describes the model runners of a service.
type Engine struct {
	Slots         int
	WeightMemory  Megabytes
	AdapterSlots  int
	StoreLoadRate float64 // loads a second that the weight store allows all runners together
	Models        map[ModelName]Model
}

// Model is one base model.
type Model struct {
	Name           ModelName
	WeightSize     Megabytes
	AdapterSize    Megabytes // size of one of its adapters
	AdapterCount   int
	StoreLoadTime  time.Duration // from the weight store
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderLimit   int // bytes
	BodyLimit     int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Repeatable tells whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Destinations lists the services that may run requests of the route.
func (r *Route) Destinations() []WeightedService {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []WeightedService{{r.Service, 1}}
}

// index prepares the lookup of routes and models.
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
	c.hosts = map[HostName]map[string]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if c.hosts[r.Host] == nil {
			c.hosts[r.Host] = map[string]*Route{}
		}
		c.hosts[r.Host][r.Prefix] = r
	}
}

// Route returns the route of the host with the longest prefix of the path.
// Every prefix ends with a slash.
func (c *Configuration) Route(host HostName, path string) (*Route, bool) {
	prefixes := c.hosts[host]
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
