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

// listReleases lists runners of the given releases, u1, u2 ..., which hold the model m, and
// lets their stewards report.
func (h *harness) listReleases(releases ...registrar.Release) {
	var all []*registrar.Upstream
	for i, release := range releases {
		all = append(all, &registrar.Upstream{
			ID: registrar.UpstreamID(fmt.Sprint("u", i+1)), Service: runnerService, Address: fmt.Sprintf("10.0.0.%d:80", i+1), Domain: "a",
			State: registrar.Ready, Slots: 6, Release: release, Residents: []registrar.ResidentModel{{Model: "m"}},
		})
	}
	h.reduce(UpstreamsListed{all})
	for _, u := range all {
		h.reduce(Reported{Report{Address: u.Address, Residents: u.Residents, Gateways: 1}})
	}
}

// resume submits a request that resumes the stream of an attempt.
func (h *harness) resume(attempt string) []Effect {
	h.lastID++
	return h.reduce(Arrived{Request{
		ID: h.lastID, AttemptID: fmt.Sprint("r", h.lastID), Route: route(registrar.Streaming, 2), Service: runnerService, Model: "m",
		Deadline: h.now + 4*time.Second, Resumed: true, Resumes: attempt,
	}})
}

func TestBrokenStreamIsSentAgainToItsRelease(t *testing.T) {
	for range 20 {
		h := newHarness(t)
		h.listReleases("v1", "v2", "v2", "v1", "v2")
		id, effects := h.submit(route(registrar.Streaming, 3), "m")
		first := h.requireSend(effects)
		effects = h.reduce(AnswerBegan{ID: id, Try: first.Try})
		record := effects[0].(RecordStream)
		require.Len(t, record.Addresses, recorderCount)
		again := h.requireSend(h.reduce(SendEnded{ID: id, Try: first.Try, Outcome: Interrupted}))
		require.NotEqual(t, first.Upstream, again.Upstream)
		require.Equal(t, record.Origin.Release, h.d.upstreams[again.Upstream].info.Release)
	}
}

// A gateway that has just started, or did not begin the stream, asks the stewards.
func TestResumedStreamGoesToTheReleaseThatStewardsKnow(t *testing.T) {
	h := newHarness(t)
	h.listReleases("v1", "v2", "v1", "v2")
	for _, release := range []registrar.Release{"v1", "v2", "v1"} {
		stream := fmt.Sprint("a-", release, h.now)
		effects := h.resume(stream)
		require.Len(t, effects, 1)
		ask := effects[0].(FindStream)
		require.EqualValues(t, stream, ask.Stream)
		require.Len(t, ask.Addresses, askedRecorders)
		h.now += originRetryPeriod
		require.Equal(t, []Effect{ask}, h.reduce(Tick{}), "asked again")
		send := h.requireSend(h.reduce(StreamFound{tracker.Origin{Stream: ask.Stream, Release: release}}))
		require.Equal(t, release, h.d.upstreams[send.Upstream].info.Release)
		send = h.requireSend(h.resume(stream))
		require.Equal(t, release, h.d.upstreams[send.Upstream].info.Release, "known by now")
	}
}

// Any of several releases may have begun a stream that nobody knows.
func TestStreamOfUnknownOriginIsRefusedBetweenReleases(t *testing.T) {
	for _, stream := range []string{"a", ""} {
		h := newHarness(t)
		h.listReleases("v1", "v2")
		h.resume(stream)
		h.now += originTimeout
		effects := h.reduce(Tick{})
		answer := h.requireFail(effects)
		require.Equal(t, classifier.Orphaned, answer.Kind)
		require.Equal(t, classifier.RanNo, classifier.ResponseOf(answer.Kind).Ran)
		require.Zero(t, h.d.Open())
	}
}

// A caller that does not name the beginning of its stream waits for one round of answers, which
// tell the releases.
func TestResumptionWithoutAnOriginIsNotDelayed(t *testing.T) {
	h := newHarness(t)
	h.listReleases("v1", "v1")
	ask := h.resume("")[0].(FindStream)
	absence := StreamUnknown{tracker.Absence{Stream: ask.Stream, Releases: []registrar.Release{"v1"}}}
	require.Empty(t, h.reduce(absence))
	h.requireSend(h.reduce(absence))
}

// The list tells the releases of a service without stewards, once it has been read for long.
func TestStreamOfAPlainServiceIsResumedAtTheOnlyReleaseOfTheLastMinute(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 2)
	resume := func() []Effect {
		h.lastID++
		return h.reduce(Arrived{Request{ID: h.lastID, AttemptID: "a", Route: route(registrar.Streaming, 2), Service: plainService, Deadline: h.now + 4*time.Second, Resumed: true}})
	}
	require.Equal(t, []Effect{ReadList{}}, resume())
	require.Empty(t, h.reduce(ListConfirmed{h.now}), "others may have left before")
	h.now += reporterTimeout
	require.Equal(t, classifier.Orphaned, h.requireFail(h.reduce(Tick{})).Kind)
	h.now += time.Hour
	h.listUpstreams(plainService, 2)
	require.Equal(t, []Effect{ReadList{}}, resume())
	h.requireSend(h.reduce(ListConfirmed{h.now}))
}

func TestStreamOfAPlainServiceIsNotResumedByAListFromBefore(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 2)
	h.now += time.Hour
	h.listUpstreams(plainService, 2)
	h.lastID++
	h.reduce(Arrived{Request{ID: h.lastID, AttemptID: "a", Route: route(registrar.Streaming, 2), Service: plainService, Deadline: h.now + 4*time.Second, Resumed: true}})
	require.Empty(t, h.reduce(ListConfirmed{h.now - 1}))
	h.now += reporterTimeout
	require.Equal(t, classifier.Orphaned, h.requireFail(h.reduce(Tick{})).Kind)
}

// All gateways are killed just after the runners of an older release have left. A gateway
// that is back lists the newer release alone, and callers don't name the streams that they
// resume.
func TestGatewayBackAfterAReleaseLeftDoesNotJoinStreams(t *testing.T) {
	h := newHarness(t)
	h.listReleases("v2", "v2")
	ask := h.resume("")[0].(FindStream)
	justStarted := StreamUnknown{tracker.Absence{Stream: ask.Stream, Releases: []registrar.Release{"v2"}}}
	require.Empty(t, h.reduce(justStarted), "a steward that was killed too")
	effects := h.reduce(StreamUnknown{tracker.Absence{Stream: ask.Stream, Releases: []registrar.Release{"v1", "v2"}}})
	require.Equal(t, classifier.Orphaned, h.requireFail(effects).Kind)
}

// Without an answer of a steward, a gateway that has just started, or whose list is old in a
// cut, can't tell which releases may have begun a stream.
func TestGatewayThatHearsNoStewardDoesNotJoinStreams(t *testing.T) {
	for _, stream := range []string{"a", ""} {
		h := newHarness(t)
		h.listReleases("v2", "v2")
		h.now += time.Hour
		h.listReleases("v2", "v2")
		h.resume(stream)
		h.now += originTimeout
		require.Equal(t, classifier.Orphaned, h.requireFail(h.reduce(Tick{})).Kind)
	}
}

// After a loss of power the list may still lack the release that began the stream.
func TestReleaseThatAStewardHasSeenMayHaveBegunAStream(t *testing.T) {
	h := newHarness(t)
	h.listReleases("v1", "v1")
	h.resume("a")
	h.reduce(StreamUnknown{tracker.Absence{Stream: "a", Releases: []registrar.Release{"v1", "v2"}}})
	h.now += originTimeout
	require.Equal(t, classifier.Orphaned, h.requireFail(h.reduce(Tick{})).Kind)
}

func TestSearchEndsWhenNoStewardKnowsTheStream(t *testing.T) {
	h := newHarness(t)
	h.listReleases("v1", "v1")
	h.resume("a")
	absence := StreamUnknown{tracker.Absence{Stream: "a", Releases: []registrar.Release{"v1"}}}
	for range 2 {
		require.Empty(t, h.reduce(absence), "the word of its beginning may be under way")
	}
	h.now += originRetryPeriod
	h.reduce(Tick{})
	require.Empty(t, h.reduce(absence))
	h.requireSend(h.reduce(absence))
}

func TestStreamOfUnknownOriginGoesOnAtTheOnlyRelease(t *testing.T) {
	h := newHarness(t)
	h.listReleases("v1", "v1")
	h.resume("a")
	h.reduce(StreamUnknown{tracker.Absence{Stream: "a", Releases: []registrar.Release{"v1"}}})
	h.now += originTimeout
	h.requireSend(h.reduce(Tick{}))
}

func TestReleaseThatWasListedLatelyMayHaveBegunAStream(t *testing.T) {
	h := newHarness(t)
	h.listReleases("v1", "v2")
	h.now += time.Hour
	h.listReleases("v2", "v2")
	h.resume("a")
	h.now += originTimeout
	require.Equal(t, classifier.Orphaned, h.requireFail(h.reduce(Tick{})).Kind)
	h.now += time.Minute
	h.listReleases("v2", "v2")
	h.resume("b")
	h.reduce(StreamUnknown{tracker.Absence{Stream: "b", Releases: []registrar.Release{"v2"}}})
	h.now += originTimeout
	h.requireSend(h.reduce(Tick{}))
}

// A stream whose release has no room must not hold back requests that any release can run.
func TestStreamBoundToARelease(t *testing.T) {
	h := newHarness(t)
	h.listReleases("v1", "v2")
	h.reduce(StreamFound{tracker.Origin{Stream: "a", Release: "v3"}})
	require.Empty(t, h.resume("a"), "no runner of its release")
	_, effects := h.submit(route(registrar.Streaming, 2), "m")
	h.requireSend(effects)
}

// A gateway that has just started has heard of no steward that it could ask.
func TestSearchWaitsForTheFirstReports(t *testing.T) {
	h := newHarness(t)
	h.listReleases("v1", "v2")
	for _, u := range h.d.upstreams {
		u.reported = false
	}
	require.Empty(t, h.resume("a"))
	h.now += 2 * originTimeout
	require.Equal(t, []Effect{ReadStreams{}}, h.reduce(Tick{}), "others may have written it meanwhile")
	h.listReleases("v1", "v2")
	h.now += originRetryPeriod
	require.IsType(t, FindStream{}, h.reduce(Tick{})[0])
	h.requireSend(h.reduce(StreamFound{tracker.Origin{Stream: "a", Release: "v2"}}))
}

// The search must not outlast the time that the caller waits.
func TestSearchForAnOriginEndsBeforeTheDeadline(t *testing.T) {
	h := newHarness(t)
	h.listReleases("v1", "v2")
	h.lastID++
	h.reduce(Arrived{Request{
		ID: h.lastID, Route: route(registrar.Streaming, 2), Service: runnerService, Model: "m", Deadline: h.now + 100*time.Millisecond, Resumed: true, Resumes: "a",
	}})
	h.now += 100*time.Millisecond - answerMargin
	require.Equal(t, classifier.Orphaned, h.requireFail(h.reduce(Tick{})).Kind)
}

// An instance may start again under its name and address with another release.
func TestStreamOfAnUpstreamThatStartedAgainIsNotBoundToItsListedRelease(t *testing.T) {
	h := newHarness(t)
	upstream := func(id string, incarnation int64) *registrar.Upstream {
		return &registrar.Upstream{
			ID: registrar.UpstreamID(id), Service: runnerService, Address: id + ":80", Domain: "a", State: registrar.Ready, Slots: 6, Release: "v1",
			Incarnation: incarnation, Residents: []registrar.ResidentModel{{Model: "m"}},
		}
	}
	report := func(id string, incarnation int64) []Effect {
		return h.reduce(Reported{Report{Address: id + ":80", Incarnation: incarnation, Residents: []registrar.ResidentModel{{Model: "m"}}, Gateways: 1}})
	}
	h.reduce(UpstreamsListed{[]*registrar.Upstream{upstream("u1", 5)}})
	report("u1", 5)
	id, effects := h.submit(route(registrar.Streaming, 3), "m")
	send := h.requireSend(effects)
	report("u1", 9)
	_, effects = h.submit(route(registrar.Streaming, 3), "m")
	require.Empty(t, effects, "its release is unknown")
	h.reduce(UpstreamsListed{[]*registrar.Upstream{upstream("u1", 5), upstream("u2", 1)}})
	report("u2", 1)
	require.Empty(t, h.reduce(AnswerBegan{ID: id, Try: send.Try}), "no steward is told")
	answer := h.requireFail(h.reduce(SendEnded{ID: id, Try: send.Try, Outcome: Interrupted}))
	require.Equal(t, classifier.Broken, answer.Kind)
}
