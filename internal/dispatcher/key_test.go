package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

// newKeyHarness returns a harness whose configuration, of version 1, has workspaces with one
// key each.
func newKeyHarness(t *testing.T, workspaces map[registrar.WorkspaceName]string) *harness {
	h := newHarness(t)
	h.configureKeys(1, workspaces)
	return h
}

// configureKeys puts a configuration with other workspaces in force; nil for none.
func (h *harness) configureKeys(version registrar.Version, workspaces map[registrar.WorkspaceName]string) []Effect {
	c := &registrar.Configuration{Version: version, Services: h.d.configuration.Services}
	if workspaces != nil {
		c.Workspaces = []registrar.Workspace{}
	}
	for name, key := range workspaces {
		c.Workspaces = append(c.Workspaces, registrar.Workspace{Name: name, Keys: []registrar.KeyDigest{registrar.DigestKey(key)}})
	}
	registrar.New(registrar.Config{}).Install(c)
	return h.reduce(Configured{c})
}

// arriveWith lets a request with a key arrive, as a relayer would after it has identified
// the workspace by an earlier version.
func (h *harness) arriveWith(workspace registrar.WorkspaceName, key string, r *registrar.Route) (RequestID, []Effect) {
	h.lastID++
	return h.lastID, h.reduce(Arrived{Request{
		ID: h.lastID, Route: r, Service: plainService, Deadline: h.now + 4*time.Second,
		Workspace: &registrar.Workspace{Name: workspace}, Key: registrar.DigestKey(key),
	}})
}

// failure returns the kind of the error that a request is answered with, None without one.
func failure(effects []Effect, id RequestID) classifier.Kind {
	for _, e := range effects {
		if f, ok := e.(Fail); ok && f.ID == id {
			return f.Kind
		}
	}
	return classifier.None
}

func TestWaitingRequestIsRefusedWhenItsKeyIsTakenAway(t *testing.T) {
	h := newKeyHarness(t, map[registrar.WorkspaceName]string{"a": "k1", "b": "k2", "c": "k3"})
	taken, _ := h.arriveWith("a", "k1", route(registrar.Idempotent, 3)) // no upstream is listed, so that it waits
	kept, _ := h.arriveWith("b", "k2", route(registrar.Idempotent, 3))
	moved, _ := h.arriveWith("c", "k3", route(registrar.Idempotent, 3))
	require.Equal(t, 3, h.d.Waiting())
	effects := h.configureKeys(2, map[registrar.WorkspaceName]string{"b": "k2", "a": "k3"})
	require.Equal(t, classifier.Denied, failure(effects, taken))
	require.Equal(t, classifier.None, failure(effects, kept))
	require.Equal(t, classifier.None, failure(effects, moved))
	require.Equal(t, 2, h.d.Waiting())
	require.Equal(t, 1, h.d.Counters.Revoked)
}

func TestPublicRouteNeedsNoKeyThatIsStillValid(t *testing.T) {
	h := newKeyHarness(t, map[registrar.WorkspaceName]string{"a": "k1"})
	r := route(registrar.Idempotent, 3)
	r.Public = true
	id, _ := h.arriveWith("a", "k1", r)
	require.Equal(t, classifier.None, failure(h.configureKeys(2, map[registrar.WorkspaceName]string{}), id))
	require.Equal(t, 1, h.d.Waiting())
}

// The relayer identifies a caller before it submits the request.
func TestRequestIsRefusedWhenItsKeyIsTakenAwayBeforeItIsSubmitted(t *testing.T) {
	h := newKeyHarness(t, map[registrar.WorkspaceName]string{"a": "k1"})
	h.listUpstreams(plainService, 1)
	h.configureKeys(2, map[registrar.WorkspaceName]string{"a": "k2"})
	id, effects := h.arriveWith("a", "k1", route(registrar.Idempotent, 3))
	require.Equal(t, classifier.Denied, failure(effects, id))
	require.Zero(t, h.d.Counters.Sent)
}

func TestRequestWhoseKeyIsTakenAwayWhileItsConnectionOpensIsNotWritten(t *testing.T) {
	h := newKeyHarness(t, map[registrar.WorkspaceName]string{"a": "k1"})
	h.listUpstreams(plainService, 2)
	id, effects := h.arriveWith("a", "k1", route(registrar.Idempotent, 3))
	require.Len(t, effects, 1)
	require.True(t, h.d.Sendable(h.now, id, 1))
	require.Empty(t, h.configureKeys(2, map[registrar.WorkspaceName]string{}))
	require.False(t, h.d.Sendable(h.now, id, 1))
	require.Equal(t, classifier.Denied, failure(h.reduce(SendEnded{ID: id, Try: 1, Outcome: Withheld}), id))
}

// What an upstream has may have run. It is left to end, but not sent again.
func TestSendUnderWayIsLeftToEndWhenItsKeyIsTakenAway(t *testing.T) {
	for outcome, want := range map[Outcome]classifier.Kind{Completed: classifier.None, NotRun: classifier.Denied, Unsent: classifier.Denied, Unknown: classifier.Lost} {
		h := newKeyHarness(t, map[registrar.WorkspaceName]string{"a": "k1"})
		h.listUpstreams(plainService, 2)
		id, _ := h.arriveWith("a", "k1", route(registrar.Idempotent, 3))
		require.Empty(t, h.configureKeys(2, map[registrar.WorkspaceName]string{}))
		effects := h.reduce(SendEnded{ID: id, Try: 1, Outcome: outcome})
		require.Equal(t, want, failure(effects, id), outcome)
		require.Zero(t, h.d.Open())
		require.Equal(t, 1, h.d.Counters.Sent)
	}
}

// A request that may have run must not be answered as one that has not, also if it waits for
// a retry.
func TestRequestThatMayHaveRunIsNotDenied(t *testing.T) {
	h := newKeyHarness(t, map[registrar.WorkspaceName]string{"a": "k1"})
	all := h.listUpstreams(plainService, 1)
	id, _ := h.arriveWith("a", "k1", route(registrar.Idempotent, 3))
	h.reduce(UpstreamsListed{nil})
	require.Empty(t, h.reduce(SendEnded{ID: id, Try: 1, Outcome: Unknown}))
	require.Equal(t, 1, h.d.Waiting())
	require.Equal(t, classifier.Lost, failure(h.configureKeys(2, map[registrar.WorkspaceName]string{}), id))
	require.Empty(t, h.reduce(UpstreamsListed{all}))
}

func TestStreamGoesOnElsewhereWhenItsKeyIsTakenAway(t *testing.T) {
	h := newKeyHarness(t, map[registrar.WorkspaceName]string{"a": "k1"})
	h.listUpstreams(plainService, 2)
	r := route(registrar.Streaming, 3)
	r.Resumable = true
	id, _ := h.arriveWith("a", "k1", r)
	h.reduce(AnswerBegan{ID: id, Try: 1})
	h.configureKeys(2, map[registrar.WorkspaceName]string{})
	effects := h.reduce(SendEnded{ID: id, Try: 1, Outcome: Interrupted})
	require.Len(t, effects, 1)
	require.Equal(t, Try(2), effects[0].(Send).Try)
	require.True(t, h.d.Sendable(h.now, id, 2))
}

func TestNoKeyIsNeededOnceThereAreNoWorkspaces(t *testing.T) {
	h := newKeyHarness(t, map[registrar.WorkspaceName]string{"a": "k1"})
	id, _ := h.arriveWith("a", "k1", route(registrar.Idempotent, 3))
	require.Equal(t, classifier.None, failure(h.configureKeys(2, nil), id))
	require.Equal(t, 1, h.d.Waiting())
}

func TestRequestsWithKeysAreRefusedWhileKeysAreNotConfirmed(t *testing.T) {
	h := newKeyHarness(t, map[registrar.WorkspaceName]string{"a": "k1"})
	waiting, _ := h.arriveWith("a", "k1", route(registrar.Idempotent, 3))
	require.Equal(t, classifier.Stale, failure(h.reduce(KeysConfirmed{false}), waiting))
	h.listUpstreams(plainService, 1)
	arriving, effects := h.arriveWith("a", "k1", route(registrar.Idempotent, 3))
	require.Equal(t, classifier.Stale, failure(effects, arriving))
	h.lastID++
	require.Len(t, h.reduce(Arrived{Request{ID: h.lastID, Route: route(registrar.Idempotent, 3), Service: plainService, Deadline: h.now + time.Second}}), 1, "a request without a workspace is sent")
	h.reduce(KeysConfirmed{true})
	_, effects = h.arriveWith("a", "k1", route(registrar.Idempotent, 3))
	require.Len(t, effects, 1)
	require.IsType(t, Send{}, effects[0])
}

func TestPriorityOfTheWorkspaceGoesBeforeThatOfTheRoute(t *testing.T) {
	urgent, patient := 0, 4
	r := route(registrar.Idempotent, 3)
	r.Priority = 2
	require.Equal(t, 2, (&Request{Route: r}).Priority())
	require.Equal(t, 2, (&Request{Route: r, Workspace: &registrar.Workspace{}}).Priority())
	require.Equal(t, 0, (&Request{Route: r, Workspace: &registrar.Workspace{Priority: &urgent}}).Priority())
	require.Equal(t, 4, (&Request{Route: r, Workspace: &registrar.Workspace{Priority: &patient}}).Priority())
}
