// Package reserver keeps the accelerator memory ledger of one runner.
//
// Usage:
//
//	l := reserver.New(reserver.Config{Capacity: 160e9, MaxDeliveryDelay: 5 * time.Second})
//	l.Observe(report, requestedAt)
//	if l.ReserveLoad(now, number, "tariff-nl", 40e9) { send the order }
//
// A load order keeps its reservation until a report that was requested after the
// order was sent shows that the order was executed or can't be executed any more.
// It can't be executed any more when the engine is fenced and has seen a higher
// order number, or when the maximum delivery delay has passed.
package reserver

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// OrderNumber is the sequence number of an order to one engine; a later order has a
// higher number.
type OrderNumber uint64

// Config describes the runner whose memory the ledger guards.
type Config struct {
	Capacity         configurator.Bytes
	Fenced           bool          // the engine refuses orders with a number below the highest it has seen
	MaxDeliveryDelay time.Duration // longest time between sending an order and its execution
	ForgetLostOrders bool          // test hook: release the reservation when the response to an order is lost
}

// ModelSize is a model or adapter with its size in accelerator memory.
type ModelSize struct {
	Model configurator.ModelName `json:"model"`
	Bytes configurator.Bytes     `json:"bytes"`
}

// EngineReport is the state that an engine reports of itself.
type EngineReport struct {
	HighestNumber OrderNumber `json:"number"` // highest order number seen
	Residents     []ModelSize `json:"residents"`
	Loading       []ModelSize `json:"loading"`
	Active        int         `json:"active"` // requests running
	Queued        int         `json:"queued"` // requests waiting inside the engine
}

// Op is the operation of an order.
type Op string

// The operations of orders.
const (
	Load   Op = "load"
	Unload Op = "unload"
	Touch  Op = "touch" // only raises the highest order number that the engine has seen
)

type order struct {
	number OrderNumber
	op     Op
	target ModelSize
	sentAt time.Duration
}

// Ledger accounts for the accelerator memory of one runner. It is not safe for
// concurrent use.
type Ledger struct {
	cfg       Config
	residents map[configurator.ModelName]configurator.Bytes
	loading   map[configurator.ModelName]configurator.Bytes
	orders    []order // unresolved, oldest first
	observed  bool    // a report has been observed
}

// New returns the ledger of a runner whose state is not known yet. It admits no order
// before the first call of Observe.
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

// Observed reports whether an engine report has been observed.
func (l *Ledger) Observed() bool {
	return l.observed
}

// Observe replaces the known state by an engine report that was requested at
// requestedAt and drops the orders that it resolves.
func (l *Ledger) Observe(r EngineReport, requestedAt time.Duration) {
	l.observed = true
	clear(l.residents)
	clear(l.loading)
	for _, resident := range r.Residents {
		l.residents[resident.Model] = resident.Bytes
	}
	for _, loading := range r.Loading {
		l.loading[loading.Model] = loading.Bytes
	}
	l.orders = slices.DeleteFunc(l.orders, func(o order) bool { return l.resolved(o, r, requestedAt) })
}

// resolved reports whether a report that was requested at requestedAt shows the final
// outcome of an order, because the order was executed or can't be executed any more.
func (l *Ledger) resolved(o order, r EngineReport, requestedAt time.Duration) bool {
	if requestedAt < o.sentAt {
		return false
	}
	if l.cfg.Fenced && r.HighestNumber >= o.number {
		return true
	}
	return requestedAt >= o.sentAt+l.cfg.MaxDeliveryDelay
}

// Used returns the bytes taken by resident and loading models and reserved by
// unresolved load orders. Each model counts once.
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
		if o.op == Load && !l.alreadyCounted(o.target.Model, i) {
			sum += o.target.Bytes
		}
	}
	return sum
}

// alreadyCounted reports whether the bytes of a model are counted for the engine's
// state or for an unresolved load order before index end.
func (l *Ledger) alreadyCounted(m configurator.ModelName, end int) bool {
	if l.Resident(m) || l.Loading(m) {
		return true
	}
	return slices.ContainsFunc(l.orders[:end], func(o order) bool { return o.op == Load && o.target.Model == m })
}

// Free returns the bytes that a new load may take.
func (l *Ledger) Free() configurator.Bytes {
	return l.cfg.Capacity - l.Used()
}

// Resident reports whether m was resident in the last engine report.
func (l *Ledger) Resident(m configurator.ModelName) bool {
	_, ok := l.residents[m]
	return ok
}

// Loading reports whether m was being loaded in the last engine report.
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

// Pending reports whether an order for m is unresolved.
func (l *Ledger) Pending(m configurator.ModelName) bool {
	return slices.ContainsFunc(l.orders, func(o order) bool { return o.target.Model == m })
}

// Model returns the model or adapter of an unresolved order, empty for any other order.
func (l *Ledger) Model(n OrderNumber) configurator.ModelName {
	for _, o := range l.orders {
		if o.number == n {
			return o.target.Model
		}
	}
	return ""
}

// Unloading reports whether an unload order for m is unresolved.
func (l *Ledger) Unloading(m configurator.ModelName) bool {
	return slices.ContainsFunc(l.orders, func(o order) bool { return o.op == Unload && o.target.Model == m })
}

// Unresolved returns the number of orders whose outcome is not known.
func (l *Ledger) Unresolved() int {
	return len(l.orders)
}

// ReserveLoad reserves memory for a load order and reports whether it may be sent: m
// must be neither resident nor loading nor have an unresolved order, and b must be free.
func (l *Ledger) ReserveLoad(now time.Duration, n OrderNumber, m configurator.ModelName, b configurator.Bytes) bool {
	if !l.observed || l.Pending(m) || l.Resident(m) || l.Loading(m) || b > l.Free() {
		return false
	}
	l.orders = append(l.orders, order{n, Load, ModelSize{m, b}, now})
	return true
}

// RecordUnload records an unload order and reports whether it may be sent: m must be
// resident and have no unresolved order. Its memory counts as used until a report
// shows it free.
func (l *Ledger) RecordUnload(now time.Duration, n OrderNumber, m configurator.ModelName) bool {
	if !l.observed || l.Pending(m) || !l.Resident(m) {
		return false
	}
	l.orders = append(l.orders, order{n, Unload, ModelSize{m, 0}, now})
	return true
}

// Release drops an order that was not sent or that the engine refused, together with
// its reservation. An order whose response was lost must not be released, since it may
// still be executed.
func (l *Ledger) Release(n OrderNumber) {
	l.orders = slices.DeleteFunc(l.orders, func(o order) bool { return o.number == n })
}

// MarkLost handles the loss of the response to an order. The reservation stays unless
// ForgetLostOrders is set.
func (l *Ledger) MarkLost(n OrderNumber) {
	if l.cfg.ForgetLostOrders {
		l.Release(n)
	}
}

// OldestSentAt returns when the oldest unresolved order was sent, zero if there is
// none.
func (l *Ledger) OldestSentAt() time.Duration {
	if len(l.orders) == 0 {
		return 0
	}
	return l.orders[0].sentAt
}
