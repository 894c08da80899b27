package reducer

import "time"

// TickPeriod is the time between two Tick events.
const TickPeriod = 20 * time.Millisecond

// Timing of connections between entries and agents.
const (
	beatPeriod    = 250 * time.Millisecond // from an agent while attempts are open
	answerPeriod  = 3 * time.Second        // from an entry while attempts are open
	idlePeriod    = 90 * time.Second       // while none are
	silentAfter   = 700 * time.Millisecond // replaces a connection with open attempts
	idleSilent    = 220 * time.Second      // replaces a connection without any
	idleClose     = 10 * time.Minute       // closes a connection that is not used
	redialPeriod  = 200 * time.Millisecond // first pause between two dials
	redialLimit   = 3 * time.Second        // longest pause between two dials
	moveAfter     = 900 * time.Millisecond // repeatable attempts leave an agent that is out of reach
	giveUpAfter   = 3 * time.Second        // other attempts are answered as lost
	orphanAfter   = 8 * time.Second        // an agent aborts attempts whose entry is out of reach
	suspectPeriod = 2 * time.Second        // new attempts avoid an agent that can't be reached
	ejectPeriod   = 250 * time.Millisecond // new attempts avoid an upstream that failed, doubled each time
	ejectLimit    = 8 * time.Second
)

// Limits of requests.
const (
	maxTries      = 8
	quickTries    = 2 // tries without a pause
	retryPause    = 50 * time.Millisecond
	retryLimit    = time.Second
	retryShare    = 0.2 // retries earned by a whole answer
	retryReserve  = 50  // retries that can be saved up
	chunkWindow   = 256 << 10
	heldBound     = 16 << 20               // bytes of an answer that is kept back until it is whole
	deadlineSlack = 100 * time.Millisecond // an agent refuses this much before the caller's deadline
)

// Limits of agents.
const (
	queueBound    = 2000
	askPeriod     = 250 * time.Millisecond
	balancePeriod = 100 * time.Millisecond
	maxAdapters   = 4 // adapter loads under way at one runner
	loadPause     = 300 * time.Millisecond
	loadLimit     = 5 * time.Second
	lookLife      = 2 * time.Second
	claimWait     = 2 * time.Second // a claim that is not in the log by then is given up
	claimRetry    = 1200 * time.Millisecond
	appendRate    = 300.0 // appends a second, over all processes
	appendBurst   = 4.0
	answerBytes   = 64 << 20 // answers kept for repeated keys
	answerBound   = 1 << 20  // bytes of one such answer
)

// renewShare divides a lease into the time after which it is renewed.
const renewShare = 3
