package demonstrator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/faker"
	"github.com/egretwall/egretwall/internal/reducer"
)

// event is an operation of a history: a call of a client, or a run that the
// upstream saw.
type event struct {
	key string
	run bool // a run at the upstream
}

// result is how an operation ended.
type result struct {
	id      string // request
	outcome outcome
	ranBy   string // request whose run a whole answer shows
}

// keyState is the model's state of one key.
type keyState struct {
	ranBy  string
	denied string // requests answered as not run, separated by spaces
}

// keyModel allows one run per key, no run of a request answered as "not run",
// and only the answer of the one run.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(event).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, r := state.(keyState), output.(result)
		if input.(event).run {
			legal := s.ranBy == "" && !slices.Contains(strings.Fields(s.denied), r.id)
			s.ranBy = r.id
			return legal, s
		}
		switch r.outcome {
		case whole:
			return s.ranBy != "" && s.ranBy == r.ranBy, s
		case notRun:
			s.denied += r.id + " "
			return s.ranBy != r.id, s
		}
		return true, s // unknown promises nothing
	},
}

// historian records operations of concurrent clients and of the upstreams.
type historian struct {
	t       *testing.T
	cluster *Cluster
	start   time.Time
	mu      sync.Mutex
	history []porcupine.Operation
}

func newHistorian(t *testing.T, hooks reducer.TestHooks) *historian {
	h := &historian{t: t, start: time.Now()}
	h.cluster = startTest(t, func(cfg *Config) {
		cfg.Hooks = hooks
		cfg.BookingTime = 30 * time.Millisecond
	})
	for _, a := range h.cluster.Agents {
		if a.Booking != nil {
			a.Booking.OnRun = func(body, id string) {
				at := h.clock()
				h.add(porcupine.Operation{ClientId: 999, Input: event{body, true}, Output: result{id: id}, Call: at, Return: at + 1})
			}
		}
	}
	return h
}

func (h *historian) clock() int64 {
	return time.Since(h.start).Nanoseconds()
}

func (h *historian) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = append(h.history, op)
}

// book sends a key through an entry and records what came back.
func (h *historian) book(client int, key string) outcome {
	e := h.cluster.Entries[client%len(h.cluster.Entries)]
	call := h.clock()
	r := h.send(e, key)
	h.add(porcupine.Operation{ClientId: client, Input: event{key: key}, Output: r, Call: call, Return: h.clock()})
	return r.outcome
}

func (h *historian) send(e *Entry, key string) result {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Address+"/svc/billing/book", io.NopCloser(strings.NewReader(key)))
	if err != nil {
		panic(err)
	}
	req.ContentLength = int64(len(key))
	req.Header.Set("Authorization", "Bearer "+testToken)
	req.Header.Set("Idempotency-Key", key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{outcome: broken}
	}
	defer func() { _ = res.Body.Close() }()
	r := result{id: res.Header.Get("Egretwall-Id")}
	if res.StatusCode != http.StatusOK {
		r.outcome = outcomeOf(res)
		return r
	}
	var receipt faker.BookingResponse
	if json.NewDecoder(res.Body).Decode(&receipt) != nil {
		r.outcome = broken
		return r
	}
	r.outcome, r.ranBy = whole, receipt.RequestID
	return r
}

func (h *historian) legal() bool {
	time.Sleep(200 * time.Millisecond) // runs under way are recorded
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperations(keyModel, h.history)
}

// runs counts the runs recorded so far.
func (h *historian) runs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, op := range h.history {
		if op.Input.(event).run {
			n++
		}
	}
	return n
}

func (h *historian) agent(name string) *Agent {
	for _, a := range h.cluster.Agents {
		if string(a.Upstream.Name) == name {
			return a
		}
	}
	panic("no agent " + name)
}

func TestHistoryOfKeyedCallsUnderFaults(t *testing.T) {
	t.Parallel()
	h := newHistorian(t, reducer.TestHooks{})
	var clients sync.WaitGroup
	for client := range 8 {
		clients.Go(func() {
			for round := range 12 {
				h.book(client, fmt.Sprintf("key-%d", (round*3+client/3)%15))
			}
		})
	}
	for _, strike := range []func(){
		func() { h.agent("sa").Relay.Blackhole() },
		func() { h.cluster.KillAgent(h.agent("sb")); _ = h.cluster.StartAgent(h.agent("sb")) },
		func() { h.cluster.Log.SetFault(faker.LogLossy) },
		func() { h.cluster.Log.SetFault(faker.LogHealthy) },
		func() { h.cluster.StopAgent(h.agent("sa")); _ = h.cluster.StartAgent(h.agent("sa")) },
	} {
		time.Sleep(150 * time.Millisecond)
		strike()
	}
	clients.Wait()
	require.True(t, h.legal())
}

func TestHistoryCheckCatchesMissingClaims(t *testing.T) {
	t.Parallel()
	h := newHistorian(t, reducer.TestHooks{SkipClaims: true})
	for i := range 8 {
		require.Equal(t, whole, h.book(0, fmt.Sprintf("key-%d", i)))
	}
	h.cluster.StopAgent(h.agent("sa"))
	for i := range 8 {
		h.book(1, fmt.Sprintf("key-%d", i))
	}
	require.False(t, h.legal(), "keys whose home agent left ran again unnoticed")
}

func TestHistoryCheckCatchesUnknownAnsweredAsNotRun(t *testing.T) {
	t.Parallel()
	h := newHistorian(t, reducer.TestHooks{ReportUnknownAsNotRun: true})
	for _, a := range h.cluster.Agents {
		if a.Booking != nil {
			a.Booking.ProcessingTime = 2 * time.Second
		}
	}
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() { h.book(i, fmt.Sprintf("key-%d", i)) })
	}
	require.Eventually(t, func() bool { return h.runs() > 0 }, 5*time.Second, 5*time.Millisecond)
	h.cluster.KillAgent(h.agent("sa"))
	h.cluster.KillAgent(h.agent("sb"))
	clients.Wait()
	require.False(t, h.legal(), "runs answered as not run went unnoticed")
}
