package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

const (
	plain   = registrar.ServiceName("plain")
	runners = registrar.ServiceName("runners")
)

// desk is a dispatcher with two services.
type desk struct {
	t    *testing.T
	d    *Dispatcher
	now  time.Duration
	next RequestID
}

func newDesk(t *testing.T) *desk {
	k := &desk{t: t, d: New(Config{Domain: "a", Seed: 3, RetryBudget: RetryBudget{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}})}
	engine := &registrar.Engine{Slots: 64, Models: map[registrar.ModelName]registrar.Model{"m": {Name: "m", StoreLoadTime: 5 * time.Second}}}
	k.reduce(Configured{&registrar.Configuration{Services: map[registrar.ServiceName]registrar.Service{
		plain: {Name: plain}, runners: {Name: runners, Engine: engine},
	}}})
	return k
}

// reduce applies an event and returns the effects but for notes.
func (k *desk) reduce(e Event) []Effect {
	var effects []Effect
	for _, effect := range k.d.Reduce(k.now, e) {
		if _, ok := effect.(Log); !ok {
			effects = append(effects, effect)
		}
	}
	return effects
}

// list shows upstreams u1, u2 ... of a service, with the models that they hold.
func (k *desk) list(s registrar.ServiceName, n int, models ...registrar.ModelName) []*registrar.Upstream {
	var all []*registrar.Upstream
	for i := range n {
		u := &registrar.Upstream{
			ID: registrar.UpstreamID(fmt.Sprint("u", i+1)), Service: s, Address: fmt.Sprintf("10.0.0.%d:80", i+1), Domain: "a", State: registrar.Ready, Slots: 6,
		}
		for _, m := range models {
			u.Residents = append(u.Residents, registrar.ResidentModel{Model: m})
		}
		all = append(all, u)
	}
	k.reduce(UpstreamsListed{all})
	return all
}

func route(kind registrar.Kind, attempts int) *registrar.Route {
	return &registrar.Route{Kind: kind, AttemptLimit: attempts, TargetLatency: 300 * time.Millisecond, Timeout: 4 * time.Second, Resumable: kind == registrar.Streaming}
}

// ask lets a request arrive and returns its id and the effects.
func (k *desk) ask(r *registrar.Route, m registrar.ModelName) (RequestID, []Effect) {
	k.next++
	s := plain
	if m != "" {
		s = runners
	}
	return k.next, k.reduce(Arrived{Request{ID: k.next, Route: r, Service: s, Model: m, PromptTokens: 800, OutputTokens: 300, Deadline: k.now + 4*time.Second}})
}

func (k *desk) sent(effects []Effect) Send {
	k.t.Helper()
	require.NotEmpty(k.t, effects)
	send, ok := effects[0].(Send)
	require.True(k.t, ok, "%#v", effects[0])
	return send
}

func (k *desk) answered(effects []Effect) Fail {
	k.t.Helper()
	require.NotEmpty(k.t, effects)
	answer, ok := effects[len(effects)-1].(Fail)
	require.True(k.t, ok, "%#v", effects)
	return answer
}

func TestRequestsGoToTheLeastLoadedUpstream(t *testing.T) {
	k := newDesk(t)
	k.list(plain, 3)
	seen := map[registrar.UpstreamID]int{}
	for range 6 {
		_, effects := k.ask(route(registrar.Idempotent, 2), "")
		seen[k.sent(effects).Upstream]++
	}
	require.Equal(t, map[registrar.UpstreamID]int{"u1": 2, "u2": 2, "u3": 2}, seen)
}

func TestNonIdempotentRequestIsSentOnceWhenItsFateIsUnknown(t *testing.T) {
	for _, outcome := range []Outcome{Unknown, Interrupted} {
		k := newDesk(t)
		k.list(plain, 3)
		id, effects := k.ask(route(registrar.NonIdempotent, 2), "")
		effects = k.reduce(SendEnded{ID: id, Try: k.sent(effects).Try, Outcome: outcome})
		answer := k.answered(effects)
		require.Equal(t, classifier.RanUnknown, classifier.ResponseOf(answer.Kind).Ran)
		require.Zero(t, k.d.Open())
	}
}

func TestRequestThatDidNotRunGoesElsewhere(t *testing.T) {
	for _, outcome := range []Outcome{NotRun, WrongInstance, Unsent} {
		k := newDesk(t)
		k.list(plain, 2)
		id, effects := k.ask(route(registrar.NonIdempotent, 1), "")
		first := k.sent(effects)
		second := k.sent(k.reduce(SendEnded{ID: id, Try: first.Try, Outcome: outcome}))
		require.NotEqual(t, first.Upstream, second.Upstream, outcome)
	}
}

// A refusal says that the request has not run, so that it must not follow a
// send that may have run.
func TestNoRefusalAfterASendThatMayHaveRun(t *testing.T) {
	k := newDesk(t)
	k.list(plain, 2)
	id, effects := k.ask(route(registrar.Idempotent, 3), "")
	second := k.sent(k.reduce(SendEnded{ID: id, Try: k.sent(effects).Try, Outcome: Unknown}))
	k.reduce(UpstreamsListed{nil})
	k.reduce(SendEnded{ID: id, Try: second.Try, Outcome: NotRun})
	k.now += 5 * time.Second
	answer := k.answered(k.reduce(Tick{}))
	require.Equal(t, classifier.RanUnknown, classifier.ResponseOf(answer.Kind).Ran)
}

// A crashed upstream refuses connections; what it refused has reached nobody, so
// that the retry budget has nothing to do with it.
func TestRequestsFindAnotherUpstreamWithoutTheBudget(t *testing.T) {
	k := newDesk(t)
	all := k.list(plain, 2)
	k.d.budgets[plain] = &budget{}
	k.d.cfg.RetryBudget = RetryBudget{}
	absent := 0
	for range 20 {
		id, effects := k.ask(route(registrar.NonIdempotent, 1), "")
		send := k.sent(effects)
		if send.Upstream == "u1" {
			absent++
			send = k.sent(k.reduce(SendEnded{ID: id, Try: send.Try, Outcome: ConnectionRefused}))
		}
		require.EqualValues(t, "u2", send.Upstream)
		k.reduce(SendEnded{ID: id, Try: send.Try, Outcome: Completed})
	}
	require.Equal(t, 1, absent, "it is left alone until its next heartbeat")
	all[0].Heartbeat++
	k.reduce(UpstreamsListed{all})
	seen := map[registrar.UpstreamID]bool{}
	for range 4 {
		_, effects := k.ask(route(registrar.NonIdempotent, 1), "")
		seen[k.sent(effects).Upstream] = true
	}
	require.True(t, seen["u1"])
}

// An upstream that fails some of its requests gets few, although the others
// succeed.
func TestUpstreamThatFailsOftenGetsLess(t *testing.T) {
	k := newDesk(t)
	k.list(plain, 4)
	count := map[registrar.UpstreamID]int{}
	for n := range 400 {
		id, effects := k.ask(route(registrar.NonIdempotent, 1), "")
		send := k.sent(effects)
		count[send.Upstream]++
		outcome := Completed
		if send.Upstream == "u1" && n%5 < 2 {
			outcome = Failed
		}
		k.reduce(SendEnded{ID: id, Try: send.Try, Outcome: outcome})
		k.now += 10 * time.Millisecond
	}
	require.Less(t, count["u1"], 40)
	require.Positive(t, count["u1"])
}

func TestRunsStayWithinTheRoutesAttempts(t *testing.T) {
	k := newDesk(t)
	k.list(plain, 4)
	id, effects := k.ask(route(registrar.Idempotent, 2), "")
	second := k.sent(k.reduce(SendEnded{ID: id, Try: k.sent(effects).Try, Outcome: Unknown}))
	answer := k.answered(k.reduce(SendEnded{ID: id, Try: second.Try, Outcome: Unknown}))
	require.Equal(t, classifier.Lost, answer.Kind)
}

func TestFailureOfTheUpstreamIsDeliveredInTheEnd(t *testing.T) {
	k := newDesk(t)
	k.list(plain, 2)
	id, effects := k.ask(route(registrar.Idempotent, 2), "")
	second := k.sent(k.reduce(SendEnded{ID: id, Try: k.sent(effects).Try, Outcome: Failed}))
	require.Equal(t, []Effect{RelayFailure{id}}, k.reduce(SendEnded{ID: id, Try: second.Try, Outcome: Failed}))
}

// All gateways together may repeat a fifth of the requests and the slack.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	const gateways, requests = 6, 100
	k := newDesk(t)
	k.list(plain, 4)
	k.d.gateways = gateways
	delete(k.d.budgets, plain)
	repeats := 0
	for range requests { // in one window of ten seconds
		id, effects := k.ask(route(registrar.Idempotent, 2), "")
		effects = k.reduce(SendEnded{ID: id, Try: k.sent(effects).Try, Outcome: Unknown})
		if send, ok := effects[0].(Send); ok {
			repeats++
			k.reduce(SendEnded{ID: id, Try: send.Try, Outcome: Completed})
		}
		k.now += 100 * time.Millisecond
	}
	require.LessOrEqual(t, float64(gateways*repeats), 0.2*gateways*requests+56)
	require.Greater(t, repeats, requests/10)
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	k := newDesk(t)
	all := k.list(plain, 2)
	all[0].State = registrar.Draining
	k.reduce(UpstreamsListed{all})
	for range minOpen {
		_, effects := k.ask(route(registrar.NonIdempotent, 1), "")
		require.EqualValues(t, "u2", k.sent(effects).Upstream)
	}
}

func TestRequestWaitsForTheAdapter(t *testing.T) {
	k := newDesk(t)
	all := k.list(runners, 2, "m")
	k.next++
	effects := k.reduce(Arrived{Request{ID: k.next, Route: route(registrar.Streaming, 2), Service: runners, Model: "m", Adapter: "a1", Deadline: 4 * time.Second}})
	require.Len(t, effects, 1)
	want, ok := effects[0].(LoadAdapter)
	require.True(t, ok)
	require.EqualValues(t, "a1", want.Adapter.Name)
	effects = k.reduce(Reported{Report{Address: want.Address, Holdings: []registrar.ResidentModel{{Model: "m", Adapters: []registrar.AdapterName{"a1"}}}}})
	require.Equal(t, want.Address, k.sent(effects).Address)
	require.Len(t, all, 2)
}

func TestModelThatNobodyHoldsIsRefusedBeforeItsCallerGivesUp(t *testing.T) {
	k := newDesk(t)
	k.list(runners, 2, "other")
	_, effects := k.ask(route(registrar.Streaming, 2), "m")
	require.Empty(t, effects)
	for range 200 {
		k.now += TickPeriod
		if effects = k.reduce(Tick{}); len(effects) > 0 {
			break
		}
	}
	answer := k.answered(effects)
	require.Equal(t, classifier.Loading, answer.Kind)
	require.Less(t, k.now, silence, "callers give up a silent stream after that")
}

// A runner that loads the model in time is waited for.
func TestRequestWaitsForAModelThatIsComing(t *testing.T) {
	k := newDesk(t)
	all := k.list(runners, 1)
	k.reduce(Reported{Report{Address: all[0].Address, Loading: "m", LoadRemaining: time.Second}})
	_, effects := k.ask(route(registrar.Streaming, 2), "m")
	require.Empty(t, effects)
	k.now += time.Second
	effects = k.reduce(Reported{Report{Address: all[0].Address, Holdings: []registrar.ResidentModel{{Model: "m"}}}})
	require.Equal(t, all[0].Address, k.sent(effects).Address)
}

// A stream whose runner has room and yet is silent goes on elsewhere.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	k := newDesk(t)
	all := k.list(runners, 2, "m")
	id, effects := k.ask(route(registrar.Streaming, 2), "m")
	first := k.sent(effects)
	require.Positive(t, first.FirstTimeout)
	k.now += first.FirstTimeout
	for _, u := range all {
		k.reduce(Reported{Report{Address: u.Address, Holdings: u.Residents, Running: 1}})
	}
	require.Equal(t, []Effect{Failover{id}}, k.reduce(SendStalled{id, first.Try}))
	require.Empty(t, k.reduce(SendStalled{id, first.Try}), "once")
	second := k.sent(k.reduce(SendEnded{ID: id, Try: first.Try, Outcome: Unknown}))
	require.NotEqual(t, first.Upstream, second.Upstream)
}

// Silence is no reason to end an answer that nobody else can go on with.
func TestSilentStreamWithoutAnotherUpstreamIsWaitedFor(t *testing.T) {
	k := newDesk(t)
	k.list(runners, 1, "m")
	id, effects := k.ask(route(registrar.Streaming, 2), "m")
	require.Empty(t, k.reduce(SendStalled{id, k.sent(effects).Try}))
	k = newDesk(t)
	k.list(runners, 2, "m")
	once := route(registrar.Streaming, 2)
	once.Resumable = false
	id, effects = k.ask(once, "m")
	require.Zero(t, k.sent(effects).FirstTimeout)
	require.Empty(t, k.reduce(SendStalled{id, 1}))
}

// A full runner makes its requests wait; that is not silence.
func TestStreamAtAFullRunnerIsWaitedFor(t *testing.T) {
	k := newDesk(t)
	all := k.list(runners, 2, "m")
	id, effects := k.ask(route(registrar.Streaming, 2), "m")
	for _, u := range all {
		k.reduce(Reported{Report{Address: u.Address, Holdings: u.Residents, Running: 60, Waiting: 3}})
	}
	require.Empty(t, k.reduce(SendStalled{id, k.sent(effects).Try}))
}

func TestUpstreamThatItsStewardHasLostComesLast(t *testing.T) {
	k := newDesk(t)
	all := k.list(runners, 2, "m")
	k.reduce(Reported{Report{Address: all[0].Address, Holdings: all[0].Residents, Unreachable: true}})
	k.reduce(Reported{Report{Address: all[1].Address, Holdings: all[1].Residents, Running: 40}})
	_, effects := k.ask(route(registrar.Streaming, 2), "m")
	require.EqualValues(t, "u2", k.sent(effects).Upstream)
}

// Most reports leave out what a runner holds.
func TestPartialReportKeepsWhatTheRunnerHolds(t *testing.T) {
	k := newDesk(t)
	all := k.list(runners, 2)
	k.reduce(Reported{Report{Address: all[1].Address, Partial: true}})
	k.reduce(Reported{Report{Address: all[0].Address, Holdings: []registrar.ResidentModel{{Model: "m"}}}})
	k.reduce(Reported{Report{Address: all[0].Address, Partial: true, Running: 3}})
	_, effects := k.ask(route(registrar.Streaming, 2), "m")
	require.EqualValues(t, "u1", k.sent(effects).Upstream)
}

func TestTimeLimitEndsASend(t *testing.T) {
	k := newDesk(t)
	k.list(plain, 1)
	id, effects := k.ask(route(registrar.NonIdempotent, 1), "")
	k.sent(effects)
	k.now += 4 * time.Second
	require.Equal(t, []Effect{Abort{id, classifier.Expired}, Fail{ID: id, Kind: classifier.Expired}}, k.reduce(Tick{}))
	require.Zero(t, k.d.Open())
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	k := newDesk(t)
	night, urgent := route(registrar.Streaming, 1), route(registrar.Streaming, 1)
	night.Priority, night.TargetLatency = 1, 4*time.Second
	first, _ := k.ask(night, "m")
	second, _ := k.ask(urgent, "m")
	effects := k.list2(1, "m")
	require.Len(t, effects, 2)
	require.Equal(t, second, effects[0].(Send).ID)
	require.Equal(t, first, effects[1].(Send).ID)
}

// list2 shows runners and returns the effects.
func (k *desk) list2(n int, models ...registrar.ModelName) []Effect {
	var all []*registrar.Upstream
	for i := range n {
		u := &registrar.Upstream{ID: registrar.UpstreamID(fmt.Sprint("r", i)), Service: runners, Address: fmt.Sprintf("10.0.1.%d:80", i), State: registrar.Ready}
		for _, m := range models {
			u.Residents = append(u.Residents, registrar.ResidentModel{Model: m})
		}
		all = append(all, u)
	}
	return k.reduce(UpstreamsListed{all})
}
