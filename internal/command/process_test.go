package command

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/authenticator"
	"github.com/egretwall/egretwall/internal/faker"
	"github.com/egretwall/egretwall/internal/lister"
	"github.com/egretwall/egretwall/internal/loader"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// runProgramEnv is the environment variable that makes the test binary run the program
// instead of the tests.
const runProgramEnv = "EGRETWALL_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runProgramEnv) == "" {
		os.Exit(m.Run())
	}
	if err := NewApplication(Streams{os.Stdout, os.Stderr}).Run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "egretwall:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// deployment is a small deployment of separate processes on a fake platform with fake
// upstreams.
type deployment struct {
	t                 testing.TB
	dir               string
	tls               authenticator.Files
	log               *faker.Server
	list              *faker.Server
	instances         *faker.InstanceList
	engines           map[string]*faker.Engine
	booking           *faker.BookingService
	agents            map[string]*exec.Cmd
	entries           []*exec.Cmd
	entryAddresses    []string
	configurationFile string
}

func programCommand(t testing.TB, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runProgramEnv+"=1")
	if os.Getenv("EGRETWALL_LOG") != "" {
		cmd.Stderr = os.Stderr
	}
	return cmd
}

var lastHost atomic.Int64

// freeAddress returns a loopback address that no other test of this run uses. Outgoing
// connections can't take its port, since they originate from 127.0.0.1. The addresses are
// the same in every run, so two runs at once on one machine disturb each other: all their
// tests fail with "condition never satisfied".
func freeAddress() string {
	n := lastHost.Add(1)
	return fmt.Sprintf("127.77.%d.%d:7000", n/200, n%200+1)
}

// writeTLS writes a self-signed certificate, which is its own authority, and its key.
func writeTLS(t testing.TB, dir string) authenticator.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	certDER, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := authenticator.Files{Authority: filepath.Join(dir, "cert.pem"), Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	require.NoError(t, os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certDER}), 0o600))
	require.NoError(t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return files
}

func testConfiguration() configurator.Configuration {
	cfg := configurator.Configuration{
		Name: "processes", IdempotencyWindow: 60_000, Store: configurator.StoreLimits{ModelLoadRate: 100, ConcurrentModelLoads: 9, ConcurrentAdapterLoads: 70},
		Classes: []configurator.Class{{Name: "desk", TargetFirstToken: 1000, TargetGap: 100, Timeout: 15_000}},
		Models:  []configurator.Model{{Name: "m1", Bytes: 40, Copies: 2}},
		Callers: []configurator.Caller{{Name: "desk", TokenHash: configurator.HashToken("token"), Class: "desk", MaxOpenRequests: 100}},
	}
	for _, name := range []configurator.UpstreamName{"ra", "rb"} {
		cfg.Upstreams = append(cfg.Upstreams, configurator.Upstream{
			Name: name, Role: configurator.Runner, Domain: configurator.DomainName(name), Address: freeAddress(),
			Accelerators: 1, WeightMemory: 100, Slots: 8, Fenced: true, Lease: 500, MaxDeliveryDelay: 300,
		})
	}
	for _, name := range []configurator.UpstreamName{"sa", "sb"} {
		cfg.Upstreams = append(cfg.Upstreams, configurator.Upstream{
			Name: name, Role: configurator.Service, Service: "billing", Domain: configurator.DomainName(name), Address: freeAddress(), Slots: 8,
		})
	}
	return cfg
}

func startDeployment(t testing.TB) *deployment {
	d := &deployment{t: t, dir: t.TempDir(), instances: faker.NewInstanceList(0), engines: map[string]*faker.Engine{}, agents: map[string]*exec.Cmd{}, booking: &faker.BookingService{ProcessingTime: 700 * time.Millisecond}}
	d.tls = writeTLS(t, d.dir)
	d.log, d.list = d.startServer(faker.NewLog(time.Hour)), d.startServer(d.instances)
	cfg := testConfiguration()
	store := faker.NewWeightStore(faker.WeightStoreConfig{Limits: cfg.Store, BytesPerSecond: 1000})
	for _, u := range cfg.Upstreams {
		handler := http.Handler(d.booking)
		if u.Role == configurator.Runner {
			e := faker.NewEngine(faker.EngineConfig{Upstream: u, BaseModels: map[configurator.ModelName]configurator.ModelName{"m1": "m1"}, Store: store, PrefillTime: 50 * time.Millisecond, TokenGap: 100 * time.Millisecond})
			d.engines[string(u.Name)], handler = e, e
		}
		d.startAgent(u, d.startServer(handler).Address())
	}
	for i := range 2 {
		d.startEntry(i)
	}
	d.configurationFile = d.writeFile("configuration.json", cfg)
	out, err := programCommand(t, "publish", d.configurationFile, "--base", "0", "--log", d.log.Address()).CombinedOutput()
	require.NoError(t, err, string(out))
	d.waitFor("m1 is resident on both runners", func() bool { return len(d.engines["ra"].Residents()) == 1 && len(d.engines["rb"].Residents()) == 1 })
	d.waitFor("all entries serve requests", func() bool {
		for i := range d.entryAddresses {
			res, _ := d.post(i, "/v1/completions", `{"model":"m1","max_tokens":1,"prompt":"x"}`, "")
			if res == nil || res.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	return d
}

func (d *deployment) startServer(h http.Handler) *faker.Server {
	s, err := faker.Serve("127.0.0.1:0", h)
	require.NoError(d.t, err)
	d.t.Cleanup(s.Close)
	return s
}

func (d *deployment) writeFile(name string, v any) string {
	data, err := json.Marshal(v)
	require.NoError(d.t, err)
	path := filepath.Join(d.dir, name)
	require.NoError(d.t, os.WriteFile(path, data, 0o600))
	return path
}

func (d *deployment) start(cmd *exec.Cmd) *exec.Cmd {
	require.NoError(d.t, cmd.Start())
	d.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

func (d *deployment) startAgent(u configurator.Upstream, engineAddress string) {
	s := loader.AgentSettings{
		Upstream: string(u.Name), Address: u.Address, AdminAddress: freeAddress(), EngineAddress: engineAddress, LogRetention: 3_600_000,
		LogAddress: d.log.Address(), ListAddress: d.list.Address(), TLS: d.tls,
	}
	file := d.writeFile(s.Upstream+".json", s)
	d.agents[s.Upstream] = d.start(programCommand(d.t, "agent", "--settings", file))
	d.instances.Add(lister.Instance{Name: s.Upstream, Upstream: u.Name, Address: u.Address, AdminAddress: s.AdminAddress, State: lister.Live})
}

func (d *deployment) startEntry(i int) {
	s := loader.EntrySettings{
		Name: fmt.Sprintf("entry-%d", i), Domain: "ra", Address: freeAddress(), AdminAddress: freeAddress(),
		LogAddress: d.log.Address(), ListAddress: d.list.Address(), TLS: d.tls,
	}
	file := d.writeFile(s.Name+".json", s)
	d.entries = append(d.entries, d.start(programCommand(d.t, "entry", "--settings", file)))
	d.entryAddresses = append(d.entryAddresses, s.Address)
	d.instances.Add(lister.Instance{Name: s.Name, AdminAddress: s.AdminAddress, State: lister.Live})
}

func (d *deployment) waitFor(condition string, ok func() bool) {
	require.Eventually(d.t, ok, 15*time.Second, 20*time.Millisecond, condition)
}

func (d *deployment) post(entry int, path, body, key string) (*http.Response, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.entryAddresses[entry]+path, strings.NewReader(body))
	require.NoError(d.t, err)
	req.GetBody = nil // keeps the transport from retrying by itself
	req.Header.Set("Authorization", "Bearer token")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		return nil, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err.Error()
	}
	return res, string(data)
}

// streamCompletion streams a completion of n tokens through the first entry and returns
// its text. It calls onThirdEvent when the third event has arrived.
func (d *deployment) streamCompletion(n int, onThirdEvent func()) string {
	body := fmt.Sprintf(`{"model":"m1","stream":true,"max_tokens":%d,"prompt":"story"}`, n)
	req, err := http.NewRequest(http.MethodPost, "http://"+d.entryAddresses[0]+"/v1/completions", strings.NewReader(body))
	require.NoError(d.t, err)
	req.Header.Set("Authorization", "Bearer token")
	res, err := (&http.Client{Timeout: 20 * time.Second}).Do(req)
	require.NoError(d.t, err)
	defer func() { _ = res.Body.Close() }()
	require.Equal(d.t, http.StatusOK, res.StatusCode)
	var text strings.Builder
	events := 0
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		require.NotEqual(d.t, "event: error", lines.Text())
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String()
		}
		var event faker.CompletionResponse
		require.NoError(d.t, json.Unmarshal([]byte(data), &event))
		text.WriteString(event.Choices[0].Text)
		if events++; events == 3 {
			onThirdEvent()
		}
	}
	require.Fail(d.t, "the stream ended without [DONE]", text.String())
	return ""
}

// busyRunner returns the name of the runner that is executing a request.
func (d *deployment) busyRunner() string {
	for name, e := range d.engines {
		if e.Stats().Active > 0 {
			return name
		}
	}
	require.Fail(d.t, "no runner is executing a request")
	return ""
}

func (d *deployment) signal(cmd *exec.Cmd, s syscall.Signal) {
	require.NoError(d.t, cmd.Process.Signal(s))
}

func TestStreamSurvivesKilledAgent(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	want := strings.Join(faker.GenerateTokens("m1", `"story"`, 20), "")
	require.Equal(t, want, d.streamCompletion(20, func() { d.signal(d.agents[d.busyRunner()], syscall.SIGKILL) }))
}

func TestStreamSurvivesFrozenAgent(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	want := strings.Join(faker.GenerateTokens("m1", `"story"`, 20), "")
	require.Equal(t, want, d.streamCompletion(20, func() {
		agent := d.agents[d.busyRunner()]
		d.signal(agent, syscall.SIGSTOP)
		time.AfterFunc(1500*time.Millisecond, func() { _ = agent.Process.Signal(syscall.SIGCONT) })
	}))
}

func TestGracefulStopCompletesOpenStreams(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	want := strings.Join(faker.GenerateTokens("m1", `"story"`, 20), "")
	var agent *exec.Cmd
	text := d.streamCompletion(20, func() {
		agent = d.agents[d.busyRunner()]
		d.signal(agent, syscall.SIGTERM)
		d.signal(d.entries[0], syscall.SIGTERM)
	})
	require.Equal(t, want, text)
	require.NoError(t, agent.Wait())
	require.NoError(t, d.entries[0].Wait())
	res, body := d.post(1, "/v1/completions", `{"model":"m1","max_tokens":1,"prompt":"x"}`, "")
	require.NotNil(t, res, body)
	require.Equal(t, http.StatusOK, res.StatusCode, body)
}

func TestBookingRunsOnceWhenAgentIsKilled(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	for i := range 4 {
		name := fmt.Sprintf("booking-%d", i)
		results := make(chan string, 1)
		go func() {
			res, body := d.post(0, "/svc/billing/book", name, name)
			if res != nil {
				body = res.Header.Get("Egretwall-Ran")
			}
			results <- body
		}()
		d.waitFor("the booking runs", func() bool { return d.booking.RunCounts()[name] == 1 })
		if i == 0 {
			d.signal(d.agents["sa"], syscall.SIGKILL)
		}
		first := <-results
		res, body := d.post(1, "/svc/billing/book", name, name)
		require.NotNil(t, res, body)
		if first == "unknown" {
			require.Equal(t, "unknown", res.Header.Get("Egretwall-Ran"), body)
		} else {
			require.Equal(t, http.StatusOK, res.StatusCode, body)
		}
		require.Equal(t, 1, d.booking.RunCounts()[name])
	}
}

func TestConflictingPublishIsRefused(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	cfg, problems := configurator.Parse(readFile(t, d.configurationFile))
	require.Empty(t, problems)
	cfg.IdempotencyWindow = 70_000
	first := d.writeFile("first.json", cfg)
	cfg.IdempotencyWindow = 80_000
	second := d.writeFile("second.json", cfg)
	out, err := programCommand(t, "publish", first, "--base", "1", "--log", d.log.Address()).CombinedOutput()
	require.NoError(t, err, string(out))
	require.Contains(t, string(out), "accepted as version 2")
	out, err = programCommand(t, "publish", second, "--base", "1", "--log", d.log.Address()).CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "version 2 is accepted and has changed window")
	d.waitFor("all processes have the same version", func() bool {
		out, err := programCommand(t, "status", "--list", d.list.Address()).CombinedOutput()
		return err == nil && strings.Count(string(out), "  2  ") == 6
	})
}

func TestModelIsReloadedAfterEngineRestart(t *testing.T) {
	t.Parallel()
	d := startDeployment(t)
	d.engines["ra"].Kill()
	time.Sleep(300 * time.Millisecond)
	d.engines["ra"].Restart()
	d.waitFor("the model is loaded again", func() bool { return len(d.engines["ra"].Residents()) == 1 })
	stats := d.engines["ra"].Stats()
	require.LessOrEqual(t, stats.PeakMemory, stats.WeightMemory)
	require.NotZero(t, reserver.OrderNumber(stats.Orders.Loads))
}

func readFile(t *testing.T, path string) []byte {
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	return data
}

// BenchmarkProcessMemory reports the resident memory of an idle entry and an idle agent
// of a small deployment.
func BenchmarkProcessMemory(b *testing.B) {
	d := startDeployment(b)
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.ReportMetric(residentMB(b, d.entries[0]), "entry-MB")
	b.ReportMetric(residentMB(b, d.agents["ra"]), "agent-MB")
}

func residentMB(b *testing.B, cmd *exec.Cmd) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	require.NoError(b, err)
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	var kb float64
	_, err = fmt.Sscan(rest, &kb)
	require.NoError(b, err)
	return kb / 1024
}
