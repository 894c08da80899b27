// Package recorder reads and appends the records that egretwall keeps in the
// platform's log.
//
// Usage:
//
//	log := recorder.NewClient(recorder.Config{Address: "10.0.0.1:9000"})
//	offset, err := log.Append(ctx, stream, recorder.Record{ID: id, Kind: recorder.Claims, Claims: claims})
//	batch, err := log.Read(ctx, stream, from)
//
// A record is written at least once: after a lost answer the same record,
// with the same id, may stand in the log twice. Readers drop the repetition.
package recorder

import (
	"encoding/json"

	"github.com/egretwall/egretwall/internal/claimer"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Offset is a position in a stream of the log.
type Offset uint64

// Stream names one of the streams that the log keeps in order.
type Stream string

// MainStream carries configuration changes, repeated states and leases; all
// processes read it.
const MainStream Stream = "main"

// ClaimStream names the stream of the claims on calls to one group of upstreams;
// only the agents of that group read it.
func ClaimStream(group string) Stream {
	return Stream("claims-" + group)
}

// Kind tells what a record carries.
type Kind string

// The kinds of records.
const (
	KindChange Kind = "change" // a configuration change that an operator published
	KindState  Kind = "state"  // the accepted configuration, repeated before the log drops it
	KindClaims Kind = "claims" // claims on idempotency keys
	KindLease  Kind = "lease"  // an agent takes over or keeps its upstream
)

// Record is one entry of the log. Offset and Time are set by the log.
type Record struct {
	Offset    Offset `json:"-"`
	LogTimeMs int64  `json:"-"` // log time in ms

	ID     string               `json:"id"`
	Kind   Kind                 `json:"kind"`
	Change *configurator.Change `json:"change,omitempty"`
	State  *Snapshot            `json:"state,omitempty"`
	Claims []claimer.Claim      `json:"claims,omitempty"`
	Lease  *LeaseRecord         `json:"lease,omitempty"`
}

// Snapshot is an encoded configurator.State with its hash.
type Snapshot struct {
	Data json.RawMessage `json:"data"`
	Hash uint64          `json:"hash"`
}

// LeaseRecord states that an agent owns its upstream from the record's offset
// on, which is its fencing number.
type LeaseRecord struct {
	Upstream    configurator.UpstreamName `json:"upstream"`
	Incarnation uint64                    `json:"term"` // incarnation of the agent
	DurationMs  configurator.Millis       `json:"millis"`
	FirstOffset Offset                    `json:"since,omitempty"` // offset of the first record of this term, in renewals
}

// Batch is the answer to a read.
type Batch struct {
	FirstOffset Offset // lowest offset that the log still has
	NextOffset  Offset // where to read on
	LogTimeMs   int64  // the log's clock, in ms
	Records     []Record
}

// Decode decodes the data of a record. A record of another program or of a
// later version is an error that readers skip.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, classifier.Wrap(classifier.Invalid, err, "decode log record")
	}
	full := map[Kind]bool{KindChange: r.Change != nil, KindState: r.State != nil, KindClaims: r.Claims != nil, KindLease: r.Lease != nil}
	if !full[r.Kind] {
		return r, classifier.New(classifier.Invalid, "log record of kind %q carries no content of that kind", r.Kind)
	}
	return r, nil
}
