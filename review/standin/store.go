package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/egretwall/egretwall/platform"
)

// Topics of the platform's store that the operator and the servers write.
const (
	TopicOperator = string(platform.TopicOperator)
	TopicServers  = string(platform.TopicServers)
)

// Store is a stand-in for the platform's store: a log with one partition for each topic.
// It loses nothing and answers every call at once.
type Store struct {
	address string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{} // closed and replaced when a record is appended
}

// NewStore starts a store on a free port of a loopback address.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{address: l.Addr().String(), topics: map[string][][]byte{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Wire.PathNewest, s.serveNewest)
	mux.HandleFunc("GET "+Wire.PathRead, s.serveRead)
	mux.HandleFunc("POST "+Wire.PathAppend, s.serveAppend)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(Wire.Era, "1")
			mux.ServeHTTP(w, r)
		}))
	}()
	return s, nil
}

// Address returns the address of the store, as IP:port.
func (s *Store) Address() string { return s.address }

// Put writes the JSON of v under a key of a keyed topic. A nil v removes the key.
func (s *Store) Put(topic, key string, v any) error {
	record := append([]byte{byte(len(key))}, key...)
	if v != nil {
		data, err := json.Marshal(v)
		if err != nil {
			return err
		}
		record = append(record, data...)
	}
	s.add(topic, [][]byte{record})
	return nil
}

// add appends records and returns the offset of the first one and the end of the topic.
func (s *Store) add(topic string, records [][]byte) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(s.topics[topic])
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string
		Value  string
		Offset int
	}
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("Topic")]
	s.mu.Unlock()
	newest, order := map[string]item{}, []string{}
	for i, rec := range records {
		n := 1 + int(rec[0])
		key, value := string(rec[1:n]), rec[n:]
		if _, known := newest[key]; !known {
			order = append(order, key)
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
	}
	items := []item{}
	for _, key := range order {
		if newest[key].Value != "" {
			items = append(items, newest[key])
		}
	}
	writeJSON(w, map[string]any{"items": items, "MorePages": false, "End": len(records)})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("From"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs")) // absent stands for zero
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		records, changed := s.topics[q.Get("Topic")], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]any{"First": 0})
			return
		}
		if from < len(records) || timedOut {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, rec := range records[from:] {
				body = append(binary.BigEndian.AppendUint32(body, uint32(len(rec))), rec...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("Topic")
	if topic == TopicOperator || topic == TopicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	if len(body) > 0 || strings.HasPrefix(topic, "keyed.") && len(records) > 0 && len(records[0]) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	offset, end := s.add(topic, records)
	writeJSON(w, map[string]any{"Offset": offset, "End": end})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %v: %v", v, err)) // the values are built here
	}
	_, _ = w.Write(data)
}
