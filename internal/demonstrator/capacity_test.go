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
	idleMeasurementTime = 95 * time.Second
	readyTimeout        = 90 * time.Second
)

// largeConfiguration has n upstreams, half of them runners with a model each.
func largeConfiguration(n int) configurator.Configuration {
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

// bytesCarried returns the bytes on the connections to all agents, to the log and
// to the instance list so far.
func (c *Cluster) bytesCarried() (links, log, list int64) {
	for _, a := range c.Agents {
		links += a.Relay.Bytes()
	}
	return links, c.servers[0].Bytes(), c.servers[1].Bytes()
}

// allAtVersion reports whether all agents and entries have a configuration of at
// least version v.
func (c *Cluster) allAtVersion(v configurator.Version) bool {
	for _, a := range c.Agents {
		dump, ok := a.process.Dump().(reducer.AgentDump)
		if !ok || dump.Configuration.Version < v {
			return false
		}
	}
	for _, e := range c.Entries {
		dump, ok := e.process.Dump().(reducer.EntryDump)
		if !ok || dump.Configuration.Version < v {
			return false
		}
	}
	return true
}

// BenchmarkCapacity measures, for several numbers of agents, the traffic, CPU time
// and memory of idle processes, with one entry connected to all agents, and the time
// until a configuration change is in force everywhere.
func BenchmarkCapacity(b *testing.B) {
	for _, n := range []int{10, 50, 150, 300} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			cfg := testClusterConfig()
			cfg.Configuration, cfg.EntryCount = largeConfiguration(n), 1
			c, err := Start(cfg)
			require.NoError(b, err)
			b.Cleanup(c.Close)
			started := time.Now()
			for !c.allAtVersion(1) || c.residentCount() < len(cfg.Configuration.Models) {
				require.Less(b, time.Since(started), readyTimeout)
				time.Sleep(readyPollPeriod)
			}
			connectAll(b, c)
			for b.Loop() {
				c.measureIdle(b, float64(n+1))
			}
			c.measureChange(b)
		})
	}
}

// connectAll makes the entry connect to all agents, by requests to the service and
// to every model.
func connectAll(b *testing.B, c *Cluster) {
	client := &http.Client{Transport: &http.Transport{}}
	for i := range 4 * len(c.Agents) {
		key := fmt.Sprintf("warm-%d", i)
		_ = sendRequest(client, c.Entries[0].Address, "/svc/billing/book", key, "Idempotency-Key", key)
	}
	for _, m := range c.cfg.Configuration.Models {
		_ = sendRequest(client, c.Entries[0].Address, "/v1/completions", fmt.Sprintf(`{"model":"%s","max_tokens":1,"prompt":"x"}`, m.Name))
	}
}

// measureIdle reports the cost of idle processes over idleMeasurementTime.
func (c *Cluster) measureIdle(b *testing.B, processes float64) {
	links, log, list := c.bytesCarried()
	cpu := cpuTime()
	time.Sleep(idleMeasurementTime)
	links2, log2, list2 := c.bytesCarried()
	seconds := idleMeasurementTime.Seconds()
	dump := c.Entries[0].process.Dump().(reducer.EntryDump)
	linksUp := 0
	for _, p := range dump.Peers {
		if p.LinkState == "up" {
			linksUp++
		}
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	b.ReportMetric(float64(linksUp), "links")
	b.ReportMetric(float64(links2-links)/seconds/float64(max(1, linksUp)), "B/s/link")
	b.ReportMetric(float64(log2-log)/seconds/processes, "logB/s/process")
	b.ReportMetric(float64(list2-list)/seconds/processes, "listB/s/process")
	b.ReportMetric(100*(cpuTime()-cpu).Seconds()/seconds/processes, "cpu%/process")
	b.ReportMetric(float64(mem.HeapAlloc)/processes/1024, "heapKB/process")
}

// measureChange reports the time from a change of the configuration until it is in
// force everywhere.
func (c *Cluster) measureChange(b *testing.B) {
	base, _ := configurator.State{}.Apply(configurator.Diff("first", configurator.State{}, c.cfg.Configuration))
	cfg := c.cfg.Configuration
	cfg.IdempotencyWindow += 1000
	change := configurator.Diff("second", base, cfg)
	log := c.newLogClient()
	defer log.Close()
	started := time.Now()
	_, err := log.Append(b.Context(), recorder.MainStream, recorder.Record{ID: "second", Kind: recorder.KindChange, Change: &change})
	require.NoError(b, err)
	for !c.allAtVersion(2) {
		require.Less(b, time.Since(started), readyTimeout)
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportMetric(float64(time.Since(started).Milliseconds()), "inforce-ms")
}

// BenchmarkListSize measures the size of a response of the instance list for each
// instance in it.
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
			list := c.newListClient()
			size := 0
			for b.Loop() {
				_, size, err = list.List(b.Context())
				require.NoError(b, err)
			}
			b.ReportMetric(float64(size)/float64(n), "B/instance")
		})
	}
}
