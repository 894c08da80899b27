// Package recorder reads and appends the records that egretwall keeps in the
// platform's log.
//
// Usage:
//
//	log := recorder.NewClient(recorder.Config{Address: "10.0.0.1:9000"})
//	offset, err := log.Append(ctx, stream, recorder.Record{ID: id, Kind: recorder.KindClaims, Claims: claims})
//	batch, err := log.Read(ctx, stream, from)
//
// Appends are at-least-once: when the response to an append is lost and the append is
// retried, the log holds the record twice with the same ID. Readers ignore the duplicate.
package recorder

import (
	"encoding/json"
	"time"

	"github.com/egretwall/egretwall/internal/claimer"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Offset is a position in a stream of the log.
type Offset uint64

// Stream names a stream of the log. The offsets of its records rise in the order of the
// appends.
type Stream string

// MainStream carries configuration changes, snapshots of the configuration and leases.
// All processes read it.
const MainStream Stream = "main"

// ClaimStream returns the name of the stream that carries the claims of one group of
// upstreams: all runners, or the instances of one service. Only the agents of the group
// read it.
func ClaimStream(group string) Stream {
	return Stream("claims-" + group)
}

// Kind is the type of a record's content.
type Kind string

// The kinds of records.
const (
	KindChange Kind = "change" // a configuration change that an operator published
	KindState  Kind = "state"  // a snapshot of the accepted configuration, appended before the log drops the records that it was built from
	KindClaims Kind = "claims" // claims on idempotency keys
	KindLease  Kind = "lease"  // an agent's lease on its upstream, acquired or renewed
)

// Record is one record of the log. The log sets Offset and LogTimeMs; of the other
// fields only ID, Kind and the content of that kind are set.
type Record struct {
	Offset    Offset `json:"-"`
	LogTimeMs int64  `json:"-"` // log's clock when the record was appended

	ID     string               `json:"id"`
	Kind   Kind                 `json:"kind"`
	Change *configurator.Change `json:"change,omitempty"`
	State  *Snapshot            `json:"state,omitempty"`
	Claims []claimer.Claim      `json:"claims,omitempty"`
	Lease  *LeaseRecord         `json:"lease,omitempty"`
}

// Snapshot is the result of configurator.State.Snapshot.
type Snapshot struct {
	Data json.RawMessage `json:"data"`
	Hash uint64          `json:"hash"`
}

// LeaseRecord acquires or renews an agent's lease on its upstream. The offset of the
// first record of a lease is its fencing number: the lease with the highest one is in
// force.
type LeaseRecord struct {
	Upstream    configurator.UpstreamName `json:"upstream"`
	Incarnation uint64                    `json:"term"` // of the agent
	DurationMs  configurator.Millis       `json:"millis"`
	FirstOffset Offset                    `json:"since,omitempty"` // offset of the first record of the lease; set in renewals only
}

// Batch is the result of a read.
type Batch struct {
	FirstOffset Offset // lowest offset that the log still holds
	NextOffset  Offset // from which to read the next batch
	LogTimeMs   int64  // log's clock at the time of the read
	Records     []Record
}

// Covers returns how long before the read, by the log's clock, the reader knew all records, given
// the offset from which it read. It returns false if the batch doesn't tell.
func (b Batch) Covers(from Offset) (age time.Duration, ok bool) {
	if n := len(b.Records); n > 0 {
		return time.Duration(max(0, b.LogTimeMs-b.Records[n-1].LogTimeMs)) * time.Millisecond, true
	}
	return 0, b.NextOffset <= from
}

// Decode decodes a record. It returns an error of kind classifier.Invalid for records
// of an unknown kind or without the content of their kind, which readers skip: they may
// come from another program or a later version.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, classifier.Wrap(classifier.Invalid, err, "decode log record")
	}
	hasContent := map[Kind]bool{KindChange: r.Change != nil, KindState: r.State != nil, KindClaims: r.Claims != nil, KindLease: r.Lease != nil}
	if !hasContent[r.Kind] {
		return r, classifier.New(classifier.Invalid, "log record of kind %q carries no content of that kind", r.Kind)
	}
	return r, nil
}
