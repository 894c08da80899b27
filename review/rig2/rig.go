package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, those of the small installations.
const (
	graceMillis  = 8000
	drainMillis  = 2000
	applyMillis  = 2000
	gatewayMB    = 284
	stewardMB    = 216
	descriptors  = 4100
	readyTimeout = 20 * time.Second
	steadyTime   = 4 * time.Second // more than the time until processes count as in touch
	restartDelay = 300 * time.Millisecond
)

// rig is a deployment.
type rig struct {
	program  string
	trouble  bool
	dir      string
	subnet   string
	peerPort int
	store    *store
	models   []model
	loadTime time.Duration
	started  time.Time

	mu        sync.Mutex
	out       *os.File
	runs      []run
	broken    []string
	processes []*process
}

// record writes a line about what was sent, answered or run.
func (g *rig) record(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, _ = fmt.Fprintf(g.out, "%8.3f "+format+"\n", append([]any{time.Since(g.started).Seconds()}, args...)...)
}

// breakRule records that the rule of the scenario is broken.
func (g *rig) breakRule(format string, args ...any) {
	g.record("RULE BROKEN: "+format, args...)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = append(g.broken, fmt.Sprintf(format, args...))
}

func (g *rig) addRun(r run) {
	g.record("runner %s runs %s", r.runner, r.attempt)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs = append(g.runs, r)
}

func (g *rig) sizeOf(name string) float64 {
	for _, m := range g.models {
		if m.name == name {
			return m.sizeMB
		}
	}
	return 0
}

// runnerAddress returns the address of the i-th runner.
func (g *rig) runnerAddress(i int) string {
	return fmt.Sprintf("%s.1.%d:%d", g.subnet, i+1, g.peerPort+3)
}

// process is a gateway or a steward.
type process struct {
	rig      *rig
	kind     string
	name     string
	ip       string
	settings string
	callers  string // address of a gateway
	beside   string // address of the runner of a steward

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (g *rig) addProcess(kind, name, ip string, settings map[string]any) (*process, error) {
	settings["name"], settings["peer"], settings["admin"], settings["store"] = name, fmt.Sprintf("%s:%d", ip, g.peerPort), fmt.Sprintf("%s:%d", ip, g.peerPort+4), g.store.address
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	p := &process{rig: g, kind: kind, name: name, ip: ip, settings: filepath.Join(g.dir, name+".json")}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, err
	}
	g.processes = append(g.processes, p)
	return p, p.start()
}

// addGateway starts the i-th gateway.
func (g *rig) addGateway(i int) (*process, error) {
	ip := fmt.Sprintf("%s.2.%d", g.subnet, i+1)
	callers := fmt.Sprintf("%s:%d", ip, g.peerPort+1)
	p, err := g.addProcess("gateway", fmt.Sprintf("gateway-%d", i+1), ip, map[string]any{
		"domain": "a", "callers": callers, "health": fmt.Sprintf("%s:%d", ip, g.peerPort+2), "grace": graceMillis, "drain": drainMillis, "apply": applyMillis,
		"memory": gatewayMB, "descriptors": descriptors, "ratio": 0.2, "slack": 56, "window": 10000,
	})
	if err == nil {
		p.callers = callers
	}
	return p, err
}

// addSteward starts the steward beside a runner.
func (g *rig) addSteward(u *runner) (*process, error) {
	ip, _, err := net.SplitHostPort(u.address)
	if err != nil {
		return nil, err
	}
	return g.addStewardAt(ip, u)
}

// addStewardAt starts the steward of a runner at an address.
func (g *rig) addStewardAt(ip string, u *runner) (*process, error) {
	return g.addProcess("steward", "steward-"+ip, ip, map[string]any{"service": u.service, "upstream": u.address, "window": 5000, "memory": stewardMB})
}

func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.rig.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.rig.program, p.kind, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=50"}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	p.rig.record("%s started", p.name)
	return nil
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	p.rig.record("%s killed", p.name)
}

// darken takes the power of the machines of processes: these stand still and their channels are
// silent. Nothing is left of them when killAll ends that.
func darken(processes []*process) {
	for _, p := range processes {
		p.mu.Lock()
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		}
		p.mu.Unlock()
		p.rig.record("%s has no power", p.name)
	}
}

// killAll ends processes at the same moment.
func killAll(processes []*process) {
	for _, p := range processes {
		p.mu.Lock()
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
	for _, p := range processes {
		p.kill()
	}
}

// awaitReady waits until a gateway says that it is ready.
func (p *process) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.ip, p.rig.peerPort+2, wire("readiness")))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// choosePorts finds five free ports in a row on a subnet of the loopback network.
func (g *rig) choosePorts() error {
	pid := os.Getpid()
	for try := range 200 {
		g.subnet, g.peerPort = fmt.Sprintf("127.%d", 20+(pid+try)%200), 10000+(pid*7+try*13)%20000
		free := true
		for i := range 5 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.2.1:%d", g.subnet, g.peerPort+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// service is a service of the configuration; it has models if engineMB is set.
type service struct {
	name     string
	slots    int
	engineMB float64
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	resumable             bool
	timeout, aim, gap     int // ms
	attempts              int
}

const host = "dues.example"

// publish writes a configuration.
func (g *rig) publish(version int, services []service, routes []route) {
	var wireServices, wireRoutes []map[string]any
	for _, s := range services {
		w := map[string]any{"Name": s.name, "HealthPath": "/health", "MaxConns": 370, "Protocol": "h1", "Tls": false}
		if s.engineMB > 0 {
			models := []map[string]any{}
			for _, m := range g.models {
				models = append(models, map[string]any{"Name": m.name, "WeightsMb": m.sizeMB, "LoadS": g.loadTime.Seconds(), "Adapters": 0, "AdapterMb": 12, "WarmS": g.loadTime.Seconds(), "DiskS": g.loadTime.Seconds()})
			}
			w["Engine"] = map[string]any{"Slots": s.slots, wire("kvcapacity"): 170000, "Models": models, "WeightsMb": s.engineMB, "AdapterSlots": 8, "LoadsPerS": 3}
		}
		wireServices = append(wireServices, w)
	}
	for i, r := range routes {
		wireRoutes = append(wireRoutes, map[string]any{
			"Name": fmt.Sprint("r", i), "Host": host, wire("prefix"): r.prefix, "Kind": r.kind, wire("timeout"): r.timeout, wire("aim"): r.aim, wire("gap"): r.gap,
			"Priority": 0, "Service": r.service, wire("attempts"): r.attempts, "Sticky": false, "Resumable": r.resumable,
		})
	}
	g.store.put(wire("operator"), wire("config"), map[string]any{
		"Version": version, "Routes": wireRoutes, "Services": wireServices,
		"Limits": map[string]any{wire("headerbytes"): 16384, wire("bodybytes"): 4194304, wire("headertimeout"): 3000, wire("idletimeout"): 15000},
	})
}
