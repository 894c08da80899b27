package registrar

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// workspace returns a workspace with keys.
func workspace(name WorkspaceName, keys ...string) Workspace {
	w := Workspace{Name: name}
	for _, key := range keys {
		w.Keys = append(w.Keys, DigestKey(key))
	}
	return w
}

// holderOf returns the name of the workspace that holds a key, empty without one.
func holderOf(c *Configuration, key string) WorkspaceName {
	w, ok := c.Workspace(DigestKey(key))
	if !ok {
		return ""
	}
	return w.Name
}

func TestKeysMoveAndGoWithVersions(t *testing.T) {
	r := New(Config{})
	require.True(t, r.Install(&Configuration{Version: 1, Workspaces: []Workspace{workspace("a", "k1", "k2"), workspace("b", "k3"), workspace("c")}}))
	require.EqualValues(t, "a", holderOf(r.Configuration(), "k2"))
	require.Empty(t, holderOf(r.Configuration(), "K2"))
	require.True(t, r.Install(&Configuration{Version: 2, Workspaces: []Workspace{workspace("a", "k1"), workspace("b", "k2")}}))
	require.EqualValues(t, "a", holderOf(r.Configuration(), "k1"))
	require.EqualValues(t, "b", holderOf(r.Configuration(), "k2"), "the key has moved")
	require.Empty(t, holderOf(r.Configuration(), "k3"), "the key was taken away")
	require.False(t, r.Install(&Configuration{Version: 1, Workspaces: []Workspace{workspace("b", "k3")}}))
	require.Empty(t, holderOf(r.Configuration(), "k3"), "an older version restores no key")
}

// All gateways must take a key for that of the same workspace.
func TestKeyOfTwoWorkspacesIsThatOfTheFirst(t *testing.T) {
	c := &Configuration{Version: 1, Workspaces: []Workspace{workspace("b", "k1", "k1"), workspace("a", "k1", "k2")}}
	New(Config{}).Install(c)
	require.EqualValues(t, "b", holderOf(c, "k1"))
	require.EqualValues(t, "a", holderOf(c, "k2"))
	require.Equal(t, []WorkspaceName{"a"}, c.WorkspacesWithSharedKeys())
}

func TestRequestWithoutAKeyHasNoWorkspace(t *testing.T) {
	c := &Configuration{Version: 1, Workspaces: []Workspace{workspace("a", "")}}
	New(Config{}).Install(c)
	_, ok := c.Workspace(KeyDigest{})
	require.False(t, ok)
}
