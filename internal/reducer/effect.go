package reducer

import (
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reserver"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// Effect is an output of a reducer, which the driver package carries out.
type Effect interface{ effect() }

// Dial opens a connection to an agent; AgentConnected or AgentDisconnected
// reports the result.
type Dial struct {
	Peer    configurator.UpstreamName
	Address string // host and port
	Epoch   Epoch
	Version configurator.Version // configuration in force at the entry
}

// CloseConnection closes the connection with the given epoch to an agent, if it is
// still open.
type CloseConnection struct {
	Peer  configurator.UpstreamName
	Epoch Epoch
}

// SendToAgent sends a message of an entry over the connection with the given
// epoch; it is dropped if that connection is gone.
type SendToAgent struct {
	Peer    configurator.UpstreamName
	Epoch   Epoch
	Message *linkpb.Up
}

// SendToEntry sends a message of an agent over the connection with the given
// epoch; it is dropped if that connection is gone.
type SendToEntry struct {
	Entry   EntryID
	Epoch   Epoch
	Message *linkpb.Down
}

// WriteHeader sends a caller the status and headers of its response.
type WriteHeader struct {
	ID      RequestID
	Status  int
	Headers []*linkpb.Header
}

// WriteBody sends a caller a part of its response body.
type WriteBody struct {
	ID   RequestID
	Next uint64 // BodyConsumed with this value acknowledges the part
	Data []byte
}

// EndResponse ends a caller's response. Kind is None if the response is complete
// and the kind of the error otherwise.
type EndResponse struct {
	ID         RequestID
	Kind       classifier.Kind
	Ran        classifier.Ran // whether the request has run at an upstream
	RetryAfter time.Duration  // advice to the caller, zero without any
}

// Forward sends an attempt to the upstream. From then on it may have run.
type Forward struct {
	Attempt AttemptID
	Submit  *linkpb.Submit
	Rank    int // of the request's class, 0 is the most urgent
	Window  int // bytes of the response that may be unacknowledged
}

// Abort cancels an attempt at the upstream.
type Abort struct{ Attempt AttemptID }

// Credit reopens the flow control window of an attempt's response by Bytes.
type Credit struct {
	Attempt AttemptID
	Bytes   int
}

// Order sends an order to the engine: to load or unload a model, or to raise the
// highest order number that the engine has seen. OrderCompleted reports the result.
// From Expires on, when the agent's lease has lapsed, the order is not sent any more;
// zero is no limit.
type Order struct {
	Number  reserver.OrderNumber
	Op      reserver.Op
	Model   configurator.ModelName
	Bytes   configurator.Bytes
	Expires time.Duration
}

// PollEngine requests the engine's state; EngineReported carries it.
type PollEngine struct{}

// QueryResidents asks the agent of another runner for the models and adapters in
// its accelerator memory; ResidentsReceived carries them.
type QueryResidents struct {
	Upstream configurator.UpstreamName
	Address  string
}

// Append writes a record to a stream of the log; Appended reports the result.
type Append struct {
	Stream recorder.Stream
	Record recorder.Record
}

// FollowStream starts to read a stream of the log in addition to the main one;
// RecordsRead carries its records.
type FollowStream struct{ Stream recorder.Stream }

// LogEvent writes a line to the process's own log, with the fields that are not
// empty. It is a warning if Kind is set.
type LogEvent struct {
	Name    string // value of the key event
	Request RequestID
	Attempt AttemptID
	Peer    string
	Kind    classifier.Kind
	Text    string
}

// PublishConfirmation says that the configuration in force was the newest one at a time.
type PublishConfirmation struct{ At time.Duration }

// PublishConfiguration gives the configuration in force to the other parts of the
// process.
type PublishConfiguration struct{ State *configurator.State }

// Stop ends a drained process, when nothing is open any more.
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
func (PublishConfirmation) effect()  {}
func (Stop) effect()                 {}
