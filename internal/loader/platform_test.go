package loader

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/pkg/configurator"
)

func TestGatewayAndStewardSettingsAreChecked(t *testing.T) {
	for _, c := range []struct {
		kind  Kind
		text  string
		paths []string
	}{
		{KindGatewaySettings, `{"name":"g","domain":"z","callers":"10.0.0.1:1","health":"10.0.0.1:2","peer":"10.0.0.1:3","admin":"10.0.0.1:4",
			"store":"10.0.0.9:1","grace":8000,"drain":2000,"apply":2000,"memory":284,"descriptors":4100,"ratio":0.2,"slack":56,"window":10000}`, nil},
		{
			KindGatewaySettings, `{"name":"g","domain":"z","callers":"here","health":"10.0.0.1:2","peer":"10.0.0.1:3","admin":"10.0.0.1:4",
			"store":"10.0.0.9:1","grace":0,"drain":2000,"apply":-1,"memory":0,"descriptors":-1,"ratio":-0.2,"slack":56,"window":10000}`,
			[]string{"$.callers", "$.grace", "$.apply", "$.memory", "$.descriptors", "$.ratio"},
		},
		{KindGatewaySettings, `{"name":"g","domain":"z","callers":"10.0.0.1:1","health":"10.0.0.1:2","peer":"10.0.0.1:3","admin":"10.0.0.1:4",
			"store":"10.0.0.9:1","grace":8000,"drain":2000,"apply":2000,"memory":284,"ratio":0.2,"slack":56,"window":10000,"strict":true,"revoke":5000}`, nil},
		{
			KindGatewaySettings, `{"name":"g","domain":"z","callers":"10.0.0.1:1","health":"10.0.0.1:2","peer":"10.0.0.1:3","admin":"10.0.0.1:4",
			"store":"10.0.0.9:1","grace":8000,"drain":2000,"apply":2000,"memory":284,"ratio":0.2,"slack":56,"window":10000,"strict":true}`,
			[]string{"$.revoke"},
		},
		{
			KindGatewaySettings, `{"name":"g","domain":"z","callers":"10.0.0.1:1","health":"10.0.0.1:2","peer":"10.0.0.1:3","admin":"10.0.0.1:4",
			"store":"10.0.0.9:1","grace":8000,"drain":2000,"apply":2000,"memory":284,"ratio":0.2,"slack":56,"window":10000,"revoke":5000}`,
			[]string{"$.revoke"},
		},
		{KindStewardSettings, `{"name":"s","service":"llm","upstream":"10.0.0.1:8","peer":"10.0.0.1:3","admin":"10.0.0.1:4","store":"10.0.0.9:1","window":5000,"memory":216}`, nil},
		{
			KindStewardSettings, `{"name":"s","upstream":"10.0.0.1:8","peer":"10.0.0.1:3","admin":"10.0.0.1:4","store":"10.0.0.9:1","window":0,"memory":216,"size":3}`,
			[]string{"$.service", "$.window", "$.size"},
		},
	} {
		kind, problems, err := Check(writeFile(t, c.text))
		require.NoError(t, err)
		require.Equal(t, c.kind, kind)
		var paths []string
		for _, p := range problems {
			paths = append(paths, p.Path)
		}
		require.ElementsMatch(t, c.paths, paths)
	}
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template as the platform does, as far as the gateway's needs it. Sections
// are for values that are true.
func render(template string, values map[string]string) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if m[1] == m[3] && values[m[1]] == "true" {
			return m[2]
		}
		return ""
	})
	return placeholderPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := placeholderPattern.FindStringSubmatch(s)
		if m[2] != "" {
			return strconv.Quote(values[m[1]])
		}
		return values[m[1]]
	})
}

// Deployments without workspaces don't have the bounds on keys.
func TestSettingsOfTheDeploymentAreValidWithAndWithoutBoundsOnKeys(t *testing.T) {
	template, err := os.ReadFile("../../deploy/gateway.json")
	require.NoError(t, err)
	values := map[string]string{
		"NodeName": "g", "Zone": "z", "Listen.Front": "10.0.0.1:1", "Listen.Ready": "10.0.0.1:2", "Ip": "10.0.0.1", "PortRange.0": "7380",
		"Platform.Address": "10.0.0.9:1", "Bounds.GraceS": "8", "Bounds.DrainMs": "3000", "Bounds.ConfigApplyMs": "3000", "Limits.MemoryMb": "284", "Limits.MaxFds": "4100",
		"Bounds.BudgetRatio": "0.2", "Bounds.BudgetSlack": "56", "Bounds.BudgetWindowS": "10",
	}
	for _, c := range []struct {
		strict, revoke string
		want           configurator.Millis
	}{{"", "", 0}, {"false", "5000", 0}, {"true", "5000", 5000}} {
		values["Bounds.StrictRevoke"], values["Bounds.RevokeMs"] = c.strict, c.revoke
		s, err := LoadGateway(writeFile(t, render(string(template), values)))
		require.NoError(t, err)
		require.Equal(t, c.want, s.MaxRevokeDelay)
		require.Equal(t, c.want > 0, s.StrictRevoke)
	}
}
