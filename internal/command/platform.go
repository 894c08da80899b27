package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/platform"
)

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

// platformProcess is what gateways and stewards have in common; C describes one.
type platformProcess[C any] interface {
	Run(ctx context.Context) error
	Stop()
	Reload(cfg C)
}

// runOnPlatform serves until the process has drained after SIGTERM or SIGINT.
// SIGHUP reads the settings again; a file with mistakes changes nothing.
func runOnPlatform[C any](ctx context.Context, s Streams, flags platformFlags, read func() (C, error), build func(C, *observer.BoundedLogger) (platformProcess[C], error)) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	signal.Ignore(syscall.SIGPIPE)
	logger, err := observer.NewBoundedLogger(s.Out, *flags.level)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Close() }()
	cfg, err := read()
	if err != nil {
		return err
	}
	p, err := build(cfg, logger)
	if err != nil {
		return err
	}
	logger.Info().Msg("serving")
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				p.Stop()
				continue
			}
			cfg, err := read()
			if err != nil {
				logger.Error().Err(err).Msg("settings not reloaded")
				continue
			}
			p.Reload(cfg)
			logger.Info().Msg("settings reloaded")
		}
	}()
	err = p.Run(ctx)
	logger.Info().AnErr("cause", err).Msg("stopped")
	return err
}
