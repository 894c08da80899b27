package demonstrator

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/lister"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/pkg/configurator"
)

const (
	capacityTime  = 95 * time.Second
	capacityReady = 90 * time.Second
)

// wideConfiguration has n agents, one in two of them beside a runner.
func wideConfiguration(n int) configurator.Configuration {
	cfg := testConfiguration()
	cfg.Upstreams, cfg.Models, cfg.Adapters = nil, nil, nil
	cfg.Store.ModelLoadRate = 1000
	for i := range n {
		u := configurator.Upstream{
			Name: configurator.UpstreamName(fmt.Sprintf("up-%03d", i)), Role: configurator.Service, Service: "billing",
			Domain: configurator.DomainName(fmt.Sprintf("domain-%d", i%6)), Address: "127.0.0.1:1", Slots: 16,
		}
		if i%2 == 0 {
			u.Role, u.Service, u.Accelerators, u.WeightMemory, u.Fenced, u.Lease, u.MaxDeliveryDelay = configurator.Runner, "", 4, 160, true, 5000, 5000
			cfg.Models = append(cfg.Models, configurator.Model{Name: configurator.ModelName("m-" + string(u.Name)), Bytes: 10, Copies: 2})
		}
		cfg.Upstreams = append(cfg.Upstreams, u)
	}
	return cfg
}

// wire sums up the bytes on the connections of all processes.
func (c *Cluster) wire() (links, log, list int64) {
	for _, a := range c.Agents {
		links += a.Relay.Bytes()
	}
	return links, c.servers[0].Bytes(), c.servers[1].Bytes()
}

// settled tells whether all processes hold a version.
func (c *Cluster) settled(v configurator.Version) bool {
	for _, a := range c.Agents {
		d, ok := a.process.Dump().(reducer.AgentDump)
		if !ok || d.Configuration.Version < v {
			return false
		}
	}
	for _, e := range c.Entries {
		d, ok := e.process.Dump().(reducer.EntryDump)
		if !ok || d.Configuration.Version < v {
			return false
		}
	}
	return true
}

// BenchmarkCapacity measures what idle processes spend at rising numbers, with
// one entry linked to all agents, and how long a change takes to be in force.
func BenchmarkCapacity(b *testing.B) {
	for _, n := range []int{10, 50, 150, 300} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			cfg := testClusterConfig()
			cfg.Configuration, cfg.EntryCount = wideConfiguration(n), 1
			c, err := Start(cfg)
			require.NoError(b, err)
			b.Cleanup(c.Close)
			begun := time.Now()
			for !c.settled(1) || c.resident() < len(cfg.Configuration.Models) {
				require.Less(b, time.Since(begun), capacityReady)
				time.Sleep(readyPeriod)
			}
			linkAll(b, c)
			for b.Loop() {
				c.measureIdle(b, float64(n+1))
			}
			c.measureChange(b)
		})
	}
}

// linkAll makes the entry connect to the agents by many requests.
func linkAll(b *testing.B, c *Cluster) {
	client := &http.Client{Transport: &http.Transport{}}
	for i := range 4 * len(c.Agents) {
		key := fmt.Sprintf("warm-%d", i)
		_ = send(client, c.Entries[0].Address, "/svc/billing/book", key, "Idempotency-Key", key)
	}
	for _, m := range c.cfg.Configuration.Models {
		_ = send(client, c.Entries[0].Address, "/v1/completions", fmt.Sprintf(`{"model":"%s","max_tokens":1,"prompt":"x"}`, m.Name))
	}
}

func (c *Cluster) measureIdle(b *testing.B, processes float64) {
	links, log, list := c.wire()
	cpu := cpuTime()
	time.Sleep(capacityTime)
	links2, log2, list2 := c.wire()
	seconds := capacityTime.Seconds()
	d := c.Entries[0].process.Dump().(reducer.EntryDump)
	up := 0
	for _, p := range d.Peers {
		if p.LinkState == "up" {
			up++
		}
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	b.ReportMetric(float64(up), "links")
	b.ReportMetric(float64(links2-links)/seconds/float64(max(1, up)), "B/s/link")
	b.ReportMetric(float64(log2-log)/seconds/processes, "logB/s/process")
	b.ReportMetric(float64(list2-list)/seconds/processes, "listB/s/process")
	b.ReportMetric(100*(cpuTime()-cpu).Seconds()/seconds/processes, "cpu%/process")
	b.ReportMetric(float64(mem.HeapAlloc)/processes/1024, "heapKB/process")
}

// measureChange publishes a change and waits until it is in force everywhere.
func (c *Cluster) measureChange(b *testing.B) {
	base, _ := configurator.State{}.Apply(configurator.Diff("first", configurator.State{}, c.cfg.Configuration))
	cfg := c.cfg.Configuration
	cfg.IdempotencyWindow += 1000
	change := configurator.Diff("second", base, cfg)
	log := c.log()
	defer log.Close()
	begun := time.Now()
	_, err := log.Append(b.Context(), recorder.MainStream, recorder.Record{ID: "second", Kind: recorder.KindChange, Change: &change})
	require.NoError(b, err)
	for !c.settled(2) {
		require.Less(b, time.Since(begun), capacityReady)
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportMetric(float64(time.Since(begun).Milliseconds()), "inforce-ms")
}

// BenchmarkListSize measures the bytes that the list takes for each instance.
func BenchmarkListSize(b *testing.B) {
	for _, n := range []int{100, 950} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			cfg := testClusterConfig()
			c, err := Start(cfg)
			require.NoError(b, err)
			b.Cleanup(c.Close)
			for i := range n {
				name := fmt.Sprintf("agent-runner-%03d", i)
				c.List.Add(lister.Instance{Name: name, Upstream: configurator.UpstreamName(name), Address: "10.0.0.1:7000", AdminAddress: "10.0.0.1:7001", State: lister.Live})
			}
			list := c.list()
			size := 0
			for b.Loop() {
				_, size, err = list.List(b.Context())
				require.NoError(b, err)
			}
			b.ReportMetric(float64(size)/float64(n), "B/instance")
		})
	}
}
