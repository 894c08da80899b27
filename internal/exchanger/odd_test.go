package exchanger

import (
	"bytes"
	"compress/gzip"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeRaw returns a handler that writes bytes to its connection and closes it.
func writeRaw(response string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		_ = c.Close()
	}
}

func TestOddAnswersOfAPeerAreErrors(t *testing.T) {
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	for range 64 {
		_, _ = w.Write(make([]byte, 1<<20))
	}
	require.NoError(t, w.Close())
	const sound = `{"value":"AAAA"}`
	for name, answer := range map[string]http.HandlerFunc{
		"empty": func(http.ResponseWriter, *http.Request) {},
		"no CBOR": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentTypeCBOR)
			_, _ = w.Write([]byte("{}"))
		},
		"deep CBOR": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentTypeCBOR)
			_, _ = w.Write(bytes.Repeat([]byte{0x81}, 100_000))
		},
		"deep JSON": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(bytes.Repeat([]byte{'['}, 100_000)) },
		"long CBOR bytes": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentTypeCBOR)
			_, _ = w.Write([]byte("\xa1\x02\x5b\x7f\xff\xff\xff\xff\xff\xff\xff"))
		},
		"no gzip": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write([]byte("x"))
		},
		"gzip bomb": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write(bomb.Bytes())
		},
		"declared length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9000000000000000000")
			_, _ = w.Write([]byte("x"))
		},
		"status":                        func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) },
		"redirect":                      func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/elsewhere", http.StatusFound) },
		"status of zero":                writeRaw("HTTP/1.1 000 Oops\r\nContent-Length: 16\r\n\r\n" + sound),
		"blank in a name":               writeRaw("HTTP/1.1 200 OK\r\nContent-Length : 16\r\n\r\n" + sound),
		"blank in a name, and no newer": writeRaw("HTTP/1.1 204 No Content\r\nNo te: x\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(answer)
			defer s.Close()
			r, err := Fetch(t.Context(), Request{Address: strings.TrimPrefix(s.URL, "http://"), After: math.MaxInt64})
			require.Error(t, err)
			require.NotErrorIs(t, err, ErrNotNewer)
			require.Empty(t, r.Value)
		})
	}
}
