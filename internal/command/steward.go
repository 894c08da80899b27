package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/driver"
	"github.com/egretwall/egretwall/internal/loader"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/platform"
)

var stewardCommand = Command{
	Name: "steward",
	Help: "Order a model runner on the users' platform, and tell gateways how it stands.",
	Bind: func(c *kingpin.CmdClause) Action {
		flags := bindPlatform(c)
		return func(ctx context.Context, s Streams) error {
			cfg, err := loader.Steward(*flags.settings)
			if err != nil {
				return err
			}
			return flags.run(ctx, s, func(logger zerolog.Logger) (server, error) {
				store := platform.NewStore(platform.StoreConfig{Address: cfg.Store})
				return driver.NewSteward(driver.StewardConfig{
					Name: cfg.Name, Service: registrar.ServiceName(cfg.Service), Upstream: cfg.Upstream, Peer: cfg.Peer,
					Directory: store, Fencer: store, Runner: platform.NewRunner(cfg.Upstream), Logger: logger,
				})
			})
		}
	},
}
