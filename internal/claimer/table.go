// Package claimer decides which attempt may run a non-idempotent request.
//
// Usage:
//
//	t := claimer.New(10 * time.Minute)
//	t.Apply(claim, recordTime)
//	holder, ok := t.Holder(key)
//
// Claims come from the platform's log. The first claim in log order holds its
// key for the window, counted on the log's own clock, so that all processes
// agree without messages.
package claimer

import (
	"sort"
	"time"
)

// Key identifies a non-idempotent request: caller, service and the caller's
// idempotency key.
type Key string

// Claim states that an agent wants to run the request of a key.
type Claim struct {
	AttemptID     string `json:"id"`             // attempt that wants to run
	Key           Key    `json:"key"`            //
	Digest        uint64 `json:"digest"`         // hash of the request
	Agent         string `json:"agent"`          // upstream name of the claiming agent
	Incarnation   uint64 `json:"term"`           // incarnation of the claiming agent
	FirstAppendMs int64  `json:"time,omitempty"` // log time in ms of the first append, set in snapshots
}

// Table holds the claims whose window is open. It is not safe for concurrent
// use.
type Table struct {
	window time.Duration
	claims map[Key]held
	order  []Key // by time, for expiry
	latest time.Duration
}

type held struct {
	claim   Claim
	at      time.Duration // log time of the first append
	renewed time.Duration // log time of the last append
}

// New returns an empty table.
func New(window time.Duration) *Table {
	return &Table{window: window, claims: map[Key]held{}}
}

// SetWindow changes how long claims are held.
func (t *Table) SetWindow(window time.Duration) {
	t.window = window
}

// Apply takes over the next claim in log order; at is the record's time on the
// log's clock. It tells whether the claim holds its key.
func (t *Table) Apply(c Claim, at time.Duration) bool {
	renewed := at
	t.latest = max(t.latest, at)
	if c.FirstAppendMs > 0 {
		at = time.Duration(c.FirstAppendMs) * time.Millisecond
	}
	t.expire()
	if at+t.window <= t.latest {
		return false
	}
	if h, ok := t.claims[c.Key]; ok {
		same := h.claim.AttemptID == c.AttemptID && h.claim.Incarnation == c.Incarnation
		if same {
			h.renewed = max(h.renewed, renewed)
			t.claims[c.Key] = h
		}
		return same
	}
	t.claims[c.Key] = held{c, at, renewed}
	t.order = append(t.order, c.Key)
	return true
}

// Holder returns the claim that holds key.
func (t *Table) Holder(key Key) (Claim, bool) {
	h, ok := t.claims[key]
	return h.claim, ok
}

// Len counts the held claims.
func (t *Table) Len() int {
	return len(t.claims)
}

// Snapshot lists the claims last appended before limit, with the log times of
// their first append, so that they can be appended again before the log drops
// them.
func (t *Table) Snapshot(limit time.Duration) []Claim {
	var claims []Claim
	for _, h := range t.claims {
		if h.renewed < limit {
			c := h.claim
			c.FirstAppendMs = h.at.Milliseconds()
			claims = append(claims, c)
		}
	}
	sort.Slice(claims, func(i, j int) bool {
		if claims[i].FirstAppendMs != claims[j].FirstAppendMs {
			return claims[i].FirstAppendMs < claims[j].FirstAppendMs
		}
		return claims[i].Key < claims[j].Key
	})
	return claims
}

func (t *Table) expire() {
	for len(t.order) > 0 {
		h, ok := t.claims[t.order[0]]
		if ok && h.at+t.window > t.latest {
			return
		}
		delete(t.claims, t.order[0])
		t.order = t.order[1:]
	}
}
