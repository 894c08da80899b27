package loader

import (
	"testing"

	"github.com/stretchr/testify/require"
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
