package faker

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// BookingService is a plain service whose POST requests are not idempotent. It
// counts the runs of each request body, so that tests find requests that ran
// twice.
type BookingService struct {
	ProcessingTime time.Duration         // time to process a POST request
	OnRun          func(body, id string) // called at the start of each run with the request's body and Egretwall-Id

	mu   sync.Mutex
	runs map[string]int
}

// BookingResponse is the body of a response of a BookingService.
type BookingResponse struct {
	Booked    string `json:"booked"` // the request's body, or the path of a request other than POST
	RunCount  int    `json:"run"`    // runs of this body so far
	RequestID string `json:"id"`     // Egretwall-Id of the request that ran
}

// RunCounts returns the number of runs of each request body.
func (b *BookingService) RunCounts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for body, n := range b.runs {
		runs[body] = n
	}
	return runs
}

// ServeHTTP runs a POST request; it answers other methods without counting a run.
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
