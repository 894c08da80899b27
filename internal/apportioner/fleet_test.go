package apportioner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Terms of the tests: what callers of all gateways together may send in a window.
const (
	testWindow = 8 * time.Second
	testOver   = 1.1
	testSlack  = 15 // usual requests
	testCost   = 1100.0
	testStep   = 5 * time.Millisecond
	testReport = 800 * time.Millisecond // for which a gateway hears a steward that is gone
)

// fleet plays gateways, stewards and the datagrams between them.
type fleet struct {
	t         testing.TB
	rng       *rand.Rand
	now       time.Duration
	quotas    []registrar.Workspace
	version   registrar.Version
	gateways  []*testGateway
	stewards  []*testSteward
	mail      []datagram
	loss      float64
	double    float64
	returned  float64 // share of granted requests that don't run
	delay     func(*rand.Rand) time.Duration
	part      func(gateway int) int // of the network; stewards are in part index modulo parts
	parts     int
	broken    map[[2]int]bool // links between a gateway and a steward
	place     func(gateway int) float64
	load      float64
	demand    func(now time.Duration, gateway int, workspace registrar.WorkspaceName) float64 // requests per second
	cost      func(*rand.Rand) float64
	spent     map[registrar.WorkspaceName][]spend
	asked     map[registrar.WorkspaceName]float64
	owed      map[registrar.WorkspaceName]float64
	central   map[registrar.WorkspaceName]*centralBucket
	shareFrom time.Duration
	waits     []time.Duration
	datagrams int
	bytes     int
	measure   func(message any) int // nil to count no bytes
}

// centralBucket is a token bucket that all gateways would share if messages took no time:
// what it grants is owed.
type centralBucket struct {
	tokens   float64
	filledAt time.Duration
}

func (c *centralBucket) take(now time.Duration, q registrar.Quota, cost float64) bool {
	capacity := max(q.Burst, q.Rate*minBurstTime.Seconds())
	c.tokens = min(capacity, c.tokens+q.Rate*(now-c.filledAt).Seconds())
	c.filledAt = now
	if c.tokens < min(cost, capacity) {
		return false
	}
	c.tokens -= cost
	return true
}

type spend struct {
	at   time.Duration
	cost float64
}

type datagram struct {
	at      time.Duration
	steward int // of the sender or the receiver
	gateway int
	request *Request
	answer  *Answer
}

type testGateway struct {
	account *Account
	address netip.AddrPort
	down    bool
	frozen  bool
	heardAt []time.Duration // by steward
	nextID  uint64
	pending map[uint64]pendingRequest
	nextAt  map[registrar.WorkspaceName]time.Duration
	inbox   []datagram
}

type pendingRequest struct {
	workspace registrar.WorkspaceName
	cost      float64
	at        time.Duration
}

type testSteward struct {
	ledger *Ledger
	down   bool
	frozen bool
	inbox  []datagram
}

func shortDelay(r *rand.Rand) time.Duration {
	return time.Millisecond + time.Duration(r.IntN(2000))*time.Microsecond
}

func workspace(name string, rate, burst float64) registrar.Workspace {
	return registrar.Workspace{Name: registrar.WorkspaceName(name), Quota: registrar.Quota{Unit: registrar.UnitTokens, Rate: rate, Burst: burst}}
}

func newFleet(t testing.TB, gateways int, quotas ...registrar.Workspace) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(7, uint64(gateways))), quotas: quotas, version: 1, parts: 1,
		delay: shortDelay, broken: map[[2]int]bool{},
		part:   func(int) int { return 0 },
		demand: func(time.Duration, int, registrar.WorkspaceName) float64 { return 0 },
		cost:   func(*rand.Rand) float64 { return testCost },
		spent:  map[registrar.WorkspaceName][]spend{}, asked: map[registrar.WorkspaceName]float64{},
		owed: map[registrar.WorkspaceName]float64{}, central: map[registrar.WorkspaceName]*centralBucket{},
	}
	for i := range gateways {
		g := &testGateway{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 7000), heardAt: make([]time.Duration, 5)}
		f.gateways = append(f.gateways, g)
		f.start(i)
	}
	for range 5 {
		f.stewards = append(f.stewards, &testSteward{ledger: NewLedger()})
	}
	return f
}

// start starts a new process of a gateway.
func (f *fleet) start(i int) {
	g := f.gateways[i]
	g.account = NewAccount(Config{Epoch: int64(f.now/time.Millisecond) + 1, Seed: uint64(i)})
	g.account.Configure(f.version, f.quotas)
	g.down, g.pending, g.nextAt, g.inbox = false, map[uint64]pendingRequest{}, map[registrar.WorkspaceName]time.Duration{}, nil
}

func (f *fleet) configure(quotas ...registrar.Workspace) {
	f.version++
	f.quotas = quotas
	for _, g := range f.gateways {
		g.account.Configure(f.version, quotas)
	}
}

func (f *fleet) connected(gateway, steward int) bool {
	return f.part(gateway)%f.parts == steward%f.parts && !f.broken[[2]int{gateway, steward}]
}

func (f *fleet) send(d datagram) {
	f.datagrams++
	if f.measure != nil && d.request != nil {
		f.bytes += f.measure(d.request)
	} else if f.measure != nil {
		f.bytes += f.measure(d.answer)
	}
	copies := 1
	if f.rng.Float64() < f.double {
		copies = 2
	}
	for range copies {
		if f.rng.Float64() < f.loss || !f.connected(d.gateway, d.steward) {
			continue
		}
		d.at = f.now + f.delay(f.rng)
		f.mail = append(f.mail, d)
	}
}

// run plays the fleet for a time.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += testStep {
		f.deliver()
		for i, s := range f.stewards {
			if s.down || s.frozen {
				continue
			}
			if f.now%(500*time.Millisecond) == 0 {
				for j, g := range f.gateways {
					if !g.down && !g.frozen && f.connected(j, i) {
						s.ledger.Hear(f.now, g.address)
					}
				}
			}
			if f.now%(150*time.Millisecond) == 0 {
				for j, g := range f.gateways {
					if f.connected(j, i) {
						g.heardAt[i] = f.now
					}
				}
			}
			inbox := s.inbox
			s.inbox = nil
			for _, d := range inbox {
				if a, ok := s.ledger.Answer(f.now, f.gateways[d.gateway].address, *d.request); ok {
					f.send(datagram{steward: i, gateway: d.gateway, answer: &a})
				}
			}
		}
		for i, g := range f.gateways {
			if !g.down && !g.frozen {
				f.runGateway(i, g)
			}
		}
	}
}

func (f *fleet) deliver() {
	due := f.mail
	f.mail = nil
	for _, d := range due {
		switch {
		case d.at > f.now:
			f.mail = append(f.mail, d)
		case d.request != nil && !f.stewards[d.steward].down:
			f.stewards[d.steward].inbox = append(f.stewards[d.steward].inbox, d)
		case d.answer != nil && !f.gateways[d.gateway].down:
			f.gateways[d.gateway].inbox = append(f.gateways[d.gateway].inbox, d)
		}
	}
}

func (f *fleet) runGateway(i int, g *testGateway) {
	inbox := g.inbox
	g.inbox = nil
	for _, d := range inbox {
		g.account.Receive(f.now, *d.answer)
	}
	f.settle(g)
	for _, w := range f.quotas {
		f.arrive(i, g, w)
	}
	f.settle(g)
	var issuers []string
	for s := range f.stewards {
		if g.heardAt[s] > 0 && f.now-g.heardAt[s] < testReport {
			issuers = append(issuers, fmt.Sprint(s))
		}
	}
	if r, issuer, ok := g.account.Poll(f.now, issuers); ok {
		f.send(datagram{steward: int(issuer[0] - '0'), gateway: i, request: &r})
	}
}

// arrive plays the requests of callers that have arrived since the last step.
func (f *fleet) arrive(i int, g *testGateway, w registrar.Workspace) {
	name := w.Name
	rate := f.demand(f.now, i, name)
	for n := f.poisson(rate * testStep.Seconds()); n > 0; n-- {
		cost := f.cost(f.rng)
		f.asked[name] += cost
		if f.central[name] == nil {
			f.central[name] = &centralBucket{}
		}
		if f.central[name].take(f.now, w.Quota, cost) {
			f.owed[name] += cost
		}
		g.nextID++
		switch d := g.account.Take(f.now, g.nextID, name, cost); d.Outcome {
		case Granted:
			f.spend(g, name, cost)
			f.waits = append(f.waits, 0)
		case Pending:
			g.pending[g.nextID] = pendingRequest{name, cost, f.now}
		case Refused:
			require.Positive(f.t, d.RetryAfter)
		}
	}
}

func (f *fleet) poisson(mean float64) int {
	n, limit, p := 0, math.Exp(-mean), f.rng.Float64()
	for ; p > limit; n++ {
		p *= f.rng.Float64()
	}
	return n
}

func (f *fleet) settle(g *testGateway) {
	for _, s := range g.account.Settled(f.now) {
		p, ok := g.pending[s.ID]
		require.True(f.t, ok)
		delete(g.pending, s.ID)
		if s.Outcome == Granted {
			f.spend(g, p.workspace, p.cost)
			f.waits = append(f.waits, f.now-p.at)
		}
	}
}

// spend notes a request that runs, or returns its cost if it does not.
func (f *fleet) spend(g *testGateway, name registrar.WorkspaceName, cost float64) {
	if f.rng.Float64() < f.returned {
		g.account.Return(name, cost)
		return
	}
	f.spent[name] = append(f.spent[name], spend{f.now, cost})
}

// beginShare begins a measurement of the share served; windows go on.
func (f *fleet) beginShare() {
	clear(f.asked)
	clear(f.owed)
	f.shareFrom, f.waits, f.datagrams = f.now, nil, 0
}

// total returns the tokens spent for a workspace since beginShare.
func (f *fleet) total(name registrar.WorkspaceName) float64 {
	sum := 0.0
	for _, s := range f.spent[name] {
		if s.at >= f.shareFrom {
			sum += s.cost
		}
	}
	return sum
}

// highest returns the most tokens spent in a window.
func (f *fleet) highest(name registrar.WorkspaceName) float64 {
	all := f.spent[name]
	highest, sum, first := 0.0, 0.0, 0
	for _, s := range all {
		sum += s.cost
		for all[first].at <= s.at-testWindow {
			sum -= all[first].cost
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

// requireWithin requires that no window holds more than the quota and the slack.
func (f *fleet) requireWithin(w registrar.Workspace) {
	f.t.Helper()
	limit := (w.Quota.Rate*testWindow.Seconds()+w.Quota.Burst)*testOver + testSlack*testCost
	f.t.Logf("%s: highest window %.0f of %.0f without and %.0f with slack", w.Name, f.highest(w.Name), w.Quota.Rate*testWindow.Seconds()+w.Quota.Burst, limit)
	require.LessOrEqual(f.t, f.highest(w.Name), limit, "workspace %s", w.Name)
}

// requireServed requires a share of what was asked for within the quota in a time.
func (f *fleet) requireServed(w registrar.Workspace, d time.Duration, share float64) {
	f.t.Helper()
	owed := f.owed[w.Name]
	slices.Sort(f.waits)
	p99 := time.Duration(0)
	if len(f.waits) > 0 {
		p99 = f.waits[len(f.waits)*99/100]
	}
	f.t.Logf("%s: served %.3f of %.3f of the quota that is owed, asked for %.2f of the quota, p99 wait %v, %.0f datagrams/s", w.Name, f.total(w.Name)/owed, owed/(w.Quota.Rate*d.Seconds()), f.asked[w.Name]/(w.Quota.Rate*d.Seconds()), p99, float64(f.datagrams)/d.Seconds())
	require.GreaterOrEqual(f.t, f.total(w.Name), share*owed, "workspace %s", w.Name)
}

var fleetSizes = []int{6, 30, 103}

// callers returns a demand that is a multiple of a workspace's quota.
func callers(w registrar.Workspace, load float64, share func(now time.Duration, gateway int) float64) func(time.Duration, int, registrar.WorkspaceName) float64 {
	return func(now time.Duration, gateway int, name registrar.WorkspaceName) float64 {
		if name != w.Name {
			return 0
		}
		return w.Quota.Rate / testCost * load * share(now, gateway)
	}
}

func TestQuotaIsServedAndKeptWhereverCallersAre(t *testing.T) {
	for _, n := range fleetSizes {
		places := map[string]func(time.Duration, int) float64{
			"all": func(time.Duration, int) float64 { return 1 / float64(n) },
			"one": func(_ time.Duration, g int) float64 {
				if g == 0 {
					return 1
				}
				return 0
			},
			"moving": func(now time.Duration, g int) float64 {
				if int(now/(3*time.Second))%n == g {
					return 1
				}
				return 0
			},
		}
		for place, share := range places {
			for _, load := range []float64{0.8, 6} {
				for _, w := range []registrar.Workspace{workspace("small", 4400, 8800), workspace("large", 150_000, 300_000)} {
					if n == 103 && (place == "one" || w.Name == "large") {
						continue // takes long and differs little from 30
					}
					t.Run(fmt.Sprintf("%d/%s/%v/%s", n, place, load, w.Name), func(t *testing.T) {
						f := newFleet(t, n, w)
						f.run(3 * time.Second)
						f.demand = callers(w, load, share)
						f.run(5 * time.Second)
						f.beginShare()
						f.run(25 * time.Second)
						f.requireWithin(w)
						f.requireServed(w, 25*time.Second, 0.9)
					})
				}
			}
		}
	}
}
