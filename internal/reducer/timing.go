package reducer

import "time"

// TickPeriod is the time between two Tick events.
const TickPeriod = 20 * time.Millisecond

// Timing of connections between entries and agents.
const (
	agentBeatInterval  = 250 * time.Millisecond // from an agent while attempts are open
	entryBeatInterval  = 3 * time.Second        // from an entry while attempts are open
	idleBeatInterval   = 90 * time.Second       // while none are
	busySilenceTimeout = 700 * time.Millisecond // replaces a connection with open attempts
	idleSilenceTimeout = 220 * time.Second      // replaces a connection without any
	idleCloseTimeout   = 10 * time.Minute       // closes a connection that is not used
	minDialBackoff     = 200 * time.Millisecond // first pause between two dials
	maxDialBackoff     = 3 * time.Second        // longest pause between two dials
	moveTimeout        = 900 * time.Millisecond // repeatable attempts leave an agent that is out of reach
	giveUpTimeout      = 3 * time.Second        // other attempts are answered as lost
	orphanTimeout      = 8 * time.Second        // an agent aborts attempts whose entry is out of reach
	unreachablePeriod  = 2 * time.Second        // new attempts avoid an agent that can't be reached
	minEjection        = 250 * time.Millisecond // new attempts avoid an upstream that failed, doubled each time
	maxEjection        = 8 * time.Second
)

// Limits of requests.
const (
	maxTries            = 8
	immediateTries      = 2 // tries without a pause
	minRetryBackoff     = 50 * time.Millisecond
	maxRetryBackoff     = time.Second
	retriesPerSuccess   = 0.2 // retries earned by a whole answer
	maxRetryBudget      = 50  // retries that can be saved up
	responseWindowBytes = 256 << 10
	maxBufferedBytes    = 16 << 20               // bytes of an answer that is kept back until it is whole
	deadlineSlack       = 100 * time.Millisecond // an agent refuses this much before the caller's deadline
)

// Limits of agents.
const (
	maxQueued              = 2000
	enginePollInterval     = 250 * time.Millisecond
	balanceInterval        = 100 * time.Millisecond
	maxAdapterLoads        = 4 // adapter loads under way at one runner
	minLoadBackoff         = 300 * time.Millisecond
	maxLoadBackoff         = 5 * time.Second
	residentsTTL           = 2 * time.Second
	claimTimeout           = 2 * time.Second // a claim that is not in the log by then is given up
	claimRetryInterval     = 1200 * time.Millisecond
	appendsPerSecond       = 300.0 // appends a second, over all processes
	appendBurst            = 4.0
	maxCachedBytes         = 64 << 20 // answers kept for repeated keys
	maxCachedResponseBytes = 1 << 20  // bytes of one such answer
)

// leaseRenewDivisor divides a lease into the time after which it is renewed.
const leaseRenewDivisor = 3
