// Package apportioner keeps what all gateways send within limits that they share: what a
// workspace's callers send within the workspace's quota, and what an upstream gets within
// the rate that it asks for.
//
// Usage:
//
//	ledger := apportioner.NewLedger() // of a steward
//	answer, ok := ledger.Answer(now, gateway, request)
//
//	account := apportioner.NewAccount(apportioner.Config{Epoch: startedAt}) // of a gateway
//	account.Configure(now, version, workspaces)
//	outcome := account.Take(now, id, workspace, cost)
//	request, issuer, ok := account.Poll(now, issuers)
//	account.Receive(now, answer)
//	for _, s := range account.Settled(now) { admit or refuse }
//
// One steward is the issuer of all quotas. It issues tokens to gateways, which spend them
// on requests. A token stands for a unit of the quota. The issuer issues the part of each
// rate that belongs to the gateways that it counts, among all that were known lately; a
// gateway that no issuer counts has its own part. So the parts of a deployment that don't
// hear each other keep to the quota together. The same parts bound the permits for an
// upstream with a limit, which package limiter issues by a Ledger's Served and Share.
//
// Ledger and Account are deterministic functions of their calls: they have no clock, no
// I/O and no goroutines. They are not safe for concurrent use.
package apportioner

import (
	"net/netip"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Timing of requests and answers.
const (
	minRequestPeriod        = 100 * time.Millisecond // between a gateway's requests while all its callers are served
	maxRequestPeriod        = 300 * time.Millisecond // half of claimTTL, so that lost datagrams don't end a claim
	requestPeriodPerGateway = 4 * time.Millisecond   // lengthens the period with the number of gateways, which all ask one steward
	repeatPeriod            = 20 * time.Millisecond  // before an unanswered request is sent again
	answerTimeout           = 250 * time.Millisecond // before a request is given up and another issuer is asked
	silentTime              = 3 * time.Second        // for which an issuer that did not answer is not asked, if there is another
	settleTime              = 3 * time.Second        // for which a better issuer must report before a gateway moves to it
	claimTTL                = 600 * time.Millisecond // for which an issuer counts a gateway after its claim
	claimMargin             = 150 * time.Millisecond // for a claim to arrive
	balanceTTL              = 3 * time.Second        // of tokens at a gateway that hears no issuer
	rosterPeriod            = 4 * time.Second        // between answers with the roster
	rosterMemory            = 5 * time.Minute        // of gateways that have not been heard
	toldMemory              = 2 * time.Second        // of the number of gateways that a gateway told; several of its requests, some of which may be lost
)

// Member is a gateway among those that share the quotas.
type Member struct {
	Address netip.AddrPort `json:"address" cbor:"1,keyasint"`
	Age     time.Duration  `json:"age" cbor:"2,keyasint"`                      // since it was heard
	Left    bool           `json:"left,omitempty" cbor:"3,keyasint,omitempty"` // it shut down
}

// Request asks an issuer for tokens. A gateway has one under way at a time, and repeats it
// until it is answered or given up. The numbers of the cbor tags are sent for names.
type Request struct {
	Epoch   int64             `json:"epoch" cbor:"1,keyasint"`                             // of the gateway's process, higher than those of earlier ones
	Number  uint64            `json:"number" cbor:"2,keyasint"`                            // counts the requests of the process
	Claim   bool              `json:"claim,omitempty" cbor:"3,keyasint,omitempty"`         // no other issuer counts the gateway, this one may
	Release bool              `json:"release,omitempty" cbor:"4,keyasint,omitempty"`       // the issuer must not count the gateway any more
	Version registrar.Version `json:"configuration,omitempty" cbor:"5,keyasint,omitempty"` // that the quotas in Rows are from
	Rows    []RequestRow      `json:"rows,omitempty" cbor:"6,keyasint,omitempty"`
	Roster  []Member          `json:"roster,omitempty" cbor:"7,keyasint,omitempty"` // that the gateway knows, for a new issuer
	// Gateways is the largest number of gateways that a steward has told the gateway. Some of
	// them may not know the issuer, and so never send it anything.
	Gateways int `json:"gateways,omitempty" cbor:"8,keyasint,omitempty"`
}

// RequestRow is the part of a Request for one workspace; numbers are tokens.
type RequestRow struct {
	Workspace registrar.WorkspaceName `json:"workspace" cbor:"1,keyasint"`
	Rate      float64                 `json:"rate" cbor:"2,keyasint"` // of the quota, per second
	Burst     float64                 `json:"burst" cbor:"3,keyasint"`
	Held      float64                 `json:"held,omitempty" cbor:"4,keyasint,omitempty"`     // by the gateway, without Returned
	Need      float64                 `json:"need,omitempty" cbor:"5,keyasint,omitempty"`     // more, for requests that wait
	First     float64                 `json:"first,omitempty" cbor:"6,keyasint,omitempty"`    // of Need, for the first of them
	Want      float64                 `json:"want,omitempty" cbor:"7,keyasint,omitempty"`     // beyond Need, for requests to come
	Unit      float64                 `json:"unit,omitempty" cbor:"8,keyasint,omitempty"`     // of a usual request
	Returned  float64                 `json:"returned,omitempty" cbor:"9,keyasint,omitempty"` // to the issuer
}

// Answer is an issuer's answer to a Request.
type Answer struct {
	Epoch    int64       `json:"epoch" cbor:"1,keyasint"`
	Number   uint64      `json:"number" cbor:"2,keyasint"`
	Counted  bool        `json:"counted,omitempty" cbor:"3,keyasint,omitempty"` // the issuer counts the gateway
	Gateways int         `json:"gateways" cbor:"4,keyasint"`                    // in the issuer's roster
	Rows     []AnswerRow `json:"rows,omitempty" cbor:"5,keyasint,omitempty"`
	Roster   []Member    `json:"roster,omitempty" cbor:"6,keyasint,omitempty"` // in some answers
}

// AnswerRow is the part of an Answer for one workspace.
type AnswerRow struct {
	Workspace registrar.WorkspaceName `json:"workspace" cbor:"1,keyasint"`
	Tokens    float64                 `json:"tokens,omitempty" cbor:"2,keyasint,omitempty"` // issued
	Wait      time.Duration           `json:"wait,omitempty" cbor:"3,keyasint,omitempty"`   // until there is room for First, zero if it was issued
	Plenty    bool                    `json:"plenty,omitempty" cbor:"4,keyasint,omitempty"` // half of the burst is left
}
