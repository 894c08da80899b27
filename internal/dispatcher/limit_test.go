package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/apportioner"
	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// What an upstream that names a limit may get: limitFactor times the limit and limitSlack
// requests within limitWindow, from gateways that have known it for limitDelay.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitDelay  = 500 * time.Millisecond
)

// limitedFleet is a fleet of gateways before a plain upstream that names a limit in all
// answers, and runners whose stewards issue the permits, on a virtual clock.
type limitedFleet struct {
	rng      *rand.Rand
	now      time.Duration
	rate     float64 // zero while the upstream names no limit
	gateways []*limitedGateway
	told     []time.Duration // when each gateway got the first answer with the limit, zero before
	arrivals []time.Duration // from gateways that have known the limit for limitDelay
	served   int
	stewards []*permitSteward // by number of the runner
	pending  []pendingAnswer
}

// limitedGateway is a gateway whose list holds some of the runners.
type limitedGateway struct {
	*harness
	address netip.AddrPort
	lists   []int // numbers of runners
}

// permitSteward is the part of a steward that issues permits.
type permitSteward struct {
	down    bool
	limits  *limiter.Table
	quotas  *apportioner.Ledger
	permits *limiter.Issuer
	heardAt map[netip.AddrPort]time.Duration
}

func newPermitSteward() *permitSteward {
	s := &permitSteward{limits: limiter.NewTable(), quotas: apportioner.NewLedger(), heardAt: map[netip.AddrPort]time.Duration{}}
	s.permits = limiter.NewIssuer(s.limits, s.quotas)
	return s
}

// gatewayCount returns the number of gateways that the steward hears.
func (s *permitSteward) gatewayCount(now time.Duration) int {
	n := 0
	for _, at := range s.heardAt {
		if now-at < 3*time.Second {
			n++
		}
	}
	return n
}

func runnerAddress(runner int) string { return fmt.Sprintf("10.0.0.%d:80", 2+runner) }

// permitStewardAt returns the number of the steward beside a runner.
func (f *limitedFleet) permitStewardAt(address string) int {
	for i := range f.stewards {
		if runnerAddress(i) == address {
			return i
		}
	}
	return -1
}

// pendingAnswer is an answer that a gateway gets at a time.
type pendingAnswer struct {
	at      time.Duration
	gateway int
	send    Send
}

func newLimitedFleet(t *testing.T, gateways int, rate float64) *limitedFleet {
	f := &limitedFleet{rng: rand.New(rand.NewPCG(1, 2)), rate: rate, told: make([]time.Duration, gateways)}
	f.stewards = []*permitSteward{newPermitSteward()}
	for i := range gateways {
		f.gateways = append(f.gateways, &limitedGateway{newLimitedGateway(t), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 256), byte(i)}), 7), []int{0}})
	}
	return f
}

// list gives a gateway a list with some of the runners.
func (f *limitedFleet) list(gateway int, runners ...int) {
	g := f.gateways[gateway]
	g.lists, g.now = runners, f.now
	all := []*registrar.Upstream{{ID: "limited", Service: plainService, Address: "10.0.0.1:80", State: registrar.Ready, Slots: 64}}
	for _, r := range runners {
		all = append(all, &registrar.Upstream{ID: registrar.UpstreamID(fmt.Sprint("runner", r)), Service: runnerService, Address: runnerAddress(r), State: registrar.Ready, Slots: 64})
	}
	f.carryOut(gateway, g.reduce(UpstreamsListed{all}))
}

func newLimitedGateway(t *testing.T) *harness {
	h := newHarness(t)
	h.reduce(UpstreamsListed{[]*registrar.Upstream{
		{ID: "limited", Service: plainService, Address: "10.0.0.1:80", State: registrar.Ready, Slots: 64},
		{ID: "runner", Service: runnerService, Address: "10.0.0.2:80", State: registrar.Ready, Slots: 64},
	}})
	return h
}

// run passes time and lets load requests per second arrive at random gateways.
func (f *limitedFleet) run(duration time.Duration, load float64) {
	const step = 10 * time.Millisecond
	for end := f.now + duration; f.now < end; f.now += step {
		for g, h := range f.gateways {
			h.now = f.now
			if f.now%(200*time.Millisecond) == 0 {
				f.report(g)
			}
			f.carryOut(g, h.reduce(Tick{}))
		}
		if f.rng.Float64() < load*step.Seconds() {
			g := f.rng.IntN(len(f.gateways))
			_, effects := f.gateways[g].submit(route(registrar.Idempotent, 2), "")
			f.carryOut(g, effects)
		}
		f.answer()
	}
}

// report lets a gateway and the stewards in its list hear each other.
func (f *limitedFleet) report(gateway int) {
	g := f.gateways[gateway]
	for _, i := range g.lists {
		s := f.stewards[i]
		if s.down {
			continue
		}
		s.heardAt[g.address] = f.now
		s.quotas.Hear(f.now, g.address)
		f.carryOut(gateway, g.reduce(Reported{Report{Address: runnerAddress(i), Gateways: s.gatewayCount(f.now)}}))
		f.carryOut(gateway, g.reduce(LimitsReported{s.limits.Recent(f.now, time.Minute)}))
	}
}

// answer delivers the answers that are due; each names the limit.
func (f *limitedFleet) answer() {
	for len(f.pending) > 0 && f.pending[0].at <= f.now {
		p := f.pending[0]
		f.pending = f.pending[1:]
		h := f.gateways[p.gateway]
		if f.told[p.gateway] == 0 && f.rate > 0 {
			f.told[p.gateway] = f.now
		}
		f.served++
		f.carryOut(p.gateway, h.reduce(UpstreamNotice{Request: p.send.ID, Upstream: p.send.Upstream, Limit: f.rate}))
		f.carryOut(p.gateway, h.reduce(SendEnded{ID: p.send.ID, Try: p.send.Try, Outcome: Completed}))
	}
}

func (f *limitedFleet) carryOut(g int, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			if f.told[g] > 0 && f.now-f.told[g] >= limitDelay {
				f.arrivals = append(f.arrivals, f.now)
			}
			f.pending = append(f.pending, pendingAnswer{f.now + 60*time.Millisecond, g, e})
		case RequestPermits:
			s := f.stewards[f.permitStewardAt(e.Address)]
			if s.down {
				continue
			}
			s.limits.Learn(f.now, e.Request.Limit)
			permits := s.permits.Issue(f.now, e.Request)
			f.carryOut(g, f.gateways[g].reduce(PermitsIssued{permits}))
		case RequestTokens:
			s := f.stewards[f.permitStewardAt(e.Address)]
			if s.down {
				continue
			}
			if answer, ok := s.quotas.Answer(f.now, f.gateways[g].address, e.Request); ok {
				f.carryOut(g, f.gateways[g].reduce(QuotaAnswered{answer}))
			}
		}
	}
}

// mostInWindow returns the largest number of counted arrivals within limitWindow.
func (f *limitedFleet) mostInWindow() int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for at-f.arrivals[first] > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *limitedFleet) requireLimitKept(t *testing.T) {
	t.Helper()
	require.LessOrEqual(t, float64(f.mostInWindow()), limitFactor*f.rate*limitWindow.Seconds()+limitSlack)
}

func TestGatewaysTogetherKeepALimitAndUseIt(t *testing.T) {
	for _, gateways := range []int{1, 6, 30, 103} {
		for _, rate := range []float64{0.5, 2.4, 20} {
			t.Run(fmt.Sprintf("%d gateways, %v a second", gateways, rate), func(t *testing.T) {
				f := newLimitedFleet(t, gateways, rate)
				f.run(3*time.Second, 4*rate+float64(gateways))
				f.served = 0
				const duration = 20 * time.Second
				f.run(duration, 4*rate+float64(gateways))
				f.requireLimitKept(t)
				require.Greater(t, float64(f.served), 0.7*rate*duration.Seconds())
			})
		}
	}
}

// The steward that issues permits is gone, comes back without memory, and comes and goes.
func TestLimitIsKeptWhenTheIssuerOfPermitsChanges(t *testing.T) {
	for _, gateways := range []int{1, 6, 30} {
		f := newLimitedFleet(t, gateways, 2.4)
		for _, downtime := range []time.Duration{6 * time.Second, 300 * time.Millisecond, time.Second, 2 * time.Second, 100 * time.Millisecond} {
			f.run(5*time.Second, 60)
			f.stewards[0].down = true
			f.run(downtime, 60)
			f.stewards[0] = newPermitSteward()
		}
		f.run(5*time.Second, 60)
		f.requireLimitKept(t)
	}
}

// Two of six gateways don't learn of a runner whose steward the others prefer, so that two
// stewards issue permits of one limit: before it is named or after, until all know the runner.
func TestStewardsThatIssuePermitsOfOneLimitKeepItTogether(t *testing.T) {
	for _, limitedAt := range []time.Duration{0, 5 * time.Second} {
		for _, known := range [][]int{{0, 1}, {1, 0}} {
			t.Run(fmt.Sprint("limit named at ", limitedAt, ", runner added ", known[1]), func(t *testing.T) {
				const rate = 10
				f := newLimitedFleet(t, 6, 0)
				f.stewards = append(f.stewards, newPermitSteward())
				for g := range f.gateways {
					f.list(g, known[0])
				}
				f.run(limitedAt, 60)
				if limitedAt == 0 {
					f.rate = rate
					f.run(5*time.Second, 60)
				}
				for g := range f.gateways[:4] {
					f.list(g, 0, 1)
				}
				f.run(500*time.Millisecond, 60)
				f.rate = rate
				f.run(time.Second, 60)
				f.served = 0
				const duration = 8 * time.Second
				f.run(duration, 60)
				require.Greater(t, float64(f.served), 0.7*rate*duration.Seconds())
				for g := range f.gateways {
					f.list(g, 0, 1)
				}
				f.run(8*time.Second, 60)
				require.LessOrEqual(t, float64(f.mostInWindow()), rate*limitWindow.Seconds()+limitSlack, "the parts add up to one limit")
			})
		}
	}
}

// Two of six gateways don't learn that a runner was removed, whose steward lives on for a
// while; then the other steward is killed as well and starts without memory.
func TestLimitIsKeptWhenARunnerIsRemovedAndAStewardIsLost(t *testing.T) {
	for removed := range 2 {
		const rate = 10
		f := newLimitedFleet(t, 6, rate)
		f.stewards = append(f.stewards, newPermitSteward())
		for g := range f.gateways {
			f.list(g, 0, 1)
		}
		f.run(6*time.Second, 60)
		for g := range f.gateways[:4] {
			f.list(g, 1-removed)
		}
		f.run(6*time.Second, 60)
		f.stewards[1-removed].down = true
		f.run(time.Second, 60)
		f.stewards[1-removed] = newPermitSteward()
		f.run(6*time.Second, 60)
		f.stewards[removed].down = true
		for g := range f.gateways {
			f.list(g, 1-removed)
		}
		f.run(3*time.Second, 60)
		f.served = 0
		f.run(6*time.Second, 60)
		require.Greater(t, f.served, 6*rate*7/10, "all ask one steward again")
		f.requireLimitKept(t)
	}
}

// A steward that has just started, or that some gateways don't know, hears few of them.
func TestStewardThatHearsFewGatewaysDoesNotRaiseTheirPartsOfLimits(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(runnerService, 2)
	for range 10 {
		h.now += 200 * time.Millisecond
		h.reduce(Reported{Report{Address: all[0].Address, Gateways: 6}})
		h.reduce(Reported{Report{Address: all[1].Address, Gateways: 1}})
		h.reduce(Tick{})
		require.Equal(t, 6, h.d.account.Gateways())
	}
	h.now += reportTimeout
	h.reduce(Reported{Report{Address: all[1].Address, Gateways: 1}})
	h.reduce(Tick{})
	require.Equal(t, 1, h.d.account.Gateways(), "the other steward is gone")
}

// A gateway that has just started knows of no answer that names the limit.
func TestLimitBindsAGatewayThatWasNotToldByTheUpstream(t *testing.T) {
	h := newLimitedGateway(t)
	h.reduce(Reported{Report{Address: "10.0.0.2:80"}})
	h.reduce(LimitsReported{[]limiter.Limit{{Upstream: "limited", Rate: 0.5, Age: time.Second}}})
	_, effects := h.submit(route(registrar.Idempotent, 2), "")
	require.Len(t, effects, 1)
	require.Equal(t, RequestPermits{Address: "10.0.0.2:80", Request: limiter.Request{
		Limit: limiter.Limit{Upstream: "limited", Rate: 0.5, Age: time.Second}, Count: 1,
	}}, effects[0])
	send := h.requireSend(h.reduce(PermitsIssued{limiter.Permits{Upstream: "limited", Count: 1}}))
	require.True(t, h.d.Sendable(h.now, send.ID, send.Try))
}

// A limit that is named while a connection is opened holds back the request.
func TestRequestWithoutPermitIsNotWritten(t *testing.T) {
	h := newLimitedGateway(t)
	_, effects := h.submit(route(registrar.Idempotent, 2), "")
	first := h.requireSend(effects)
	_, effects = h.submit(route(registrar.Idempotent, 2), "")
	second := h.requireSend(effects)
	h.reduce(UpstreamNotice{Request: first.ID, Upstream: first.Upstream, Limit: 2})
	require.False(t, h.d.Sendable(h.now, second.ID, second.Try))
}

func TestLimitEndsWithAnAnswerToALaterRequest(t *testing.T) {
	h := newLimitedGateway(t)
	h.now = time.Second
	id, effects := h.submit(route(registrar.Idempotent, 2), "")
	early := h.requireSend(effects)
	h.now += time.Second
	h.reduce(UpstreamNotice{Request: id, Upstream: "limited", Limit: 20})
	h.now += time.Millisecond
	h.reduce(UpstreamNotice{Request: id, Upstream: "limited", Unlimited: true})
	h.reduce(SendEnded{ID: id, Try: early.Try, Outcome: Completed})
	_, effects = h.submit(route(registrar.Idempotent, 2), "")
	require.Empty(t, effects, "the answer may have been made before the limit was named")
	h.now += time.Second
	later := h.requireSend(h.reduce(Tick{}))
	h.reduce(UpstreamNotice{Request: later.ID, Upstream: "limited", Unlimited: true})
	_, effects = h.submit(route(registrar.Idempotent, 2), "")
	h.requireSend(effects)
}

// Requests that the limit leaves no time for are refused at once.
func TestRequestsBeyondALimitAreRefusedAtOnce(t *testing.T) {
	h := newLimitedGateway(t)
	h.reduce(Reported{Report{Address: "10.0.0.2:80"}})
	h.reduce(LimitsReported{[]limiter.Limit{{Upstream: "limited", Rate: 0.5}}})
	refused := 0
	for range 12 {
		_, effects := h.submit(route(registrar.Idempotent, 2), "")
		for _, e := range effects {
			if answer, ok := e.(Fail); ok {
				refused++
				require.GreaterOrEqual(t, answer.RetryAfter, 2*time.Second)
			}
		}
	}
	require.Equal(t, 10, refused, "callers wait 4 s, in which 2 requests are sent")
}

// The other gateways may get the permits, so the limit alone does not tell how long a
// request must wait.
func TestRequestsAreRefusedSoonWhenOthersGetThePermits(t *testing.T) {
	h := newLimitedGateway(t)
	h.reduce(Reported{Report{Address: "10.0.0.2:80"}})
	h.reduce(LimitsReported{[]limiter.Limit{{Upstream: "limited", Rate: 20}}})
	for range 12 {
		h.submit(route(registrar.Idempotent, 2), "")
	}
	h.now += time.Second
	h.reduce(Tick{})
	require.LessOrEqual(t, h.d.Waiting(), queueAllowance, "none was sent within a second")
}

// Runners that name limits must not load each adapter that waits for permits.
func TestAdapterIsNotLoadedAtFurtherRunnersWithLimits(t *testing.T) {
	h := newHarness(t)
	all := h.listUpstreams(runnerService, 3, "m")
	all[0].Residents[0].Adapters = []registrar.AdapterName{"a1"}
	h.reduce(UpstreamsListed{all})
	for _, u := range all {
		h.reduce(Reported{Report{Address: u.Address, Residents: u.Residents, Gateways: 6}})
	}
	limits := []limiter.Limit{{Upstream: "u1", Rate: 2}, {Upstream: "u2", Rate: 2}, {Upstream: "u3", Rate: 2}}
	h.reduce(LimitsReported{limits})
	arrive := func() []Effect {
		h.lastID++
		return h.reduce(Arrived{Request{ID: h.lastID, Route: route(registrar.Streaming, 2), Service: runnerService, Model: "m", Adapter: "a1", Deadline: h.now + 4*time.Second}})
	}
	effects := arrive()
	require.Len(t, effects, 1)
	require.IsType(t, RequestPermits{}, effects[0], "only a permit for the runner that holds the adapter")
	h.now += 100 * time.Millisecond
	require.Contains(t, h.reduce(LimitsReported{[]limiter.Limit{{Upstream: "u3"}}}), LoadAdapter{Address: all[2].Address, Adapter: registrar.AdapterID{Model: "m", Name: "a1"}})
}

// Permits that a request with another choice asks for may be missed by requests that wait.
func TestPermitsAreRequestedRarelyWhileOthersHaveRoom(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 2)
	h.reduce(LimitsReported{[]limiter.Limit{{Upstream: "u1", Rate: 2}}})
	asked := 0
	for range 60 {
		h.now += 100 * time.Millisecond
		h.reduce(Reported{Report{Address: "10.0.0.1:80", Gateways: 6}})
		id, effects := h.submit(route(registrar.Idempotent, 2), "")
		for _, e := range effects {
			switch e := e.(type) {
			case RequestPermits:
				asked++
			case Send:
				h.reduce(SendEnded{ID: id, Try: e.Try, Outcome: Completed})
			}
		}
	}
	require.Equal(t, 2, asked, "an equal part of the limit: once in 3 s")
}

// Requests for many adapters wait for permits of one runner. Loaded before their permits,
// the adapters would displace one another until they are used.
func TestAdapterIsLoadedWithAPermit(t *testing.T) {
	h := newHarness(t)
	h.now = time.Second
	all := h.listUpstreams(runnerService, 1, "m")
	h.reduce(Reported{Report{Address: all[0].Address, Residents: all[0].Residents, Gateways: 6}})
	h.reduce(LimitsReported{[]limiter.Limit{{Upstream: "u1", Rate: 2}}})
	asked := 0
	for i := range 3 {
		h.lastID++
		effects := h.reduce(Arrived{Request{
			ID: h.lastID, Route: route(registrar.Streaming, 2), Service: runnerService, Model: "m", Adapter: registrar.AdapterName(fmt.Sprint("a", i)), Deadline: h.now + 4*time.Second,
		}})
		for _, e := range effects {
			require.IsType(t, RequestPermits{}, e)
			asked++
		}
	}
	require.Equal(t, 1, asked)
	effects := h.reduce(PermitsIssued{limiter.Permits{Upstream: "u1", Count: 1}})
	require.Equal(t, []Effect{LoadAdapter{Address: all[0].Address, Adapter: registrar.AdapterID{Model: "m", Name: "a0"}}}, effects, "of the first request only")
	h.reduce(Reported{Report{Address: all[0].Address, Residents: []registrar.ResidentModel{{Model: "m", Adapters: []registrar.AdapterName{"a0"}}}, Gateways: 6}})
	require.Equal(t, 2, h.d.Waiting())
}
