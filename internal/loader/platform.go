package loader

import (
	"github.com/egretwall/egretwall/internal/decoder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// GatewaySettings configure a gateway.
type GatewaySettings struct {
	Name    string              `json:"name"`
	Domain  string              `json:"domain"`  // failure domain
	Callers string              `json:"callers"` // address for callers
	Health  string              `json:"health"`  // address on which the balancer asks
	Peer    string              `json:"peer"`    // address for datagrams; the port is the same on all instances
	Admin   string              `json:"admin"`   // address for operators: metrics, dump
	Store   string              `json:"store"`   // the platform's store
	Grace   configurator.Millis `json:"grace"`   // from SIGTERM to SIGKILL
	Slack   float64             `json:"slack"`   // repeats in a window beyond a share of the requests, of all gateways
	Window  configurator.Millis `json:"window"`  // of the retry budget
}

// StewardSettings configure a steward.
type StewardSettings struct {
	Name     string              `json:"name"`
	Service  string              `json:"service"`  // of the runner beside it
	Upstream string              `json:"upstream"` // address of that runner
	Peer     string              `json:"peer"`     // address for datagrams; the port is the same on all instances
	Admin    string              `json:"admin"`    // address for operators: metrics, dump
	Store    string              `json:"store"`    // the platform's store
	Window   configurator.Millis `json:"window"`   // over which loads from the weight store are counted
}

// Gateway reads the settings of a gateway.
func Gateway(path string) (GatewaySettings, error) {
	var s GatewaySettings
	err := load(path, &s, func() []decoder.Problem { return s.check() })
	return s, err
}

// Steward reads the settings of a steward.
func Steward(path string) (StewardSettings, error) {
	var s StewardSettings
	err := load(path, &s, func() []decoder.Problem { return s.check() })
	return s, err
}

func (s GatewaySettings) check() []decoder.Problem {
	problems := checkRequired([]required{
		{"$.name", s.Name, "the name of this instance"},
		{"$.domain", s.Domain, "the failure domain of this instance"},
	})
	problems = append(problems, checkAddresses([][2]string{
		{"$.callers", s.Callers}, {"$.health", s.Health}, {"$.peer", s.Peer}, {"$.admin", s.Admin}, {"$.store", s.Store},
	})...)
	for path, ms := range map[string]configurator.Millis{"$.grace": s.Grace, "$.window": s.Window} {
		if ms <= 0 {
			problems = append(problems, decoder.Problem{Path: path, Text: "expected more than zero milliseconds"})
		}
	}
	if s.Slack < 0 {
		problems = append(problems, decoder.Problem{Path: "$.slack", Text: "expected zero or more repeats"})
	}
	return problems
}

func (s StewardSettings) check() []decoder.Problem {
	problems := checkRequired([]required{
		{"$.name", s.Name, "the name of this instance"},
		{"$.service", s.Service, "the service of the runner beside this process"},
	})
	if s.Window <= 0 {
		problems = append(problems, decoder.Problem{Path: "$.window", Text: "expected more than zero milliseconds"})
	}
	return append(problems, checkAddresses([][2]string{{"$.upstream", s.Upstream}, {"$.peer", s.Peer}, {"$.admin", s.Admin}, {"$.store", s.Store}})...)
}
