package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"github.com/egretwall/egretwall/internal/authenticator"
	"github.com/egretwall/egretwall/internal/driver"
	"github.com/egretwall/egretwall/internal/lister"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/recorder"
)

// processFlags holds the flags that the commands entry and agent share.
type processFlags struct {
	settings *string
	logLevel *string
}

func bindProcessFlags(c *kingpin.CmdClause) processFlags {
	return processFlags{
		settings: c.Flag("settings", "Settings file of the process.").Required().String(),
		logLevel: c.Flag("log-level", "Log level: debug, info, warn or error.").Default("info").String(),
	}
}

// process is the common interface of entries and agents.
type process interface {
	Run(context.Context) error
	Stop()
	Address() string
	AdminAddress() string
}

// sharedSettings holds the settings that entries and agents have in common.
type sharedSettings struct {
	LogAddress  string // the platform's log
	ListAddress string // the platform's instance list
	TLS         authenticator.Files
}

// runProcess builds an entry or agent from constructors, which must provide its
// settings, sharedSettings and process, and serves until it has drained.
func runProcess(ctx context.Context, s Streams, flags processFlags, constructors ...any) error {
	c := dig.New()
	shared := []any{
		func() (zerolog.Logger, error) { return observer.NewLogger(s.Err, *flags.logLevel) },
		func(p sharedSettings) driver.RecordLog {
			return recorder.NewClient(recorder.Config{Address: p.LogAddress})
		},
		func(p sharedSettings) driver.InstanceList {
			return lister.NewClient(lister.Config{Address: p.ListAddress})
		},
		func(p sharedSettings) (*authenticator.Authenticator, error) { return authenticator.FromFiles(p.TLS) },
	}
	for _, constructor := range append(shared, constructors...) {
		if err := c.Provide(constructor); err != nil {
			return err
		}
	}
	err := c.Invoke(func(p process, log zerolog.Logger) error {
		log.Info().Str("address", p.Address()).Str("admin", p.AdminAddress()).Msg("serving")
		onStopSignal(p.Stop)
		err := p.Run(ctx)
		log.Info().Msg("stopped")
		return err
	})
	return dig.RootCause(err)
}
