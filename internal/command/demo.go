package command

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/egretwall/egretwall/examples"
	"github.com/egretwall/egretwall/internal/demonstrator"
	"github.com/egretwall/egretwall/internal/observer"
)

// Parameters of the demo's deployment and its simulated platform and upstreams.
const (
	demoEntries      = 3
	demoRetention    = time.Hour             // for which the log keeps records
	demoListLag      = 5 * time.Second       // until the instance list shows a change
	demoLoadSpeed    = 60e9                  // bytes a second, of one model load
	demoPrefillTime  = 60 * time.Millisecond // time to the first token
	demoTokenGap     = 12 * time.Millisecond // between two tokens
	demoServiceTime  = 15 * time.Millisecond // of a request to the plain service
	demoReadyTimeout = 2 * time.Minute       // for loading all models and adapters
)

var demoCommand = Command{
	Name: "demo",
	Help: "Run a whole deployment in one process on a simulated platform with simulated upstreams.",
	Bind: func(c *kingpin.CmdClause) Action {
		deployment := c.Flag("deployment", "Example deployment: havengelden or kelheim.").Default("havengelden").Enum("havengelden", "kelheim")
		address := c.Flag("addr", "Address of the first entry; the others take the next ports.").Default("127.0.0.1:8080").String()
		load := c.Flag("load", "Simulate callers for this duration, print a report and exit.").Duration()
		faults := c.Flag("faults", "Inject faults while callers are simulated.").Bool()
		seed := c.Flag("seed", "Seed of simulated callers, faults and random choices.").Default("1").Uint64()
		asJSON := c.Flag("json", "Print the report as JSON.").Bool()
		level := c.Flag("log-level", "Log level: debug, info, warn or error.").Default("error").String()
		return func(ctx context.Context, s Streams) error {
			data, err := examples.Questionnaire(*deployment)
			if err != nil {
				return err
			}
			cfg, err := generateFromData(*deployment, data)
			if err != nil {
				return err
			}
			logger, err := observer.NewLogger(s.Err, *level)
			if err != nil {
				return err
			}
			cluster, err := demonstrator.Start(demonstrator.Config{
				Configuration: cfg, EntryCount: demoEntries, EntryAddress: *address, LogRetention: demoRetention, ListLag: demoListLag, Seed: *seed,
				Logger: logger, LoadBytesPerSecond: demoLoadSpeed, PrefillTime: demoPrefillTime, TokenGap: demoTokenGap, BookingTime: demoServiceTime,
			})
			if err != nil {
				return err
			}
			defer cluster.Close()
			if err := waitForModels(ctx, s, cluster); err != nil {
				return err
			}
			if *load == 0 {
				return serveDemo(s, cluster)
			}
			report := cluster.RunLoadTest(ctx, demonstrator.LoadTestConfig{
				Duration: *load, InjectFaults: *faults, Seed: *seed, Progress: s.Err, Token: func(caller string) string { return "demo-" + caller },
			})
			if *asJSON {
				report.PrintJSON(s.Out)
			} else {
				report.Print(s.Out)
			}
			return report.Err()
		}
	},
}

func waitForModels(ctx context.Context, s Streams, cluster *demonstrator.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	return cluster.WaitReady(ctx, newProgress(s.Err, "loading models and adapters").update)
}

// serveDemo prints example commands and serves until SIGINT or SIGTERM.
func serveDemo(s Streams, cluster *demonstrator.Cluster) error {
	cfg := cluster.Configuration()
	address := cluster.Entries[0].Address
	key := "demo-" + string(cfg.Callers[0].Name)
	_, _ = fmt.Fprintf(s.Out, `Entries serve on %s and the next %d ports; the log is at %s and the list at %s. Try:

curl -s http://%s/v1/models -H 'Authorization: Bearer %s'
curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model": "%s", "stream": true, "max_tokens": 60, "messages": [{"role": "user", "content": "hello"}]}'
curl -s http://%s/svc/%s/orders -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' -d 'one order'

`, address, len(cluster.Entries)-1, cluster.LogAddress(), cluster.ListAddress(), address, key, address, key, cfg.Models[0].Name, address, firstService(cluster), key)
	done := make(chan struct{})
	onStopSignal(func() { close(done) })
	<-done
	_, _ = fmt.Fprintln(s.Err, "stopping after open requests are complete")
	cluster.Stop()
	return nil
}

// firstService returns the service of the first plain service instance, and "" if the
// deployment has none.
func firstService(cluster *demonstrator.Cluster) string {
	for _, u := range cluster.Configuration().Upstreams {
		if u.Service != "" {
			return string(u.Service)
		}
	}
	return ""
}
