// Package faker holds small stand-ins for what the platform and the upstreams
// provide: the log, the instance list, the weight store, model engines, a plain
// service, and a relay that breaks connections.
//
// Usage:
//
//	log := faker.NewLog(time.Hour)
//	server, err := faker.Serve("127.0.0.1:0", log)
//	client := recorder.NewClient(recorder.Config{Address: server.Address()})
//
// The stand-ins check what the real ones can't: an Engine counts overcommitted
// bytes, a Booking counts how often each request ran.
package faker

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/lister"
	"github.com/egretwall/egretwall/internal/recorder"
)

// Server is a stand-in that listens on a TCP port.
type Server struct {
	listener net.Listener
	server   *http.Server
	bytes    atomic.Int64
}

// meter counts the bytes of the connections that it accepts.
type meter struct {
	net.Listener
	bytes *atomic.Int64
}

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept returns the next connection.
func (m meter) Accept() (net.Conn, error) {
	conn, err := m.Listener.Accept()
	return meteredConn{conn, m.bytes}, err
}

// Read counts what it reads.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Serve starts a stand-in.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen on %s", address)
	}
	s := &Server{listener: listener, server: &http.Server{Handler: handler}}
	go func() { _ = s.server.Serve(meter{listener, &s.bytes}) }()
	return s, nil
}

// Address returns where the stand-in listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Bytes returns what its connections have carried, both ways.
func (s *Server) Bytes() int64 {
	return s.bytes.Load()
}

// Close stops the stand-in and cuts its connections.
func (s *Server) Close() {
	_ = s.server.Close()
}

// LogFault is what is wrong with the log.
type LogFault string

// The faults of the log.
const (
	LogFine  LogFault = ""
	LogDown  LogFault = "down"  // refuses everything
	LogSlow  LogFault = "slow"  // answers late
	LogLossy LogFault = "lossy" // appends, but loses the answer
)

const slowAnswer = 700 * time.Millisecond

// Log is an append-only log in memory.
type Log struct {
	retention time.Duration

	mu      sync.Mutex
	start   time.Time
	streams map[string]*stream
	fault   LogFault
	changed chan struct{}
	appends int
}

// stream is one sequence of records.
type stream struct {
	first   recorder.Offset
	records []recorder.Entry
}

// NewLog returns an empty log that keeps records for the retention time.
func NewLog(retention time.Duration) *Log {
	return &Log{retention: retention, start: time.Now(), streams: map[string]*stream{}, changed: make(chan struct{})}
}

// Break sets what is wrong with the log.
func (l *Log) Break(f LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	l.wake()
}

// Appends counts the appends so far.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// ServeHTTP answers POST /append and GET /read.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	switch fault {
	case LogDown:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case LogSlow:
		pause(r, slowAnswer)
	}
	if r.URL.Path == "/append" {
		l.append(w, r, fault)
		return
	}
	l.read(w, r)
}

func (l *Log) append(w http.ResponseWriter, r *http.Request, fault LogFault) {
	data, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(data) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	s := l.stream(r.URL.Query().Get("stream"))
	offset := s.first + recorder.Offset(len(s.records))
	s.records = append(s.records, recorder.Entry{Offset: offset, Time: l.clock(), Data: data})
	l.appends++
	l.wake()
	l.mu.Unlock()
	if fault == LogLossy {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, recorder.Receipt{Offset: offset})
}

func (l *Log) clock() int64 {
	return time.Since(l.start).Milliseconds() + 1
}

// stream returns a stream without the records whose retention has passed.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	limit := l.clock() - l.retention.Milliseconds()
	n := 0
	for n < len(s.records) && s.records[n].Time < limit {
		n++
	}
	s.records = s.records[n:]
	s.first += recorder.Offset(n)
	return s
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		page, changed := l.page(r.URL.Query().Get("stream"), recorder.Offset(from))
		if len(page.Records) > 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) page(name string, from recorder.Offset) (recorder.Page, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	next := s.first + recorder.Offset(len(s.records))
	page := recorder.Page{First: s.first, Next: next, Time: l.clock(), Records: []recorder.Entry{}}
	if from < next {
		page.Records = append(page.Records, s.records[max(from, s.first)-s.first:]...)
	}
	return page, l.changed
}

// List is the platform's list of instances; what it shows lags.
type List struct {
	lag time.Duration

	mu     sync.Mutex
	shown  map[string]lister.Instance
	queued []update
}

type update struct {
	at       time.Time
	instance lister.Instance
	gone     bool
}

// NewList returns an empty list whose changes show after lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, shown: map[string]lister.Instance{}}
}

// Add shows an instance at once.
func (l *List) Add(i lister.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shown[i.Name] = i
}

// Update shows a change of an instance after the lag.
func (l *List) Update(i lister.Instance, gone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued = append(l.queued, update{time.Now().Add(l.lag), i, gone})
}

// ServeHTTP answers GET /instances.
func (l *List) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	for len(l.queued) > 0 && time.Now().After(l.queued[0].at) {
		u := l.queued[0]
		l.queued = l.queued[1:]
		l.shown[u.instance.Name] = u.instance
		if u.gone {
			delete(l.shown, u.instance.Name)
		}
	}
	instances := make([]lister.Instance, 0, len(l.shown))
	for _, i := range l.shown {
		instances = append(instances, i)
	}
	l.mu.Unlock()
	writeJSON(w, instances)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// pause waits unless the request ends first.
func pause(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
