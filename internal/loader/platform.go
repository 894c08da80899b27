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
	Drain   configurator.Millis `json:"drain"`   // a leaving upstream must get nothing later
	Apply   configurator.Millis `json:"apply"`   // a configuration must be in force by then
	Memory  float64             `json:"memory"`  // megabytes that this process may use
	Ratio   float64             `json:"ratio"`   // repeats for each request, of all gateways
	Slack   float64             `json:"slack"`   // repeats in a window beyond that, of all gateways
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
	Memory   float64             `json:"memory"`   // megabytes that this process may use
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
	for path, ms := range map[string]configurator.Millis{"$.grace": s.Grace, "$.window": s.Window, "$.drain": s.Drain, "$.apply": s.Apply} {
		if ms <= 0 {
			problems = append(problems, decoder.Problem{Path: path, Text: "expected more than zero milliseconds"})
		}
	}
	for path, repeats := range map[string]float64{"$.slack": s.Slack, "$.ratio": s.Ratio} {
		if repeats < 0 {
			problems = append(problems, decoder.Problem{Path: path, Text: "expected zero or more repeats"})
		}
	}
	return append(problems, checkMemory(s.Memory)...)
}

func (s StewardSettings) check() []decoder.Problem {
	problems := checkRequired([]required{
		{"$.name", s.Name, "the name of this instance"},
		{"$.service", s.Service, "the service of the runner beside this process"},
	})
	if s.Window <= 0 {
		problems = append(problems, decoder.Problem{Path: "$.window", Text: "expected more than zero milliseconds"})
	}
	problems = append(problems, checkMemory(s.Memory)...)
	return append(problems, checkAddresses([][2]string{{"$.upstream", s.Upstream}, {"$.peer", s.Peer}, {"$.admin", s.Admin}, {"$.store", s.Store}})...)
}

func checkMemory(megabytes float64) []decoder.Problem {
	if megabytes > 0 {
		return nil
	}
	return []decoder.Problem{{Path: "$.memory", Text: "expected more than zero megabytes"}}
}
