package apportioner

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Bounds of a roster.
const (
	maxMembers        = 1024
	unknownRosterSize = 128 // assumed by a gateway that has heard no roster; deployments have fewer gateways
)

// roster is the set of gateways that were known lately.
type roster struct {
	members map[netip.AddrPort]known
	size    int // members that have not left
}

// known is what a roster holds of a gateway.
type known struct {
	heardAt time.Duration
	left    bool
}

func newRoster() *roster {
	return &roster{members: map[netip.AddrPort]known{}}
}

// learn adds a gateway, or updates it if what is told is newer.
func (r *roster) learn(now time.Duration, m Member) {
	heardAt := now - m.Age
	k, ok := r.members[m.Address]
	if m.Age >= rosterMemory || ok && k.heardAt >= heardAt || !ok && len(r.members) >= maxMembers {
		return
	}
	r.members[m.Address] = known{heardAt, m.Left}
	if !ok || k.left != m.Left {
		r.count()
	}
}

// hear notes a message of a gateway.
func (r *roster) hear(now time.Duration, gateway netip.AddrPort) {
	if k, ok := r.members[gateway]; ok && !k.left {
		r.members[gateway] = known{heardAt: now}
		return
	}
	r.learn(now, Member{Address: gateway})
}

// sweep forgets the gateways that have not been heard for rosterMemory.
func (r *roster) sweep(now time.Duration) {
	maps.DeleteFunc(r.members, func(_ netip.AddrPort, k known) bool { return now-k.heardAt >= rosterMemory })
	r.count()
}

func (r *roster) count() {
	r.size = 0
	for _, k := range r.members {
		if !k.left {
			r.size++
		}
	}
}

// list returns the gateways in the order of their addresses.
func (r *roster) list(now time.Duration) []Member {
	all := make([]Member, 0, len(r.members))
	for address, k := range r.members {
		all = append(all, Member{Address: address, Age: now - k.heardAt, Left: k.left})
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Age, b.Age)) })
	return all
}
