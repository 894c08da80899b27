package dispatcher

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

// memoryFleet is a harness whose upstreams hold requests for a time and end when these
// exceed their memory.
type memoryFleet struct {
	*harness
	memory   budgeter.Bytes // of each upstream
	holdTime time.Duration
	all      []*registrar.Upstream
	held     map[registrar.UpstreamID][]heldRequest
	sizes    map[RequestID]budgeter.Bytes
	crashes  int
	served   int
	refused  []classifier.Kind
}

const megabyte budgeter.Bytes = 1 << 20

type heldRequest struct {
	send  Send
	until time.Duration
}

func newMemoryFleet(t *testing.T, memory budgeter.Bytes) *memoryFleet {
	h := newHarness(t)
	all := h.listUpstreams(plainService, 4)
	for _, u := range all {
		u.Slots = 1000 // their memory is full before
	}
	h.reduce(UpstreamsListed{all})
	return &memoryFleet{
		harness: h, memory: memory, holdTime: 500 * time.Millisecond, all: all,
		held: map[registrar.UpstreamID][]heldRequest{}, sizes: map[RequestID]budgeter.Bytes{},
	}
}

// submitSized submits a request with a body of the given size.
func (f *memoryFleet) submitSized(size budgeter.Bytes) {
	f.lastID++
	f.sizes[f.lastID] = size
	f.apply(f.reduce(Arrived{Request{ID: f.lastID, Route: route(registrar.NonIdempotent, 1), Service: plainService, Deadline: f.now + 4*time.Second, Size: size}}))
}

func (f *memoryFleet) apply(effects []Effect) {
	for _, e := range slices.Clone(effects) {
		switch ef := e.(type) {
		case Send:
			f.held[ef.Upstream] = append(f.held[ef.Upstream], heldRequest{ef, f.now + f.holdTime})
			f.crashIfFull(ef.Upstream)
		case Fail:
			f.refused = append(f.refused, ef.Kind)
		}
	}
}

// crashIfFull ends an upstream that holds more than its memory.
func (f *memoryFleet) crashIfFull(id registrar.UpstreamID) {
	var total budgeter.Bytes
	for _, r := range f.held[id] {
		total += f.sizes[r.send.ID]
	}
	if total > f.memory {
		f.crash(id)
	}
}

// crash ends an upstream, which starts again at once.
func (f *memoryFleet) crash(id registrar.UpstreamID) {
	f.crashes++
	lost := f.held[id]
	f.held[id] = nil
	for _, r := range lost {
		f.apply(f.reduce(SendEnded{ID: r.send.ID, Try: r.send.Try, Outcome: Unknown}))
	}
	i := slices.IndexFunc(f.all, func(u *registrar.Upstream) bool { return u.ID == id })
	restarted := *f.all[i]
	restarted.Incarnation++
	f.all[i] = &restarted
	f.apply(f.reduce(UpstreamsListed{f.all}))
}

// run advances the clock and submits a request of the given size each period.
func (f *memoryFleet) run(duration, period time.Duration, size budgeter.Bytes) {
	for end := f.now + duration; f.now < end; f.now += period {
		for _, u := range f.all {
			id := u.ID
			for _, r := range f.held[id] {
				if r.until > f.now {
					continue
				}
				f.held[id] = slices.DeleteFunc(slices.Clone(f.held[id]), func(other heldRequest) bool { return other.send.ID == r.send.ID })
				f.served++
				f.apply(f.reduce(SendEnded{ID: r.send.ID, Try: r.send.Try, Outcome: Completed}))
			}
		}
		f.apply(f.reduce(Tick{}))
		f.submitSized(size)
	}
}

// 20 requests a second of 300 kB each, held for half a second by four upstreams that bear
// 2 MB each, then three times as many.
func TestUpstreamsAreNotSentMoreBytesThanTheyBear(t *testing.T) {
	f := newMemoryFleet(t, 2<<20)
	f.run(10*time.Second, 50*time.Millisecond, 300<<10)
	require.Zero(t, f.crashes)
	require.GreaterOrEqual(t, f.served, 180)
	f.served = 0
	f.run(20*time.Second, 10*time.Millisecond, 300<<10)
	require.GreaterOrEqual(t, f.crashes, 2)
	require.LessOrEqual(t, f.crashes, 4, "one per upstream")
	require.Greater(t, f.served, 400)
}

func TestRequestTooLargeForAnyUpstreamIsRefusedAtOnce(t *testing.T) {
	f := newMemoryFleet(t, 2<<20)
	f.run(4*time.Second, time.Second, 3<<20)
	require.Equal(t, 3, f.crashes)
	require.Equal(t, []classifier.Kind{classifier.Lost, classifier.Lost, classifier.Lost, classifier.Large}, f.refused)
	f.submitSized(1 << 20)
	require.Len(t, f.refused, 4, "smaller ones are sent")
	f.run(4*time.Minute, 500*time.Millisecond, 3<<20)
	require.Equal(t, 3, f.crashes)
	require.Len(t, f.refused, 4+480)
}

// Requests that no upstream bears come faster than the first crash is known.
func TestRequestsTooLargeForAnyUpstreamCrashFewInQuickSuccession(t *testing.T) {
	f := newMemoryFleet(t, 2<<20)
	f.run(10*time.Second, 5*time.Millisecond, 3<<20)
	require.LessOrEqual(t, f.crashes, 3)
	require.Greater(t, len(f.refused), 1900)
	f.served = 0
	f.run(10*time.Second, 50*time.Millisecond, 200<<10)
	require.GreaterOrEqual(t, f.served, 180)
}

// Two upstreams crashed at the same moment while each held one document, and all documents of
// that size were refused from then on.
func TestOrdinaryCrashesUnderAnsweredSizesRefuseNothing(t *testing.T) {
	for _, answered := range []time.Duration{0, 8 * time.Second} {
		f := newMemoryFleet(t, 100<<20)
		f.holdTime = 200 * time.Millisecond
		f.run(answered, 60*time.Millisecond, 200_000)
		crashes, lost := 0, 0
		for range 6 {
			f.run(180*time.Millisecond, 60*time.Millisecond, 200_000)
			for _, u := range f.all[:2] {
				if id := u.ID; len(f.held[id]) > 0 {
					crashes, lost = crashes+1, lost+len(f.held[id])
					f.crash(id)
				}
			}
			f.run(5*time.Second, 60*time.Millisecond, 200_000)
		}
		require.GreaterOrEqual(t, crashes, 6)
		require.NotContains(t, f.refused, classifier.Large)
		require.LessOrEqual(t, len(f.refused), lost)
		require.GreaterOrEqual(t, f.served, 6*86-lost)
	}
}

// A request that may be too large for any upstream waits for another one like it. Smaller
// ones must not wait behind it.
func TestSmallRequestsDoNotWaitBehindSuspectedSizes(t *testing.T) {
	f := newMemoryFleet(t, 2<<20)
	f.submitSized(3 << 20)
	f.apply(f.reduce(Tick{}))
	require.Equal(t, 1, f.crashes)
	f.memory = 100 << 20
	f.submitSized(3 << 20)
	f.submitSized(3 << 20)
	require.Equal(t, 1, f.d.Waiting(), "one at a time")
	sent := f.d.Counters.Sent
	f.submitSized(1 << 10)
	require.Equal(t, sent+1, f.d.Counters.Sent)
	f.run(f.holdTime+100*time.Millisecond, 50*time.Millisecond, 1<<10)
	require.Zero(t, f.d.Waiting(), "an answer shows that upstreams bear it")
}

// A stream may go on for long after its upstream has read the whole request.
func TestStreamThatBeginsShowsThatItsSizeIsBorne(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(runnerService, 3, "m")
	arrive := func() []Effect {
		h.lastID++
		return h.reduce(Arrived{Request{ID: h.lastID, Route: route(registrar.Streaming, 1), Service: runnerService, Model: "m", Deadline: h.now + 4*time.Second, Size: megabyte}})
	}
	crashed := h.requireSend(arrive())
	h.d.bearingOf(runnerService).Crashed(h.now, budgeter.Crash{Held: megabyte, Requests: 1})
	h.reduce(SendEnded{ID: crashed.ID, Try: crashed.Try, Outcome: Unknown})
	h.now += time.Second
	first := h.requireSend(arrive())
	require.Empty(t, arrive(), "one at a time")
	h.reduce(AnswerBegan{ID: first.ID, Try: first.Try})
	require.Equal(t, 1, h.d.Waiting())
	h.reduce(Tick{})
	require.Zero(t, h.d.Waiting())
}

// Upstreams that crash under the usual load have other reasons.
func TestCrashesUnderFewBytesBoundNothing(t *testing.T) {
	f := newMemoryFleet(t, 20<<10)
	f.run(10*time.Second, 10*time.Millisecond, 2<<10)
	require.Greater(t, f.crashes, 4)
	require.Empty(t, f.d.bearings[plainService].Bound())
}
