package forwarder

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/linkpb"
)

func TestEventsAreReadOneByOne(t *testing.T) {
	stream := ": beat\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n: beat\n\nevent: x\ndata: 1\ndata: 2\r\n\ndata: [DONE]\n\n"
	r := bufio.NewReader(strings.NewReader(stream))
	lines := 0
	countLine := func() { lines++ }
	ev, err := readEvent(r, countLine)
	require.NoError(t, err)
	require.Equal(t, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n", string(ev.raw))
	text, tokens := generatedText(ev.data)
	require.Equal(t, "a", text)
	require.Equal(t, 1, tokens)
	ev, err = readEvent(r, countLine)
	require.NoError(t, err)
	require.Equal(t, "12", string(ev.data))
	ev, err = readEvent(r, countLine)
	require.NoError(t, err)
	require.Equal(t, "[DONE]", string(ev.data))
	_, err = readEvent(r, countLine)
	require.ErrorIs(t, err, errTruncated)
	require.Equal(t, 12, lines, "onLine is called for each line")
}

func TestResumePointIsAddedToTheBody(t *testing.T) {
	body, err := engineBody(&linkpb.Submit{Model: "m", Body: []byte(`{"model":"m","x":[1]}`), Tokens: 2, Prefix: "a b "}, 1)
	require.NoError(t, err)
	require.JSONEq(t, `{"model":"m","x":[1],"priority":1,"resume":{"tokens":2,"text":"a b "}}`, string(body))
}

func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("data: {}\n\n: c\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data:\r\n\r\n\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(data), 16)
		for {
			ev, err := readEvent(r, func() {})
			if err != nil {
				return
			}
			require.NotNil(t, ev.data)
			generatedText(ev.data)
		}
	})
}

func FuzzEngineBody(f *testing.F) {
	f.Add([]byte(`{"model":"m"}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := engineBody(&linkpb.Submit{Model: "m", Body: data, Tokens: 1}, 0)
		if err == nil {
			require.True(t, json.Valid(body))
		}
	})
}
