package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const outageGrace = 2 * time.Second

// entryChange is the change that a heartbeat of an instance makes to the list.
func entryChange(id UpstreamID, incarnation, heartbeat int64, state State) Change {
	return Change{ID: id, Upstream: &Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", Incarnation: incarnation, Heartbeat: heartbeat, State: state}}
}

// atAddress moves the entry of a change to another address.
func atAddress(c Change, address string) Change {
	c.Upstream.Address = address
	return c
}

// ids lists the live instances of the service that all entries belong to.
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
	r := New(Config{OutageGrace: outageGrace})
	r.SetStoreReachable(0, true)
	r.Apply(0, []Change{entryChange("a", 1, 1, Ready), entryChange("b", 1, 1, Ready)})
	r.Apply(time.Second, []Change{{ID: "a"}})
	require.Equal(t, []UpstreamID{"b"}, ids(r))
}

func TestLateHeartbeatDoesNotBringAnEntryBack(t *testing.T) {
	r := New(Config{OutageGrace: outageGrace})
	r.Apply(0, []Change{entryChange("a", 1, 5, Ready)})
	r.Apply(0, []Change{{ID: "a"}})
	r.Apply(0, []Change{entryChange("a", 1, 4, Ready)})
	require.Empty(t, ids(r))
	r.Apply(0, []Change{entryChange("a", 2, 1, Ready)})
	require.Equal(t, []UpstreamID{"a"}, ids(r), "a later incarnation of the same ID is accepted")
}

func TestOlderHeartbeatDoesNotUndoDraining(t *testing.T) {
	r := New(Config{})
	r.Apply(0, []Change{entryChange("a", 1, 5, Draining)})
	r.Apply(0, []Change{entryChange("a", 1, 4, Ready)})
	require.Equal(t, Draining, r.Upstreams("s")[0].State)
}

// During an outage of the store, entries expire although their upstreams are alive
// and cannot renew them. They must stay until the grace period after it has passed.
func TestEntriesThatLapseInAnOutageStayForAWhile(t *testing.T) {
	r := New(Config{OutageGrace: outageGrace})
	r.Apply(0, []Change{entryChange("a", 1, 1, Ready), entryChange("b", 1, 1, Ready), entryChange("c", 1, 1, Draining)})
	r.SetStoreReachable(time.Second, false)
	r.SetStoreReachable(5*time.Second, true)
	r.Replace(5*time.Second, nil)
	require.Equal(t, []UpstreamID{"a", "b"}, ids(r), "a draining upstream is removed at once")
	r.Apply(6*time.Second, []Change{entryChange("a", 1, 2, Ready)})
	require.False(t, r.Expire(6*time.Second))
	require.True(t, r.Expire(5*time.Second+outageGrace))
	require.Equal(t, []UpstreamID{"a"}, ids(r))
}

func TestReplaceRemovesUnlistedEntries(t *testing.T) {
	r := New(Config{OutageGrace: outageGrace})
	r.Replace(0, []Change{entryChange("a", 1, 1, Ready), entryChange("b", 1, 1, Ready)})
	r.Replace(0, []Change{entryChange("b", 1, 2, Ready)})
	require.Equal(t, []UpstreamID{"b"}, ids(r))
}

// The entry of a stopped instance stays listed for seconds, while a new instance may
// already serve at its address.
func TestAddressBelongsToItsNewestInstance(t *testing.T) {
	r := New(Config{})
	r.Apply(0, []Change{entryChange("a", 1, 9, Ready), atAddress(entryChange("b", 1, 1, Ready), "10.0.0.2:80")})
	r.Apply(0, []Change{entryChange("c", 5, 1, Ready)})
	require.Equal(t, []UpstreamID{"b", "c"}, ids(r))
}

// A restored store lacks entries that their upstreams write again soon, and lists some as
// they were before.
func TestRestoreNeitherRemovesNorRevertsEntries(t *testing.T) {
	r := New(Config{OutageGrace: outageGrace})
	r.Replace(0, []Change{entryChange("a", 1, 3, Ready), entryChange("b", 1, 3, Ready), entryChange("c", 1, 3, Draining), entryChange("d", 1, 3, Ready)})
	r.Apply(time.Second, []Change{{ID: "d"}})
	r.StoreRestored(10 * time.Second)
	r.Replace(10*time.Second, []Change{entryChange("a", 1, 1, Ready), entryChange("c", 1, 1, Ready), entryChange("d", 1, 2, Ready)})
	require.Equal(t, []UpstreamID{"a", "b", "c"}, ids(r), "b is awaited, d stays removed")
	require.Equal(t, Draining, r.Upstreams("s")[2].State, "c stays draining")
	require.False(t, r.Expire(11*time.Second))
	r.Apply(11*time.Second, []Change{entryChange("a", 1, 3, Ready)})
	require.True(t, r.Expire(10*time.Second+outageGrace))
	require.Equal(t, []UpstreamID{"a", "c"}, ids(r), "b has not come back")
}

// A second restore begins the grace period anew.
func TestSecondRestoreExtendsTheGracePeriod(t *testing.T) {
	r := New(Config{OutageGrace: outageGrace})
	r.Replace(0, []Change{entryChange("a", 1, 1, Ready)})
	r.StoreRestored(time.Second)
	r.Replace(time.Second, nil)
	r.StoreRestored(time.Second + outageGrace/2)
	require.False(t, r.Expire(time.Second+outageGrace))
	require.Equal(t, []UpstreamID{"a"}, ids(r))
	require.True(t, r.Expire(time.Second+outageGrace/2+outageGrace))
}
