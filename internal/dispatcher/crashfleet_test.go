package dispatcher

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// What requests that crash upstreams may still do: maxCrashArrivals of them reach upstreams
// later than crashLearnTime after crash number partCrashes or requestCrashes.
const (
	partCrashes      = 5
	requestCrashes   = 3
	crashLearnTime   = 3 * time.Second
	maxCrashArrivals = 3
	crashDowntime    = 3 * time.Second
	crashingPart     = isolator.Trait("dead")
	crashingContent  = isolator.Trait("content:again")
)

// crashFleet is a fleet of gateways before upstreams that crash when they begin to answer a
// request with crashingPart or crashingContent, on a virtual clock. Each runner's steward is
// an analyst; upstreams of the plain service have none.
type crashFleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	calls    callHeap
	sequence int
	loss     float64 // share of datagrams that are lost
	lastID   RequestID
	gateways []*Dispatcher
	runners  []*crashingRunner
	stored   []isolator.Verdict
	requests map[int]map[RequestID]crashFleetRequest // by gateway

	crashes      int
	learnBy      time.Duration // zero before so many crashes that the cause must be known
	arrivals     int           // of crashing requests since learnBy
	begun, sound int           // of sound requests, since the last call of share
	refusedSound int

	crashing map[isolator.Trait]bool // requests that crash upstreams

	mutant crashMutant
}

// crashMutant is a fault of the fleet that its checks must catch.
type crashMutant string

// The mutants of a crashFleet.
const (
	noMutant            crashMutant = ""
	gatewaysNeverObject crashMutant = "gateways never say that a suspect was answered"
	verdictsStay        crashMutant = "verdicts stay with the steward that reached them"
	restartsForget      crashMutant = "verdicts are not read from the store"
)

// crashFleetRequest is an attempt of a request, whose caller may send it once more.
type crashFleetRequest struct {
	Request
	again bool // the caller has sent it before
}

// crashingRunner is a runner with its steward, or an upstream of the plain service without.
type crashingRunner struct {
	info     registrar.Upstream
	down     bool
	sends    map[RequestID]crashFleetSend
	verdicts *isolator.Verdicts
	analyst  *isolator.Analyst // nil without a steward
	judging  bool              // since the last crash that was reported
}

type crashFleetSend struct {
	gateway int
	send    Send
}

// plainUpstreams is the number of upstreams of the plain service.
const plainUpstreams = 4

func newCrashFleet(t *testing.T, gateways, runners int, seed uint64) *crashFleet {
	f := &crashFleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), requests: map[int]map[RequestID]crashFleetRequest{}, crashing: map[isolator.Trait]bool{}}
	for i := range runners {
		verdicts := isolator.NewVerdicts()
		f.runners = append(f.runners, &crashingRunner{
			info: registrar.Upstream{
				ID: registrar.UpstreamID(fmt.Sprint("u", i)), Service: runnerService, Address: fmt.Sprintf("10.0.0.%d:80", i+1), Domain: "a",
				State: registrar.Ready, Slots: 64, Incarnation: 1, Residents: []registrar.ResidentModel{{Model: "m"}},
			},
			sends: map[RequestID]crashFleetSend{}, verdicts: verdicts, analyst: isolator.NewAnalyst(verdicts),
		})
	}
	for i := range plainUpstreams {
		f.runners = append(f.runners, &crashingRunner{
			info: registrar.Upstream{
				ID: registrar.UpstreamID(fmt.Sprint("p", i)), Service: plainService, Address: fmt.Sprintf("10.0.1.%d:80", i+1), Domain: "a",
				State: registrar.Ready, Slots: 6, Incarnation: 1,
			},
			sends: map[RequestID]crashFleetSend{},
		})
	}
	for g := range gateways {
		f.gateways = append(f.gateways, nil)
		f.startGateway(g)
	}
	f.every(150*time.Millisecond, f.report)
	f.every(100*time.Millisecond, f.judge)
	f.every(TickPeriod, func() {
		for g := range f.gateways {
			f.reduce(g, Tick{})
		}
	})
	return f
}

func (f *crashFleet) startGateway(g int) {
	f.gateways[g] = newHarness(f.t).d
	f.gateways[g].trialTurn = f.rng.Float64()
	f.requests[g] = map[RequestID]crashFleetRequest{}
	for _, u := range f.runners {
		for id, s := range u.sends {
			if s.gateway == g {
				delete(u.sends, id)
			}
		}
	}
	f.list(g)
	if f.mutant != restartsForget {
		f.reduce(g, VerdictsReported{f.stored})
	}
}

func (f *crashFleet) list(g int) {
	var all []*registrar.Upstream
	for _, u := range f.runners {
		if !u.down {
			info := u.info
			all = append(all, &info)
		}
	}
	f.reduce(g, UpstreamsListed{all})
}

func (f *crashFleet) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.calls, scheduledCall{f.now + d, f.sequence, run})
}

func (f *crashFleet) every(period time.Duration, run func()) {
	f.after(period, func() {
		run()
		f.every(period, run)
	})
}

// deliver passes a datagram on unless it is lost.
func (f *crashFleet) deliver(run func()) {
	if f.rng.Float64() >= f.loss {
		f.after(time.Duration(f.rng.Int64N(int64(3*time.Millisecond))), run)
	}
}

func (f *crashFleet) run(d time.Duration) {
	for end := f.now + d; len(f.calls) > 0 && f.calls[0].at <= end; {
		call := heap.Pop(&f.calls).(scheduledCall)
		f.now = call.at
		call.run()
	}
}

// stewards returns the runners, whose stewards report.
func (f *crashFleet) stewards() []*crashingRunner {
	return slices.DeleteFunc(slices.Clone(f.runners), func(u *crashingRunner) bool { return u.analyst == nil })
}

// report sends the reports and verdicts of all stewards to all gateways.
func (f *crashFleet) report() {
	for _, u := range f.stewards() {
		r := Report{Address: u.info.Address, Incarnation: u.info.Incarnation, Residents: u.info.Residents, Gateways: len(f.gateways), Unreachable: u.down, Running: len(u.sends)}
		for g := range f.gateways {
			f.deliver(func() {
				f.reduce(g, Reported{r})
				if f.mutant != verdictsStay {
					f.reduce(g, VerdictsReported{u.verdicts.All(f.now)})
				}
			})
		}
	}
}

// judge lets all analysts ask about suspects and decide.
func (f *crashFleet) judge() {
	for _, u := range f.stewards() {
		if !u.judging {
			continue
		}
		suspects := u.analyst.Suspects(f.now)
		decided := u.analyst.Decide(f.now)
		u.judging = u.analyst.Busy(f.now)
		for _, v := range decided {
			if v.Lasting() {
				f.stored = append(f.stored, v)
			}
		}
		if len(decided) > 0 {
			for _, other := range f.stewards() {
				f.deliver(func() { other.verdicts.Learn(f.now, decided) })
			}
		}
		for g := range f.gateways {
			if len(suspects) == 0 {
				break
			}
			f.deliver(func() {
				if f.mutant == gatewaysNeverObject {
					return
				}
				answered := f.gateways[g].Answered(f.now, suspects)
				f.deliver(func() { u.analyst.Clear(f.now, answered) })
			})
		}
	}
}

func (f *crashFleet) reduce(g int, e Event) {
	for _, effect := range append([]Effect{}, f.gateways[g].Reduce(f.now, e)...) {
		switch ef := effect.(type) {
		case Send:
			f.send(g, ef)
		case ReportCrash:
			for _, address := range ef.Addresses {
				for _, u := range f.stewards() {
					if u.info.Address == address {
						f.deliver(func() {
							u.analyst.Record(f.now, ef.Crash)
							u.judging = true
						})
					}
				}
			}
		case Abort:
			for _, u := range f.runners {
				delete(u.sends, ef.ID)
			}
		case ProbeUpstream:
			f.probe(g, ef)
		case Fail:
			f.handleFailure(g, f.requests[g][ef.ID], ef.Kind)
		}
	}
}

func (f *crashFleet) probe(g int, p ProbeUpstream) {
	f.after(time.Millisecond, func() {
		for _, u := range f.runners {
			if u.info.ID == p.Upstream {
				f.reduce(g, UpstreamProbed{Upstream: p.Upstream, Incarnation: p.Incarnation, Refused: u.down})
			}
		}
	})
}

// handleFailure lets the caller of a request that was refused or may be sent again send it
// once more.
func (f *crashFleet) handleFailure(g int, r crashFleetRequest, kind classifier.Kind) {
	if kind == classifier.Isolated && !isCrashing(r.Traits) {
		f.refusedSound++
	}
	refused := kind != classifier.Lost && kind != classifier.Broken && kind != classifier.Expired
	if !r.again && (refused || r.Route.Repeatable()) {
		r.again = true
		f.after(time.Duration(100+f.rng.IntN(200))*time.Millisecond, func() { f.arrive(r) })
	}
}

func isCrashing(traits []isolator.Trait) bool {
	return slices.Contains(traits, crashingPart) || slices.Contains(traits, crashingContent)
}

func (f *crashFleet) send(g int, e Send) {
	var u *crashingRunner
	for _, other := range f.runners {
		if other.info.ID == e.Upstream {
			u = other
		}
	}
	if u == nil || u.down || u.info.Incarnation != e.Incarnation {
		f.after(time.Millisecond, func() { f.reduce(g, SendEnded{ID: e.ID, Try: e.Try, Outcome: ConnectionRefused}) })
		return
	}
	u.sends[e.ID] = crashFleetSend{g, e}
	r := f.requests[g][e.ID]
	crashing := isCrashing(r.Traits)
	if crashing && f.learnBy > 0 && f.now > f.learnBy {
		f.arrivals++
	}
	f.after(time.Duration(20+f.rng.IntN(120))*time.Millisecond, func() {
		if s, ok := u.sends[e.ID]; !ok || s.send != e {
			return
		}
		if crashing && r.Model != "" && f.rng.IntN(2) == 0 {
			f.reduce(g, AnswerBegan{ID: e.ID, Try: e.Try, Resumed: e.Try > 1})
			f.after(time.Duration(f.rng.IntN(120))*time.Millisecond, func() { f.crashUnder(u, e, r) })
			return
		}
		if crashing {
			f.crashUnder(u, e, r)
			return
		}
		if e.Try == 1 && !r.again {
			f.begun++
		}
		if r.Model == "" {
			delete(u.sends, e.ID)
			f.reduce(g, SendEnded{ID: e.ID, Try: e.Try, Outcome: Completed})
			return
		}
		f.reduce(g, AnswerBegan{ID: e.ID, Try: e.Try})
		f.after(time.Duration(300+f.rng.IntN(1200))*time.Millisecond, func() {
			if s, ok := u.sends[e.ID]; ok && s.send == e {
				delete(u.sends, e.ID)
				f.reduce(g, SendEnded{ID: e.ID, Try: e.Try, Outcome: Completed})
			}
		})
	})
}

// crashUnder crashes an upstream that still runs a send of a request.
func (f *crashFleet) crashUnder(u *crashingRunner, e Send, r crashFleetRequest) {
	if s, ok := u.sends[e.ID]; !ok || s.send != e {
		return
	}
	f.crash(u)
	if slices.Contains(r.Traits, crashingContent) && f.crashes == requestCrashes || f.crashes == partCrashes {
		f.learnBy = cmp.Or(f.learnBy, f.now+crashLearnTime)
	}
}

// breakOff ends all sends to a runner with a reset of their connections.
func (f *crashFleet) breakOff(u *crashingRunner) {
	for _, id := range slices.Sorted(maps.Keys(u.sends)) {
		s := u.sends[id]
		f.after(time.Millisecond, func() { f.reduce(s.gateway, SendEnded{ID: s.send.ID, Try: s.send.Try, Outcome: Unknown}) })
	}
	u.sends = map[RequestID]crashFleetSend{}
}

func (f *crashFleet) crash(u *crashingRunner) {
	f.crashes++
	u.down = true
	f.breakOff(u)
	f.after(crashDowntime, func() {
		u.down = false
		u.info.Incarnation++
		for g := range f.gateways {
			f.after(time.Duration(f.rng.IntN(800))*time.Millisecond, func() { f.list(g) })
		}
	})
}

// arrive lets a request arrive at a random gateway.
func (f *crashFleet) arrive(r crashFleetRequest) {
	g := f.rng.IntN(len(f.gateways))
	f.lastID++
	r.ID, r.Deadline = f.lastID, f.now+4*time.Second
	f.requests[g][r.ID] = r
	if !isCrashing(r.Traits) && !r.again {
		f.sound++
	}
	f.reduce(g, Arrived{r.Request})
}

// submit lets a request for a model arrive whose prompt has the given shared parts, or one
// for the plain service without. content is empty if it is no other request's.
func (f *crashFleet) submit(content string, caller int, kind registrar.Kind, parts []isolator.Trait) {
	if content == "" {
		content = fmt.Sprint(f.lastID)
	}
	traits := append([]isolator.Trait{isolator.Trait(fmt.Sprintf("request:%s.%d", content, caller)), isolator.Trait("content:" + content)}, parts...)
	if isCrashing(traits) {
		f.crashing[traits[0]], f.crashing[traits[1]] = true, true
	}
	r := Request{Route: route(kind, 2), Service: plainService, Traits: traits}
	if kind == registrar.Streaming {
		r.Service, r.Model, r.PromptTokens, r.OutputTokens = runnerService, "m", 800, 300
	}
	f.arrive(crashFleetRequest{Request: r})
}

// soundParts draws an instruction that all requests share, one of many callers, some of
// which are rare, and sometimes a document.
func (f *crashFleet) soundParts() []isolator.Trait {
	caller := int(f.rng.ExpFloat64() * 12)
	parts := []isolator.Trait{"base", isolator.Trait(fmt.Sprint("caller", caller))}
	if f.rng.IntN(2) == 0 {
		parts = append(parts, isolator.Trait(fmt.Sprint("doc", caller, "-", f.rng.IntN(5))))
	}
	return parts
}

// submitAt submits requests at random times.
func (f *crashFleet) submitAt(perSecond float64, submit func()) {
	var next func()
	next = func() {
		submit()
		f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	if perSecond > 0 {
		next()
	}
}

func (f *crashFleet) load(soundPerSecond, crashingPerSecond float64) {
	f.submitAt(soundPerSecond, func() { f.submit("", 0, registrar.Streaming, f.soundParts()) })
	f.submitAt(crashingPerSecond, func() {
		parts := f.soundParts()
		f.submit("", 0, registrar.Streaming, []isolator.Trait{parts[0], parts[1], crashingPart})
	})
}

// loadPlain adds requests for the plain service, one in three of which may be repeated.
func (f *crashFleet) loadPlain(perSecond float64) {
	f.submitAt(perSecond, func() {
		kind := registrar.NonIdempotent
		if f.rng.IntN(3) == 0 {
			kind = registrar.Idempotent
		}
		f.submit("", 0, kind, nil)
	})
}

// loadAgain adds attempts of a request with crashingContent, by so many callers.
func (f *crashFleet) loadAgain(perSecond float64, kind registrar.Kind, callers int) {
	var parts []isolator.Trait
	if kind == registrar.Streaming {
		parts = append(f.soundParts(), "rare")
	}
	f.submitAt(perSecond, func() { f.submit("again", f.rng.IntN(callers), kind, parts) })
}

// share returns the part of the sound requests that have begun at the first attempt since
// the last call.
func (f *crashFleet) share() float64 {
	share := float64(f.begun) / float64(max(1, f.sound))
	f.begun, f.sound = 0, 0
	return share
}

// requireOnlyCrashing requires that nothing was isolated but crashingPart and requests that
// crash upstreams, and no sound request refused.
func (f *crashFleet) requireOnlyCrashing() {
	f.t.Helper()
	require.Zero(f.t, f.refusedSound, "sound requests refused; verdicts: %v", f.stored)
	for _, v := range f.stored {
		require.True(f.t, v.Trait == crashingPart || f.crashing[v.Trait], "%v", f.stored)
	}
}

// loseStewards makes all stewards forget what they know.
func (f *crashFleet) loseStewards() {
	for _, u := range f.stewards() {
		u.verdicts = isolator.NewVerdicts()
		u.analyst = isolator.NewAnalyst(u.verdicts)
	}
}
