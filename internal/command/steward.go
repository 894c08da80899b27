package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/egretwall/egretwall/internal/driver"
	"github.com/egretwall/egretwall/internal/loader"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/platform"
)

var stewardCommand = Command{
	Name: "steward",
	Help: "Run a steward, which loads and unloads models on one runner of the platform and reports the runner's state to gateways.",
	Bind: func(c *kingpin.CmdClause) Action {
		flags := bindPlatformFlags(c)
		return func(ctx context.Context, s Streams) error {
			loadConfig := func() (driver.StewardConfig, error) { return stewardConfig(*flags.settings) }
			return runPlatformProcess(ctx, s, flags, loadConfig, func(cfg driver.StewardConfig, logger *observer.BoundedLogger) (platformProcess[driver.StewardConfig], error) {
				cfg.Log = logger
				return driver.NewSteward(cfg)
			})
		}
	},
}

// stewardConfig reads a steward's settings file and returns the configuration of its
// driver.
func stewardConfig(path string) (driver.StewardConfig, error) {
	s, err := loader.LoadSteward(path)
	if err != nil {
		return driver.StewardConfig{}, err
	}
	store := platform.NewStore(platform.StoreConfig{Address: s.StoreAddress})
	return driver.StewardConfig{
		Name: s.Name, Service: registrar.ServiceName(s.Service), RunnerAddress: s.RunnerAddress, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress, LoadWindow: s.LoadWindow.Duration(),
		MemoryMB: s.MemoryMB,
		Store:    store, Fencer: store, Origins: store, Verdicts: store, Runner: platform.NewRunner(s.RunnerAddress),
	}, nil
}
