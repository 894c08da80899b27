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

// Hangup drops a connection to an agent.
type Hangup struct {
	Peer  configurator.UpstreamName
	Epoch Epoch
}

// SendUp sends a message to an agent.
type SendUp struct {
	Peer  configurator.UpstreamName
	Epoch Epoch
	Up    *linkpb.Up
}

// SendDown sends a message to an entry.
type SendDown struct {
	Entry EntryID
	Epoch Epoch
	Down  *linkpb.Down
}

// Reply gives a caller the status line and headers of its answer.
type Reply struct {
	ID      RequestID
	Status  int
	Headers []*linkpb.Header
}

// Push gives a caller a part of its answer.
type Push struct {
	ID   RequestID
	Next uint64 // Consumed with this value acknowledges the part
	Data []byte
}

// Close ends a caller's answer; Kind is None when it is whole.
type Close struct {
	ID         RequestID
	Kind       classifier.Kind
	Ran        classifier.Ran
	RetryAfter time.Duration
}

// Pass hands an attempt to the upstream. From here on it may have run.
type Pass struct {
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
	Number reserver.Number
	Op     reserver.Op
	Model  configurator.ModelName
	Bytes  configurator.Bytes
	Before time.Duration
}

// Ask requests the engine's state; Reported answers it.
type Ask struct{}

// Look asks another runner what it holds; Looked answers it.
type Look struct {
	Upstream configurator.UpstreamName
	Address  string
}

// Append writes a record to a stream of the log; Appended answers it.
type Append struct {
	Stream recorder.Stream
	Record recorder.Record
}

// Follow starts to read a stream of the log besides the main one.
type Follow struct{ Stream recorder.Stream }

// Note is an event for the log of the process.
type Note struct {
	Name    string
	Request RequestID
	Attempt AttemptID
	Peer    string
	Kind    classifier.Kind
	Text    string
}

// Install publishes the configuration in force to the rest of the process.
type Install struct{ State *configurator.State }

// Stop ends the process: everything that was open has finished.
type Stop struct{}

func (Dial) effect()     {}
func (Hangup) effect()   {}
func (SendUp) effect()   {}
func (SendDown) effect() {}
func (Reply) effect()    {}
func (Push) effect()     {}
func (Close) effect()    {}
func (Pass) effect()     {}
func (Abort) effect()    {}
func (Credit) effect()   {}
func (Order) effect()    {}
func (Ask) effect()      {}
func (Look) effect()     {}
func (Append) effect()   {}
func (Follow) effect()   {}
func (Note) effect()     {}
func (Install) effect()  {}
func (Stop) effect()     {}
