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

// EngineConfig describes a model engine.
type EngineConfig struct {
	Upstream    configurator.Upstream
	BaseModels  map[configurator.ModelName]configurator.ModelName // base of each model and adapter
	Store       *WeightStore
	PrefillTime time.Duration // time to the first token
	TokenGap    time.Duration // time between two tokens
}

// beatPeriod spaces the comments that keep a stream alive.
const beatPeriod = 150 * time.Millisecond

// defaultTokens is the length of an answer without max_tokens.
const defaultTokens = 24

// Engine is a model runner's engine. It answers with a text that follows from
// model and prompt, so that any cut, mixed or doubled answer shows.
type Engine struct {
	cfg EngineConfig

	mu        sync.Mutex
	number    reserver.OrderNumber
	residents map[configurator.ModelName]configurator.Bytes
	loading   map[configurator.ModelName]configurator.Bytes
	active    int
	peak      configurator.Bytes
	busy      time.Duration // time with at least one request running
	busyFrom  time.Time
	moves     OrderCounts
	delay     func() OrderFault
	cancelled int
	dead      bool
}

// OrderCounts counts what an engine was ordered to do.
type OrderCounts struct {
	Loads        int `json:"loads"`
	Unloads      int `json:"unloads"`
	AdapterLoads int `json:"adapters"`
	RefusedLoads int `json:"refused"` // loads that the store refused
	StaleOrders  int `json:"stale"`   // orders refused for an old number
}

// OrderFault is what happens to an order on its way.
type OrderFault struct {
	Lost         bool          // never arrives
	Delay        time.Duration // arrives late; its answer is lost
	ResponseLost bool
}

// NewEngine returns an engine with empty memory.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg:       cfg,
		residents: map[configurator.ModelName]configurator.Bytes{},
		loading:   map[configurator.ModelName]configurator.Bytes{},
	}
}

// SetOrderFaults sets what happens to orders; nil lets them pass.
func (e *Engine) SetOrderFaults(fate func() OrderFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = fate
}

// Kill makes the engine lose its memory and refuse everything until Start.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	clear(e.residents)
	clear(e.loading)
}

// Restart ends a Kill.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = false
}

// EngineStats is what an engine has seen.
type EngineStats struct {
	WeightMemory configurator.Bytes `json:"memory"`
	PeakMemory   configurator.Bytes `json:"peak"` // highest use of memory
	BusyTime     time.Duration      `json:"busy"`
	Orders       OrderCounts        `json:"moves"`
	Cancelled    int                `json:"cancelled"`
	Active       int                `json:"active"`
}

// Stats returns what the engine has seen.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineStats{e.cfg.Upstream.WeightMemory, e.peak, e.busy, e.moves, e.cancelled, e.active}
}

// ServeHTTP answers completions, orders and questions for the state.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	dead := e.dead
	e.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/state":
		writeJSON(w, e.report())
	case "/orders":
		e.order(w, r)
	default:
		e.complete(w, r)
	}
}

func (e *Engine) report() reserver.EngineReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return reserver.EngineReport{HighestNumber: e.number, Residents: itemsOf(e.residents), Loading: itemsOf(e.loading), Active: e.active}
}

func itemsOf(m map[configurator.ModelName]configurator.Bytes) []reserver.ModelSize {
	items := make([]reserver.ModelSize, 0, len(m))
	for name, b := range m {
		items = append(items, reserver.ModelSize{Model: name, Bytes: b})
	}
	slices.SortFunc(items, func(a, b reserver.ModelSize) int { return strings.Compare(string(a.Model), string(b.Model)) })
	return items
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o forwarder.OrderRequest
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	delay := e.delay
	e.mu.Unlock()
	if delay != nil {
		fate := delay()
		if fate.Lost {
			panic(http.ErrAbortHandler)
		}
		if fate.Delay > 0 {
			time.AfterFunc(fate.Delay, func() { e.land(o) })
			panic(http.ErrAbortHandler)
		}
		if fate.ResponseLost {
			e.land(o)
			panic(http.ErrAbortHandler)
		}
	}
	status, verdict := e.land(o)
	w.WriteHeader(status)
	writeJSON(w, verdict)
}

// land carries out an order.
func (e *Engine) land(o forwarder.OrderRequest) (int, forwarder.OrderResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return http.StatusServiceUnavailable, forwarder.OrderResponse{HighestSeen: e.number}
	}
	if e.cfg.Upstream.Fenced && o.Number < e.number {
		e.moves.StaleOrders++
		return http.StatusConflict, forwarder.OrderResponse{HighestSeen: e.number}
	}
	e.number = max(e.number, o.Number)
	status := http.StatusOK
	switch o.Op {
	case reserver.Load:
		status = e.load(o)
	case reserver.Unload:
		e.unload(o.Model)
	}
	return status, forwarder.OrderResponse{HighestSeen: e.number}
}

func (e *Engine) load(o forwarder.OrderRequest) int {
	if e.residents[o.Model] > 0 || e.loading[o.Model] > 0 {
		return http.StatusOK
	}
	adapter := e.cfg.BaseModels[o.Model] != o.Model
	if adapter && e.residents[e.cfg.BaseModels[o.Model]] == 0 {
		return http.StatusTooManyRequests
	}
	took, ok := e.cfg.Store.BeginLoad(o.Bytes, adapter)
	if !ok {
		e.moves.RefusedLoads++
		return http.StatusTooManyRequests
	}
	if adapter {
		e.moves.AdapterLoads++
	} else {
		e.moves.Loads++
	}
	e.loading[o.Model] = o.Bytes
	e.measure()
	time.AfterFunc(took, func() { e.loaded(o, adapter) })
	return http.StatusOK
}

func (e *Engine) loaded(o forwarder.OrderRequest, adapter bool) {
	e.cfg.Store.EndLoad(adapter)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading[o.Model] == 0 {
		return // unloaded or killed meanwhile
	}
	delete(e.loading, o.Model)
	e.residents[o.Model] = o.Bytes
	e.measure()
}

// unload frees a model and the adapters that depend on it.
func (e *Engine) unload(m configurator.ModelName) {
	if e.residents[m] > 0 {
		e.moves.Unloads++
	}
	for name := range e.residents {
		if name == m || e.cfg.BaseModels[m] == m && e.cfg.BaseModels[name] == m {
			delete(e.residents, name)
		}
	}
	delete(e.loading, m)
}

// measure notes the highest use of memory.
func (e *Engine) measure() {
	var used configurator.Bytes
	for _, b := range e.residents {
		used += b
	}
	for _, b := range e.loading {
		used += b
	}
	e.peak = max(e.peak, used)
}

// Residents lists what the engine holds.
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
