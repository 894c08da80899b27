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

// processFlags are the arguments that entries and agents share.
type processFlags struct {
	settings *string
	level    *string
}

func bindProcess(c *kingpin.CmdClause) processFlags {
	return processFlags{
		settings: c.Flag("settings", "Settings file of the process.").Required().String(),
		level:    c.Flag("log-level", "debug, info, warn or error.").Default("info").String(),
	}
}

// process is what entries and agents have in common.
type process interface {
	Run(context.Context) error
	Stop()
	Address() string
	AdminAddress() string
}

// platformSettings name what both kinds of processes connect to.
type platformSettings struct {
	Log  string
	List string
	TLS  authenticator.Files
}

// runProcess builds a process from its parts and serves until it has drained.
func runProcess(ctx context.Context, s Streams, flags processFlags, constructors ...any) error {
	c := dig.New()
	shared := []any{
		func() (zerolog.Logger, error) { return observer.NewLogger(s.Err, *flags.level) },
		func(p platformSettings) driver.RecordLog { return recorder.NewClient(recorder.Config{Address: p.Log}) },
		func(p platformSettings) driver.InstanceList { return lister.NewClient(lister.Config{Address: p.List}) },
		func(p platformSettings) (*authenticator.Authenticator, error) { return authenticator.FromFiles(p.TLS) },
	}
	for _, constructor := range append(shared, constructors...) {
		if err := c.Provide(constructor); err != nil {
			return err
		}
	}
	err := c.Invoke(func(p process, log zerolog.Logger) error {
		log.Info().Str("address", p.Address()).Str("admin", p.AdminAddress()).Msg("serving")
		onStop(p.Stop)
		err := p.Run(ctx)
		log.Info().Msg("stopped")
		return err
	})
	return dig.RootCause(err)
}
