package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of runners.
const (
	pingPeriod  = 1200 * time.Millisecond
	silentPings = 3 // after which the platform removes the entry
)

// model is a model of the configuration.
type model struct {
	name   string
	mb     float64
	loadMs int // from the weight store
	diskMs int // from the runner's disk
}

// arrival is a request that came to a runner.
type arrival struct {
	at      time.Duration
	attempt string
	ran     bool
}

// runner is an upstream: a plain one, or a model runner if it has models. A crash ends its
// listener and its connections; it starts again under its id at its address.
type runner struct {
	id, service, address string
	rec                  *record
	store                *store
	slots                int
	limit                float64                    // requests per second that it names, zero for none
	workMs               func(r *http.Request) int  // how long a request takes
	deadly               func(r *http.Request) bool // whether a request crashes it when its answer begins; may be nil
	weights              float64                    // memory in MB
	models               map[string]model
	backMs               int    // from a crash to the next start
	version              string // of its software, v1 if it is empty
	events               int    // of its answers, which are streams then
	gapMs                int    // between two events

	mu       sync.Mutex
	server   *http.Server
	born     int64
	ping     int64
	up       bool
	silent   time.Time // since when it is down
	leaving  bool      // its entry is removed, and it serves on
	removed  bool      // its entry
	resident map[string][]string
	onDisk   []string
	sequence int
	busy     bool
	running  map[string]int // body bytes by attempt
	arrivals []arrival
	crashes  []time.Duration
	deadlyAt []time.Duration // when deadly requests came
}

// start begins a lifetime with these models resident.
func (u *runner) start(resident map[string][]string) error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.resident = map[string][]string{}
	for m, adapters := range resident {
		u.resident[m] = adapters
		if !slices.Contains(u.onDisk, m) {
			u.onDisk = append(u.onDisk, m)
		}
	}
	u.born, u.up, u.removed, u.sequence, u.busy, u.running = time.Now().UnixMilli(), true, false, 0, false, map[string]int{}
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	u.server = server
	go func() { _ = server.Serve(l) }()
	u.rec.add("runner %s starts", u.id)
	u.announce()
	return nil
}

// announce writes the entry; u.mu is held.
func (u *runner) announce() {
	u.ping++
	entry := map[string]any{
		"Service": u.service, "Address": u.address, "Zone": "z1", "Version": cmp.Or(u.version, "v1"), "Slots": u.slots, "State": "ready",
		wire("coldLeft"): 0, "Sequence": u.ping, "born": u.born,
	}
	if u.models != nil {
		entry["Models"], entry[wire("atHand")] = u.listModels(), map[string]any{"InMemory": []string{}, "OnDisk": u.onDisk}
	}
	u.store.put(wire("topicServers"), u.id, entry)
}

// listModels lists what is resident; u.mu is held.
func (u *runner) listModels() []map[string]any {
	list := []map[string]any{}
	for m, adapters := range u.resident {
		if adapters == nil {
			adapters = []string{}
		}
		list = append(list, map[string]any{"Name": m, "Version": 1, "Adapters": adapters})
	}
	slices.SortFunc(list, func(a, b map[string]any) int { return strings.Compare(a["Name"].(string), b["Name"].(string)) })
	return list
}

// keepPinging writes the entry at each ping, or removes it after silentPings without one.
func (u *runner) keepPinging() {
	for range time.Tick(pingPeriod) {
		u.mu.Lock()
		switch {
		case u.leaving:
		case u.up:
			u.announce()
		case !u.removed && time.Since(u.silent) >= silentPings*pingPeriod:
			u.removed = true
			u.store.put(wire("topicServers"), u.id, nil)
		}
		u.mu.Unlock()
	}
}

// crash ends the lifetime, and begins another after backMs with nothing resident.
func (u *runner) crash(cause string) {
	u.mu.Lock()
	if !u.up {
		u.mu.Unlock()
		return
	}
	u.up, u.silent = false, time.Now()
	u.crashes = append(u.crashes, u.rec.now())
	held := len(u.running)
	server := u.server
	u.mu.Unlock()
	_ = server.Close()
	u.rec.say("runner %s crashes with %d requests: %s", u.id, held, cause)
	time.AfterFunc(time.Duration(u.backMs)*time.Millisecond, func() {
		if err := u.start(nil); err != nil {
			u.rec.say("runner %s can't start: %v", u.id, err)
		}
	})
}

// leave removes the entry. The runner serves on and says in its answers that it leaves.
func (u *runner) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
	u.store.put(wire("topicServers"), u.id, nil)
	u.rec.say("the entry of %s is removed; it serves on", u.id)
}

// exit ends the runner for good, with what it still runs.
func (u *runner) exit() {
	u.mu.Lock()
	u.up = false
	server, held := u.server, len(u.running)
	u.mu.Unlock()
	u.rec.say("runner %s exits, with %d requests at work", u.id, held)
	_ = server.Close()
}

func (u *runner) serve(w http.ResponseWriter, r *http.Request) {
	if u.limit > 0 {
		w.Header().Set(wire("limit"), strconv.FormatFloat(u.limit, 'f', -1, 64))
	}
	u.mu.Lock()
	if u.leaving {
		w.Header().Set(wire("leaving"), "1")
	}
	u.mu.Unlock()
	switch {
	case r.URL.Path == wire("report") && u.models != nil:
		u.serveReport(w)
		return
	case r.URL.Path == wire("order") && u.models != nil:
		u.serveOrder(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get(wire("attempt"))
	w.Header().Set(wire("attempt"), attempt)
	refuse := func(status int) {
		u.mu.Lock()
		u.arrivals = append(u.arrivals, arrival{u.rec.now(), attempt, false})
		u.mu.Unlock()
		u.rec.add("runner %s refuses %s with %d", u.id, attempt, status)
		w.Header().Set(wire("notRun"), "1")
		w.WriteHeader(status)
	}
	if id := r.Header.Get(wire("instance")); id != "" && id != u.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	name, adapter, _ := strings.Cut(r.Header.Get(wire("model")), "/")
	u.mu.Lock()
	adapters, holds := u.resident[name]
	missing := u.models != nil && (!holds || adapter != "" && !slices.Contains(adapters, adapter))
	full := len(u.running) >= u.slots
	if !missing && !full {
		u.running[attempt] = len(body)
		u.arrivals = append(u.arrivals, arrival{u.rec.now(), attempt, true})
		if u.deadly != nil && u.deadly(r) {
			u.deadlyAt = append(u.deadlyAt, u.rec.now())
		}
	}
	u.mu.Unlock()
	switch {
	case missing:
		refuse(http.StatusMisdirectedRequest)
		return
	case full:
		refuse(http.StatusServiceUnavailable)
		return
	}
	u.rec.add("runner %s runs %s of %d bytes", u.id, attempt, len(body))
	defer func() {
		u.mu.Lock()
		delete(u.running, attempt)
		u.mu.Unlock()
	}()
	if u.events > 0 {
		u.serveStream(w, r, attempt)
		return
	}
	select {
	case <-time.After(time.Duration(u.workMs(r)) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	if u.deadly != nil && u.deadly(r) {
		u.crash("it begins to answer " + attempt)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(wire("seal"), "seal-"+attempt)
	_, _ = fmt.Fprintf(w, "answer to %s of %d bytes\n", attempt, len(body))
}

// serveStream answers with a stream of events, from the one after the last that the client has.
func (u *runner) serveStream(w http.ResponseWriter, r *http.Request, attempt string) {
	next := 0
	if last, err := strconv.Atoi(r.Header.Get(wire("lastEvent"))); err == nil {
		next = last + 1
	}
	w.Header().Set(wire("seal"), "seal-"+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	for ; next < u.events; next++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", next, u.service, cmp.Or(u.version, "v1")); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(time.Duration(u.gapMs) * time.Millisecond):
		case <-r.Context().Done():
			u.rec.add("runner %s: the channel of %s is gone after event %d", u.id, attempt, next)
			return
		}
	}
}

func (u *runner) serveReport(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"Stage": "colocated", "Models": u.listModels(), "Busy": u.busy, "Sequence": u.sequence, "Waiting": 0, "Running": len(u.running),
		wire("kvUsed"): 0, wire("kvTotal"): 90000, "Handles": 0, "born": u.born, "State": "ready", "Coming": []string{},
		wire("atHand"): map[string]any{"InMemory": []string{}, "OnDisk": u.onDisk},
	})
}

// order is the body of an order.
type order struct {
	Operation, Model, Adapter, Holder string
	Expect                            *int
	Fence                             int64
}

func (u *runner) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	instance := r.Header.Get(wire("instance"))
	status := u.carryOut(o, instance)
	u.rec.say("runner %s gets the order %s %s %s, expect %d, fence %d, from %s: %d", u.id, o.Operation, o.Model, o.Adapter, *o.Expect, o.Fence, o.Holder, status)
	w.WriteHeader(status)
}

// carryOut begins to carry out an order and returns the status of the answer.
func (u *runner) carryOut(o order, instance string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, holds := u.resident[o.Model]
	switch {
	case !u.up:
		return 0
	case instance != "" && instance != u.id:
		return http.StatusMisdirectedRequest
	case u.busy || o.Expect != nil && *o.Expect != u.sequence:
		return http.StatusConflict
	case o.Adapter != "" && (!holds || o.Operation != "load"):
		return http.StatusBadRequest
	case o.Adapter != "":
		u.sequence++
		u.resident[o.Model] = append(u.resident[o.Model], o.Adapter)
		return http.StatusAccepted
	case holds == (o.Operation == "load"):
		return http.StatusOK
	}
	u.sequence++
	if o.Operation == "unload" {
		delete(u.resident, o.Model)
		return http.StatusAccepted
	}
	total := u.models[o.Model].mb
	for m := range u.resident {
		total += u.models[m].mb
	}
	if total > u.weights {
		go u.crash("it was ordered to load more than it holds: " + o.Model)
		return http.StatusAccepted
	}
	u.busy = true
	took, born := u.models[o.Model].loadMs, u.born
	if slices.Contains(u.onDisk, o.Model) {
		took = u.models[o.Model].diskMs
	}
	time.AfterFunc(time.Duration(took)*time.Millisecond, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.born != born || !u.up {
			return
		}
		u.busy, u.resident[o.Model] = false, nil
		if !slices.Contains(u.onDisk, o.Model) {
			u.onDisk = append(u.onDisk, o.Model)
		}
		u.announce()
	})
	return http.StatusAccepted
}

// atWork returns the number of requests that run and the bytes of their bodies.
func (u *runner) atWork() (requests, bytes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, n := range u.running {
		bytes += n
	}
	return len(u.running), bytes
}

// crashCount returns the number of crashes so far.
func (u *runner) crashCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.crashes)
}
