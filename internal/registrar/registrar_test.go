package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const back = 2 * time.Second

func upstream(id UpstreamID, born, beat int64, state State) Change {
	return Change{ID: id, Upstream: &Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", Incarnation: born, Heartbeat: beat, State: state}}
}

// at moves the entry of a change to another address.
func at(c Change, address string) Change {
	c.Upstream.Address = address
	return c
}

func ids(r *Registrar) []UpstreamID {
	var all []UpstreamID
	for _, u := range r.Upstreams("s") {
		all = append(all, u.ID)
	}
	return all
}

func TestVersionsOnlyGoUp(t *testing.T) {
	r := New(Config{})
	require.True(t, r.Install(&Configuration{Version: 4}))
	require.False(t, r.Install(&Configuration{Version: 3}))
	require.False(t, r.Install(&Configuration{Version: 4}))
	require.True(t, r.Install(&Configuration{Version: 9}))
	require.EqualValues(t, 9, r.Configuration().Version)
}

func TestRemovedEntryIsGoneAtOnce(t *testing.T) {
	r := New(Config{OutageGrace: back})
	r.SetStoreReachable(0, true)
	r.Apply(0, []Change{upstream("a", 1, 1, Ready), upstream("b", 1, 1, Ready)})
	r.Apply(time.Second, []Change{{ID: "a"}})
	require.Equal(t, []UpstreamID{"b"}, ids(r))
}

func TestLateHeartbeatDoesNotBringAnEntryBack(t *testing.T) {
	r := New(Config{OutageGrace: back})
	r.Apply(0, []Change{upstream("a", 1, 5, Ready)})
	r.Apply(0, []Change{{ID: "a"}})
	r.Apply(0, []Change{upstream("a", 1, 4, Ready)})
	require.Empty(t, ids(r))
	r.Apply(0, []Change{upstream("a", 2, 1, Ready)})
	require.Equal(t, []UpstreamID{"a"}, ids(r), "a later run of the same id counts")
}

func TestOlderHeartbeatDoesNotUndoDraining(t *testing.T) {
	r := New(Config{})
	r.Apply(0, []Change{upstream("a", 1, 5, Draining)})
	r.Apply(0, []Change{upstream("a", 1, 4, Ready)})
	require.Equal(t, Draining, r.Upstreams("s")[0].State)
}

// Entries lapse while the store is away although their upstreams live.
func TestEntriesThatLapseInAnOutageStayForAWhile(t *testing.T) {
	r := New(Config{OutageGrace: back})
	r.Apply(0, []Change{upstream("a", 1, 1, Ready), upstream("b", 1, 1, Ready), upstream("c", 1, 1, Draining)})
	r.SetStoreReachable(time.Second, false)
	r.SetStoreReachable(5*time.Second, true)
	r.Replace(5*time.Second, nil)
	require.Equal(t, []UpstreamID{"a", "b"}, ids(r), "what was leaving is gone")
	r.Apply(6*time.Second, []Change{upstream("a", 1, 2, Ready)})
	require.False(t, r.Expire(6*time.Second))
	require.True(t, r.Expire(5*time.Second+back))
	require.Equal(t, []UpstreamID{"a"}, ids(r))
}

func TestReplaceDropsWhatIsNotListed(t *testing.T) {
	r := New(Config{OutageGrace: back})
	r.Replace(0, []Change{upstream("a", 1, 1, Ready), upstream("b", 1, 1, Ready)})
	r.Replace(0, []Change{upstream("b", 1, 2, Ready)})
	require.Equal(t, []UpstreamID{"b"}, ids(r))
}

// An entry lives on for seconds after its instance has ended; the newest
// instance of an address has it.
func TestAddressBelongsToItsNewestInstance(t *testing.T) {
	r := New(Config{})
	r.Apply(0, []Change{upstream("a", 1, 9, Ready), at(upstream("b", 1, 1, Ready), "10.0.0.2:80")})
	r.Apply(0, []Change{upstream("c", 5, 1, Ready)})
	require.Equal(t, []UpstreamID{"b", "c"}, ids(r))
}
