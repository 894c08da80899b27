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

var entryCommand = Command{
	Name: "entry",
	Help: "Run an entry, which callers connect to.",
	Bind: func(c *kingpin.CmdClause) Action {
		flags := bindProcess(c)
		return func(ctx context.Context, s Streams) error {
			return runProcess(ctx, s, flags,
				func() (loader.EntrySettings, error) { return loader.LoadEntry(*flags.settings) },
				func(e loader.EntrySettings) platformSettings {
					return platformSettings{e.LogAddress, e.ListAddress, e.TLS}
				},
				newEntry,
			)
		}
	},
}

func newEntry(e loader.EntrySettings, log driver.RecordLog, list driver.InstanceList, tls *authenticator.Authenticator, logger zerolog.Logger) (process, error) {
	return driver.NewEntry(driver.EntryConfig{
		Name: e.Name, Domain: configurator.DomainName(e.Domain), Address: e.Address, AdminAddress: e.AdminAddress, DrainDelay: e.DrainDelay.Duration(),
		RecordLog: log, InstanceList: list, TLS: tls, Logger: logger, Seed: e.Seed,
	})
}
