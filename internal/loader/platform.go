package loader

import (
	"github.com/egretwall/egretwall/internal/decoder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// GatewaySettings configure a gateway.
type GatewaySettings struct {
	Name          string              `json:"name"`
	Domain        string              `json:"domain"`  // failure domain
	CallerAddress string              `json:"callers"` // address for callers
	HealthAddress string              `json:"health"`  // address on which the balancer asks
	PeerAddress   string              `json:"peer"`    // address for datagrams; the port is the same on all instances
	AdminAddress  string              `json:"admin"`   // address for operators: metrics, dump
	StoreAddress  string              `json:"store"`   // the platform's store
	GracePeriod   configurator.Millis `json:"grace"`   // from SIGTERM to SIGKILL
	MaxDrainDelay configurator.Millis `json:"drain"`   // a leaving upstream must get nothing later
	MaxApplyDelay configurator.Millis `json:"apply"`   // a configuration must be in force by then
	MemoryMB      float64             `json:"memory"`  // megabytes that this process may use
	RetryRatio    float64             `json:"ratio"`   // repeats for each request, of all gateways
	RetrySlack    float64             `json:"slack"`   // repeats in a window beyond that, of all gateways
	RetryWindow   configurator.Millis `json:"window"`  // of the retry budget
}

// StewardSettings configure a steward.
type StewardSettings struct {
	Name          string              `json:"name"`
	Service       string              `json:"service"`  // of the runner beside it
	RunnerAddress string              `json:"upstream"` // address of that runner
	PeerAddress   string              `json:"peer"`     // address for datagrams; the port is the same on all instances
	AdminAddress  string              `json:"admin"`    // address for operators: metrics, dump
	StoreAddress  string              `json:"store"`    // the platform's store
	LoadWindow    configurator.Millis `json:"window"`   // over which loads from the weight store are counted
	MemoryMB      float64             `json:"memory"`   // megabytes that this process may use
}

// LoadGateway reads the settings of a gateway.
func LoadGateway(path string) (GatewaySettings, error) {
	var s GatewaySettings
	err := load(path, &s, func() []decoder.Problem { return s.check() })
	return s, err
}

// LoadSteward reads the settings of a steward.
func LoadSteward(path string) (StewardSettings, error) {
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
		{"$.callers", s.CallerAddress}, {"$.health", s.HealthAddress}, {"$.peer", s.PeerAddress}, {"$.admin", s.AdminAddress}, {"$.store", s.StoreAddress},
	})...)
	for path, ms := range map[string]configurator.Millis{"$.grace": s.GracePeriod, "$.window": s.RetryWindow, "$.drain": s.MaxDrainDelay, "$.apply": s.MaxApplyDelay} {
		if ms <= 0 {
			problems = append(problems, decoder.Problem{Path: path, Text: "expected more than zero milliseconds"})
		}
	}
	for path, repeats := range map[string]float64{"$.slack": s.RetrySlack, "$.ratio": s.RetryRatio} {
		if repeats < 0 {
			problems = append(problems, decoder.Problem{Path: path, Text: "expected zero or more repeats"})
		}
	}
	return append(problems, checkMemory(s.MemoryMB)...)
}

func (s StewardSettings) check() []decoder.Problem {
	problems := checkRequired([]required{
		{"$.name", s.Name, "the name of this instance"},
		{"$.service", s.Service, "the service of the runner beside this process"},
	})
	if s.LoadWindow <= 0 {
		problems = append(problems, decoder.Problem{Path: "$.window", Text: "expected more than zero milliseconds"})
	}
	problems = append(problems, checkMemory(s.MemoryMB)...)
	return append(problems, checkAddresses([][2]string{{"$.upstream", s.RunnerAddress}, {"$.peer", s.PeerAddress}, {"$.admin", s.AdminAddress}, {"$.store", s.StoreAddress}})...)
}

func checkMemory(megabytes float64) []decoder.Problem {
	if megabytes > 0 {
		return nil
	}
	return []decoder.Problem{{Path: "$.memory", Text: "expected more than zero megabytes"}}
}
