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

// Shape of the demo's stand-ins.
const (
	demoEntries   = 3
	demoRetention = time.Hour
	demoListLag   = 5 * time.Second
	demoSpeed     = 60e9 // bytes a second of one model load
	demoPrefill   = 60 * time.Millisecond
	demoGap       = 12 * time.Millisecond
	demoWork      = 15 * time.Millisecond
	readyTimeout  = 2 * time.Minute
)

var demoCommand = Command{
	Name: "demo",
	Help: "Run a whole deployment in one process on stand-ins.",
	Bind: func(c *kingpin.CmdClause) Action {
		deployment := c.Flag("deployment", "Example deployment: havengelden or kelheim.").Default("havengelden").Enum("havengelden", "kelheim")
		address := c.Flag("addr", "Address of the first entry; the others take the next ports.").Default("127.0.0.1:8080").String()
		load := c.Flag("load", "Drive callers for this long, print a report and end.").Duration()
		faults := c.Flag("faults", "Break things while callers are driven.").Bool()
		seed := c.Flag("seed", "Seed of callers, faults and choices.").Default("1").Uint64()
		asJSON := c.Flag("json", "Print the report as JSON.").Bool()
		level := c.Flag("log-level", "debug, info, warn or error.").Default("error").String()
		return func(ctx context.Context, s Streams) error {
			data, err := examples.Questionnaire(*deployment)
			if err != nil {
				return err
			}
			cfg, err := generateFrom(*deployment, data)
			if err != nil {
				return err
			}
			logger, err := observer.NewLogger(s.Err, *level)
			if err != nil {
				return err
			}
			cluster, err := demonstrator.Start(demonstrator.Config{
				Configuration: cfg, EntryCount: demoEntries, EntryAddress: *address, LogRetention: demoRetention, ListLag: demoListLag, Seed: *seed,
				Logger: logger, LoadBytesPerSecond: demoSpeed, PrefillTime: demoPrefill, TokenGap: demoGap, BookingTime: demoWork,
			})
			if err != nil {
				return err
			}
			defer cluster.Close()
			if err := awaitModels(ctx, s, cluster); err != nil {
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

func awaitModels(ctx context.Context, s Streams, cluster *demonstrator.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return cluster.WaitReady(ctx, newProgress(s.Err, "loading models and adapters").show)
}

// serveDemo prints commands to try and serves until SIGINT.
func serveDemo(s Streams, cluster *demonstrator.Cluster) error {
	cfg := cluster.Configuration()
	address := cluster.Entries[0].Address
	key := "demo-" + string(cfg.Callers[0].Name)
	_, _ = fmt.Fprintf(s.Out, `Entries serve on %s and the next %d ports; the log is at %s and the list at %s. Try:

curl -s http://%s/v1/models -H 'Authorization: Bearer %s'
curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model": "%s", "stream": true, "max_tokens": 60, "messages": [{"role": "user", "content": "hello"}]}'
curl -s http://%s/svc/%s/orders -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' -d 'one order'

`, address, len(cluster.Entries)-1, cluster.LogAddress(), cluster.ListAddress(), address, key, address, key, cfg.Models[0].Name, address, serviceOf(cluster), key)
	done := make(chan struct{})
	onStop(func() { close(done) })
	<-done
	_, _ = fmt.Fprintln(s.Err, "stopping: open requests are finished first")
	cluster.Stop()
	return nil
}

func serviceOf(cluster *demonstrator.Cluster) string {
	for _, u := range cluster.Configuration().Upstreams {
		if u.Service != "" {
			return string(u.Service)
		}
	}
	return ""
}
