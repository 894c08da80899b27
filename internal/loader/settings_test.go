package loader

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/decoder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

func write(t testing.TB, data string) string {
	path := filepath.Join(t.TempDir(), "file.json")
	require.NoError(t, os.WriteFile(path, []byte(data), 0o600))
	return path
}

func TestCheckNamesEveryMistake(t *testing.T) {
	kind, problems, err := Check(write(t, `{"name":"e","address":"host:1","admin":"10.0.0.1:2","log":"10.0.0.1:3","list":"10.0.0.1:4","seed":-1,"port":8}`))
	require.NoError(t, err)
	require.Equal(t, KindEntrySettings, kind)
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	require.ElementsMatch(t, []string{"$.seed", "$.port", "$.domain", "$.address", "$.tls.authority", "$.tls.certificate", "$.tls.key"}, paths)
}

func TestExamplesAreValid(t *testing.T) {
	for name, want := range map[string]Kind{"questionnaire": KindQuestionnaire, "configuration": KindConfiguration, "entry": KindEntrySettings, "agent": KindAgentSettings} {
		for _, deployment := range []string{"havengelden", "kelheim"} {
			kind, problems, err := Check("../../examples/" + deployment + "/" + name + ".json")
			require.NoError(t, err)
			require.Equal(t, want, kind)
			require.Empty(t, problems)
		}
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"name":"e","tls":{}}`))
	f.Add([]byte(`{"upstream":"u","retention":1}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var e EntrySettings
		decoder.Decode(data, &e)
		e.check()
		var a AgentSettings
		decoder.Decode(data, &a)
		a.check()
		configurator.Parse(data)
	})
}
