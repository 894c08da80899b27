package faker

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// BookingService is a plain service whose POST requests must not run twice. A request
// is known by its body.
type BookingService struct {
	ProcessingTime time.Duration         // time that a request takes
	OnRun          func(body, id string) // called for each run with the request's Egretwall-Id

	mu   sync.Mutex
	runs map[string]int
}

// BookingResponse is the answer to a booking.
type BookingResponse struct {
	Booked    string `json:"booked"`
	RunCount  int    `json:"run"` // how often this body has run
	RequestID string `json:"id"`  // request that ran
}

// RunCounts returns how often each body has run.
func (b *BookingService) RunCounts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for body, n := range b.runs {
		runs[body] = n
	}
	return runs
}

// ServeHTTP runs a request.
func (b *BookingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method != http.MethodPost {
		writeJSON(w, BookingResponse{Booked: r.URL.Path})
		return
	}
	b.mu.Lock()
	if b.runs == nil {
		b.runs = map[string]int{}
	}
	b.runs[string(data)]++
	run := b.runs[string(data)]
	b.mu.Unlock()
	id := r.Header.Get("Egretwall-Id")
	if b.OnRun != nil {
		b.OnRun(string(data), id)
	}
	time.Sleep(b.ProcessingTime)
	writeJSON(w, BookingResponse{Booked: string(data), RunCount: run, RequestID: id})
}
