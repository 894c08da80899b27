// Package budgeter decides what a gateway may hold in memory for callers and upstreams
// that read or send slowly.
//
// Usage:
//
//	a := budgeter.New(budgeter.ConfigOf(limits))
//	if !a.Admit(size, priority) { refuse() }
//	defer a.Release(budgeter.Request, size)
//	if !a.Take(budgeter.Stream, len(events)) { stopReading() }
//
// One account counts all bytes that the process holds. What is worth least is turned away
// first: events and parts of answers beyond a share of the memory, which wait at their
// upstream, then new requests, the large and the less urgent first, and at last answers, for
// which an upstream has worked. Nothing that is complete is dropped for something else.
//
// An account has no clock, network or goroutines and is not safe for concurrent use.
package budgeter

// Bytes is a size in memory.
type Bytes int64

// Purpose is what bytes are held for.
type Purpose string

// The purposes of held bytes.
const (
	Request Purpose = "request" // requests of callers until no upstream needs them any more
	Stream  Purpose = "stream"  // events that their callers have not read
	Answer  Purpose = "answer"  // plain answers of upstreams until they are written
	// Incoming is for what has come of answers, and of events, that are not complete.
	Incoming Purpose = "incoming"
	// Control is for what has come of answers of the store and of other processes.
	Control Purpose = "control"
)

// Sizes of what a gateway holds beside the bytes of callers and upstreams.
const (
	ConnectionSize Bytes = 16 << 10 // buffers and stacks of a caller's connection
	RequestSize    Bytes = 24 << 10 // buffers and stacks of an open request
	UpstreamSize   Bytes = 8 << 10  // buffers of a connection to an upstream

	maxSmallRequest = 2 * RequestSize
)

// Parts of the memory of a process.
const (
	accountPart      = 0.35     // of the memory of a process that the account covers; the rest is for state, garbage and sockets
	defaultTotal     = 32 << 20 // of an account of unknown memory
	maxCallerLimit   = 1 << 20  // more delays a caller beyond any use of a stream
	callersPerStream = 128      // callers that may use up their limits at once
)

// Sockets of a process.
const (
	otherDescriptors = 256  // for files, listeners, the store and operators
	minSockets       = 64   // however few descriptors the process may use
	crowdedPart      = 0.8  // of the sockets, from which on connections are given up when they are idle
	fullPart         = 0.95 // of the sockets, from which on requests are refused
)

// Parts of the room for held bytes, in eighths, that purposes may fill.
const (
	eighths            = 8
	requestPart        = 6        // by all that is held with a request of the most urgent priority
	largeRequestPart   = 5        // the same with a large request, or with what comes of a request beyond its size
	leastRequestPart   = 4        // the same of the least urgent
	streamPart         = 3        // by events
	streamTotalPart    = 7        // by all that is held with events
	incomingPart       = 4        // by what is incoming, so that there is room for requests
	leastIncomingPart  = 1        // the same while requests lack room; there is always as much for it and events
	headroomPart       = 1        // made free at once by ending what fills most
	controlPart        = 3        // of the total by what is for control, also beyond the room, since requests need it
	peerPart           = 5        // by events and what is incoming together, for the same reason
	answerPart         = 8        // by all that is held with answers
	minHeldPart        = 2        // of the total that connections leave to held bytes
	maxRequestFraction = 2        // a request takes at most 1/maxRequestFraction of the free room
	leastControlPart   = 1        // the same while requests lack room
	minControl         = 34 << 20 // bytes for control in a process of little memory, so that one peer can send 16 MiB
	maxPeerFraction    = 2        // the same of what is for control that others leave to the store or a process
)

// Config configures an Account.
type Config struct {
	Total     Bytes // for connections and held bytes together
	PerCaller Bytes // events that are held for one caller
	Sockets   int   // connections of callers and to upstreams together, zero without a limit
}

// Limits are the limits of a process, zero where they are unknown.
type Limits struct {
	Memory      Bytes
	Descriptors int
}

// ConfigOf returns the configuration for a process with such limits.
func ConfigOf(l Limits) Config {
	total := Bytes(float64(l.Memory) * accountPart)
	if total <= 0 {
		total = defaultTotal
	}
	c := Config{Total: total, PerCaller: min(maxCallerLimit, total/callersPerStream)}
	if l.Descriptors > 0 {
		c.Sockets = max(minSockets, l.Descriptors-otherDescriptors)
	}
	return c
}

// Account counts the bytes that a process holds.
type Account struct {
	cfg         Config
	connections int
	upstreams   int // connections to them
	request     Bytes
	stream      Bytes
	answer      Bytes
	incoming    Bytes
	control     Bytes
	short       bool // requests lack room
	peak        Bytes
	shed        int64
}

// New returns an account without bytes.
func New(cfg Config) *Account {
	return &Account{cfg: cfg}
}

// Connected counts n further connections of callers; n is negative if they were closed.
func (a *Account) Connected(n int) {
	a.connections += n
}

// UpstreamConnected counts n further connections to upstreams, or fewer if n is negative.
func (a *Account) UpstreamConnected(n int) {
	a.upstreams += n
}

// Crowded reports whether connections have to be given up as soon as they are idle, so
// that callers can connect.
func (a *Account) Crowded() bool {
	return a.socketsBeyond(crowdedPart)
}

func (a *Account) socketsBeyond(part float64) bool {
	return a.cfg.Sockets > 0 && float64(a.connections+a.upstreams) >= part*float64(a.cfg.Sockets)
}

// Admit reserves the bytes of a new request of a priority, 0 being the most urgent, and
// reports whether there is room. A request without room has to be refused.
func (a *Account) Admit(size Bytes, priority int) bool {
	if !a.Fits(size, priority) {
		a.shed++
		return false
	}
	a.Add(Request, size)
	return true
}

// Fits reports whether there is room for a new request of a priority.
func (a *Account) Fits(size Bytes, priority int) bool {
	part := requestPart
	if size > maxSmallRequest {
		part = largeRequestPart
	}
	part = max(leastRequestPart, part-max(0, priority))
	free := a.part(part) - a.Held()
	return size <= free/maxRequestFraction && !a.socketsBeyond(fullPart)
}

// Pressed reports whether the priority of a new request matters for its admission.
func (a *Account) Pressed(size Bytes) bool {
	return size > (a.part(leastRequestPart)-a.Held())/maxRequestFraction
}

// Take reserves bytes that an upstream or a caller sends, and reports whether there is
// room. Without room, the sender has to wait.
func (a *Account) Take(p Purpose, size Bytes) bool {
	part := answerPart
	switch p {
	case Stream:
		if a.stream+size > a.part(streamPart) || a.stream+a.incoming+size > a.part(peerPart) {
			return false
		}
		part = streamTotalPart
	case Request:
		part = largeRequestPart
	case Incoming:
		if a.incoming+size > a.incomingLimit() {
			return false
		}
		if a.stream+a.incoming+size <= a.part(leastIncomingPart) {
			a.Add(p, size)
			return true
		}
	case Control:
		least := a.cfg.Total * leastControlPart / eighths
		if a.control+size > a.controlLimit() || a.control+size > least && a.Held()+size > a.cfg.Total {
			return false
		}
		a.Add(p, size)
		return true
	case Answer:
	}
	if a.Held()+size > a.part(part) {
		return false
	}
	a.Add(p, size)
	return true
}

// Release gives back reserved bytes.
func (a *Account) Release(p Purpose, size Bytes) {
	a.Add(p, -size)
}

// Headroom returns how much is made free at once when room is short.
func (a *Account) Headroom() Bytes {
	return a.part(headroomPart)
}

// SetShort says whether new requests lack room, so that less may be held of what is incoming and for
// control.
func (a *Account) SetShort(short bool) {
	a.short = short
}

func (a *Account) controlLimit() Bytes {
	if a.short {
		return a.cfg.Total * leastControlPart / eighths
	}
	return max(minControl, a.cfg.Total*controlPart/eighths)
}

// ControlFills is IncomingFills for control.
func (a *Account) ControlFills(ending Bytes) bool {
	return a.control-ending > a.cfg.Total*leastControlPart/eighths
}

// PeerLimit returns how much may be held for control of one peer, of which so much is held.
func (a *Account) PeerLimit(held Bytes) Bytes {
	return (a.controlLimit() - a.control + held) / maxPeerFraction
}

func (a *Account) incomingLimit() Bytes {
	if a.short {
		return a.part(leastIncomingPart)
	}
	return a.part(incomingPart)
}

// IncomingFills reports whether more is held of what is incoming than its least part, without
// the bytes that are about to be given back.
func (a *Account) IncomingFills(ending Bytes) bool {
	return a.incoming-ending > a.part(leastIncomingPart)
}

// Move counts held bytes for another purpose, also beyond its part.
func (a *Account) Move(from, to Purpose, size Bytes) {
	a.Add(from, -size)
	a.Add(to, size)
}

// PerCaller returns how many bytes of events may be held for one caller.
func (a *Account) PerCaller() Bytes {
	return a.cfg.PerCaller
}

// Held returns all held bytes without those of connections.
func (a *Account) Held() Bytes {
	return a.request + a.stream + a.incoming + a.answer + a.control
}

// Holdings returns what the account holds.
func (a *Account) Holdings() Holdings {
	return Holdings{HeldBytes: a.Held(), PeakBytes: a.peak, UnreadBytes: a.stream, IncomingBytes: a.incoming, CallerConnections: a.connections, UpstreamConnections: a.upstreams, ShedRequests: a.shed}
}

// Holdings is what an account holds, for operators.
type Holdings struct {
	HeldBytes           Bytes `json:"bytes" metric:"gauge"`     // for callers and upstreams, without connections
	PeakBytes           Bytes `json:"peak" metric:"gauge"`      // the highest HeldBytes so far
	UnreadBytes         Bytes `json:"unread" metric:"gauge"`    // events that their callers have not read
	IncomingBytes       Bytes `json:"incoming" metric:"gauge"`  // of answers and events that are not complete
	CallerConnections   int   `json:"callers" metric:"gauge"`   // open connections of callers
	UpstreamConnections int   `json:"upstreams" metric:"gauge"` // open connections to upstreams
	ShedRequests        int64 `json:"shed"`                     // refused since there was no room for them
}

// part returns so many eighths of the room that connections leave.
func (a *Account) part(n int) Bytes {
	connections := Bytes(a.connections)*ConnectionSize + Bytes(a.upstreams)*UpstreamSize
	room := max(a.cfg.Total-connections, a.cfg.Total*minHeldPart/eighths)
	return room * Bytes(n) / eighths
}

// Add reserves bytes, also without room.
func (a *Account) Add(p Purpose, size Bytes) {
	switch p {
	case Request:
		a.request += size
	case Stream:
		a.stream += size
	case Answer:
		a.answer += size
	case Incoming:
		a.incoming += size
	case Control:
		a.control += size
	}
	a.peak = max(a.peak, a.Held())
}
