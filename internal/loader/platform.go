package loader

import (
	"github.com/egretwall/egretwall/internal/decoder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// GatewaySettings holds the settings of a gateway. Addresses are an IP address and a
// port.
type GatewaySettings struct {
	Name           string              `json:"name"`
	Domain         string              `json:"domain"`           // failure domain
	CallerAddress  string              `json:"callers"`          // where callers connect
	HealthAddress  string              `json:"health"`           // where the load balancer checks health
	PeerAddress    string              `json:"peer"`             // for datagrams (UDP) and fetches of the configuration (TCP); gateways and stewards use the same port
	AdminAddress   string              `json:"admin"`            // for operators: health, metrics, dump
	StoreAddress   string              `json:"store"`            // the platform's store
	GracePeriod    configurator.Millis `json:"grace"`            // from SIGTERM to SIGKILL
	MaxDrainDelay  configurator.Millis `json:"drain"`            // longest time from an upstream's announcement that it drains until it gets no new requests
	MaxApplyDelay  configurator.Millis `json:"apply"`            // longest time from the publication of a configuration until it is in force
	StrictRevoke   bool                `json:"strict,omitempty"` // accept no keys that were not confirmed for MaxRevokeDelay
	MaxRevokeDelay configurator.Millis `json:"revoke,omitempty"` // longest time from the publication of a configuration without a key until no request with that key is begun, if StrictRevoke is set
	MemoryMB       float64             `json:"memory"`           // MiB that this process may use
	RetryRatio     float64             `json:"ratio"`            // retries per request, over all gateways
	RetrySlack     float64             `json:"slack"`            // retries per RetryWindow in addition to RetryRatio, over all gateways
	RetryWindow    configurator.Millis `json:"window"`           // span over which retries are counted
	Descriptors    int                 `json:"descriptors"`      // file descriptors that this process may use, zero if the platform does not tell
}

// StewardSettings holds the settings of a steward. Addresses are an IP address and a
// port.
type StewardSettings struct {
	Name          string              `json:"name"`
	Service       string              `json:"service"`  // service of the runner that the steward manages
	RunnerAddress string              `json:"upstream"` // address of that runner
	PeerAddress   string              `json:"peer"`     // for datagrams (UDP) and fetches of the configuration (TCP); gateways and stewards use the same port
	AdminAddress  string              `json:"admin"`    // for operators: health, metrics, dump
	StoreAddress  string              `json:"store"`    // the platform's store
	LoadWindow    configurator.Millis `json:"window"`   // sliding window of the rate limit on loads from the weight store
	MemoryMB      float64             `json:"memory"`   // MiB that this process may use
}

// LoadGateway reads and checks the settings of a gateway. The error lists every mistake.
func LoadGateway(path string) (GatewaySettings, error) {
	var s GatewaySettings
	err := loadSettings(path, &s, func() []decoder.Problem { return s.check() })
	return s, err
}

// LoadSteward reads and checks the settings of a steward. The error lists every mistake.
func LoadSteward(path string) (StewardSettings, error) {
	var s StewardSettings
	err := loadSettings(path, &s, func() []decoder.Problem { return s.check() })
	return s, err
}

func (s GatewaySettings) check() []decoder.Problem {
	problems := checkRequired([]requiredField{
		{"$.name", s.Name, "the name of this instance"},
		{"$.domain", s.Domain, "the failure domain of this instance"},
	})
	problems = append(problems, checkAddresses([][2]string{
		{"$.callers", s.CallerAddress}, {"$.health", s.HealthAddress}, {"$.peer", s.PeerAddress}, {"$.admin", s.AdminAddress}, {"$.store", s.StoreAddress},
	})...)
	for path, duration := range map[string]configurator.Millis{"$.grace": s.GracePeriod, "$.window": s.RetryWindow, "$.drain": s.MaxDrainDelay, "$.apply": s.MaxApplyDelay} {
		if duration <= 0 {
			problems = append(problems, decoder.Problem{Path: path, Text: "expected more than zero milliseconds"})
		}
	}
	if s.StrictRevoke != (s.MaxRevokeDelay > 0) {
		problems = append(problems, decoder.Problem{Path: "$.revoke", Text: "expected more than zero milliseconds with \"strict\", and none without it"})
	}
	for path, retries := range map[string]float64{"$.slack": s.RetrySlack, "$.ratio": s.RetryRatio} {
		if retries < 0 {
			problems = append(problems, decoder.Problem{Path: path, Text: "expected zero or more retries"})
		}
	}
	if s.Descriptors < 0 {
		problems = append(problems, decoder.Problem{Path: "$.descriptors", Text: "expected zero or more descriptors"})
	}
	return append(problems, checkMemory(s.MemoryMB)...)
}

func (s StewardSettings) check() []decoder.Problem {
	problems := checkRequired([]requiredField{
		{"$.name", s.Name, "the name of this instance"},
		{"$.service", s.Service, "the service of the runner that this steward manages"},
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
