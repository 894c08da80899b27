// Package standin holds what the cases of the review share: stand-ins for the platform's
// store, its servers and its clients, and a small deployment of egretwall's own programs as
// processes.
//
// Usage:
//
//	record, err := standin.NewRecord("record.txt")
//	d, err := standin.NewDeployment(record)
//	defer d.Close()
//	gateway, err := d.StartGateway("front-1")
//	err = gateway.WaitReady()
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/egretwall/egretwall/platform"
)

// Names of the deployment.
const (
	Zone       = "zone-a"
	Host       = "dues.example"
	HealthPath = "/health"
	Program    = "target/egretwall" // below the root of the repository
)

// Bounds of the settings, those of the site hgs-dues.
const (
	GraceS     = 8
	GatewayMB  = 284
	StewardMB  = 216
	readyLimit = 20 * time.Second
)

// Deployment is a set of processes on loopback addresses of their own.
type Deployment struct {
	Store  *Store
	Record *Record

	root   string
	dir    string // of settings and logs
	subnet string // first two octets of the addresses
	port   int    // of peers; callers, health and admin have the next ones

	mu        sync.Mutex
	hosts     int
	processes []*Process
	closed    bool
}

// Process is a gateway or a steward.
type Process struct {
	Name string
	IP   string

	d    *Deployment
	role string
	cmd  *exec.Cmd
	done chan struct{}
}

// NewDeployment starts a store. It ends the processes when this process gets SIGTERM or
// SIGINT. The working directory is a folder of a case.
func NewDeployment(record *Record) (*Deployment, error) {
	root, err := filepath.Abs("../..")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, Program)); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, root: root, dir: dir, subnet: fmt.Sprintf("127.%d", 20+rand.IntN(200))}
	if d.port, err = d.freePorts(); err != nil {
		return nil, err
	}
	if d.Store, err = NewStore(d.NewIP()); err != nil {
		return nil, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.Close()
		os.Exit(2)
	}()
	return d, nil
}

// freePorts returns the first of four ports that are free, below those of connections.
func (d *Deployment) freePorts() (int, error) {
	for range 100 {
		port, free := 11000+4*rand.IntN(4000), 0
		for i := range 4 {
			if l, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", d.subnet, port+i)); err == nil {
				free++
				_ = l.Close()
			}
		}
		if free == 4 {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

// NewIP returns a loopback address for a further machine.
func (d *Deployment) NewIP() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts++
	return fmt.Sprintf("%s.1.%d", d.subnet, d.hosts)
}

// Configure writes a configuration with the routes and services to the store.
func (d *Deployment) Configure(version int, routes, services []map[string]any) error {
	return d.Store.Put(TopicOperator, platform.KeyConfiguration, map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, Wire.HeaderTimeout: 3000, Wire.IdleTimeout: 15000},
	})
}

// StartGateway starts a gateway on a machine of its own.
func (d *Deployment) StartGateway(name string) (*Process, error) {
	p := &Process{Name: name, IP: d.NewIP(), d: d, role: "gateway"}
	return p, p.start(map[string]any{
		"name": name, "domain": Zone, "callers": p.Callers(), "health": p.address(2), "peer": p.address(0), "admin": p.address(3),
		"store": d.Store.Address(), "grace": GraceS * 1000, "drain": 2000, "apply": 2000, "memory": GatewayMB, "descriptors": 4100,
		"ratio": 0.2, "slack": 56, "window": 10000,
	})
}

// StartSteward starts the steward beside a model runner.
func (d *Deployment) StartSteward(name string, runner *Server) (*Process, error) {
	ip, _, err := net.SplitHostPort(runner.Address())
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, IP: ip, d: d, role: "steward"}
	return p, p.start(map[string]any{
		"name": name, "service": runner.Service, "upstream": runner.Address(), "peer": p.address(0), "admin": p.address(3),
		"store": d.Store.Address(), "window": 5000, "memory": StewardMB,
	})
}

func (p *Process) address(port int) string { return fmt.Sprintf("%s:%d", p.IP, p.d.port+port) }

// Callers returns the address for clients.
func (p *Process) Callers() string { return p.address(1) }

func (p *Process) path(suffix string) string { return filepath.Join(p.d.dir, p.Name+suffix) }

func (p *Process) start(settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.path(".json"), data, 0o600); err != nil {
		return err
	}
	p.d.mu.Lock()
	p.d.processes = append(p.d.processes, p)
	p.d.mu.Unlock()
	return p.Restart()
}

// Restart starts the process again after its end, with the command of the deploy file.
func (p *Process) Restart() error {
	log, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.d.root, Program), p.role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.d.root, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // should this program be killed
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=50", platform.SettingsVariable + "=" + p.path(".json")}
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	if p.d.closed {
		return errors.New("the deployment is closed")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	p.d.Record.Printf("process %s starts", p.Name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.d.Record.Printf("process %s ended: %v", p.Name, err)
		close(done)
	}()
	return nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.d.Record.Printf("process %s gets signal %q", p.Name, s)
	_ = p.cmd.Process.Signal(s) // fails only if it has ended
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ready reports whether the process answers the platform's question with 200.
func (p *Process) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.address(2) + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until a gateway is ready.
func (p *Process) WaitReady() error {
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if p.Ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", p.Name, readyLimit)
}

// Close kills all processes and removes the settings and the logs, unless the variable
// KEEP_LOGS is set.
func (d *Deployment) Close() {
	d.mu.Lock()
	processes := d.processes
	d.processes, d.closed = nil, true
	d.mu.Unlock()
	for _, p := range processes {
		if p.cmd == nil {
			continue
		}
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}
