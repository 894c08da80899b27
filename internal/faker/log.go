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
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/recorder"
)

// LogFault is what is wrong with the log.
type LogFault string

// The faults of the log.
const (
	LogHealthy LogFault = ""
	LogDown    LogFault = "down"  // refuses everything
	LogSlow    LogFault = "slow"  // answers late
	LogLossy   LogFault = "lossy" // appends, but loses the answer
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
	records []recorder.RawRecord
}

// NewLog returns an empty log that keeps records for the retention time.
func NewLog(retention time.Duration) *Log {
	return &Log{retention: retention, start: time.Now(), streams: map[string]*stream{}, changed: make(chan struct{})}
}

// SetFault sets what is wrong with the log.
func (l *Log) SetFault(f LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	l.wake()
}

// AppendCount counts the appends so far.
func (l *Log) AppendCount() int {
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
	s.records = append(s.records, recorder.RawRecord{Offset: offset, LogTimeMs: l.clock(), Data: data})
	l.appends++
	l.wake()
	l.mu.Unlock()
	if fault == LogLossy {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, recorder.AppendResponse{Offset: offset})
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
	for n < len(s.records) && s.records[n].LogTimeMs < limit {
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

func (l *Log) page(name string, from recorder.Offset) (recorder.ReadResponse, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	next := s.first + recorder.Offset(len(s.records))
	page := recorder.ReadResponse{FirstOffset: s.first, NextOffset: next, LogTimeMs: l.clock(), Records: []recorder.RawRecord{}}
	if from < next {
		page.Records = append(page.Records, s.records[max(from, s.first)-s.first:]...)
	}
	return page, l.changed
}
