package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, with one partition per topic.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{} // closed and replaced at each append
	era     int           // number of restores plus 1
	away    bool          // answers all calls with 503
}

func newStore(address string) (*store, error) {
	s := &store{topics: map[string][][]byte{}, changed: make(chan struct{}), era: 1}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire("newest"), s.serveNewest)
	mux.HandleFunc("GET "+wire("read"), s.serveRead)
	mux.HandleFunc("POST "+wire("append"), s.serveAppend)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		w.Header().Set(wire("era"), strconv.Itoa(s.era))
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return s, nil
}

// copyTopics returns a copy of all topics.
func (s *store) copyTopics() map[string][][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	topics := map[string][][]byte{}
	for name, records := range s.topics {
		topics[name] = slices.Clone(records)
	}
	return topics
}

// setAway makes the store answer calls with 503, or answer again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// restore brings back an earlier copy. Offsets are given out again.
func (s *store) restore(topics map[string][][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = topics
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the value of a key; nil removes the key.
func (s *store) put(topic, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		record = append(record, data...)
	}
	s.append(topic, record)
}

func (s *store) append(topic string, record []byte) (offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("Topic")]
	values := map[string][]byte{}
	for _, record := range records {
		n := 1 + int(record[0])
		if key := string(record[1:n]); len(record) > n {
			values[key] = record[n:]
		} else {
			delete(values, key)
		}
	}
	items := []map[string]any{}
	for key, value := range values {
		items = append(items, map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString(value), "Offset": 0})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "MorePages": false, "End": len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		records, changed := s.topics[q.Get("Topic")], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]any{"First": 0})
			return
		}
		if len(records) > from || expired {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[min(from, len(records)):] {
				body = append(binary.BigEndian.AppendUint32(body, uint32(len(record))), record...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first := -1
	for len(body) >= 4 {
		n := 4 + int(binary.BigEndian.Uint32(body))
		offset := s.append(r.URL.Query().Get("Topic"), append([]byte(nil), body[4:n]...))
		if first < 0 {
			first = offset
		}
		body = body[n:]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Offset": first, "End": first + 1})
}
