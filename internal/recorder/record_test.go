package recorder

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/claimer"
)

func TestDecodeRefusesRecordsWithoutTheirContent(t *testing.T) {
	data, err := json.Marshal(Record{ID: "1", Kind: KindClaims, Claims: []claimer.Claim{{AttemptID: "a", Key: "k"}}})
	require.NoError(t, err)
	r, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, claimer.Key("k"), r.Claims[0].Key)
	for _, bad := range []string{`{}`, `null`, `{"kind":"lease"}`, `{"kind":"change","claims":[]}`, `[`} {
		_, err := Decode([]byte(bad))
		require.Error(t, err, bad)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"1","kind":"lease","lease":{"upstream":"u","term":1}}`))
	f.Add([]byte(`{"id":"1","kind":"state","state":{"data":{},"hash":1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err == nil {
			_, err = json.Marshal(r)
			require.NoError(t, err)
		}
	})
}
