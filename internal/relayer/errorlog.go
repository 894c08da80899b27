package relayer

import (
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// errorWriter passes what the HTTP server complains about to the logger.
type errorWriter struct{ logger zerolog.Logger }

// Write logs one line.
func (w errorWriter) Write(p []byte) (int, error) {
	w.logger.Debug().Str("cause", strings.TrimSpace(string(p))).Msg("caller connection failed")
	return len(p), nil
}

func newErrorLog(logger zerolog.Logger) *log.Logger {
	return log.New(errorWriter{logger}, "", 0)
}
