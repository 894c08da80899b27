package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/tracker"
)

// newPlainHarness returns a gateway before upstreams of two releases of a service without
// stewards. If runners is not zero, so many runners of another service have stewards.
func newPlainHarness(t *testing.T, runners int) *harness {
	h := newHarness(t)
	services := map[registrar.ServiceName]registrar.Service{plainService: {Name: plainService}}
	if runners > 0 {
		services = h.d.configuration.Services
	}
	h.reduce(Configured{&registrar.Configuration{Services: services}})
	var all []*registrar.Upstream
	for i := range 4 + runners {
		u := &registrar.Upstream{
			ID: registrar.UpstreamID(fmt.Sprint("u", i)), Service: plainService, Address: fmt.Sprintf("10.0.0.%d:80", i+1), Domain: "a",
			State: registrar.Ready, Slots: 64, Release: registrar.Release(fmt.Sprint("v", 1+i%2)),
		}
		if i >= 4 {
			u.Service, u.Release = runnerService, "r1"
		}
		all = append(all, u)
	}
	h.reduce(UpstreamsListed{all})
	for _, u := range all[4:] {
		h.reduce(Reported{Report{Address: u.Address, Gateways: 1}})
	}
	return h
}

// beginPlain begins a stream of the plain service and returns its release and the effects of
// its first event.
func (h *harness) beginPlain(attempt string) (registrar.Release, []Effect) {
	h.lastID++
	send := h.requireSend(h.reduce(Arrived{Request{ID: h.lastID, AttemptID: attempt, Route: route(registrar.Streaming, 2), Service: plainService, Deadline: h.now + 4*time.Second}}))
	return h.d.upstreams[send.Upstream].info.Release, h.reduce(AnswerBegan{ID: h.lastID, Try: send.Try})
}

// resumePlain resumes a stream of the plain service.
func (h *harness) resumePlain(attempt string) []Effect {
	h.lastID++
	return h.reduce(Arrived{Request{
		ID: h.lastID, AttemptID: fmt.Sprint("again", h.lastID), Route: route(registrar.Streaming, 2), Service: plainService,
		Deadline: h.now + 4*time.Second, Resumed: true, Resumes: attempt,
	}})
}

// Streams of a service without stewards were known to the gateway that began them only, and
// refused at others.
func TestStreamOfAPlainServiceIsKnownToTheStewardsOfOthers(t *testing.T) {
	const runners = 6
	h := newPlainHarness(t, runners)
	release, effects := h.beginPlain("a")
	record := effects[0].(RecordStream)
	require.Len(t, record.Addresses, recorderCount)
	require.Equal(t, tracker.Origin{Stream: "a", Release: release, Service: plainService}, record.Origin)

	other := newPlainHarness(t, runners)
	effects = other.resumePlain("a")
	require.Equal(t, ReadList{}, effects[0])
	ask := effects[1].(FindStream)
	require.Equal(t, plainService, ask.Service)
	require.Subset(t, ask.Addresses, record.Addresses)
	send := other.requireSend(other.reduce(StreamFound{record.Origin}))
	require.Equal(t, release, other.d.upstreams[send.Upstream].info.Release)
}

// Without any steward, nobody but the store outlives the gateway that began a stream.
func TestStreamsAreKeptInTheStoreWithoutStewards(t *testing.T) {
	h := newPlainHarness(t, 0)
	release, effects := h.beginPlain("a")
	require.Len(t, effects, 1)
	save := effects[0].(SaveStream)
	require.Equal(t, tracker.Origin{Stream: "a", Release: release, Service: plainService}, save.Origin)

	other := newPlainHarness(t, 0)
	for loss := range 3 {
		other.now += time.Second
		stream := fmt.Sprint("a", loss)
		require.Equal(t, []Effect{ReadList{}, ReadStreams{}}, other.resumePlain(stream))
		require.Empty(t, other.reduce(StreamsRead{At: other.now - 1}), "a read that began before")
		other.now += originRetryPeriod
		require.Equal(t, []Effect{ReadStreams{}}, other.reduce(Tick{}), "asked again")
		send := other.requireSend(other.reduce(StreamsRead{At: other.now, Origins: []tracker.Origin{{Stream: tracker.StreamID(stream), Release: release}}}))
		require.Equal(t, release, other.d.upstreams[send.Upstream].info.Release)
	}
	other.now += time.Second
	other.resumePlain("b")
	answer := other.requireFail(other.reduce(StreamsRead{At: other.now}))
	require.Equal(t, classifier.Orphaned, answer.Kind, "refused at once")
}

// A gateway cut off from all stewards told nobody of its streams.
func TestStreamsAreKeptInTheStoreWhileNoStewardReports(t *testing.T) {
	h := newPlainHarness(t, 6)
	h.now += reportTimeout
	_, effects := h.beginPlain("a")
	require.IsType(t, SaveStream{}, effects[0])

	require.Equal(t, []Effect{ReadList{}}, h.resumePlain("b"), "stewards may be about to report")
	h.now += firstReportTime
	require.Equal(t, []Effect{ReadStreams{}}, h.reduce(Tick{}))
	h.requireSend(h.reduce(StreamsRead{At: h.now, Origins: []tracker.Origin{{Stream: "b", Release: "v2"}}}))
}

// Stewards that count as reporting may be gone; those beyond the pool, and the store, are asked
// then.
func TestSearchGoesBeyondRecordersThatAreSilent(t *testing.T) {
	h := newPlainHarness(t, 12)
	effects := h.resumePlain("a")
	first := effects[1].(FindStream)
	require.Len(t, first.Addresses, askedRecorders)
	h.now += originRetryPeriod
	require.Equal(t, []Effect{first}, h.reduce(Tick{}), "they may have to read the store first")
	h.now += originRetryPeriod
	effects = h.reduce(Tick{})
	require.Equal(t, ReadStreams{}, effects[0])
	again := effects[1].(FindStream)
	require.Len(t, again.Addresses, 2*askedRecorders)
	require.Subset(t, again.Addresses, first.Addresses)
	send := h.requireSend(h.reduce(StreamsRead{At: h.now, Origins: []tracker.Origin{{Stream: "a", Release: "v2"}}}))
	require.EqualValues(t, "v2", h.d.upstreams[send.Upstream].info.Release)

	h.resumePlain("b")
	h.now += originRetryPeriod
	h.reduce(Tick{})
	h.reduce(StreamUnknown{tracker.Absence{Stream: "b", Releases: []registrar.Release{"v1", "v2"}}})
	h.now += originRetryPeriod
	require.Len(t, h.reduce(Tick{})[0].(FindStream).Addresses, askedRecorders, "one of them answers")
}
