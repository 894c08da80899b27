package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// store is the platform's store in memory, with one partition a topic. Each process has an
// address of its own, so that the store can turn single processes away.
type store struct {
	mu         sync.Mutex
	topics     map[string][][]byte
	changed    chan struct{} // closed and replaced when a record is added
	turnedAway map[string]bool
	channels   []*channel
}

// channel is a connection to the store, which may go silent: what is written to it is lost.
type channel struct {
	net.Conn
	silent atomic.Bool
}

// Write writes to the process.
func (c *channel) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the channel, unless it is silent.
func (c *channel) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}

// channelListener keeps the channels that it accepts.
type channelListener struct {
	net.Listener
	store *store
}

// Accept waits for the next channel.
func (l channelListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &channel{Conn: conn}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.store.channels = append(l.store.channels, c)
	return c, nil
}

// silence makes all open channels silent.
func (s *store) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.channels {
		c.silent.Store(true)
	}
	s.channels = nil
}

func newStore() *store {
	return &store{topics: map[string][][]byte{}, changed: make(chan struct{}), turnedAway: map[string]bool{}}
}

// serveFor serves one process and returns its address for it.
func (s *store) serveFor(process, ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire("era"), "1")
		if s.isTurnedAway(process) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		switch r.URL.Path {
		case wire("newest"):
			s.serveNewest(w, r)
		case wire("read"):
			s.serveRead(w, r, process)
		case wire("append"):
			s.serveAppend(w, r)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	go func() { _ = http.Serve(channelListener{l, s}, handler) }()
	return l.Addr().String(), nil
}

func (s *store) isTurnedAway(process string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turnedAway[process]
}

// turnAway makes the store refuse the calls of a process, or serve them again.
func (s *store) turnAway(process string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway[process] = refuse
	close(s.changed) // ends held calls
	s.changed = make(chan struct{})
}

// put adds a record with a key to a topic; a nil value removes the key.
func (s *store) put(topic, key string, value any) {
	r := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		r = append(r, data...)
	}
	s.add(topic, r)
}

// add adds a record and returns its offset.
func (s *store) add(topic string, r []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("Topic")]
	s.mu.Unlock()
	type item struct {
		Key, Value string
		Offset     int
	}
	newest := map[string]item{}
	for offset, rec := range records {
		n := 1 + int(rec[0])
		key := string(rec[1:n])
		if delete(newest, key); len(rec) > n {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(rec[n:]), offset}
		}
	}
	items := []item{}
	for _, i := range newest {
		items = append(items, i)
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "MorePages": false, "End": len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, process string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := wait == 0; ; {
		s.mu.Lock()
		records, changed, refused := s.topics[q.Get("Topic")], s.changed, s.turnedAway[process]
		s.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from > len(records) {
			writeJSON(w, http.StatusGone, map[string]any{"First": 0})
			return
		}
		if over || from < len(records) {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, rec := range records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(rec)))
				body = append(body, rec...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		w.WriteHeader(http.StatusBadRequest) // these processes append one record a call
		return
	}
	offset := s.add(r.URL.Query().Get("Topic"), body[4:])
	writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": offset + 1})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
