package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Limits on a runner's engine.
const (
	engineReportTimeout = 1500 * time.Millisecond // without a report for this long the agent refuses work

	firstCopiesMaxDelay = time.Minute // upper bound of firstCopiesDelay
	touchDelay          = time.Second // until an unresolved order is superseded by a touch, and between touches
)

// engineView is an agent's view of its runner's engine and of the models that it
// and other runners hold.
type engineView struct {
	reportPending      bool
	reportAskedAt      time.Duration
	reportedAt         time.Duration // when the last report arrived
	reported           bool          // a report has arrived
	startedEmpty       bool          // the first report had no residents
	checkedAt          time.Duration // when load orders were last considered
	modelBackoff       loadBackoff
	adapterBackoff     loadBackoff
	lastUsed           map[configurator.ModelName]time.Duration
	running            map[configurator.ModelName]int // forwarded attempts by model or adapter
	residentsOf        map[configurator.UpstreamName]runnerResidents
	copyRequestedUntil map[configurator.ModelName]time.Duration // when an entry's request for a further copy expires
}

// runnerResidents is the last known set of models that another runner holds.
type runnerResidents struct {
	receivedAt time.Duration
	askedAt    time.Duration // when the runner was last queried
	models     map[configurator.ModelName]bool
}

// addRunning adds n to the number of forwarded attempts of t's model or adapter.
func (v *engineView) addRunning(t *attempt, n int) {
	if m := configurator.ModelName(t.submit.Model); m != "" {
		v.running[m] += n
	}
}

// ready reports whether attempts of a model, or of an adapter with its base model,
// can run now.
func (a *Agent) ready(m configurator.ModelName) bool {
	if a.ledger == nil {
		return true
	}
	base := a.catalog.baseOf[m]
	return a.loaded(m) && (base == m || a.loaded(base))
}

// loaded reports whether m is resident with no unload order outstanding.
func (a *Agent) loaded(m configurator.ModelName) bool {
	return a.ledger.Resident(m) && !a.ledger.Unloading(m)
}

// engineUnavailable reports whether the agent must refuse work because its engine
// does not report or another agent holds the lease.
func (a *Agent) engineUnavailable() bool {
	if !a.isRunner() {
		return false
	}
	return a.lease.superseded || !a.engine.reported || a.now-a.engine.reportedAt > engineReportTimeout
}

func (a *Agent) handleEngineReported(ev EngineReported) {
	a.engine.reportPending = false
	if ev.Err != nil || a.ledger == nil {
		return
	}
	if !a.engine.reported {
		a.engine.startedEmpty = len(ev.Report.Residents) == 0
	}
	a.engine.reported = true
	a.engine.reportedAt = a.now
	before := a.ledger.Residents()
	a.ledger.Observe(ev.Report, ev.RequestedAt)
	if a.lease.touchNumber > 0 && ev.Report.HighestNumber >= a.lease.touchNumber && !a.lease.superseded {
		a.lease.priorOrdersSettled = true
	}
	a.requeueCold()
	if slices.Equal(before, a.ledger.Residents()) {
		return
	}
	for _, id := range a.entryIDs() {
		a.sendResidents(id, a.entries[id])
	}
}

func (a *Agent) handleOrderCompleted(ev OrderCompleted) {
	if a.ledger == nil {
		return
	}
	m := a.ledger.Model(ev.Number)
	backoff := &a.engine.modelBackoff
	if m != "" && a.catalog.baseOf[m] != m {
		backoff = &a.engine.adapterBackoff
	}
	switch ev.Outcome {
	case OrderAccepted:
		backoff.decrease(a.now, a.router)
	case OrderRefused:
		a.ledger.Release(ev.Number)
		backoff.increase(a.now, a.router)
		if ev.HighestSeen > ev.Number {
			a.raiseOrderCounter(ev.HighestSeen)
		}
	case OrderUnsent:
		a.ledger.Release(ev.Number)
		backoff.increase(a.now, a.router)
	case OrderUnknown:
		a.ledger.MarkLost(ev.Number)
		backoff.increase(a.now, a.router)
	}
}

// raiseOrderCounter skips the order numbers up to highest, which the engine has
// seen, if they belong to this lease.
func (a *Agent) raiseOrderCounter(highest reserver.OrderNumber) {
	if uint64(highest)>>counterBits == uint64(a.lease.offset) {
		a.lease.counter = uint64(highest) & (1<<counterBits - 1)
	}
}

func (a *Agent) handleResidentsReceived(ev ResidentsReceived) {
	if ev.Err != nil {
		return
	}
	residents := runnerResidents{receivedAt: a.now, askedAt: a.engine.residentsOf[ev.Upstream].askedAt, models: map[configurator.ModelName]bool{}}
	for _, m := range ev.Residents {
		residents.models[m] = true
	}
	a.engine.residentsOf[ev.Upstream] = residents
}

func (a *Agent) tickEngine() {
	v := &a.engine
	if !v.reportPending && a.now-v.reportAskedAt >= enginePollInterval {
		v.reportPending, v.reportAskedAt = true, a.now
		a.emit(PollEngine{})
	}
	if a.now-v.checkedAt < balanceInterval || a.ledger == nil {
		return
	}
	v.checkedAt = a.now
	if !a.mayOrder() || !a.ledger.Observed() || a.draining {
		return
	}
	a.supersedeLostOrders()
	if a.now >= v.modelBackoff.notBefore {
		a.loadNextModel()
	}
	if a.now >= v.adapterBackoff.notBefore {
		a.loadAdapters()
	}
}

// supersedeLostOrders sends a touch with a higher number while orders are
// unresolved. A fenced engine that reports this number can no longer apply them.
func (a *Agent) supersedeLostOrders() {
	if !a.upstream.Fenced || a.ledger.Unresolved() == 0 || a.now-max(a.lease.touchedAt, a.ledger.OldestSentAt()) < touchDelay {
		return
	}
	a.lease.touchedAt = a.now
	a.emit(Order{Number: a.lease.nextNumber(), Op: reserver.Touch})
}

// loadNextModel orders a load of the first missing model of wantedModels, evicting
// others if needed, or of a spare copy. Base models load one at a time.
func (a *Agent) loadNextModel() {
	for _, m := range a.wantedModels() {
		if a.ledger.Loading(m) || a.ledger.Pending(m) && !a.ledger.Resident(m) {
			return
		}
	}
	for _, m := range a.wantedModels() {
		if a.ledger.Resident(m) {
			continue
		}
		if a.ledger.Free() < a.catalog.sizes[m] {
			if !a.makeRoom(m, a.needed(m)) {
				continue
			}
			return
		}
		a.orderLoad(m)
		return
	}
	if m, ok := a.missingSpare(); ok && a.now >= a.firstCopiesDelay() {
		a.orderLoad(m)
	}
}

// wantedModels lists the base models to hold, in order of priority: those that
// attempts wait for, this runner's home copies with first copies ahead of second
// ones (at most four copies per model), and copies requested by entries.
func (a *Agent) wantedModels() []configurator.ModelName {
	var models []configurator.ModelName
	add := func(m configurator.ModelName) {
		if m != "" && !slices.Contains(models, m) {
			models = append(models, m)
		}
	}
	for _, t := range a.coldByUrgency() {
		add(a.catalog.baseOf[configurator.ModelName(t.submit.Model)])
	}
	cfg := &a.follower.State().Config
	for copyIndex := range 4 {
		if copyIndex > 0 && a.now < a.firstCopiesDelay() {
			break
		}
		for _, m := range cfg.Models {
			homes := a.homes[m.Name]
			if copyIndex < len(homes) && homes[copyIndex] == a.cfg.Upstream {
				add(m.Name)
			}
		}
	}
	for _, m := range a.requestedCopies() {
		add(a.catalog.baseOf[m])
	}
	return models
}

// firstCopiesDelay returns how long after its start an agent loads only first
// copies. It is zero unless the engine started empty: then all runners may have
// started together, and the first copies of all models take precedence at the
// weight store, which needs this time to start one load of each model.
func (a *Agent) firstCopiesDelay() time.Duration {
	if !a.engine.startedEmpty {
		return 0
	}
	cfg := &a.follower.State().Config
	seconds := float64(len(cfg.Models)) / cfg.Store.ModelLoadRate
	return min(time.Duration(seconds*float64(time.Second)), firstCopiesMaxDelay)
}

// missingSpare returns a spare copy assigned to this runner that is not resident
// and fits into free memory together with its adapters.
func (a *Agent) missingSpare() (configurator.ModelName, bool) {
	for _, m := range sortedModels(a.spares) {
		if slices.Contains(a.spares[m], a.cfg.Upstream) && !a.ledger.Resident(m) && a.ledger.Free() >= a.bytesWithAdapters(m) {
			return m, true
		}
	}
	return "", false
}

// bytesWithAdapters returns the memory that a base model and all its adapters take.
func (a *Agent) bytesWithAdapters(base configurator.ModelName) configurator.Bytes {
	var sum configurator.Bytes
	for m, b := range a.catalog.baseOf {
		if b == base {
			sum += a.catalog.sizes[m]
		}
	}
	return sum
}

// coldByUrgency lists the attempts that wait for a model, the most urgent class
// first.
func (a *Agent) coldByUrgency() []*attempt {
	cold := slices.DeleteFunc(slices.Clone(a.cold), func(t *attempt) bool { return t.state != stateCold })
	slices.SortStableFunc(cold, func(x, y *attempt) int { return cmp.Compare(x.class.Rank, y.class.Rank) })
	return cold
}

func (a *Agent) orderLoad(m configurator.ModelName) {
	n := a.lease.nextNumber()
	if !a.ledger.ReserveLoad(a.now, n, m, a.catalog.sizes[m]) {
		return
	}
	a.Counters.Loads++
	a.engine.lastUsed[m] = a.now
	a.emit(Order{Number: n, Op: reserver.Load, Model: m, Bytes: a.catalog.sizes[m], Expires: a.orderDeadline()})
}

func (a *Agent) orderUnload(m configurator.ModelName) {
	n := a.lease.nextNumber()
	if !a.ledger.RecordUnload(a.now, n, m) {
		return
	}
	a.Counters.Unloads++
	a.emit(Order{Number: n, Op: reserver.Unload, Model: m, Expires: a.orderDeadline()})
}

// loadAdapters orders loads of missing adapters whose base model is loaded: first
// those that attempts wait for, then those that entries requested, then those of
// home and spare copies.
func (a *Agent) loadAdapters() {
	var names []configurator.ModelName
	for _, t := range a.coldByUrgency() {
		names = append(names, configurator.ModelName(t.submit.Model))
	}
	names = append(names, a.requestedCopies()...)
	cfg := &a.follower.State().Config
	for _, adapter := range cfg.Adapters {
		if slices.Contains(a.homes[adapter.Model], a.cfg.Upstream) || slices.Contains(a.spares[adapter.Model], a.cfg.Upstream) {
			names = append(names, adapter.Name)
		}
	}
	inProgress := 0
	for _, adapter := range cfg.Adapters {
		if a.ledger.Loading(adapter.Name) || a.ledger.Pending(adapter.Name) {
			inProgress++
		}
	}
	for _, m := range names {
		if inProgress >= maxAdapterLoads {
			return
		}
		base := a.catalog.baseOf[m]
		if base == m || !a.loaded(base) || a.ledger.Resident(m) || a.ledger.Loading(m) || a.ledger.Pending(m) || a.ledger.Free() < a.catalog.sizes[m] {
			continue
		}
		a.orderLoad(m)
		inProgress++
	}
}

// Residents returns the models and adapters that the runner holds, except those
// being unloaded, and its free memory in bytes. It is empty for a service.
func (a *Agent) Residents() *linkpb.Holds {
	holds := &linkpb.Holds{}
	if a.ledger == nil {
		return holds
	}
	holds.Free = int64(a.ledger.Free())
	for _, m := range a.ledger.Residents() {
		if !a.ledger.Unloading(m) {
			holds.Residents = append(holds.Residents, string(m))
		}
	}
	return holds
}
