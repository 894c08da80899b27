// Package generator turns the answers of a questionnaire into a configuration.
//
// Usage:
//
//	q, problems := generator.Parse(data)
//	cfg, problems := generator.Generate(q)
//
// The same answers always generate the same configuration, byte for byte.
package generator

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/egretwall/egretwall/internal/decoder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Questionnaire holds the answers from which a deployment's configuration is generated.
// Sizes are in gigabytes of 10^9 bytes.
type Questionnaire struct {
	Deployment         string           `json:"deployment"`
	MoveCost           string           `json:"moves"`  // cost of a move, which loads or unloads a model: cheap or dear
	IdempotencyMinutes int64            `json:"memory"` // minutes for which an idempotency key is remembered
	Store              StoreAnswer      `json:"store"`
	Classes            []ClassAnswer    `json:"classes"`
	Models             []ModelAnswer    `json:"models"`
	Runners            []UpstreamAnswer `json:"runners"`
	Services           []UpstreamAnswer `json:"services"`
	Callers            []CallerAnswer   `json:"callers"`
}

// StoreAnswer holds the limits of the weight store, over all runners.
type StoreAnswer struct {
	ModelLoadRate          float64 `json:"rate"`    // model loads started per second
	ConcurrentModelLoads   int     `json:"active"`  // model loads that run at the same time at full speed
	ConcurrentAdapterLoads int     `json:"transit"` // adapter loads that run at the same time at full speed
}

// ClassAnswer describes an urgency class. The questionnaire lists the most urgent class
// first.
type ClassAnswer struct {
	Name              string  `json:"name"`
	FirstTokenSeconds float64 `json:"first"` // target from the arrival of a request to its first token
	GapSeconds        float64 `json:"gap"`   // target between two tokens
	TimeoutSeconds    float64 `json:"whole"` // from the arrival of a request to its complete response
}

// ModelAnswer describes a model and its adapters.
type ModelAnswer struct {
	Name          string   `json:"name"`
	SizeGB        float64  `json:"size"`               // accelerator memory of the weights
	Copies        int      `json:"copies"`             // runners that always hold it
	Adapters      []string `json:"adapters,omitempty"` // names of its adapters
	AdapterSizeGB float64  `json:"part,omitempty"`     // accelerator memory of each adapter
}

// UpstreamAnswer describes one model runner or one instance of a plain service.
type UpstreamAnswer struct {
	Name           string  `json:"name"`
	Service        string  `json:"service,omitempty"`
	Domain         string  `json:"domain"`
	Address        string  `json:"address"` // IP address and port of its agent
	Accelerators   int     `json:"accelerators,omitempty"`
	WeightMemoryGB float64 `json:"size,omitempty"` // accelerator memory for weights
	Slots          int     `json:"slots"`
	Fenced         bool    `json:"fenced,omitempty"`
}

// CallerAnswer describes a caller.
type CallerAnswer struct {
	Name            string `json:"name"`
	Token           string `json:"key"` // bearer token; the configuration holds only its hash
	Class           string `json:"class"`
	FailFast        bool   `json:"early,omitempty"`
	MaxOpenRequests int    `json:"limit"`
}

// Weights of one move against the attainment of latency targets, for the answers cheap
// and dear.
const (
	cheapMoveWeight = 0.1
	dearMoveWeight  = 1.0
)

// Values that the questionnaire does not ask for.
const (
	leaseMillis       = 10_000
	maxDeliveryMillis = 5_000
	millisPerMinute   = 60_000
)

const bytesPerGB = 1e9

// Parse decodes a questionnaire.
func Parse(data []byte) (Questionnaire, []decoder.Problem) {
	var q Questionnaire
	problems := decoder.Decode(data, &q)
	return q, problems
}

// Generate derives the configuration and returns every mistake in it, with the path of
// the answer that causes it.
func Generate(q Questionnaire) (configurator.Configuration, []decoder.Problem) {
	cfg := configurator.Configuration{
		Name:              q.Deployment,
		IdempotencyWindow: configurator.Millis(q.IdempotencyMinutes * millisPerMinute),
		Store:             configurator.StoreLimits(q.Store),
	}
	var problems []decoder.Problem
	switch q.MoveCost {
	case "cheap":
		cfg.MoveWeight = cheapMoveWeight
	case "dear":
		cfg.MoveWeight = dearMoveWeight
	default:
		problems = append(problems, decoder.Problem{Path: "$.moves", Text: fmt.Sprintf("expected cheap or dear, found %q", q.MoveCost)})
	}
	for i, c := range q.Classes {
		cfg.Classes = append(cfg.Classes, configurator.Class{
			Name: configurator.ClassName(c.Name), Rank: i,
			TargetFirstToken: millisFromSeconds(c.FirstTokenSeconds), TargetGap: millisFromSeconds(c.GapSeconds), Timeout: millisFromSeconds(c.TimeoutSeconds),
		})
	}
	for _, m := range q.Models {
		addModel(&cfg, m)
	}
	for _, r := range q.Runners {
		cfg.Upstreams = append(cfg.Upstreams, configurator.Upstream{
			Name: configurator.UpstreamName(r.Name), Role: configurator.Runner, Domain: configurator.DomainName(r.Domain), Address: r.Address,
			Accelerators: r.Accelerators, WeightMemory: bytesFromGB(r.WeightMemoryGB), Slots: r.Slots, Fenced: r.Fenced, Lease: leaseMillis, MaxDeliveryDelay: maxDeliveryMillis,
		})
	}
	for _, r := range q.Services {
		cfg.Upstreams = append(cfg.Upstreams, configurator.Upstream{
			Name: configurator.UpstreamName(r.Name), Role: configurator.Service, Service: configurator.ServiceName(r.Service),
			Domain: configurator.DomainName(r.Domain), Address: r.Address, Slots: r.Slots,
		})
	}
	for _, c := range q.Callers {
		cfg.Callers = append(cfg.Callers, configurator.Caller{
			Name: configurator.CallerName(c.Name), TokenHash: configurator.HashToken(c.Token), Class: configurator.ClassName(c.Class), FailFast: c.FailFast, MaxOpenRequests: c.MaxOpenRequests,
		})
	}
	for _, p := range configurator.Check(cfg) {
		p.Path = q.answerPath(p.Path)
		problems = append(problems, p)
	}
	return cfg, problems
}

// answerPath returns the JSON path of the answer from which the value at a path of the
// configuration is derived.
func (q Questionnaire) answerPath(path string) string {
	section, rest, _ := strings.Cut(strings.TrimPrefix(path, "$."), "[")
	if section == "window" {
		return "$.memory"
	}
	if section == "adapters" {
		return "$.models"
	}
	if section != "upstreams" {
		return strings.Replace(path, ".bytes", ".size", 1)
	}
	index, field, found := strings.Cut(rest, "]")
	i, err := strconv.Atoi(index)
	if !found || err != nil {
		return "$.runners"
	}
	field = strings.Replace(field, ".memory", ".size", 1)
	if i < len(q.Runners) {
		return fmt.Sprintf("$.runners[%d]%s", i, field)
	}
	return fmt.Sprintf("$.services[%d]%s", i-len(q.Runners), field)
}

func addModel(cfg *configurator.Configuration, m ModelAnswer) {
	name := configurator.ModelName(m.Name)
	cfg.Models = append(cfg.Models, configurator.Model{Name: name, Bytes: bytesFromGB(m.SizeGB), Copies: m.Copies})
	for _, a := range m.Adapters {
		cfg.Adapters = append(cfg.Adapters, configurator.Adapter{Name: configurator.ModelName(a), Model: name, Bytes: bytesFromGB(m.AdapterSizeGB)})
	}
}

func bytesFromGB(gigabytes float64) configurator.Bytes {
	return configurator.Bytes(math.Round(gigabytes * bytesPerGB))
}

func millisFromSeconds(seconds float64) configurator.Millis {
	return configurator.Millis(math.Round(seconds * 1000))
}
