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
	engineReportTimeout = 1500 * time.Millisecond // refuses new work without a report for so long

	firstCopiesMaxDelay = time.Minute
	touchDelay          = time.Second // settles a lost order with a higher number
)

// engineView is an agent's state about what its runner holds.
type engineView struct {
	reportPending      bool
	reportAskedAt      time.Duration
	reportedAt         time.Duration // last report
	reported           bool
	startedEmpty       bool // the engine held nothing in its first report
	checkedAt          time.Duration
	modelBackoff       loadBackoff
	adapterBackoff     loadBackoff
	lastUsed           map[configurator.ModelName]time.Duration
	running            map[configurator.ModelName]int // attempts running
	residentsOf        map[configurator.UpstreamName]runnerResidents
	copyRequestedUntil map[configurator.ModelName]time.Duration // until when entries want a further copy
}

// runnerResidents is what another runner held at a time.
type runnerResidents struct {
	receivedAt time.Duration
	askedAt    time.Duration
	models     map[configurator.ModelName]bool
}

// addRunning counts the running attempts of a model and of its adapter.
func (b *engineView) addRunning(t *attempt, n int) {
	if m := configurator.ModelName(t.submit.Model); m != "" {
		b.running[m] += n
	}
}

// ready tells whether attempts of a model or adapter can run.
func (a *Agent) ready(m configurator.ModelName) bool {
	if a.ledger == nil {
		return true
	}
	base := a.catalog.baseOf[m]
	return a.loaded(m) && (base == m || a.loaded(base))
}

func (a *Agent) loaded(m configurator.ModelName) bool {
	return a.ledger.Resident(m) && !a.ledger.Unloading(m)
}

// engineUnavailable tells whether the runner can't take new work although the agent runs.
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
	pace := &a.engine.modelBackoff
	if m != "" && a.catalog.baseOf[m] != m {
		pace = &a.engine.adapterBackoff
	}
	switch ev.Outcome {
	case OrderAccepted:
		pace.decrease(a.now, a.router)
	case OrderRefused:
		a.ledger.Release(ev.Number)
		pace.increase(a.now, a.router)
		if ev.HighestSeen > ev.Number {
			a.raiseOrderCounter(ev.HighestSeen)
		}
	case OrderUnsent:
		a.ledger.Release(ev.Number)
		pace.increase(a.now, a.router)
	case OrderUnknown:
		a.ledger.MarkLost(ev.Number)
		pace.increase(a.now, a.router)
	}
}

// raiseOrderCounter steps over a number that the engine has seen under this lease.
func (a *Agent) raiseOrderCounter(highest reserver.OrderNumber) {
	if uint64(highest)>>counterBits == uint64(a.lease.offset) {
		a.lease.counter = uint64(highest) & (1<<counterBits - 1)
	}
}

func (a *Agent) handleResidentsReceived(ev ResidentsReceived) {
	if ev.Err != nil {
		return
	}
	l := runnerResidents{receivedAt: a.now, askedAt: a.engine.residentsOf[ev.Upstream].askedAt, models: map[configurator.ModelName]bool{}}
	for _, m := range ev.Residents {
		l.models[m] = true
	}
	a.engine.residentsOf[ev.Upstream] = l
}

func (a *Agent) tickEngine() {
	b := &a.engine
	if !b.reportPending && a.now-b.reportAskedAt >= enginePollInterval {
		b.reportPending, b.reportAskedAt = true, a.now
		a.emit(PollEngine{})
	}
	if a.now-b.checkedAt < balanceInterval || a.ledger == nil {
		return
	}
	b.checkedAt = a.now
	if !a.mayOrder() || !a.ledger.Observed() || a.draining {
		return
	}
	a.supersedeLostOrders()
	if a.now >= b.modelBackoff.notBefore {
		a.loadNextModel()
	}
	if a.now >= b.adapterBackoff.notBefore {
		a.loadAdapters()
	}
}

// supersedeLostOrders gives the engine a higher number when an order was lost, so that a
// later report proves that it can't land any more.
func (a *Agent) supersedeLostOrders() {
	if !a.upstream.Fenced || a.ledger.Unresolved() == 0 || a.now-max(a.lease.touchedAt, a.ledger.OldestSentAt()) < touchDelay {
		return
	}
	a.lease.touchedAt = a.now
	a.emit(Order{Number: a.lease.nextNumber(), Op: reserver.Touch})
}

// loadNextModel orders the most wanted base model that is missing, one at a time.
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

// wantedModels lists base models: those that attempts wait for, then the home copies
// of this runner, first copies first.
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

// firstCopiesDelay returns for how long after its start beside an empty engine an
// agent leaves the store to the first copies of all models, since all runners
// may have started together.
func (a *Agent) firstCopiesDelay() time.Duration {
	if !a.engine.startedEmpty {
		return 0
	}
	cfg := &a.follower.State().Config
	seconds := float64(len(cfg.Models)) / cfg.Store.Rate
	return min(time.Duration(seconds*float64(time.Second)), firstCopiesMaxDelay)
}

// missingSpare returns a spare copy that fits into free memory, if one is missing.
func (a *Agent) missingSpare() (configurator.ModelName, bool) {
	for _, m := range sortedModels(a.spares) {
		if slices.Contains(a.spares[m], a.cfg.Upstream) && !a.ledger.Resident(m) && a.ledger.Free() >= a.bytesWithAdapters(m) {
			return m, true
		}
	}
	return "", false
}

// bytesWithAdapters returns the bytes of a base model with its adapters.
func (a *Agent) bytesWithAdapters(base configurator.ModelName) configurator.Bytes {
	var sum configurator.Bytes
	for m, b := range a.catalog.baseOf {
		if b == base {
			sum += a.catalog.sizes[m]
		}
	}
	return sum
}

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

// loadAdapters orders missing adapters of resident models, those that attempts
// wait for first.
func (a *Agent) loadAdapters() {
	var names []configurator.ModelName
	for _, t := range a.coldByUrgency() {
		names = append(names, configurator.ModelName(t.submit.Model))
	}
	names = append(names, a.requestedCopies()...)
	cfg := &a.follower.State().Config
	for _, ad := range cfg.Adapters {
		if slices.Contains(a.homes[ad.Model], a.cfg.Upstream) || slices.Contains(a.spares[ad.Model], a.cfg.Upstream) {
			names = append(names, ad.Name)
		}
	}
	under := 0
	for _, ad := range cfg.Adapters {
		if a.ledger.Loading(ad.Name) || a.ledger.Pending(ad.Name) {
			under++
		}
	}
	for _, m := range names {
		if under >= maxAdapterLoads {
			return
		}
		base := a.catalog.baseOf[m]
		if base == m || !a.loaded(base) || a.ledger.Resident(m) || a.ledger.Loading(m) || a.ledger.Pending(m) || a.ledger.Free() < a.catalog.sizes[m] {
			continue
		}
		a.orderLoad(m)
		under++
	}
}

// Residents describes what the runner holds, for other agents.
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
