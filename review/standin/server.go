package standin

import (
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

// heartbeat is the interval between the entries that a server writes, HeartbeatMs.
const heartbeat = 1200 * time.Millisecond

// States of a server.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// Server is a stand-in for a server of the platform: a model runner if Models is set, and
// else a plain service. It registers in the store and runs only requests that name it.
type Server struct {
	ID, Service, Version string
	Slots                int
	Models               []string      // in its memory from the start
	LoadTime             time.Duration // of a load that it is ordered
	Store                *Store
	Record               *Record
	// Run answers a request. The headers that each answer has are set before.
	Run func(s *Server, w http.ResponseWriter, r *http.Request)

	address string
	born    int64
	server  *http.Server
	ended   chan struct{} // closed by Crash and Leave

	mu        sync.Mutex
	beats     int
	sequence  int
	resident  []string
	running   int
	succeeded bool // it has started again under its ID, or has left
	draining  bool
	busyUntil time.Time // with an order
}

// Start listens on a free port of a loopback address and begins to register.
func (s *Server) Start(ip string) error { return s.StartAt(ip + ":0") }

// StartAt is Start at a given address, as IP:port.
func (s *Server) StartAt(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address, s.born = l.Addr().String(), time.Now().UnixMilli()
	s.resident = append([]string{}, s.Models...)
	mux := http.NewServeMux()
	if s.Models != nil {
		mux.HandleFunc("GET "+Wire.PathReport, s.serveReport)
		mux.HandleFunc("POST "+Wire.PathOrder, s.serveOrder)
	}
	mux.HandleFunc("/", s.serveRequest)
	s.server, s.ended = &http.Server{Handler: mux}, make(chan struct{})
	go func() { _ = s.server.Serve(l) }()
	go s.keepRegistered()
	return s.register()
}

// keepRegistered writes the entry periodically until the server crashes. The platform then
// removes it after three intervals of silence.
func (s *Server) keepRegistered() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.ended:
			s.expire()
			return
		}
		if err := s.register(); err != nil {
			s.Record.Printf("server %s: %v", s.ID, err)
		}
	}
}

// expire removes the entry of a crashed server after three intervals of silence, unless it has
// started again under its ID.
func (s *Server) expire() {
	time.Sleep(3 * heartbeat)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.succeeded {
		_ = s.Store.Put(TopicServers, s.ID, nil) // fails only for values that can't be encoded
	}
}

// StartAgain starts a crashed server under its ID and at its address, as another lifetime with
// the given version of its software.
func (s *Server) StartAgain(version string) (*Server, error) {
	s.mu.Lock()
	s.succeeded = true
	s.mu.Unlock()
	next := &Server{ID: s.ID, Service: s.Service, Version: version, Slots: s.Slots, Models: s.Models, Store: s.Store, Record: s.Record, Run: s.Run}
	s.Record.Printf("server %s starts again with version %s", s.ID, version)
	return next, next.StartAt(s.address)
}

// Crash ends the server at once and closes all its connections.
func (s *Server) Crash() {
	s.Record.Printf("server %s crashes", s.ID)
	close(s.ended)
	_ = s.server.Close()
}

// Address returns the address of the server, as IP:port.
func (s *Server) Address() string { return s.address }

func (s *Server) models() []map[string]any {
	all := []map[string]any{}
	for _, m := range s.resident {
		all = append(all, map[string]any{"Name": m, "Version": 1, "Adapters": []string{}})
	}
	return all
}

func (s *Server) register() error {
	s.mu.Lock()
	s.beats++
	entry := map[string]any{
		"Service": s.Service, "Address": s.address, "Zone": Zone, "Version": s.Version, "Slots": s.Slots, "State": stateReady,
		Wire.ColdLeft: 0, "Sequence": s.beats, "born": s.born,
	}
	if s.draining {
		entry["State"] = stateDraining
	}
	if s.Models != nil {
		entry["Stage"], entry["Models"] = "colocated", s.models()
	}
	s.mu.Unlock()
	return s.Store.Put(TopicServers, s.ID, entry)
}

func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := stateReady
	if s.draining {
		state = stateDraining
		w.Header().Set(Wire.Leaving, "1")
	}
	writeJSON(w, map[string]any{
		"Stage": "colocated", "Models": s.models(), "Busy": time.Now().Before(s.busyUntil), "Sequence": s.sequence, "Waiting": 0, "Running": s.running,
		Wire.CacheUsed: 1000 * s.running, Wire.CacheTotal: 1000 * s.Slots, "Handles": 0, "State": state, "born": s.born,
	})
}

// serveOrder carries out orders for models: loads in LoadTime, unloads at once.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation, Model, Adapter, Holder string
		Fence                             int64
		Expect                            *int
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get(Wire.ExpectID); id != "" && id != s.ID {
		s.refuseAsOther(w)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Expect != nil && *order.Expect != s.sequence || time.Now().Before(s.busyUntil) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.sequence++
	s.Record.Printf("server %s carries out %s %s", s.ID, order.Operation, order.Model)
	w.WriteHeader(http.StatusAccepted)
	if order.Operation == "load" {
		s.busyUntil = time.Now().Add(s.LoadTime)
		time.AfterFunc(s.LoadTime, func() { s.hold(order.Model, true) })
		return
	}
	go s.hold(order.Model, false)
}

// hold sets whether a model is in memory.
func (s *Server) hold(model string, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resident = slices.DeleteFunc(slices.Clone(s.resident), func(m string) bool { return m == model })
	if held {
		s.resident = append(s.resident, model)
	}
}

// holds reports whether the model of a request is in memory, true for plain services.
func (s *Server) holds(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Models == nil || slices.Contains(s.resident, r.Header.Get(Wire.Model))
}

// Leave shuts the server down as planned: it says so, serves for a time after the store has
// accepted that, and exits.
func (s *Server) Leave(after time.Duration) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.Record.Printf("server %s is draining", s.ID)
	if err := s.register(); err != nil {
		s.Record.Printf("server %s: %v", s.ID, err)
	}
	time.Sleep(after)
	s.mu.Lock()
	s.succeeded = true
	s.mu.Unlock()
	s.Record.Printf("server %s exits", s.ID)
	close(s.ended)
	_ = s.server.Close()
	time.Sleep(50 * time.Millisecond)        // for an entry that is being written
	_ = s.Store.Put(TopicServers, s.ID, nil) // fails only for values that can't be encoded
}

func (s *Server) refuseAsOther(w http.ResponseWriter) {
	w.Header().Set(Wire.ServerID, s.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		w.Header().Set(Wire.ServerID, s.ID)
		return
	}
	attempt := r.Header.Get(Wire.AttemptID)
	if _, err := io.Copy(io.Discard, r.Body); err != nil || attempt == "" {
		w.Header().Set(Wire.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(Wire.AttemptID, attempt)
	if id := r.Header.Get(Wire.ExpectID); id != "" && id != s.ID || !s.holds(r) {
		s.refuseAsOther(w)
		return
	}
	s.mu.Lock()
	if s.draining {
		w.Header().Set(Wire.Leaving, "1")
	}
	if s.running >= s.Slots {
		s.mu.Unlock()
		w.Header().Set(Wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.Record.Printf("server %s (%s) runs %s %s of attempt %s", s.ID, s.Version, r.Method, r.URL.Path, attempt)
	w.Header().Set(Wire.Seal, fmt.Sprintf("%s.%s", s.ID, attempt))
	s.Run(s, w, r)
}

// FirstEvent returns the id of the event that a request for a stream wants first.
func FirstEvent(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return last + 1
}

// WriteEvents answers with the events from first to last, with a pause before each, until the
// caller closes the connection. Their data begin with label. It reports whether all were
// written.
func WriteEvents(w http.ResponseWriter, r *http.Request, label string, first, last int, pause time.Duration) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for i := first; i <= last; i++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, label, strings.Repeat("x", 40)); err != nil {
			return false
		}
		if c.Flush() != nil {
			return false
		}
	}
	return true
}
