// Package configurator defines the configuration that operators approve, its
// validation, and the rule by which every process accepts changes to it.
//
// Usage:
//
//	cfg, problems := configurator.Parse(data)
//	state := configurator.State{}
//	state, verdict := state.Apply(change)
//
// All functions are deterministic: processes that apply the same changes in
// the same order hold the same state.
package configurator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/egretwall/egretwall/internal/decoder"
)

type (
	// ModelName names a model or an adapter as callers address it.
	ModelName string
	// UpstreamName names a model runner or a plain service instance.
	UpstreamName string
	// ServiceName names a group of interchangeable plain service instances.
	ServiceName string
	// DomainName names a failure domain.
	DomainName string
	// ClassName names an urgency class.
	ClassName string
	// CallerName names a caller.
	CallerName string
	// Bytes is an amount of memory.
	Bytes int64
	// Millis is a duration in milliseconds.
	Millis int64
)

// Duration converts m for use with the time package.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Role tells what an upstream does.
type Role string

// The roles of upstreams.
const (
	Runner  Role = "runner"
	Service Role = "service"
)

// Configuration is the whole document that operators approve.
type Configuration struct {
	Name              string      `json:"name"`
	MoveWeight        float64     `json:"moves"`  // weight of one move against attainment
	IdempotencyWindow Millis      `json:"window"` // time for which an idempotency key is remembered
	Store             StoreLimits `json:"store"`
	Classes           []Class     `json:"classes"`
	Models            []Model     `json:"models"`
	Adapters          []Adapter   `json:"adapters"`
	Upstreams         []Upstream  `json:"upstreams"`
	Callers           []Caller    `json:"callers"`
}

// StoreLimits holds the limits of the weight store, over all runners.
type StoreLimits struct {
	ModelLoadRate          float64 `json:"rate"`    // model loads started per second
	ConcurrentModelLoads   int     `json:"active"`  // model loads at once at full speed
	ConcurrentAdapterLoads int     `json:"transit"` // adapter loads at once at full speed
}

// Class is an urgency class with its targets.
type Class struct {
	Name             ClassName `json:"name"`
	Rank             int       `json:"rank"`  // 0 is the most urgent
	TargetFirstToken Millis    `json:"first"` // target for the first token
	TargetGap        Millis    `json:"gap"`   // target between two tokens
	Timeout          Millis    `json:"whole"` // deadline for the whole answer
}

// Model is a base model.
type Model struct {
	Name   ModelName `json:"name"`
	Bytes  Bytes     `json:"bytes"`  // accelerator memory of the weights
	Copies int       `json:"copies"` // runners that always hold it
}

// Adapter is a variant of a base model that loads beside it.
type Adapter struct {
	Name  ModelName `json:"name"`
	Model ModelName `json:"model"`
	Bytes Bytes     `json:"bytes"`
}

// Upstream is one model runner or one instance of a plain service.
type Upstream struct {
	Name             UpstreamName `json:"name"`
	Role             Role         `json:"role"`
	Service          ServiceName  `json:"service,omitempty"`
	Domain           DomainName   `json:"domain"`
	Address          string       `json:"address"` // where its agent listens
	Accelerators     int          `json:"accelerators,omitempty"`
	WeightMemory     Bytes        `json:"memory,omitempty"` // accelerator memory for weights
	Slots            int          `json:"slots"`            // requests running at once
	Fenced           bool         `json:"fenced,omitempty"` // refuses orders with an old fencing number
	Lease            Millis       `json:"lease,omitempty"`  // lease of its agent
	MaxDeliveryDelay Millis       `json:"flight,omitempty"` // longest time an order may be under way
}

// Caller is a client application.
type Caller struct {
	Name            CallerName `json:"name"`
	TokenHash       string     `json:"key"` // SHA-256 of the bearer token, in hex
	Class           ClassName  `json:"class"`
	FailFast        bool       `json:"early,omitempty"` // prefers an early refusal to a late answer
	MaxOpenRequests int        `json:"limit"`           // open requests per entry
}

// HashToken returns the form in which the configuration stores a bearer token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Parse decodes and checks a configuration.
func Parse(data []byte) (Configuration, []decoder.Problem) {
	var cfg Configuration
	problems := decoder.Decode(data, &cfg)
	return cfg, append(problems, Check(cfg)...)
}

// Encode returns the canonical JSON form of cfg.
func Encode(cfg Configuration) []byte {
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		panic(err) // the type holds nothing that can't be encoded
	}
	return append(data, '\n')
}

// BaseOf returns the base model of a model or adapter and false if name is
// not configured.
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
	for _, k := range c.Classes {
		if k.Name == name {
			return k, true
		}
	}
	return Class{}, false
}
