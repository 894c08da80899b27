package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/authenticator"
	"github.com/egretwall/egretwall/internal/driver"
	"github.com/egretwall/egretwall/internal/loader"
	"github.com/egretwall/egretwall/pkg/configurator"
)

var agentCommand = Command{
	Name: "agent",
	Help: "Run the agent of one upstream.",
	Bind: func(c *kingpin.CmdClause) Action {
		flags := bindProcess(c)
		return func(ctx context.Context, s Streams) error {
			return runProcess(ctx, s, flags,
				func() (loader.AgentSettings, error) { return loader.LoadAgent(*flags.settings) },
				func(a loader.AgentSettings) platformSettings {
					return platformSettings{a.LogAddress, a.ListAddress, a.TLS}
				},
				newAgent,
			)
		}
	},
}

func newAgent(a loader.AgentSettings, log driver.RecordLog, list driver.InstanceList, tls *authenticator.Authenticator, logger zerolog.Logger) (process, error) {
	return driver.NewAgent(driver.AgentConfig{
		Upstream: configurator.UpstreamName(a.Upstream), Address: a.Address, AdminAddress: a.AdminAddress, EngineAddress: a.EngineAddress, Retention: a.LogRetention.Duration(),
		RecordLog: log, InstanceList: list, TLS: tls, Logger: logger, Seed: a.Seed,
	})
}
