// Package generator turns the answers of a questionnaire into a configuration.
//
// Usage:
//
//	q, problems := generator.Parse(data)
//	cfg, problems := generator.Generate(q)
//
// The same answers give the same bytes.
package generator

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/egretwall/egretwall/internal/decoder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Questionnaire holds a team's answers. Sizes are in gigabytes of 10^9 bytes.
type Questionnaire struct {
	Deployment         string           `json:"deployment"`
	MoveCost           string           `json:"moves"`  // how costly a move is: cheap or dear
	IdempotencyMinutes int64            `json:"memory"` // minutes for which an idempotency key is remembered
	Store              StoreAnswer      `json:"store"`
	Classes            []ClassAnswer    `json:"classes"`
	Models             []ModelAnswer    `json:"models"`
	Runners            []UpstreamAnswer `json:"runners"`
	Services           []UpstreamAnswer `json:"services"`
	Callers            []CallerAnswer   `json:"callers"`
}

// StoreAnswer describes the weight store.
type StoreAnswer struct {
	ModelLoadRate          float64 `json:"rate"`    // model loads per second
	ConcurrentModelLoads   int     `json:"active"`  // model loads at once
	ConcurrentAdapterLoads int     `json:"transit"` // adapters at once
}

// ClassAnswer describes how urgent a kind of work is.
type ClassAnswer struct {
	Name              string  `json:"name"`
	FirstTokenSeconds float64 `json:"first"` // seconds to the first token
	GapSeconds        float64 `json:"gap"`   // seconds between two tokens
	TimeoutSeconds    float64 `json:"whole"` // seconds to the whole answer
}

// ModelAnswer describes a model and its adapters.
type ModelAnswer struct {
	Name          string   `json:"name"`
	SizeGB        float64  `json:"size"`               // gigabytes
	Copies        int      `json:"copies"`             // runners that always hold it
	Adapters      []string `json:"adapters,omitempty"` // adapter names
	AdapterSizeGB float64  `json:"part,omitempty"`     // gigabytes of one adapter
}

// UpstreamAnswer describes one upstream.
type UpstreamAnswer struct {
	Name           string  `json:"name"`
	Service        string  `json:"service,omitempty"`
	Domain         string  `json:"domain"`
	Address        string  `json:"address"` // IP number and port of its agent
	Accelerators   int     `json:"accelerators,omitempty"`
	WeightMemoryGB float64 `json:"size,omitempty"` // gigabytes for weights
	Slots          int     `json:"slots"`
	Fenced         bool    `json:"fenced,omitempty"`
}

// CallerAnswer describes a caller.
type CallerAnswer struct {
	Name            string `json:"name"`
	Token           string `json:"key"` // bearer token; only its hash is kept
	Class           string `json:"class"`
	FailFast        bool   `json:"early,omitempty"`
	MaxOpenRequests int    `json:"limit"`
}

// Weights of one move against attainment, by answer.
const (
	cheapMove = 0.1
	dearMove  = 1.0
)

// Defaults for what the questionnaire does not ask.
const (
	leaseMillis  = 10_000
	flightMillis = 5_000
	minuteMillis = 60_000
)

const gigabyte = 1e9

// Parse decodes a questionnaire.
func Parse(data []byte) (Questionnaire, []decoder.Problem) {
	var q Questionnaire
	problems := decoder.Decode(data, &q)
	return q, problems
}

// Generate derives the configuration and returns every mistake in it.
func Generate(q Questionnaire) (configurator.Configuration, []decoder.Problem) {
	cfg := configurator.Configuration{
		Name:              q.Deployment,
		IdempotencyWindow: configurator.Millis(q.IdempotencyMinutes * minuteMillis),
		Store:             configurator.StoreLimits(q.Store),
	}
	var problems []decoder.Problem
	switch q.MoveCost {
	case "cheap":
		cfg.MoveWeight = cheapMove
	case "dear":
		cfg.MoveWeight = dearMove
	default:
		problems = append(problems, decoder.Problem{Path: "$.moves", Text: fmt.Sprintf("expected cheap or dear, found %q", q.MoveCost)})
	}
	for i, c := range q.Classes {
		cfg.Classes = append(cfg.Classes, configurator.Class{
			Name: configurator.ClassName(c.Name), Rank: i,
			TargetFirstToken: millis(c.FirstTokenSeconds), TargetGap: millis(c.GapSeconds), Timeout: millis(c.TimeoutSeconds),
		})
	}
	for _, m := range q.Models {
		addModel(&cfg, m)
	}
	for _, r := range q.Runners {
		cfg.Upstreams = append(cfg.Upstreams, configurator.Upstream{
			Name: configurator.UpstreamName(r.Name), Role: configurator.Runner, Domain: configurator.DomainName(r.Domain), Address: r.Address,
			Accelerators: r.Accelerators, WeightMemory: size(r.WeightMemoryGB), Slots: r.Slots, Fenced: r.Fenced, Lease: leaseMillis, MaxDeliveryDelay: flightMillis,
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
		p.Path = q.answerOf(p.Path)
		problems = append(problems, p)
	}
	return cfg, problems
}

// answerOf returns the path of the answer that a configuration's path comes from.
func (q Questionnaire) answerOf(path string) string {
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
	number, field, found := strings.Cut(rest, "]")
	i, err := strconv.Atoi(number)
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
	cfg.Models = append(cfg.Models, configurator.Model{Name: name, Bytes: size(m.SizeGB), Copies: m.Copies})
	for _, a := range m.Adapters {
		cfg.Adapters = append(cfg.Adapters, configurator.Adapter{Name: configurator.ModelName(a), Model: name, Bytes: size(m.AdapterSizeGB)})
	}
}

func size(gigabytes float64) configurator.Bytes {
	return configurator.Bytes(math.Round(gigabytes * gigabyte))
}

func millis(seconds float64) configurator.Millis {
	return configurator.Millis(math.Round(seconds * 1000))
}
