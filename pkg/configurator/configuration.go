// Package configurator defines the configuration that operators publish, its
// validation, and the rule by which every process accepts or refuses changes to it.
//
// Usage:
//
//	cfg, problems := configurator.Parse(data)
//	state := configurator.State{}
//	change := configurator.Diff(id, state, cfg)
//	state, verdict := state.Apply(change)
//
// All functions are deterministic, so that processes that apply the same changes in
// the same order reach the same state.
package configurator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/egretwall/egretwall/internal/decoder"
)

type (
	// ModelName names a base model or an adapter, as callers write it in requests.
	ModelName string
	// UpstreamName names one instance of a model runner or of a plain service.
	UpstreamName string
	// ServiceName names a plain service, a group of interchangeable instances without
	// models.
	ServiceName string
	// DomainName names a failure domain.
	DomainName string
	// ClassName names an urgency class.
	ClassName string
	// CallerName names a client application.
	CallerName string
	// Bytes is an amount of accelerator memory in bytes.
	Bytes int64
	// Millis is a duration in milliseconds.
	Millis int64
)

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Role is the kind of an upstream.
type Role string

// The roles of upstreams.
const (
	Runner  Role = "runner"  // serves models
	Service Role = "service" // plain service without models
)

// Configuration is the document that operators publish.
type Configuration struct {
	Name              string      `json:"name"`
	MoveWeight        float64     `json:"moves"`  // cost of loading or unloading a model, relative to missing latency targets
	IdempotencyWindow Millis      `json:"window"` // how long an idempotency key is remembered
	Store             StoreLimits `json:"store"`
	Classes           []Class     `json:"classes"`
	Models            []Model     `json:"models"`
	Adapters          []Adapter   `json:"adapters"`
	Upstreams         []Upstream  `json:"upstreams"`
	Callers           []Caller    `json:"callers"`
}

// StoreLimits bounds the load on the weight store by all runners together.
type StoreLimits struct {
	ModelLoadRate          float64 `json:"rate"`    // model loads that may start per second
	ConcurrentModelLoads   int     `json:"active"`  // model loads that run at the same time at full speed
	ConcurrentAdapterLoads int     `json:"transit"` // adapter loads that run at the same time at full speed
}

// Class is an urgency class of requests with its latency targets.
type Class struct {
	Name             ClassName `json:"name"`
	Rank             int       `json:"rank"`  // 0 is the most urgent
	TargetFirstToken Millis    `json:"first"` // from the arrival of a request to its first token
	TargetGap        Millis    `json:"gap"`   // between two tokens
	Timeout          Millis    `json:"whole"` // from the arrival of a request to its complete response
}

// Model is a base model.
type Model struct {
	Name   ModelName `json:"name"`
	Bytes  Bytes     `json:"bytes"`  // accelerator memory of the weights
	Copies int       `json:"copies"` // number of runners that hold it at all times
}

// Adapter is a variant of a base model whose weights are loaded in addition to those
// of the model.
type Adapter struct {
	Name  ModelName `json:"name"`
	Model ModelName `json:"model"` // base model
	Bytes Bytes     `json:"bytes"` // accelerator memory of the weights
}

// Upstream is one model runner or one instance of a plain service.
type Upstream struct {
	Name             UpstreamName `json:"name"`
	Role             Role         `json:"role"`
	Service          ServiceName  `json:"service,omitempty"`
	Domain           DomainName   `json:"domain"`
	Address          string       `json:"address"` // IP address and port where its agent listens
	Accelerators     int          `json:"accelerators,omitempty"`
	WeightMemory     Bytes        `json:"memory,omitempty"` // accelerator memory for weights of models and adapters
	Slots            int          `json:"slots"`            // requests that it runs at the same time
	Fenced           bool         `json:"fenced,omitempty"` // refuses load and unload orders numbered below the highest it has seen
	Lease            Millis       `json:"lease,omitempty"`  // duration of its agent's lease
	MaxDeliveryDelay Millis       `json:"flight,omitempty"` // longest time between sending an order and its execution
}

// Caller is a client application.
type Caller struct {
	Name            CallerName `json:"name"`
	TokenHash       string     `json:"key"` // SHA-256 of the bearer token, in hex
	Class           ClassName  `json:"class"`
	FailFast        bool       `json:"early,omitempty"` // prefers an early refusal to a late response
	MaxOpenRequests int        `json:"limit"`           // at each entry
}

// HashToken returns the SHA-256 of a bearer token in hex, as in Caller.TokenHash.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Parse decodes and checks a configuration in JSON and returns every mistake in it.
func Parse(data []byte) (Configuration, []decoder.Problem) {
	var cfg Configuration
	problems := decoder.Decode(data, &cfg)
	return cfg, append(problems, Check(cfg)...)
}

// Encode returns cfg as indented JSON; equal configurations give equal bytes.
func Encode(cfg Configuration) []byte {
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		panic(err) // every valid configuration can be encoded
	}
	return append(data, '\n')
}

// BaseOf returns the base model of an adapter, or name itself if it is a base model.
// It returns false if name is not configured.
func (c *Configuration) BaseOf(name ModelName) (ModelName, bool) {
	for i := range c.Models {
		if c.Models[i].Name == name {
			return name, true
		}
	}
	for i := range c.Adapters {
		if c.Adapters[i].Name == name {
			return c.Adapters[i].Model, true
		}
	}
	return "", false
}

// Upstream returns the upstream called name and false if there is none.
func (c *Configuration) Upstream(name UpstreamName) (Upstream, bool) {
	for _, u := range c.Upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return Upstream{}, false
}

// Class returns the class called name and false if there is none.
func (c *Configuration) Class(name ClassName) (Class, bool) {
	for _, class := range c.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}
