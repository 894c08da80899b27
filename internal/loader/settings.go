// Package loader reads and checks the files that operators write: settings of
// processes, questionnaires and configurations.
//
// Usage:
//
//	settings, err := loader.Entry("entry.json")
//	problems, err := loader.Check("any.json")
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

// EntrySettings configure an entry process.
type EntrySettings struct {
	Name         string              `json:"name"`
	Domain       string              `json:"domain"`         // failure domain
	Address      string              `json:"address"`        // for callers
	AdminAddress string              `json:"admin"`          // for operators
	DrainDelay   configurator.Millis `json:"notice"`         // time for the balancer to see red health
	LogAddress   string              `json:"log"`            // the platform's log
	ListAddress  string              `json:"list"`           // the platform's instance list
	TLS          authenticator.Files `json:"tls"`            //
	Seed         uint64              `json:"seed,omitempty"` // of random choices
}

// AgentSettings configure an agent process.
type AgentSettings struct {
	Upstream      string              `json:"upstream"`  // its name in the configuration
	Address       string              `json:"address"`   // for entries
	AdminAddress  string              `json:"admin"`     // for operators
	EngineAddress string              `json:"engine"`    // the upstream beside it
	LogRetention  configurator.Millis `json:"retention"` // for which the log keeps records
	LogAddress    string              `json:"log"`
	ListAddress   string              `json:"list"`
	TLS           authenticator.Files `json:"tls"`
	Seed          uint64              `json:"seed,omitempty"`
}

// LoadEntry reads the settings of an entry.
func LoadEntry(path string) (EntrySettings, error) {
	var s EntrySettings
	err := load(path, &s, func() []decoder.Problem { return s.check() })
	return s, err
}

// LoadAgent reads the settings of an agent.
func LoadAgent(path string) (AgentSettings, error) {
	var s AgentSettings
	err := load(path, &s, func() []decoder.Problem { return s.check() })
	return s, err
}

func load(path string, v any, check func() []decoder.Problem) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return classifier.Wrap(classifier.Invalid, err, "read settings")
	}
	return ProblemsError(path, append(decoder.Decode(data, v), check()...))
}

// ProblemsError turns problems of a file into one error, and nil if there are none.
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

type required struct{ path, value, want string }

func checkRequired(list []required) []decoder.Problem {
	var problems []decoder.Problem
	for _, r := range list {
		if r.value == "" {
			problems = append(problems, decoder.Problem{Path: r.path, Text: "expected " + r.want})
		}
	}
	return problems
}

func checkAddresses(list [][2]string) []decoder.Problem {
	var problems []decoder.Problem
	for _, a := range list {
		host, _, err := net.SplitHostPort(a[1])
		if err != nil || net.ParseIP(host) == nil {
			problems = append(problems, decoder.Problem{Path: a[0], Text: fmt.Sprintf("expected an IP number with a port, such as 10.0.0.1:7000, found %q", a[1])})
		}
	}
	return problems
}

func checkTLS(files authenticator.Files) []decoder.Problem {
	return checkRequired([]required{
		{"$.tls.authority", files.Authority, "the PEM file of the authority"},
		{"$.tls.certificate", files.Certificate, "the PEM file of this process's certificate"},
		{"$.tls.key", files.Key, "the PEM file of the certificate's key"},
	})
}

func (s EntrySettings) check() []decoder.Problem {
	problems := checkRequired([]required{
		{"$.name", s.Name, "the name of this entry, which no other has"},
		{"$.domain", s.Domain, "the failure domain of this instance"},
	})
	if s.DrainDelay < 0 {
		problems = append(problems, decoder.Problem{Path: "$.notice", Text: "expected zero or more milliseconds"})
	}
	problems = append(problems, checkAddresses([][2]string{{"$.address", s.Address}, {"$.admin", s.AdminAddress}, {"$.log", s.LogAddress}, {"$.list", s.ListAddress}})...)
	return append(problems, checkTLS(s.TLS)...)
}

func (s AgentSettings) check() []decoder.Problem {
	problems := checkRequired([]required{{"$.upstream", s.Upstream, "the name of the upstream in the configuration"}})
	if s.LogRetention <= 0 {
		problems = append(problems, decoder.Problem{Path: "$.retention", Text: "expected the time for which the log keeps records, in milliseconds"})
	}
	problems = append(problems, checkAddresses([][2]string{
		{"$.address", s.Address}, {"$.admin", s.AdminAddress}, {"$.engine", s.EngineAddress}, {"$.log", s.LogAddress}, {"$.list", s.ListAddress},
	})...)
	return append(problems, checkTLS(s.TLS)...)
}

// Kind is a kind of file that Check knows.
type Kind string

// The kinds of files.
const (
	KindQuestionnaire   Kind = "questionnaire"
	KindConfiguration   Kind = "configuration"
	KindEntrySettings   Kind = "entry settings"
	KindAgentSettings   Kind = "agent settings"
	KindGatewaySettings Kind = "gateway settings"
	KindStewardSettings Kind = "steward settings"
)

// Check reads a file, tells by its fields what it is, and returns every mistake.
func Check(path string) (Kind, []decoder.Problem, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, classifier.Wrap(classifier.Invalid, err, "read file")
	}
	kind := kindOf(data)
	switch kind {
	case KindQuestionnaire:
		q, problems := generator.Parse(data)
		_, more := generator.Generate(q)
		return kind, append(problems, more...), nil
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

// kindOf returns the kind that knows most of a document's fields.
func kindOf(data []byte) Kind {
	fields := decoder.ObjectKeys(data)
	best, most := KindEntrySettings, -1
	for _, k := range []struct {
		kind Kind
		v    any
	}{{KindEntrySettings, EntrySettings{}}, {KindAgentSettings, AgentSettings{}}, {KindGatewaySettings, GatewaySettings{}}, {KindStewardSettings, StewardSettings{}}, {KindConfiguration, configurator.Configuration{}}, {KindQuestionnaire, generator.Questionnaire{}}} {
		known := decoder.FieldNames(reflect.TypeOf(k.v))
		n := 0
		for _, f := range fields {
			if known[f] {
				n++
			}
		}
		if n > most {
			best, most = k.kind, n
		}
	}
	return best
}
