package relayer

import (
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// errorWriter passes the error messages of the HTTP server to the logger.
type errorWriter struct{ logger zerolog.Logger }

// Write logs p as one line.
func (w errorWriter) Write(p []byte) (int, error) {
	w.logger.Debug().Str("cause", strings.TrimSpace(string(p))).Msg("http server error")
	return len(p), nil
}

// newErrorLog adapts logger to http.Server.ErrorLog.
func newErrorLog(logger zerolog.Logger) *log.Logger {
	return log.New(errorWriter{logger}, "", 0)
}
