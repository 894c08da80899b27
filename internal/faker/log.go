// Package faker implements in-memory stand-ins for the services of the platform
// and for the upstreams: the log, the instance list, the weight store, model
// engines and a plain service. It also has a TCP relay that injects network faults.
//
// Usage:
//
//	log := faker.NewLog(time.Hour)
//	server, err := faker.Serve("127.0.0.1:0", log)
//	client := recorder.NewClient(recorder.Config{Address: server.Address()})
//
// The stand-ins record what tests check: an Engine records its peak use of memory,
// a BookingService the number of runs of each request.
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

// LogFault is a failure mode of a Log.
type LogFault string

// Failure modes of the log.
const (
	LogHealthy LogFault = ""
	LogDown    LogFault = "down"  // refuses all requests with status 503
	LogSlow    LogFault = "slow"  // processes each request after a delay
	LogLossy   LogFault = "lossy" // appends records but closes the connection without a response
)

// slowDelay is the delay of each request while the fault is LogSlow.
const slowDelay = 700 * time.Millisecond

// Log is an in-memory append-only log with named streams.
type Log struct {
	retention time.Duration

	mu          sync.Mutex
	start       time.Time
	streams     map[string]*stream
	fault       LogFault
	changed     chan struct{}
	appendCount int
}

// stream holds the retained records of a stream; their offsets are consecutive.
type stream struct {
	firstOffset recorder.Offset
	records     []recorder.RawRecord
}

// NewLog returns an empty log that removes records after the retention time.
func NewLog(retention time.Duration) *Log {
	return &Log{retention: retention, start: time.Now(), streams: map[string]*stream{}, changed: make(chan struct{})}
}

// SetFault sets the failure mode; LogHealthy ends the current one.
func (l *Log) SetFault(f LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	l.notifyReaders()
}

// AppendCount returns the number of records appended to all streams so far.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount
}

func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// ServeHTTP serves POST /append and GET /read. A read without records waits for one,
// for at most the milliseconds in its wait parameter.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	switch fault {
	case LogDown:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case LogSlow:
		sleepUnlessCancelled(r, slowDelay)
	}
	if r.URL.Path == "/append" {
		l.handleAppend(w, r, fault)
		return
	}
	l.handleRead(w, r)
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request, fault LogFault) {
	data, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(data) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	s := l.retainedStream(r.URL.Query().Get("stream"))
	offset := s.firstOffset + recorder.Offset(len(s.records))
	s.records = append(s.records, recorder.RawRecord{Offset: offset, LogTimeMs: l.nowMs(), Data: data})
	l.appendCount++
	l.notifyReaders()
	l.mu.Unlock()
	if fault == LogLossy {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, recorder.AppendResponse{Offset: offset})
}

// nowMs returns the log time: milliseconds since the log was created, plus one.
func (l *Log) nowMs() int64 {
	return time.Since(l.start).Milliseconds() + 1
}

// retainedStream removes the expired records of a stream and returns it. It creates
// a missing stream.
func (l *Log) retainedStream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	oldest := l.nowMs() - l.retention.Milliseconds()
	expired := 0
	for expired < len(s.records) && s.records[expired].LogTimeMs < oldest {
		expired++
	}
	s.records = s.records[expired:]
	s.firstOffset += recorder.Offset(expired)
	return s
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		response, changed := l.readFrom(r.URL.Query().Get("stream"), recorder.Offset(from))
		if len(response.Records) > 0 {
			writeJSON(w, response)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// readFrom returns the records from an offset on, and a channel that is closed at
// the next append or change of the fault.
func (l *Log) readFrom(name string, from recorder.Offset) (recorder.ReadResponse, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.retainedStream(name)
	next := s.firstOffset + recorder.Offset(len(s.records))
	response := recorder.ReadResponse{FirstOffset: s.firstOffset, NextOffset: next, LogTimeMs: l.nowMs(), Records: []recorder.RawRecord{}}
	if from < next {
		response.Records = append(response.Records, s.records[max(from, s.firstOffset)-s.firstOffset:]...)
	}
	return response, l.changed
}
