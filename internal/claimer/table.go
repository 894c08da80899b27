// Package claimer decides which attempt may run a non-idempotent request, so that
// no two agents run it.
//
// Usage:
//
//	t := claimer.New(10 * time.Minute)
//	holds := t.Apply(claim, recordTime)
//	holder, ok := t.Holder(key)
//
// Claims come from the platform's log. The first claim in log order holds its
// key for the window, measured on the log's own clock. All processes that read the
// log therefore agree on the holder without further messages.
package claimer

import (
	"sort"
	"time"
)

// Key identifies a non-idempotent request to a service by its caller and the
// caller's idempotency key.
type Key string

// Claim is an agent's claim on a key for one attempt.
type Claim struct {
	AttemptID     string `json:"id"` // attempt that runs if the claim holds
	Key           Key    `json:"key"`
	Digest        uint64 `json:"digest"`         // hash of the request, to detect a key reused for another one
	Agent         string `json:"agent"`          // name of the claiming agent's upstream
	Incarnation   uint64 `json:"term"`           // of the claiming agent
	FirstAppendMs int64  `json:"time,omitempty"` // log time in ms of the first append, set when a snapshot is appended again
}

// Table holds the claims that have not expired. It is not safe for concurrent use.
type Table struct {
	window      time.Duration
	claims      map[Key]heldClaim
	expiryOrder []Key         // keys in the order of their claims, the oldest first
	logTime     time.Duration // highest log time of a record
}

// heldClaim is a claim that holds its key.
type heldClaim struct {
	claim         Claim
	firstAppended time.Duration // log time of the first append
	lastAppended  time.Duration // log time of the last append
}

// New returns an empty table whose claims expire a window after their first append.
func New(window time.Duration) *Table {
	return &Table{window: window, claims: map[Key]heldClaim{}}
}

// SetWindow changes the window, also that of the claims in the table.
func (t *Table) SetWindow(window time.Duration) {
	t.window = window
}

// Apply applies the next claim in log order, where at is the log time of its record,
// and reports whether it holds its key. An expired claim doesn't; a repetition of the
// holder's claim does.
func (t *Table) Apply(c Claim, at time.Duration) bool {
	appended := at
	t.logTime = max(t.logTime, at)
	if c.FirstAppendMs > 0 {
		at = time.Duration(c.FirstAppendMs) * time.Millisecond
	}
	t.expire()
	if at+t.window <= t.logTime {
		return false
	}
	if h, ok := t.claims[c.Key]; ok {
		same := h.claim.AttemptID == c.AttemptID && h.claim.Incarnation == c.Incarnation
		if same {
			h.lastAppended = max(h.lastAppended, appended)
			t.claims[c.Key] = h
		}
		return same
	}
	t.claims[c.Key] = heldClaim{c, at, appended}
	t.expiryOrder = append(t.expiryOrder, c.Key)
	return true
}

// Holder returns the claim that holds key, and whether there is one.
func (t *Table) Holder(key Key) (Claim, bool) {
	h, ok := t.claims[key]
	return h.claim, ok
}

// Len returns the number of claims in the table.
func (t *Table) Len() int {
	return len(t.claims)
}

// Snapshot lists the claims whose last append was before the given log time, with
// the log time of their first append, sorted by it. They are to be appended again
// before the log drops their records.
func (t *Table) Snapshot(before time.Duration) []Claim {
	var claims []Claim
	for _, h := range t.claims {
		if h.lastAppended < before {
			c := h.claim
			c.FirstAppendMs = h.firstAppended.Milliseconds()
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

// expire removes the claims whose window has passed in log time.
func (t *Table) expire() {
	for len(t.expiryOrder) > 0 {
		h, ok := t.claims[t.expiryOrder[0]]
		if ok && h.firstAppended+t.window > t.logTime {
			return
		}
		delete(t.claims, t.expiryOrder[0])
		t.expiryOrder = t.expiryOrder[1:]
	}
}
