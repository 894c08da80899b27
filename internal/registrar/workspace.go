package registrar

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
)

// WorkspaceName identifies a workspace, a customer of the deployment.
type WorkspaceName string

// KeyDigest is the SHA-256 digest of a workspace's key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key as a caller sends it.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// QuotaUnit is what a Quota counts.
type QuotaUnit string

// The units of quotas.
const (
	UnitRequests QuotaUnit = "requests"
	UnitTokens   QuotaUnit = "tokens"
)

// Quota limits what a workspace's callers may send through all gateways together.
type Quota struct {
	Unit          QuotaUnit
	Rate          float64 // units per second, zero for no limit
	Burst         float64 // units that may be saved up
	DefaultTokens Tokens  // of a request that does not name its tokens, if Unit is UnitTokens
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool {
	return q.Rate > 0
}

// Workspace is a customer whose callers share keys, a priority and a quota.
type Workspace struct {
	Name     WorkspaceName
	Keys     []KeyDigest
	Priority *int // instead of the priorities of routes, nil to keep these
	Quota    Quota
}

// HasWorkspaces reports whether requests need the key of a workspace, unless their route
// is public.
func (c *Configuration) HasWorkspaces() bool {
	return c.Workspaces != nil
}

// Workspace returns the workspace that holds a key. If several do, it is the first of the
// configuration. It needs Install.
func (c *Configuration) Workspace(key KeyDigest) (*Workspace, bool) {
	k, ok := c.workspacesByKey[key]
	if !ok || subtle.ConstantTimeCompare(k.digest[:], key[:]) != 1 {
		return nil, false
	}
	return k.workspace, true
}

// WorkspacesWithSharedKeys lists the workspaces that lack one of their keys, since a
// workspace before them holds it too. It needs Install.
func (c *Configuration) WorkspacesWithSharedKeys() []WorkspaceName {
	var names []WorkspaceName
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if slices.ContainsFunc(w.Keys, func(key KeyDigest) bool { return c.workspacesByKey[key].workspace != w }) {
			names = append(names, w.Name)
		}
	}
	return names
}

// workspaceKey is a key with the workspace that holds it.
type workspaceKey struct {
	digest    KeyDigest
	workspace *Workspace
}

// indexWorkspaces builds the index of keys.
func (c *Configuration) indexWorkspaces() {
	c.workspacesByKey = map[KeyDigest]workspaceKey{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, digest := range w.Keys {
			if _, taken := c.workspacesByKey[digest]; !taken {
				c.workspacesByKey[digest] = workspaceKey{digest, w}
			}
		}
	}
}
