package demonstrator

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/faker"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// openStream starts a stream of n tokens and returns once the first has come.
func openStream(t *testing.T, ctx context.Context, e *Entry, n int) (*http.Response, *bufio.Scanner) {
	body := fmt.Sprintf(`{"model":"m1","stream":true,"max_tokens":%d,"messages":[{"content":"hello","role":"user"}]}`, n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
	lines := bufio.NewScanner(res.Body)
	require.True(t, lines.Scan())
	return res, lines
}

func rest(lines *bufio.Scanner) string {
	text := lines.Text() + "\n"
	for lines.Scan() {
		text += lines.Text() + "\n"
	}
	return text
}

func runners(c *Cluster) []*Agent {
	var list []*Agent
	for _, a := range c.Agents {
		if a.Engine != nil {
			list = append(list, a)
		}
	}
	return list
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	c := startTest(t, func(cfg *Config) { cfg.TokenGap = 20 * time.Millisecond })
	res, lines := openStream(t, t.Context(), c.Entries[0], 100)
	defer func() { _ = res.Body.Close() }()
	for _, a := range c.Agents {
		a.Relay.Blackhole()
	}
	text := rest(lines)
	require.Equal(t, expected("m1", 100), streamText(t, text))
	require.Contains(t, text, "[DONE]")
	cancelled := 0
	for _, a := range runners(c) {
		cancelled += a.Engine.Stats().Cancelled
	}
	require.Zero(t, cancelled, "the attempt was resumed, not repeated")
}

func TestClosedCallerCancelsAtTheEngine(t *testing.T) {
	t.Parallel()
	c := startTest(t, func(cfg *Config) { cfg.PrefillTime = 3 * time.Second })
	for _, stream := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Entries[0].Address+"/v1/chat/completions", strings.NewReader(chat("m1", stream)))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+testToken)
		time.AfterFunc(300*time.Millisecond, cancel)
		if res, err := http.DefaultClient.Do(req); err == nil {
			for lines := bufio.NewScanner(res.Body); lines.Scan(); {
			}
			_ = res.Body.Close()
		}
		require.Eventually(t, func() bool {
			active := 0
			for _, a := range runners(c) {
				active += a.Engine.Stats().Active
			}
			return active == 0
		}, 2*time.Second, 10*time.Millisecond, "the engine still works, stream %v", stream)
	}
}

func TestLogOutageRefusesKeyedCallsAsNotRun(t *testing.T) {
	t.Parallel()
	c := startTest(t, nil)
	c.Log.SetFault(faker.LogDown)
	res, body := post(t, c.Entries[0], "/svc/billing/book", "b1", "Idempotency-Key", "k1")
	require.Equal(t, 503, res.StatusCode, body)
	require.Equal(t, "no", res.Header.Get("Egretwall-Ran"))
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	res, body = post(t, c.Entries[0], "/v1/chat/completions", chat("m1", false))
	require.Equal(t, 200, res.StatusCode, body)
	c.Log.SetFault(faker.LogHealthy)
	require.Eventually(t, func() bool {
		res, _ := post(t, c.Entries[0], "/svc/billing/book", "b1", "Idempotency-Key", "k1")
		return res.StatusCode == 200
	}, 10*time.Second, 50*time.Millisecond)
}

func TestProcessStartedDuringLogOutageTakesTheConfigurationOfItsPeers(t *testing.T) {
	t.Parallel()
	c := startTest(t, nil)
	c.Log.SetFault(faker.LogDown)
	c.KillEntry(c.Entries[0])
	require.NoError(t, c.StartEntry(c.Entries[0]))
	require.Eventually(t, func() bool {
		res, _ := post(t, c.Entries[0], "/v1/chat/completions", chat("m1", false))
		return res.StatusCode == 200
	}, 10*time.Second, 50*time.Millisecond)
}

func TestRollingRestartRefusesNothing(t *testing.T) {
	t.Parallel()
	c := startTest(t, func(cfg *Config) { cfg.ListLag = 30 * time.Second })
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	failed := map[string]int{}
	for i := range 6 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				res, body := post(t, c.Entries[i%2], "/v1/chat/completions", chat([]string{"m1", "m2"}[n%2], n%3 == 0))
				if res.StatusCode != 200 {
					mu.Lock()
					failed[body]++
					mu.Unlock()
				}
			}
		})
	}
	for _, a := range c.Agents {
		c.StopAgent(a)
		require.NoError(t, c.StartAgent(a))
		time.Sleep(600 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	require.Empty(t, failed)
}

func TestKilledFailureDomainLeavesEveryModelReachable(t *testing.T) {
	t.Parallel()
	c := startTest(t, nil)
	domain := c.Agents[0].Upstream.Domain
	for _, a := range c.Agents {
		if a.Upstream.Domain == domain {
			c.KillAgent(a)
		}
	}
	for _, model := range []string{"m1", "m2", "m1.a"} {
		res, body := post(t, c.Entries[0], "/v1/chat/completions", chat(model, false))
		require.Equal(t, 200, res.StatusCode, body)
	}
	res, body := post(t, c.Entries[0], "/svc/billing/book", "b", "Idempotency-Key", "k")
	require.Equal(t, 200, res.StatusCode, body)
}

func TestDeadEngineLosesNoModel(t *testing.T) {
	t.Parallel()
	c := startTest(t, nil)
	a := runners(c)[0]
	a.Engine.Kill()
	for _, model := range []configurator.ModelName{"m1", "m2"} {
		res, body := post(t, c.Entries[0], "/v1/chat/completions", chat(string(model), false))
		require.Equal(t, 200, res.StatusCode, body)
	}
	a.Engine.Restart()
	require.Eventually(t, func() bool { return len(a.Engine.Residents()) > 0 }, 10*time.Second, 20*time.Millisecond)
}
