package faker

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Booking is a plain service whose POST requests must not run twice. A request
// is known by its body.
type Booking struct {
	Work  time.Duration         // time that a request takes
	OnRun func(body, id string) // called for each run with the request's Egretwall-Id

	mu   sync.Mutex
	runs map[string]int
}

// Receipt is the answer to a booking.
type Receipt struct {
	Booked string `json:"booked"`
	Run    int    `json:"run"` // how often this body has run
	ID     string `json:"id"`  // request that ran
}

// Runs returns how often each body has run.
func (b *Booking) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for body, n := range b.runs {
		runs[body] = n
	}
	return runs
}

// ServeHTTP runs a request.
func (b *Booking) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method != http.MethodPost {
		writeJSON(w, Receipt{Booked: r.URL.Path})
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
	time.Sleep(b.Work)
	writeJSON(w, Receipt{Booked: string(data), Run: run, ID: id})
}
