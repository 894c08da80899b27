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

// operation is the input of an operation in a history: a request of a client, or a
// run of a request at the upstream.
type operation struct {
	key   string
	isRun bool // a run at the upstream rather than a request
}

// operationResult is the output of an operation in a history.
type operationResult struct {
	requestID    string // of the request that was sent or ran
	outcome      outcome
	ranRequestID string // of the request whose run produced a complete response
}

// keyState is the state of one idempotency key in keyModel.
type keyState struct {
	ranRequestID string // empty until a request runs
	notRunIDs    string // IDs of requests whose response stated that they did not run, each followed by a space
}

// keyModel is the sequential specification of idempotency keys: a key has at most
// one run, a request whose response stated that it did not run has none, and every
// complete response is that of the key's one run.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
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
		s, r := state.(keyState), output.(operationResult)
		if input.(operation).isRun {
			legal := s.ranRequestID == "" && !slices.Contains(strings.Fields(s.notRunIDs), r.requestID)
			s.ranRequestID = r.requestID
			return legal, s
		}
		switch r.outcome {
		case complete:
			return s.ranRequestID != "" && s.ranRequestID == r.ranRequestID, s
		case notRun:
			s.notRunIDs += r.requestID + " "
			return s.ranRequestID != r.requestID, s
		}
		return true, s // an unknown outcome permits both a run and none
	},
}

// historyRecorder records the requests of concurrent clients and the runs at the
// upstreams as a history that porcupine checks.
type historyRecorder struct {
	t          *testing.T
	cluster    *Cluster
	start      time.Time
	mu         sync.Mutex
	operations []porcupine.Operation
}

func newHistoryRecorder(t *testing.T, hooks reducer.TestHooks) *historyRecorder {
	h := &historyRecorder{t: t, start: time.Now()}
	h.cluster = startTestCluster(t, func(cfg *Config) {
		cfg.Hooks = hooks
		cfg.BookingTime = 30 * time.Millisecond
	})
	for _, a := range h.cluster.Agents {
		if a.Booking != nil {
			a.Booking.OnRun = func(body, id string) {
				at := h.nowNs() // client 999 stands for the upstreams
				h.add(porcupine.Operation{ClientId: 999, Input: operation{body, true}, Output: operationResult{requestID: id}, Call: at, Return: at + 1})
			}
		}
	}
	return h
}

func (h *historyRecorder) nowNs() int64 {
	return time.Since(h.start).Nanoseconds()
}

func (h *historyRecorder) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, op)
}

// recordCall sends a request with an idempotency key to an entry, records the
// request and its result and returns the outcome.
func (h *historyRecorder) recordCall(client int, key string) outcome {
	e := h.cluster.Entries[client%len(h.cluster.Entries)]
	started := h.nowNs()
	r := h.send(e, key)
	h.add(porcupine.Operation{ClientId: client, Input: operation{key: key}, Output: r, Call: started, Return: h.nowNs()})
	return r.outcome
}

func (h *historyRecorder) send(e *Entry, key string) operationResult {
	// NopCloser leaves GetBody unset, so that the transport doesn't retry by itself.
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Address+"/svc/billing/book", io.NopCloser(strings.NewReader(key)))
	if err != nil {
		panic(err)
	}
	req.ContentLength = int64(len(key))
	req.Header.Set("Authorization", "Bearer "+testToken)
	req.Header.Set("Idempotency-Key", key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return operationResult{outcome: broken}
	}
	defer func() { _ = res.Body.Close() }()
	r := operationResult{requestID: res.Header.Get("Egretwall-Id")}
	if res.StatusCode != http.StatusOK {
		r.outcome = errorOutcome(res)
		return r
	}
	var response faker.BookingResponse
	if json.NewDecoder(res.Body).Decode(&response) != nil {
		r.outcome = broken
		return r
	}
	r.outcome, r.ranRequestID = complete, response.RequestID
	return r
}

// isLegal reports whether the history so far satisfies keyModel.
func (h *historyRecorder) isLegal() bool {
	time.Sleep(200 * time.Millisecond) // for runs in progress to be recorded
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperations(keyModel, h.operations)
}

// runCount returns the number of runs recorded so far.
func (h *historyRecorder) runCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, op := range h.operations {
		if op.Input.(operation).isRun {
			n++
		}
	}
	return n
}

func (h *historyRecorder) agent(name string) *Agent {
	for _, a := range h.cluster.Agents {
		if string(a.Upstream.Name) == name {
			return a
		}
	}
	panic("no agent " + name)
}

func TestHistoryOfKeyedCallsUnderFaults(t *testing.T) {
	t.Parallel()
	h := newHistoryRecorder(t, reducer.TestHooks{})
	var clients sync.WaitGroup
	for client := range 8 {
		clients.Go(func() {
			for round := range 12 {
				h.recordCall(client, fmt.Sprintf("key-%d", (round*3+client/3)%15))
			}
		})
	}
	for _, injectFault := range []func(){
		func() { h.agent("sa").Relay.Blackhole() },
		func() { h.cluster.KillAgent(h.agent("sb")); _ = h.cluster.StartAgent(h.agent("sb")) },
		func() { h.cluster.Log.SetFault(faker.LogLossy) },
		func() { h.cluster.Log.SetFault(faker.LogHealthy) },
		func() { h.cluster.StopAgent(h.agent("sa")); _ = h.cluster.StartAgent(h.agent("sa")) },
	} {
		time.Sleep(150 * time.Millisecond)
		injectFault()
	}
	clients.Wait()
	require.True(t, h.isLegal())
}

func TestHistoryCheckCatchesMissingClaims(t *testing.T) {
	t.Parallel()
	h := newHistoryRecorder(t, reducer.TestHooks{SkipClaims: true})
	for i := range 8 {
		require.Equal(t, complete, h.recordCall(0, fmt.Sprintf("key-%d", i)))
	}
	h.cluster.StopAgent(h.agent("sa"))
	for i := range 8 {
		h.recordCall(1, fmt.Sprintf("key-%d", i))
	}
	require.False(t, h.isLegal(), "keys ran again at another agent after theirs had left, and the check missed it")
}

func TestHistoryCheckCatchesUnknownAnsweredAsNotRun(t *testing.T) {
	t.Parallel()
	h := newHistoryRecorder(t, reducer.TestHooks{ReportUnknownAsNotRun: true})
	for _, a := range h.cluster.Agents {
		if a.Booking != nil {
			a.Booking.ProcessingTime = 2 * time.Second
		}
	}
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() { h.recordCall(i, fmt.Sprintf("key-%d", i)) })
	}
	require.Eventually(t, func() bool { return h.runCount() > 0 }, 5*time.Second, 5*time.Millisecond)
	h.cluster.KillAgent(h.agent("sa"))
	h.cluster.KillAgent(h.agent("sb"))
	clients.Wait()
	require.False(t, h.isLegal(), "requests ran although answered as not run, and the check missed it")
}
