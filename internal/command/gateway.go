package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/driver"
	"github.com/egretwall/egretwall/internal/loader"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/platform"
)

var gatewayCommand = Command{
	Name: "gateway",
	Help: "Answer callers on the users' platform.",
	Bind: func(c *kingpin.CmdClause) Action {
		flags := bindPlatform(c)
		return func(ctx context.Context, s Streams) error {
			cfg, err := loader.Gateway(*flags.settings)
			if err != nil {
				return err
			}
			return flags.run(ctx, s, func(logger zerolog.Logger) (server, error) {
				return driver.NewGateway(driver.GatewayConfig{
					Name: cfg.Name, Domain: registrar.DomainName(cfg.Domain), Callers: cfg.Callers, Health: cfg.Health, Peer: cfg.Peer,
					Grace: cfg.Grace.Duration(), Allowance: dispatcher.Allowance{Slack: cfg.Slack, Window: cfg.Window.Duration()},
					Directory: platform.NewStore(platform.StoreConfig{Address: cfg.Store}), Dialect: platform.Dialect{},
					Ready: platform.ReadinessPath, Logger: logger,
				})
			})
		}
	},
}

// platformFlags are the arguments that gateways and stewards share.
type platformFlags struct {
	settings *string
	level    *string
}

func bindPlatform(c *kingpin.CmdClause) platformFlags {
	return platformFlags{
		settings: c.Flag("settings", "Settings file of the process.").Envar(platform.SettingsVariable).Required().String(),
		level:    c.Flag("log-level", "debug, info, warn or error.").Default("info").String(),
	}
}

// server is what gateways and stewards have in common.
type server interface {
	Run(context.Context) error
	Stop()
}

// run serves until the process has drained after a signal.
func (f platformFlags) run(ctx context.Context, s Streams, build func(zerolog.Logger) (server, error)) error {
	logger, err := observer.NewLogger(s.Out, *f.level)
	if err != nil {
		return err
	}
	p, err := build(logger)
	if err != nil {
		return err
	}
	logger.Info().Msg("serving")
	onStop(p.Stop)
	err = p.Run(ctx)
	logger.Info().AnErr("cause", err).Msg("stopped")
	return err
}
