// Package reserver keeps the accelerator memory ledger of one runner.
//
// Usage:
//
//	l := reserver.New(reserver.Config{Capacity: 160e9, Flight: 5 * time.Second})
//	l.Observe(report, askedAt)
//	if l.Load(now, number, "tariff-nl", 40e9) { send the order }
//
// A load order keeps its reservation until a report that was asked for after
// the order shows that it landed or that it can't land any more. An order can't
// land any more when the engine checks numbers and has seen a higher one, or
// when the longest flight of an order has passed.
package reserver

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// OrderNumber orders the orders to one engine: a later order has a higher number.
type OrderNumber uint64

// Config describes the runner whose memory the ledger guards.
type Config struct {
	Capacity         configurator.Bytes
	Fenced           bool          // the engine refuses numbers below the highest it has seen
	MaxDeliveryDelay time.Duration // longest time an order may be under way
	ForgetLostOrders bool          // test hook: drop the reservation when an order's answer is lost
}

// ModelSize is a model or adapter in accelerator memory.
type ModelSize struct {
	Model configurator.ModelName `json:"model"`
	Bytes configurator.Bytes     `json:"bytes"`
}

// EngineReport is the engine's own state.
type EngineReport struct {
	HighestNumber OrderNumber `json:"number"` // highest order number seen
	Residents     []ModelSize `json:"residents"`
	Loading       []ModelSize `json:"loading"`
	Active        int         `json:"active"` // requests running
	Queued        int         `json:"queued"` // requests waiting inside the engine
}

// Op is what an order does.
type Op string

// The operations of orders.
const (
	Load   Op = "load"
	Unload Op = "unload"
	Touch  Op = "touch" // raises the engine's number and changes nothing else
)

type order struct {
	number OrderNumber
	op     Op
	item   ModelSize
	sent   time.Duration
}

// Ledger accounts for the accelerator memory of one runner. It is not safe for
// concurrent use.
type Ledger struct {
	cfg       Config
	residents map[configurator.ModelName]configurator.Bytes
	loading   map[configurator.ModelName]configurator.Bytes
	orders    []order // unresolved, by number
	known     bool    // a report has been observed
}

// New returns the ledger of a runner whose state is not known yet.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg:       cfg,
		residents: map[configurator.ModelName]configurator.Bytes{},
		loading:   map[configurator.ModelName]configurator.Bytes{},
	}
}

// SetCapacity changes the capacity that new loads must fit into.
func (l *Ledger) SetCapacity(capacity configurator.Bytes) {
	l.cfg.Capacity = capacity
}

// Observed tells whether the engine has reported its state.
func (l *Ledger) Observed() bool {
	return l.known
}

// Observe takes over an engine report that was asked for at time asked.
func (l *Ledger) Observe(r EngineReport, asked time.Duration) {
	l.known = true
	clear(l.residents)
	clear(l.loading)
	for _, i := range r.Residents {
		l.residents[i.Model] = i.Bytes
	}
	for _, i := range r.Loading {
		l.loading[i.Model] = i.Bytes
	}
	l.orders = slices.DeleteFunc(l.orders, func(o order) bool { return l.settled(o, r, asked) })
}

func (l *Ledger) settled(o order, r EngineReport, asked time.Duration) bool {
	if asked < o.sent {
		return false
	}
	if l.cfg.Fenced && r.HighestNumber >= o.number {
		return true
	}
	return asked >= o.sent+l.cfg.MaxDeliveryDelay
}

// Used returns the bytes that residents, loads under way and unresolved load
// orders take. A model counts once.
func (l *Ledger) Used() configurator.Bytes {
	var sum configurator.Bytes
	for _, b := range l.residents {
		sum += b
	}
	for m, b := range l.loading {
		if _, ok := l.residents[m]; !ok {
			sum += b
		}
	}
	for i, o := range l.orders {
		if o.op == Load && !l.counted(o.item.Model, i) {
			sum += o.item.Bytes
		}
	}
	return sum
}

// counted tells whether a model is accounted for by the engine's state or an
// order before index end.
func (l *Ledger) counted(m configurator.ModelName, end int) bool {
	if l.Resident(m) || l.Loading(m) {
		return true
	}
	return slices.ContainsFunc(l.orders[:end], func(o order) bool { return o.op == Load && o.item.Model == m })
}

// Free returns the bytes that a new load may take.
func (l *Ledger) Free() configurator.Bytes {
	return l.cfg.Capacity - l.Used()
}

// Resident tells whether the engine reported m as resident.
func (l *Ledger) Resident(m configurator.ModelName) bool {
	_, ok := l.residents[m]
	return ok
}

// Loading tells whether the engine reported m as being loaded.
func (l *Ledger) Loading(m configurator.ModelName) bool {
	_, ok := l.loading[m]
	return ok
}

// Residents lists the resident models and adapters by name.
func (l *Ledger) Residents() []configurator.ModelName {
	names := make([]configurator.ModelName, 0, len(l.residents))
	for m := range l.residents {
		names = append(names, m)
	}
	slices.Sort(names)
	return names
}

// Pending tells whether an order for m is unresolved.
func (l *Ledger) Pending(m configurator.ModelName) bool {
	return slices.ContainsFunc(l.orders, func(o order) bool { return o.item.Model == m })
}

// Model returns the model of an unresolved order, and "" for any other order.
func (l *Ledger) Model(n OrderNumber) configurator.ModelName {
	for _, o := range l.orders {
		if o.number == n {
			return o.item.Model
		}
	}
	return ""
}

// Unloading tells whether an unload order for m is unresolved.
func (l *Ledger) Unloading(m configurator.ModelName) bool {
	return slices.ContainsFunc(l.orders, func(o order) bool { return o.op == Unload && o.item.Model == m })
}

// Unresolved counts the orders whose outcome is not known.
func (l *Ledger) Unresolved() int {
	return len(l.orders)
}

// ReserveLoad reserves memory for a load order and tells whether it may be sent.
func (l *Ledger) ReserveLoad(now time.Duration, n OrderNumber, m configurator.ModelName, b configurator.Bytes) bool {
	if !l.known || l.Pending(m) || l.Resident(m) || l.Loading(m) || b > l.Free() {
		return false
	}
	l.orders = append(l.orders, order{n, Load, ModelSize{m, b}, now})
	return true
}

// RecordUnload notes an unload order and tells whether it may be sent. The memory
// counts as used until a report shows it free.
func (l *Ledger) RecordUnload(now time.Duration, n OrderNumber, m configurator.ModelName) bool {
	if !l.known || l.Pending(m) || !l.Resident(m) {
		return false
	}
	l.orders = append(l.orders, order{n, Unload, ModelSize{m, 0}, now})
	return true
}

// Release drops an order that the engine answered with a refusal. It does
// nothing for an order whose answer was lost.
func (l *Ledger) Release(n OrderNumber) {
	l.orders = slices.DeleteFunc(l.orders, func(o order) bool { return o.number == n })
}

// MarkLost notes that the answer to an order was lost; the reservation stays.
func (l *Ledger) MarkLost(n OrderNumber) {
	if l.cfg.ForgetLostOrders {
		l.Release(n)
	}
}

// OldestSentAt returns when the oldest unresolved order was given, and zero
// without one.
func (l *Ledger) OldestSentAt() time.Duration {
	if len(l.orders) == 0 {
		return 0
	}
	return l.orders[0].sent
}
