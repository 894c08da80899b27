package faker

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/forwarder"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	Upstream    configurator.Upstream
	BaseModels  map[configurator.ModelName]configurator.ModelName // base model of each model and adapter; a model is its own base
	Store       *WeightStore
	PrefillTime time.Duration // time to the first token
	TokenGap    time.Duration // time between two tokens
}

// keepAlivePeriod is the time between the comments that keep a stream alive.
const keepAlivePeriod = 150 * time.Millisecond

// defaultMaxTokens is the length of a response to a request without max_tokens.
const defaultMaxTokens = 24

// Engine simulates the inference engine of a model runner. The text of a response
// depends only on the model and the prompt, so that a client detects truncated,
// mixed and repeated responses.
type Engine struct {
	cfg EngineConfig

	mu             sync.Mutex
	highestNumber  reserver.OrderNumber
	residents      map[configurator.ModelName]configurator.Bytes
	loading        map[configurator.ModelName]configurator.Bytes
	active         int
	peakMemory     configurator.Bytes
	busyTime       time.Duration // time with at least one active request
	busySince      time.Time
	orders         OrderCounts
	nextOrderFault func() OrderFault
	cancelled      int
	killed         bool
}

// OrderCounts counts the load and unload orders that an engine executed or refused.
type OrderCounts struct {
	Loads        int `json:"loads"`
	Unloads      int `json:"unloads"`
	AdapterLoads int `json:"adapters"`
	RefusedLoads int `json:"refused"` // model loads that the weight store refused
	StaleOrders  int `json:"stale"`   // orders refused because the engine had seen a higher number
}

// OrderFault is a network fault that affects one order; the zero value is none.
type OrderFault struct {
	Lost         bool          // the order never arrives
	Delay        time.Duration // the order arrives late and its response is lost
	ResponseLost bool          // the order arrives at once but its response is lost
}

// NewEngine returns an engine with empty memory.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg:       cfg,
		residents: map[configurator.ModelName]configurator.Bytes{},
		loading:   map[configurator.ModelName]configurator.Bytes{},
	}
}

// SetOrderFaults makes the engine call next for the fault of each later order; nil
// ends the faults.
func (e *Engine) SetOrderFaults(next func() OrderFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextOrderFault = next
}

// Kill empties the engine's memory. Until Restart, the engine aborts new requests
// and open streams.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.killed = true
	clear(e.residents)
	clear(e.loading)
}

// Restart makes a killed engine serve again, with empty memory.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.killed = false
}

// EngineStats holds an engine's memory use and counters.
type EngineStats struct {
	WeightMemory configurator.Bytes `json:"memory"` // capacity for weights
	PeakMemory   configurator.Bytes `json:"peak"`   // highest use, including loads in progress
	BusyTime     time.Duration      `json:"busy"`   // time with at least one active request, in ns
	Orders       OrderCounts        `json:"moves"`
	Cancelled    int                `json:"cancelled"` // requests cancelled before their response was complete
	Active       int                `json:"active"`    // requests that are being processed
}

// Stats returns the engine's memory use and counters so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineStats{e.cfg.Upstream.WeightMemory, e.peakMemory, e.busyTime, e.orders, e.cancelled, e.active}
}

// ServeHTTP serves GET /state, POST /orders and, on all other paths, completions.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	killed := e.killed
	e.mu.Unlock()
	if killed {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/state":
		writeJSON(w, e.state())
	case "/orders":
		e.handleOrder(w, r)
	default:
		e.handleCompletion(w, r)
	}
}

func (e *Engine) state() reserver.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return reserver.EngineReport{HighestNumber: e.highestNumber, Residents: modelSizes(e.residents), Loading: modelSizes(e.loading), Active: e.active}
}

func modelSizes(m map[configurator.ModelName]configurator.Bytes) []reserver.ModelSize {
	sizes := make([]reserver.ModelSize, 0, len(m))
	for name, b := range m {
		sizes = append(sizes, reserver.ModelSize{Model: name, Bytes: b})
	}
	slices.SortFunc(sizes, func(a, b reserver.ModelSize) int { return strings.Compare(string(a.Model), string(b.Model)) })
	return sizes
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o forwarder.OrderRequest
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	next := e.nextOrderFault
	e.mu.Unlock()
	if next != nil {
		fault := next()
		if fault.Lost {
			panic(http.ErrAbortHandler)
		}
		if fault.Delay > 0 {
			time.AfterFunc(fault.Delay, func() { e.applyOrder(o) })
			panic(http.ErrAbortHandler)
		}
		if fault.ResponseLost {
			e.applyOrder(o)
			panic(http.ErrAbortHandler)
		}
	}
	status, response := e.applyOrder(o)
	w.WriteHeader(status)
	writeJSON(w, response)
}

// applyOrder executes an order and returns the status and body of the response.
// A fenced engine refuses orders with a lower number than the highest it has seen.
func (e *Engine) applyOrder(o forwarder.OrderRequest) (int, forwarder.OrderResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
		return http.StatusServiceUnavailable, forwarder.OrderResponse{HighestSeen: e.highestNumber}
	}
	if e.cfg.Upstream.Fenced && o.Number < e.highestNumber {
		e.orders.StaleOrders++
		return http.StatusConflict, forwarder.OrderResponse{HighestSeen: e.highestNumber}
	}
	e.highestNumber = max(e.highestNumber, o.Number)
	status := http.StatusOK
	switch o.Op {
	case reserver.Load:
		status = e.startLoad(o)
	case reserver.Unload:
		e.unload(o.Model)
	}
	return status, forwarder.OrderResponse{HighestSeen: e.highestNumber}
}

// startLoad starts to load a model or adapter and returns the HTTP status of the
// response. An adapter needs its base model in memory.
func (e *Engine) startLoad(o forwarder.OrderRequest) int {
	if e.residents[o.Model] > 0 || e.loading[o.Model] > 0 {
		return http.StatusOK
	}
	adapter := e.cfg.BaseModels[o.Model] != o.Model
	if adapter && e.residents[e.cfg.BaseModels[o.Model]] == 0 {
		return http.StatusTooManyRequests
	}
	duration, ok := e.cfg.Store.BeginLoad(o.Bytes, adapter)
	if !ok {
		e.orders.RefusedLoads++
		return http.StatusTooManyRequests
	}
	if adapter {
		e.orders.AdapterLoads++
	} else {
		e.orders.Loads++
	}
	e.loading[o.Model] = o.Bytes
	e.updatePeak()
	time.AfterFunc(duration, func() { e.finishLoad(o, adapter) })
	return http.StatusOK
}

func (e *Engine) finishLoad(o forwarder.OrderRequest, adapter bool) {
	e.cfg.Store.EndLoad(adapter)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading[o.Model] == 0 {
		return // unloaded or killed during the load
	}
	delete(e.loading, o.Model)
	e.residents[o.Model] = o.Bytes
	e.updatePeak()
}

// unload removes a model with its adapters, or one adapter, and cancels a load of it.
func (e *Engine) unload(m configurator.ModelName) {
	if e.residents[m] > 0 {
		e.orders.Unloads++
	}
	for name := range e.residents {
		if name == m || e.cfg.BaseModels[m] == m && e.cfg.BaseModels[name] == m {
			delete(e.residents, name)
		}
	}
	delete(e.loading, m)
}

// updatePeak raises peakMemory to the current use, which includes loads in progress.
func (e *Engine) updatePeak() {
	var used configurator.Bytes
	for _, b := range e.residents {
		used += b
	}
	for _, b := range e.loading {
		used += b
	}
	e.peakMemory = max(e.peakMemory, used)
}

// Residents returns the sorted names of the resident models and adapters.
func (e *Engine) Residents() []configurator.ModelName {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make([]configurator.ModelName, 0, len(e.residents))
	for m := range e.residents {
		names = append(names, m)
	}
	slices.Sort(names)
	return names
}
