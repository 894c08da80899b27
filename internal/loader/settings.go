// Package loader reads and checks the files that operators write: settings of
// processes, questionnaires and configurations.
//
// Usage:
//
//	settings, err := loader.LoadEntry("entry.json")
//	kind, problems, err := loader.Check("any.json")
package loader

import (
	"fmt"
	"net"
	"os"
	"reflect"
	"strings"

	"github.com/egretwall/egretwall/internal/authenticator"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/decoder"
	"github.com/egretwall/egretwall/internal/generator"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// EntrySettings holds the settings of an entry. Addresses are an IP address and a port.
type EntrySettings struct {
	Name         string              `json:"name"`
	Domain       string              `json:"domain"`  // failure domain
	Address      string              `json:"address"` // where callers connect
	AdminAddress string              `json:"admin"`   // for operators
	DrainDelay   configurator.Millis `json:"notice"`  // from failing health checks until the listener closes, so that the load balancer notices
	LogAddress   string              `json:"log"`     // the platform's log
	ListAddress  string              `json:"list"`    // the platform's instance list
	TLS          authenticator.Files `json:"tls"`
	Seed         uint64              `json:"seed,omitempty"` // of the random choices
}

// AgentSettings holds the settings of an agent. Addresses are an IP address and a port.
type AgentSettings struct {
	Upstream      string              `json:"upstream"`  // its name in the configuration
	Address       string              `json:"address"`   // where entries connect
	AdminAddress  string              `json:"admin"`     // for operators
	EngineAddress string              `json:"engine"`    // where the upstream listens
	LogRetention  configurator.Millis `json:"retention"` // how long the log keeps records
	LogAddress    string              `json:"log"`
	ListAddress   string              `json:"list"`
	TLS           authenticator.Files `json:"tls"`
	Seed          uint64              `json:"seed,omitempty"` // of the random choices
}

// LoadEntry reads and checks the settings of an entry. The error lists every mistake.
func LoadEntry(path string) (EntrySettings, error) {
	var s EntrySettings
	err := loadSettings(path, &s, func() []decoder.Problem { return s.check() })
	return s, err
}

// LoadAgent reads and checks the settings of an agent. The error lists every mistake.
func LoadAgent(path string) (AgentSettings, error) {
	var s AgentSettings
	err := loadSettings(path, &s, func() []decoder.Problem { return s.check() })
	return s, err
}

// loadSettings decodes a file into v and checks it; check runs after v is filled.
func loadSettings(path string, v any, check func() []decoder.Problem) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return classifier.Wrap(classifier.Invalid, err, "read settings")
	}
	return ProblemsError(path, append(decoder.Decode(data, v), check()...))
}

// ProblemsError returns an error of kind classifier.Invalid with a line for each problem
// of a file, and nil if there are none.
func ProblemsError(path string, problems []decoder.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = path + ": " + p.String()
	}
	return classifier.New(classifier.Invalid, "%s", strings.Join(lines, "\n"))
}

// requiredField is a setting that must not be empty.
type requiredField struct{ path, value, description string }

func checkRequired(fields []requiredField) []decoder.Problem {
	var problems []decoder.Problem
	for _, f := range fields {
		if f.value == "" {
			problems = append(problems, decoder.Problem{Path: f.path, Text: "expected " + f.description})
		}
	}
	return problems
}

// checkAddresses checks pairs of a JSON path and the address found there.
func checkAddresses(addresses [][2]string) []decoder.Problem {
	var problems []decoder.Problem
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a[1])
		if err != nil || net.ParseIP(host) == nil {
			problems = append(problems, decoder.Problem{Path: a[0], Text: fmt.Sprintf("expected an IP address with a port, such as 10.0.0.1:7000, found %q", a[1])})
		}
	}
	return problems
}

func checkTLS(files authenticator.Files) []decoder.Problem {
	return checkRequired([]requiredField{
		{"$.tls.authority", files.Authority, "the PEM file of the certificate authority"},
		{"$.tls.certificate", files.Certificate, "the PEM file of this process's certificate"},
		{"$.tls.key", files.Key, "the PEM file of the certificate's private key"},
	})
}

func (s EntrySettings) check() []decoder.Problem {
	problems := checkRequired([]requiredField{
		{"$.name", s.Name, "the unique name of this entry"},
		{"$.domain", s.Domain, "the failure domain of this instance"},
	})
	if s.DrainDelay < 0 {
		problems = append(problems, decoder.Problem{Path: "$.notice", Text: "expected zero or more milliseconds"})
	}
	problems = append(problems, checkAddresses([][2]string{{"$.address", s.Address}, {"$.admin", s.AdminAddress}, {"$.log", s.LogAddress}, {"$.list", s.ListAddress}})...)
	return append(problems, checkTLS(s.TLS)...)
}

func (s AgentSettings) check() []decoder.Problem {
	problems := checkRequired([]requiredField{{"$.upstream", s.Upstream, "the name of the upstream in the configuration"}})
	if s.LogRetention <= 0 {
		problems = append(problems, decoder.Problem{Path: "$.retention", Text: "expected the time for which the log keeps records, in milliseconds"})
	}
	problems = append(problems, checkAddresses([][2]string{
		{"$.address", s.Address}, {"$.admin", s.AdminAddress}, {"$.engine", s.EngineAddress}, {"$.log", s.LogAddress}, {"$.list", s.ListAddress},
	})...)
	return append(problems, checkTLS(s.TLS)...)
}

// Kind is the kind of a file that Check recognizes.
type Kind string

// The kinds of files, as commands print them.
const (
	KindQuestionnaire   Kind = "questionnaire"
	KindConfiguration   Kind = "configuration"
	KindEntrySettings   Kind = "entry settings"
	KindAgentSettings   Kind = "agent settings"
	KindGatewaySettings Kind = "gateway settings"
	KindStewardSettings Kind = "steward settings"
)

// Check reads a file, detects its kind by its fields and returns every mistake in it. The
// error is of kind classifier.Invalid if the file can't be read.
func Check(path string) (Kind, []decoder.Problem, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, classifier.Wrap(classifier.Invalid, err, "read file")
	}
	kind := detectKind(data)
	switch kind {
	case KindQuestionnaire:
		q, problems := generator.Parse(data)
		_, configProblems := generator.Generate(q)
		return kind, append(problems, configProblems...), nil
	case KindConfiguration:
		_, problems := configurator.Parse(data)
		return kind, problems, nil
	case KindAgentSettings:
		var s AgentSettings
		problems := decoder.Decode(data, &s)
		return kind, append(problems, s.check()...), nil
	case KindGatewaySettings:
		var s GatewaySettings
		problems := decoder.Decode(data, &s)
		return kind, append(problems, s.check()...), nil
	case KindStewardSettings:
		var s StewardSettings
		problems := decoder.Decode(data, &s)
		return kind, append(problems, s.check()...), nil
	default:
		var s EntrySettings
		problems := decoder.Decode(data, &s)
		return kind, append(problems, s.check()...), nil
	}
}

// detectKind returns the kind that defines most of a document's top-level fields. The
// first one listed wins a tie.
func detectKind(data []byte) Kind {
	fields := decoder.ObjectKeys(data)
	best, bestMatches := KindEntrySettings, -1
	for _, candidate := range []struct {
		kind Kind
		v    any
	}{{KindEntrySettings, EntrySettings{}}, {KindAgentSettings, AgentSettings{}}, {KindGatewaySettings, GatewaySettings{}}, {KindStewardSettings, StewardSettings{}}, {KindConfiguration, configurator.Configuration{}}, {KindQuestionnaire, generator.Questionnaire{}}} {
		known := decoder.FieldNames(reflect.TypeOf(candidate.v))
		matches := 0
		for _, f := range fields {
			if known[f] {
				matches++
			}
		}
		if matches > bestMatches {
			best, bestMatches = candidate.kind, matches
		}
	}
	return best
}
