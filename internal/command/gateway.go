package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/driver"
	"github.com/egretwall/egretwall/internal/loader"
	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/platform"
)

var gatewayCommand = Command{
	Name: "gateway",
	Help: "Run a gateway, which relays callers' requests to upstreams on the platform.",
	Bind: func(c *kingpin.CmdClause) Action {
		flags := bindPlatformFlags(c)
		return func(ctx context.Context, s Streams) error {
			loadConfig := func() (driver.GatewayConfig, error) { return gatewayConfig(*flags.settings) }
			return runPlatformProcess(ctx, s, flags, loadConfig, func(cfg driver.GatewayConfig, logger *observer.BoundedLogger) (platformProcess[driver.GatewayConfig], error) {
				cfg.Log = logger
				return driver.NewGateway(cfg)
			})
		}
	},
}

// gatewayConfig reads a gateway's settings file and returns the configuration of its
// driver.
func gatewayConfig(path string) (driver.GatewayConfig, error) {
	s, err := loader.LoadGateway(path)
	if err != nil {
		return driver.GatewayConfig{}, err
	}
	store := platform.NewStore(platform.StoreConfig{Address: s.StoreAddress})
	return driver.GatewayConfig{
		Name: s.Name, Domain: registrar.DomainName(s.Domain), CallerAddress: s.CallerAddress, HealthAddress: s.HealthAddress, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress,
		GracePeriod: s.GracePeriod.Duration(), RetryBudget: dispatcher.RetryBudget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow.Duration()},
		MaxDrainDelay: s.MaxDrainDelay.Duration(), MaxApplyDelay: s.MaxApplyDelay.Duration(), MaxRevokeDelay: s.MaxRevokeDelay.Duration(), MemoryMB: s.MemoryMB,
		Descriptors: s.Descriptors,
		Store:       store, Verdicts: store, Origins: store, HeaderCodec: platform.HeaderCodec{}, ReadinessPath: platform.ReadinessPath,
	}, nil
}
