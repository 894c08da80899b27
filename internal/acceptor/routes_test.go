package acceptor

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
)

func TestParseCall(t *testing.T) {
	call, err := ParseCall([]byte(`{"model":"m","stream":true,"messages":[]}`))
	require.NoError(t, err)
	require.Equal(t, Call{"m", true}, call)
	for _, body := range []string{``, `null`, `[]`, `{"model":1}`, `{}`, `{"model":"m"`} {
		_, err := ParseCall([]byte(body))
		require.Equal(t, classifier.Invalid, classifier.KindOf(err), body)
	}
}

func FuzzParseCall(f *testing.F) {
	f.Add([]byte(`{"model":"m","stream":true}`))
	f.Add([]byte(`{"model":"m","model":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		call, err := ParseCall(data)
		if err == nil {
			require.NotEmpty(t, call.Model)
			require.True(t, json.Valid(data))
		}
	})
}
