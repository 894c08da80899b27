package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const heartbeatPeriod = 1200 * time.Millisecond

// model is a model of the configuration.
type model struct {
	name   string
	sizeMB float64
}

// run is a request that a runner has begun to work on.
type run struct {
	runner, attempt string
	at              time.Time
}

// runner is a stand-in for a model runner or, without slots for models, for a plain service.
type runner struct {
	rig     *rig
	service string
	address string // fixed, so that it can start again there
	slots   int
	memory  float64 // MB for weights, zero for a plain service
	// serve answers a request that the runner runs.
	serve func(u *runner, w http.ResponseWriter, r *http.Request)

	mu        sync.Mutex
	id        string
	release   string
	born      int64
	heartbeat int64
	up        bool
	draining  bool
	resident  []string
	loading   string
	sequence  int64
	running   int
	lifetime  int
	server    *http.Server
	stopped   chan struct{} // closed at the end of the lifetime
	quietTo   time.Time     // until then it writes no entry
	// orderHook may take an order; it reports whether it did.
	orderHook func(u *runner, o order) bool
}

// order is the body of an order.
type order struct {
	Operation string
	Model     string
	Adapter   string
	Expect    *int64
	Holder    string
	Fence     int64
}

// start begins a lifetime under an id with the given models resident.
func (u *runner) start(id, release string, resident ...string) error {
	l, err := net.Listen("tcp", u.address)
	for end := time.Now().Add(5 * time.Second); err != nil && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		l, err = net.Listen("tcp", u.address)
	}
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.address = l.Addr().String()
	u.id, u.release, u.born, u.heartbeat, u.up = id, release, time.Now().UnixMilli(), 0, true
	u.resident, u.loading, u.sequence, u.running = resident, "", 0, 0
	u.lifetime++
	u.stopped = make(chan struct{})
	stopped := u.stopped
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute, IdleTimeout: 20 * time.Second}
	server := u.server
	u.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go u.beat(stopped)
	return nil
}

// beat writes the entry of the runner until the end of its lifetime.
func (u *runner) beat(stopped chan struct{}) {
	for {
		u.writeEntry()
		select {
		case <-stopped:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

func (u *runner) writeEntry() {
	u.mu.Lock()
	if !u.up || time.Now().Before(u.quietTo) {
		u.mu.Unlock()
		return
	}
	u.heartbeat++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	id, entry := u.id, map[string]any{
		"Service": u.service, "Address": u.address, "Zone": "a", "Version": u.release, "Slots": u.slots, "State": state, wire("coldleft"): 0,
		"Sequence": u.heartbeat, "Models": u.models(), "born": u.born, wire("athand"): map[string]any{"InMemory": []string{}, "OnDisk": []string{}},
	}
	u.mu.Unlock()
	u.rig.store.put(wire("servers"), id, entry)
}

// models lists the resident models; u.mu is held.
func (u *runner) models() []map[string]any {
	list := []map[string]any{}
	for _, m := range u.resident {
		list = append(list, map[string]any{"Name": m, "Version": 1, "Adapters": []string{}})
	}
	return list
}

func (u *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	id := u.id
	u.mu.Unlock()
	if expected := r.Header.Get(wire("expect")); expected != "" && expected != id {
		w.Header().Set(wire("instance"), id)
		w.Header().Set(wire("attempt"), r.Header.Get(wire("attempt")))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case wire("report"):
		u.serveReport(w)
	case wire("order"):
		u.serveOrder(w, r)
	default:
		u.serveRequest(w, r)
	}
}

func (u *runner) serveReport(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Stage": "colocated", "Models": u.models(), "Coming": []string{}, "Busy": u.loading != "", "Sequence": u.sequence, "Waiting": 0, "Running": u.running,
		wire("kvused"): 0, wire("kvtotal"): 170000, "Handles": 0, "State": "ready", "Runs": []any{}, "born": u.born,
		wire("athand"): map[string]any{"InMemory": []string{}, "OnDisk": []string{}},
	})
}

func (u *runner) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	hook := u.orderHook
	u.mu.Unlock()
	if hook != nil && hook(u, o) {
		<-r.Context().Done() // no answer
		return
	}
	w.WriteHeader(u.execute(o))
}

// execute carries out an order and returns its status.
func (u *runner) execute(o order) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	status := u.accept(o)
	expect := int64(-1)
	if o.Expect != nil {
		expect = *o.Expect
	}
	u.rig.record("order to %s: %s %s%s, expect %d, sequence %d, fence %d: %d; resident %v", u.id, o.Operation, o.Model, o.Adapter, expect, u.sequence, o.Fence, status, u.resident)
	return status
}

// accept decides on an order and begins it; u.mu is held.
func (u *runner) accept(o order) int {
	present := slices.Contains(u.resident, o.Model)
	switch {
	case o.Holder == "" || o.Fence == 0 || o.Operation != "load" && o.Operation != "unload":
		return http.StatusBadRequest
	case !u.up:
		return 0
	case u.loading != "" || o.Expect != nil && *o.Expect != u.sequence:
		return http.StatusConflict
	case present == (o.Operation == "load"):
		return http.StatusOK
	}
	u.sequence++
	if o.Operation == "unload" {
		u.resident = slices.DeleteFunc(slices.Clone(u.resident), func(m string) bool { return m == o.Model })
		return http.StatusAccepted
	}
	held := u.rig.sizeOf(o.Model)
	for _, m := range u.resident {
		held += u.rig.sizeOf(m)
	}
	if held > u.memory {
		u.rig.breakRule("runner %s, which has %.0f MB, is ordered to load %s beside %v, %.0f MB in all", u.id, u.memory, o.Model, u.resident, held)
		return http.StatusAccepted
	}
	u.loading = o.Model
	lifetime := u.lifetime
	time.AfterFunc(u.rig.loadTime, func() {
		u.mu.Lock()
		if u.lifetime != lifetime || !u.up {
			u.mu.Unlock()
			return
		}
		u.resident, u.loading = append(slices.Clone(u.resident), o.Model), ""
		u.mu.Unlock()
		u.writeEntry()
	})
	return http.StatusAccepted
}

func (u *runner) serveRequest(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(wire("attempt"))
	w.Header().Set(wire("attempt"), attempt)
	u.mu.Lock()
	m := r.Header.Get(wire("model"))
	switch {
	case u.memory > 0 && !slices.Contains(u.resident, m):
		u.mu.Unlock()
		w.Header().Set(wire("notrun"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case u.running >= u.slots:
		u.mu.Unlock()
		w.Header().Set(wire("notrun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.running++
	id, lifetime := u.id, u.lifetime
	u.mu.Unlock()
	u.rig.addRun(run{id, attempt, time.Now()})
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.lifetime == lifetime {
			u.running--
		}
	}()
	w.Header().Set(wire("seal"), id+"."+strconv.Itoa(lifetime)+"."+attempt)
	u.serve(u, w, r)
}

// serveStream returns a handler that sends events, one each period, from the one after the
// last event that the client has. Each event names the release that made it.
func serveStream(events int, period time.Duration) func(u *runner, w http.ResponseWriter, r *http.Request) {
	return func(u *runner, w http.ResponseWriter, r *http.Request) {
		next := 0
		if last, err := strconv.Atoi(r.Header.Get(wire("lastevent"))); err == nil {
			next = last + 1
		}
		u.mu.Lock()
		stopped, release := u.stopped, u.release
		u.mu.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		c := http.NewResponseController(w)
		for ; next < events; next++ {
			select {
			case <-time.After(period):
			case <-r.Context().Done():
				return
			case <-stopped:
				panic(http.ErrAbortHandler)
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", next, release, next); err != nil {
				return
			}
			_ = c.Flush()
		}
	}
}
