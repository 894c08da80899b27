package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, in ms where nothing else is said.
const (
	stableWindow = 3 * time.Second
	drainMs      = 2000
	applyMs      = 2000
	graceMs      = 8000
	budgetRatio  = 0.2
	budgetSlack  = 56
	budgetWindow = 10000
	loadWindow   = 5000
	gatewayMb    = 284
)

// deployment runs the project's processes on stand-ins. Each process has a loopback address of
// its own.
type deployment struct {
	program string
	dir     string // for settings and logs
	rec     *record
	store   *store
	subnet  string // of the addresses
	port    int    // of peers
	next    int    // last byte of the next address
	runners []*runner

	mu      sync.Mutex
	running map[string]*exec.Cmd
	starts  int
	ended   bool // no process is started any more
}

func newDeployment(program string, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{program: program, dir: dir, rec: rec, store: newStore(), running: map[string]*exec.Cmd{}}
	d.subnet = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	d.port = 10_000 + rand.IntN(20_000)
	return d, nil
}

// ip returns a new address.
func (d *deployment) ip() string {
	d.next++
	return fmt.Sprint(d.subnet, d.next)
}

// freePort returns a port of an address that nobody listens on.
func freePort(ip string) int {
	for {
		port := 10_000 + rand.IntN(20_000)
		if l, err := net.Listen("tcp", fmt.Sprint(ip, ":", port)); err == nil {
			_ = l.Close()
			return port
		}
	}
}

// gateway is a process that serves clients.
type gateway struct {
	name, callers, health string
}

func (d *deployment) startGateway(name string) (gateway, error) {
	ip := d.ip()
	g := gateway{name, fmt.Sprint(ip, ":", freePort(ip)), fmt.Sprint(ip, ":", freePort(ip))}
	storeAddress, err := d.store.serveFor(name, ip)
	if err != nil {
		return g, err
	}
	return g, d.startProcess("gateway", name, map[string]any{
		"name": name, "domain": "z1", "callers": g.callers, "health": g.health, "peer": fmt.Sprint(ip, ":", d.port),
		"admin": fmt.Sprint(ip, ":", freePort(ip)), "store": storeAddress, "grace": graceMs, "drain": drainMs, "apply": applyMs,
		"memory": gatewayMb, "descriptors": 4100, "ratio": budgetRatio, "slack": budgetSlack, "window": budgetWindow,
	})
}

// startSteward starts the process beside a model runner, at the runner's address.
func (d *deployment) startSteward(name string, u *runner) error {
	ip, _, err := net.SplitHostPort(u.address)
	if err != nil {
		return err
	}
	storeAddress, err := d.store.serveFor(name, ip)
	if err != nil {
		return err
	}
	return d.startProcess("steward", name, map[string]any{
		"name": name, "service": u.service, "upstream": u.address, "peer": fmt.Sprint(ip, ":", d.port),
		"admin": fmt.Sprint(ip, ":", freePort(ip)), "store": storeAddress, "window": loadWindow, "memory": 216,
	})
}

// startProcess starts the program with a settings file, as the deploy file does.
func (d *deployment) startProcess(role, name string, settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	return d.run(role, name)
}

// run starts the program with the settings that were written last under a name.
func (d *deployment) run(role, name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return errors.New("the case has ended")
	}
	d.starts++
	log, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", name, d.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(d.program, role, "--settings", filepath.Join(d.dir, name+".json"))
	cmd.Env = append(os.Environ(), "GOGC=50") // as the deploy file sets it
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.running[name] = cmd
	d.rec.add("%s %s starts", role, name)
	return nil
}

// kill ends a process with SIGKILL.
func (d *deployment) kill(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cmd := d.running[name]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(d.running, name)
		d.rec.say("process %s is killed", name)
	}
}

// end ends all processes.
func (d *deployment) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	for _, cmd := range d.running {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// addRunner starts a runner at an address of its own.
func (d *deployment) addRunner(u *runner, resident map[string][]string) error {
	if u.address == "" {
		ip := d.ip()
		u.address = fmt.Sprint(ip, ":", freePort(ip))
	}
	u.rec, u.store = d.rec, d.store
	d.runners = append(d.runners, u)
	if err := u.start(resident); err != nil {
		return err
	}
	go u.keepPinging()
	return nil
}

// configure writes the operator's configuration.
func (d *deployment) configure(version int, routes, services []map[string]any) {
	d.store.put(wire("topicOperator"), "config", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, wire("headerTimeout"): 3000, wire("idleTimeout"): 15000},
	})
}

// route returns a route of a configuration.
func route(name, prefix, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, wire("prefix"): prefix, "Kind": kind, "Service": service, "TimeoutMs": timeoutMs,
		wire("target"): targetMs, wire("gap"): 300, "Priority": 1, wire("attempts"): attempts, "Resumable": false,
	}
}

// engine returns a service of model runners for a configuration.
func engine(name string, models []model, weights, loadsPerS float64) map[string]any {
	var all []map[string]any
	for _, m := range models {
		all = append(all, map[string]any{
			"Name": m.name, "WeightsMb": m.mb, "LoadS": float64(m.loadMs) / 1000, "DiskS": float64(m.diskMs) / 1000, "WarmS": 0.4, "Adapters": 16, "AdapterMb": 66,
		})
	}
	return map[string]any{"Name": name, "Engine": map[string]any{
		"Slots": 64, "WeightsMb": weights, "AdapterSlots": 8, "LoadsPerS": loadsPerS, "Models": all,
	}}
}

// waitReady waits until the gateways say that they are ready.
func waitReady(gateways []gateway) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range gateways {
			resp, err := http.Get("http://" + g.health + wire("readiness"))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(gateways) {
			return nil
		}
	}
	return errors.New("the gateways are not ready")
}
