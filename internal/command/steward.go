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
	Help: "Order a model runner on the users' platform, and tell gateways how it stands.",
	Bind: func(c *kingpin.CmdClause) Action {
		flags := bindPlatform(c)
		return func(ctx context.Context, s Streams) error {
			read := func() (driver.StewardConfig, error) { return stewardConfig(*flags.settings) }
			return runOnPlatform(ctx, s, flags, read, func(cfg driver.StewardConfig, logger *observer.BoundedLog) (platformProcess[driver.StewardConfig], error) {
				cfg.Log = logger
				return driver.NewSteward(cfg)
			})
		}
	},
}

// stewardConfig reads the settings of a steward.
func stewardConfig(path string) (driver.StewardConfig, error) {
	s, err := loader.Steward(path)
	if err != nil {
		return driver.StewardConfig{}, err
	}
	store := platform.NewStore(platform.StoreConfig{Address: s.Store})
	return driver.StewardConfig{
		Name: s.Name, Service: registrar.ServiceName(s.Service), RunnerAddress: s.Upstream, PeerAddress: s.Peer, AdminAddress: s.Admin, LoadWindow: s.Window.Duration(),
		MemoryMB: s.Memory,
		Store:    store, Fencer: store, Runner: platform.NewRunner(s.Upstream),
	}, nil
}
