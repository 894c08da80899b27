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
	engineSilent = 1500 * time.Millisecond // refuses new work without a report for so long

	firstCopiesLimit = time.Minute
	touchAfter       = time.Second // settles a lost order with a higher number
)

// balancing is an agent's state about what its runner holds.
type balancing struct {
	asking   bool
	askedAt  time.Duration
	goodAt   time.Duration // last report
	good     bool
	empty    bool // the engine held nothing in its first report
	tickAt   time.Duration
	models   pace
	adapters pace
	used     map[configurator.ModelName]time.Duration
	busy     map[configurator.ModelName]int // attempts running
	looks    map[configurator.UpstreamName]look
	wants    map[configurator.ModelName]time.Duration // until when entries want a further copy
}

// look is what another runner held at a time.
type look struct {
	at      time.Duration
	asked   time.Duration
	holding map[configurator.ModelName]bool
}

// pin counts the running attempts of a model and of its adapter.
func (b *balancing) pin(t *attempt, n int) {
	if m := configurator.ModelName(t.submit.Model); m != "" {
		b.busy[m] += n
	}
}

// ready tells whether attempts of a model or adapter can run.
func (a *Agent) ready(m configurator.ModelName) bool {
	if a.ledger == nil {
		return true
	}
	base := a.catalog.bases[m]
	return a.holdsFirmly(m) && (base == m || a.holdsFirmly(base))
}

func (a *Agent) holdsFirmly(m configurator.ModelName) bool {
	return a.ledger.Resident(m) && !a.ledger.Unloading(m)
}

// unfit tells whether the runner can't take new work although the agent runs.
func (a *Agent) unfit() bool {
	if !a.isRunner() {
		return false
	}
	return a.lease.superseded || !a.balance.good || a.now-a.balance.goodAt > engineSilent
}

func (a *Agent) reported(ev Reported) {
	a.balance.asking = false
	if ev.Err != nil || a.ledger == nil {
		return
	}
	if !a.balance.good {
		a.balance.empty = len(ev.Report.Residents) == 0
	}
	a.balance.good = true
	a.balance.goodAt = a.now
	before := a.ledger.Residents()
	a.ledger.Observe(ev.Report, ev.Asked)
	if a.lease.touch > 0 && ev.Report.Number >= a.lease.touch && !a.lease.superseded {
		a.lease.clean = true
	}
	a.warm()
	if slices.Equal(before, a.ledger.Residents()) {
		return
	}
	for _, id := range a.entryIDs() {
		a.sendHolds(id, a.entries[id])
	}
}

func (a *Agent) ordered(ev Ordered) {
	if a.ledger == nil {
		return
	}
	m := a.ledger.Model(ev.Number)
	pace := &a.balance.models
	if m != "" && a.catalog.bases[m] != m {
		pace = &a.balance.adapters
	}
	switch ev.Outcome {
	case Taken:
		pace.ease(a.now, a.router)
	case Refused:
		a.ledger.Refuse(ev.Number)
		pace.slow(a.now, a.router)
		if ev.Highest > ev.Number {
			a.raiseCounter(ev.Highest)
		}
	case Unsent:
		a.ledger.Refuse(ev.Number)
		pace.slow(a.now, a.router)
	case Unknown:
		a.ledger.Lose(ev.Number)
		pace.slow(a.now, a.router)
	}
}

// raiseCounter steps over a number that the engine has seen under this lease.
func (a *Agent) raiseCounter(highest reserver.Number) {
	if uint64(highest)>>counterBits == uint64(a.lease.offset) {
		a.lease.counter = uint64(highest) & (1<<counterBits - 1)
	}
}

func (a *Agent) looked(ev Looked) {
	if ev.Err != nil {
		return
	}
	l := look{at: a.now, asked: a.balance.looks[ev.Upstream].asked, holding: map[configurator.ModelName]bool{}}
	for _, m := range ev.Residents {
		l.holding[m] = true
	}
	a.balance.looks[ev.Upstream] = l
}

func (a *Agent) tickBalance() {
	b := &a.balance
	if !b.asking && a.now-b.askedAt >= askPeriod {
		b.asking, b.askedAt = true, a.now
		a.emit(Ask{})
	}
	if a.now-b.tickAt < balancePeriod || a.ledger == nil {
		return
	}
	b.tickAt = a.now
	if !a.mayOrder() || !a.ledger.Known() || a.draining {
		return
	}
	a.settle()
	if a.now >= b.models.from {
		a.loadNext()
	}
	if a.now >= b.adapters.from {
		a.loadAdapters()
	}
}

// settle gives the engine a higher number when an order was lost, so that a
// later report proves that it can't land any more.
func (a *Agent) settle() {
	if !a.upstream.Fenced || a.ledger.Unresolved() == 0 || a.now-max(a.lease.touched, a.ledger.OldestOrder()) < touchAfter {
		return
	}
	a.lease.touched = a.now
	a.emit(Order{Number: a.lease.number(), Op: reserver.Touch})
}

// loadNext orders the most wanted base model that is missing, one at a time.
func (a *Agent) loadNext() {
	for _, m := range a.wanted() {
		if a.ledger.Loading(m) || a.ledger.Pending(m) && !a.ledger.Resident(m) {
			return
		}
	}
	for _, m := range a.wanted() {
		if a.ledger.Resident(m) {
			continue
		}
		if a.ledger.Free() < a.catalog.sizes[m] {
			if !a.makeRoom(m, a.needed(m)) {
				continue
			}
			return
		}
		a.load(m)
		return
	}
	if m, ok := a.spare(); ok && a.now >= a.firstCopies() {
		a.load(m)
	}
}

// wanted lists base models: those that attempts wait for, then the home copies
// of this runner, first copies first.
func (a *Agent) wanted() []configurator.ModelName {
	var models []configurator.ModelName
	add := func(m configurator.ModelName) {
		if m != "" && !slices.Contains(models, m) {
			models = append(models, m)
		}
	}
	for _, t := range a.coldByUrgency() {
		add(a.catalog.bases[configurator.ModelName(t.submit.Model)])
	}
	cfg := &a.follower.State().Config
	for copyIndex := range 4 {
		if copyIndex > 0 && a.now < a.firstCopies() {
			break
		}
		for _, m := range cfg.Models {
			homes := a.homes[m.Name]
			if copyIndex < len(homes) && homes[copyIndex] == a.cfg.Upstream {
				add(m.Name)
			}
		}
	}
	for _, m := range a.furtherCopies() {
		add(a.catalog.bases[m])
	}
	return models
}

// firstCopies returns for how long after its start beside an empty engine an
// agent leaves the store to the first copies of all models, since all runners
// may have started together.
func (a *Agent) firstCopies() time.Duration {
	if !a.balance.empty {
		return 0
	}
	cfg := &a.follower.State().Config
	seconds := float64(len(cfg.Models)) / cfg.Store.Rate
	return min(time.Duration(seconds*float64(time.Second)), firstCopiesLimit)
}

// spare returns a spare copy that fits into free memory, if one is missing.
func (a *Agent) spare() (configurator.ModelName, bool) {
	for _, m := range sortedModels(a.spares) {
		if slices.Contains(a.spares[m], a.cfg.Upstream) && !a.ledger.Resident(m) && a.ledger.Free() >= a.weightOf(m) {
			return m, true
		}
	}
	return "", false
}

// weightOf returns the bytes of a base model with its adapters.
func (a *Agent) weightOf(base configurator.ModelName) configurator.Bytes {
	var sum configurator.Bytes
	for m, b := range a.catalog.bases {
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

func (a *Agent) load(m configurator.ModelName) {
	n := a.lease.number()
	if !a.ledger.Load(a.now, n, m, a.catalog.sizes[m]) {
		return
	}
	a.Counters.Loads++
	a.balance.used[m] = a.now
	a.emit(Order{Number: n, Op: reserver.Load, Model: m, Bytes: a.catalog.sizes[m], Before: a.before()})
}

func (a *Agent) unload(m configurator.ModelName) {
	n := a.lease.number()
	if !a.ledger.Unload(a.now, n, m) {
		return
	}
	a.Counters.Unloads++
	a.emit(Order{Number: n, Op: reserver.Unload, Model: m, Before: a.before()})
}

// loadAdapters orders missing adapters of resident models, those that attempts
// wait for first.
func (a *Agent) loadAdapters() {
	var names []configurator.ModelName
	for _, t := range a.coldByUrgency() {
		names = append(names, configurator.ModelName(t.submit.Model))
	}
	names = append(names, a.furtherCopies()...)
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
		if under >= maxAdapters {
			return
		}
		base := a.catalog.bases[m]
		if base == m || !a.holdsFirmly(base) || a.ledger.Resident(m) || a.ledger.Loading(m) || a.ledger.Pending(m) || a.ledger.Free() < a.catalog.sizes[m] {
			continue
		}
		a.load(m)
		under++
	}
}

// Holds describes what the runner holds, for other agents.
func (a *Agent) Holds() *linkpb.Holds {
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
