package dispatcher

import (
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

// What a part that crashes upstreams may still do: maxCrashArrivals requests with it reach
// runners later than crashLearnTime after crash number crashesToLearn.
const (
	crashesToLearn   = 5
	crashLearnTime   = 3 * time.Second
	maxCrashArrivals = 3
	crashDowntime    = 3 * time.Second
	crashingPart     = isolator.Trait("dead")
)

// crashFleet is a fleet of gateways before runners that crash when they begin to answer a
// request with crashingPart, on a virtual clock. Each runner's steward is an analyst.
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
	requests map[int]map[RequestID][]isolator.Trait // by gateway

	crashes      int
	learnBy      time.Duration // zero before crashesToLearn
	arrivals     int           // of requests with crashingPart since learnBy
	begun, sound int           // of sound requests, since the last call of share
	refusedSound int

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

// crashingRunner is a runner with its steward.
type crashingRunner struct {
	info     registrar.Upstream
	down     bool
	sends    map[RequestID]crashFleetSend
	verdicts *isolator.Verdicts
	analyst  *isolator.Analyst
	judging  bool // since the last crash that was reported
}

type crashFleetSend struct {
	gateway int
	send    Send
}

func newCrashFleet(t *testing.T, gateways, runners int, seed uint64) *crashFleet {
	f := &crashFleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), requests: map[int]map[RequestID][]isolator.Trait{}}
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
	f.requests[g] = map[RequestID][]isolator.Trait{}
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

// report sends the reports and verdicts of all stewards to all gateways.
func (f *crashFleet) report() {
	for _, u := range f.runners {
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
	for _, u := range f.runners {
		if !u.judging {
			continue
		}
		suspects := u.analyst.Suspects(f.now)
		decided := u.analyst.Decide(f.now)
		u.judging = u.analyst.Busy(f.now)
		f.stored = append(f.stored, decided...)
		if len(decided) > 0 {
			for _, other := range f.runners {
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
				for _, u := range f.runners {
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
		case Fail:
			if ef.Kind == classifier.Isolated && !f.isCrashing(f.requests[g][ef.ID]) {
				f.refusedSound++
			}
		}
	}
}

func (f *crashFleet) isCrashing(parts []isolator.Trait) bool {
	for _, p := range parts {
		if p == crashingPart {
			return true
		}
	}
	return false
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
	crashing := f.isCrashing(f.requests[g][e.ID])
	if crashing && f.learnBy > 0 && f.now > f.learnBy {
		f.arrivals++
	}
	f.after(time.Duration(20+f.rng.IntN(120))*time.Millisecond, func() {
		if s, ok := u.sends[e.ID]; !ok || s.send != e {
			return
		}
		if crashing {
			f.crash(u)
			return
		}
		if e.Try == 1 {
			f.begun++
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
	if f.crashes == crashesToLearn {
		f.learnBy = f.now + crashLearnTime
	}
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

// submit lets a request with the given shared parts arrive at a random gateway.
func (f *crashFleet) submit(parts []isolator.Trait) {
	g := f.rng.IntN(len(f.gateways))
	f.lastID++
	id := f.lastID
	f.requests[g][id] = parts
	if !f.isCrashing(parts) {
		f.sound++
	}
	f.reduce(g, Arrived{Request{
		ID: id, Route: route(registrar.Streaming, 2), Service: runnerService, Model: "m", PromptTokens: 800, OutputTokens: 300,
		Deadline: f.now + 4*time.Second, Traits: parts,
	}})
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

func (f *crashFleet) load(soundPerSecond, crashingPerSecond float64) {
	arrivals := func(rate float64, submit func()) {
		var next func()
		next = func() {
			submit()
			f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		if rate > 0 {
			next()
		}
	}
	arrivals(soundPerSecond, func() { f.submit(f.soundParts()) })
	arrivals(crashingPerSecond, func() {
		parts := f.soundParts()
		f.submit([]isolator.Trait{parts[0], parts[1], crashingPart})
	})
}

// share returns the part of the sound requests that have begun at the first attempt since
// the last call.
func (f *crashFleet) share() float64 {
	share := float64(f.begun) / float64(max(1, f.sound))
	f.begun, f.sound = 0, 0
	return share
}

// requireOnlyCrashingPart requires that no sound part was isolated anywhere.
func (f *crashFleet) requireOnlyCrashingPart() {
	f.t.Helper()
	require.Zero(f.t, f.refusedSound, "sound requests refused; verdicts: %v", f.stored)
	for _, v := range f.stored {
		require.Equal(f.t, crashingPart, v.Trait)
	}
}

// loseStewards makes all stewards forget what they know.
func (f *crashFleet) loseStewards() {
	for _, u := range f.runners {
		u.verdicts = isolator.NewVerdicts()
		u.analyst = isolator.NewAnalyst(u.verdicts)
	}
}
