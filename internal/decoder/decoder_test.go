package decoder

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Name  string   `json:"name"`
	Size  int64    `json:"size"`
	Parts []sample `json:"parts"`
}

func TestDecodeReportsEveryProblem(t *testing.T) {
	var v sample
	problems := Decode([]byte(`{"name": 3, "sizes": 1, "size": 1.5, "parts": [{"name": "a", "name": "b"}]}`), &v)
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	require.Equal(t, []string{"$.name", "$.sizes", "$.size", "$.parts[0].name"}, paths)
}

func TestDecodeRejectsTrailingAndMalformedInput(t *testing.T) {
	var v sample
	require.NotEmpty(t, Decode([]byte(`{} {}`), &v))
	require.NotEmpty(t, Decode([]byte(`{"name":`), &v))
	require.Empty(t, Decode([]byte(`{"name": "a"}`), &v))
	require.Equal(t, "a", v.Name)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "parts": [{}]}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var v sample
		Decode(data, &v)
	})
}
