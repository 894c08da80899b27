package demonstrator

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/reducer"
)

const benchWorkers = 4

// startBench starts a small deployment whose engines answer at once.
func startBench(b *testing.B, hooks reducer.TestHooks) *Cluster {
	cfg := testClusterConfig()
	cfg.PrefillTime, cfg.TokenGap, cfg.BookingTime, cfg.Hooks = 0, 0, 0, hooks
	for i := range cfg.Configuration.Upstreams {
		cfg.Configuration.Upstreams[i].Slots = 256
	}
	c, err := Start(cfg)
	require.NoError(b, err)
	b.Cleanup(c.Close)
	require.NoError(b, c.WaitReady(b.Context(), nil))
	return c
}

// latencies runs f from several workers and reports quantiles and CPU time.
func latencies(b *testing.B, workers int, f func(i int) error) {
	var mu sync.Mutex
	var all []time.Duration
	var serial atomic.Int64
	var wg sync.WaitGroup
	cpu := cpuTime()
	b.ResetTimer()
	for range workers {
		wg.Go(func() {
			var mine []time.Duration
			for i := serial.Add(1); i <= int64(b.N); i = serial.Add(1) {
				begun := time.Now()
				if err := f(int(i)); err != nil {
					b.Error(err)
					return
				}
				mine = append(mine, time.Since(begun))
			}
			mu.Lock()
			all = append(all, mine...)
			mu.Unlock()
		})
	}
	wg.Wait()
	b.StopTimer()
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func send(client *http.Client, address, path, body string, headers ...string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", res.StatusCode, data)
	}
	return err
}

// BenchmarkRequest compares a request through entry and agent with one that
// goes to the engine directly. Client and stand-ins are part of cpu-us/op.
func BenchmarkRequest(b *testing.B) {
	c := startBench(b, reducer.TestHooks{})
	var engine string
	for _, a := range runners(c) {
		if slices.Contains(a.Engine.Residents(), "m1") {
			engine = a.engineAt
		}
	}
	for _, tokens := range []int{1, 64} {
		for name, address := range map[string]string{"direct": engine, "egretwall": c.Entries[0].Address} {
			b.Run(fmt.Sprintf("tokens=%d/%s", tokens, name), func(b *testing.B) {
				b.ReportAllocs()
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchWorkers}}
				body := fmt.Sprintf(`{"model":"m1","stream":true,"max_tokens":%d,"prompt":"x"}`, tokens)
				latencies(b, benchWorkers, func(int) error { return send(client, address, "/v1/completions", body) })
			})
		}
	}
}

// BenchmarkKeyed compares claims that share appends with one append for each.
func BenchmarkKeyed(b *testing.B) {
	for name, hooks := range map[string]reducer.TestHooks{"batched": {}, "single": {OneClaimPerAppend: true}} {
		for _, workers := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/clients=%d", name, workers), func(b *testing.B) {
				c := startBench(b, hooks)
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
				before := c.Log.AppendCount()
				begun := time.Now()
				latencies(b, workers, func(i int) error {
					key := fmt.Sprintf("key-%d", i)
					return send(client, c.Entries[i%2].Address, "/svc/billing/book", key, "Idempotency-Key", key)
				})
				b.ReportMetric(float64(b.N)/time.Since(begun).Seconds(), "calls/s")
				b.ReportMetric(float64(c.Log.AppendCount()-before)/time.Since(begun).Seconds(), "appends/s")
			})
		}
	}
}

// BenchmarkSilence measures the longest pause that a caller sees in a stream
// when its connection goes silent.
func BenchmarkSilence(b *testing.B) {
	cfg := testClusterConfig()
	cfg.TokenGap = 10 * time.Millisecond
	c, err := Start(cfg)
	require.NoError(b, err)
	b.Cleanup(c.Close)
	require.NoError(b, c.WaitReady(b.Context(), nil))
	var pauses []time.Duration
	for b.Loop() {
		pauses = append(pauses, longestPause(b, c))
	}
	slices.Sort(pauses)
	b.ReportMetric(float64(pauses[len(pauses)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(pauses[len(pauses)-1].Milliseconds()), "max-ms")
}

func longestPause(b *testing.B, c *Cluster) time.Duration {
	body := `{"model":"m1","stream":true,"max_tokens":120,"prompt":"x"}`
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Entries[0].Address+"/v1/completions", strings.NewReader(body))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	res, err := http.DefaultClient.Do(req)
	require.NoError(b, err)
	defer func() { _ = res.Body.Close() }()
	time.AfterFunc(300*time.Millisecond, func() {
		for _, a := range c.Agents {
			a.Relay.Blackhole()
		}
	})
	var longest time.Duration
	last := time.Now()
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		longest = max(longest, time.Since(last))
		last = time.Now()
		if lines.Text() == "data: [DONE]" {
			return longest
		}
	}
	b.Error("the stream was cut")
	return longest
}

// BenchmarkRollingRestart restarts every process under load and counts the
// requests that were refused or cut.
func BenchmarkRollingRestart(b *testing.B) {
	cfg := testClusterConfig()
	cfg.ListLag = 30 * time.Second
	c, err := Start(cfg)
	require.NoError(b, err)
	b.Cleanup(c.Close)
	require.NoError(b, c.WaitReady(b.Context(), nil))
	var sent, failed atomic.Int64
	for b.Loop() {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for {
					select {
					case <-stop:
						return
					default:
					}
					sent.Add(1)
					if send(client, c.Entries[0].Address, "/v1/chat/completions", chat("m1", true)) != nil {
						failed.Add(1)
					}
				}
			})
		}
		for _, a := range c.Agents {
			c.StopAgent(a)
			require.NoError(b, c.StartAgent(a))
			time.Sleep(600 * time.Millisecond)
		}
		close(stop)
		wg.Wait()
	}
	b.ReportMetric(float64(sent.Load()), "sent")
	b.ReportMetric(float64(failed.Load()), "refused")
}
