package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Effect is an output of a reducer, which its driver carries out.
type Effect interface{ effect() }

// Dial opens a connection to an agent; Linked or Unlinked answers it.
type Dial struct {
	Peer    configurator.UpstreamName
	Address string
	Epoch   Epoch
	Version configurator.Version
}

// CloseConnection drops a connection to an agent.
type CloseConnection struct {
	Peer  configurator.UpstreamName
	Epoch Epoch
}

// SendToAgent sends a message to an agent.
type SendToAgent struct {
	Peer    configurator.UpstreamName
	Epoch   Epoch
	Message *linkpb.Up
}

// SendToEntry sends a message to an entry.
type SendToEntry struct {
	Entry   EntryID
	Epoch   Epoch
	Message *linkpb.Down
}

// WriteHeader gives a caller the status line and headers of its answer.
type WriteHeader struct {
	ID      RequestID
	Status  int
	Headers []*linkpb.Header
}

// WriteBody gives a caller a part of its answer.
type WriteBody struct {
	ID   RequestID
	Next uint64 // Consumed with this value acknowledges the part
	Data []byte
}

// EndResponse ends a caller's answer; Kind is None when it is whole.
type EndResponse struct {
	ID         RequestID
	Kind       classifier.Kind
	Ran        classifier.Ran
	RetryAfter time.Duration
}

// Forward hands an attempt to the upstream. From here on it may have run.
type Forward struct {
	Attempt AttemptID
	Submit  *linkpb.Submit
	Rank    int
	Window  int // bytes of answer that may be unacknowledged
}

// Abort closes an attempt at the upstream.
type Abort struct{ Attempt AttemptID }

// Credit lets the upstream send more of an answer.
type Credit struct {
	Attempt AttemptID
	Bytes   int
}

// Order gives an order to the engine; Ordered answers it. It is not sent after
// Before, when the lease has lapsed.
type Order struct {
	Number  reserver.OrderNumber
	Op      reserver.Op
	Model   configurator.ModelName
	Bytes   configurator.Bytes
	Expires time.Duration
}

// PollEngine requests the engine's state; Reported answers it.
type PollEngine struct{}

// QueryResidents asks another runner what it holds; Looked answers it.
type QueryResidents struct {
	Upstream configurator.UpstreamName
	Address  string
}

// Append writes a record to a stream of the log; Appended answers it.
type Append struct {
	Stream recorder.Stream
	Record recorder.Record
}

// FollowStream starts to read a stream of the log besides the main one.
type FollowStream struct{ Stream recorder.Stream }

// LogEvent is an event for the log of the process.
type LogEvent struct {
	Name    string
	Request RequestID
	Attempt AttemptID
	Peer    string
	Kind    classifier.Kind
	Text    string
}

// PublishConfiguration publishes the configuration in force to the rest of the process.
type PublishConfiguration struct{ State *configurator.State }

// Stop ends the process: everything that was open has finished.
type Stop struct{}

func (Dial) effect()                 {}
func (CloseConnection) effect()      {}
func (SendToAgent) effect()          {}
func (SendToEntry) effect()          {}
func (WriteHeader) effect()          {}
func (WriteBody) effect()            {}
func (EndResponse) effect()          {}
func (Forward) effect()              {}
func (Abort) effect()                {}
func (Credit) effect()               {}
func (Order) effect()                {}
func (PollEngine) effect()           {}
func (QueryResidents) effect()       {}
func (Append) effect()               {}
func (FollowStream) effect()         {}
func (LogEvent) effect()             {}
func (PublishConfiguration) effect() {}
func (Stop) effect()                 {}
