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

// platformFlags holds the flags that the commands gateway and steward share.
type platformFlags struct {
	settings *string
	logLevel *string
}

func bindPlatformFlags(c *kingpin.CmdClause) platformFlags {
	return platformFlags{
		settings: c.Flag("settings", "Settings file of the process.").Envar(platform.SettingsVariable).Required().String(),
		logLevel: c.Flag("log-level", "Log level: debug, info, warn or error.").Default("info").String(),
	}
}

// platformProcess is the common interface of gateways and stewards; C is the type of
// their configuration.
type platformProcess[C any] interface {
	Run(ctx context.Context) error
	Stop()
	Reload(cfg C)
}

// runPlatformProcess runs a gateway or steward until it has drained after SIGTERM or
// SIGINT. SIGHUP reloads the settings; a file with mistakes changes nothing.
func runPlatformProcess[C any](ctx context.Context, s Streams, flags platformFlags, loadConfig func() (C, error), newProcess func(C, *observer.BoundedLogger) (platformProcess[C], error)) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	signal.Ignore(syscall.SIGPIPE)
	logger, err := observer.NewBoundedLogger(s.Out, *flags.logLevel)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Close() }()
	cfg, err := loadConfig()
	if err != nil {
		return err
	}
	p, err := newProcess(cfg, logger)
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
			cfg, err := loadConfig()
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
