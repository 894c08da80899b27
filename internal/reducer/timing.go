package reducer

import "time"

// TickPeriod is the time between two Tick events, the resolution of all timeouts.
const TickPeriod = 20 * time.Millisecond

// Timing of connections between entries and agents, of failover and of outlier
// ejection.
const (
	agentBeatInterval  = 250 * time.Millisecond // heartbeats from an agent while attempts are open
	entryBeatInterval  = 3 * time.Second        // heartbeats from an entry while attempts are open
	idleBeatInterval   = 90 * time.Second       // heartbeats of both while no attempt is open
	busySilenceTimeout = 700 * time.Millisecond // silence after which a connection with open attempts is replaced
	idleSilenceTimeout = 220 * time.Second      // the same without open attempts
	idleCloseTimeout   = 10 * time.Minute       // closes an unused connection
	minDialBackoff     = 200 * time.Millisecond // doubled with each failed dial
	maxDialBackoff     = 3 * time.Second
	moveTimeout        = 900 * time.Millisecond // repeatable attempts are retried elsewhere after their agent was unreachable for so long
	giveUpTimeout      = 3 * time.Second        // other attempts fail as lost once their agent was unreachable for so long
	orphanTimeout      = 8 * time.Second        // an agent cancels attempts whose entry was unreachable for so long
	unreachablePeriod  = 2 * time.Second        // no new attempts at an agent after a failed dial
	minEjection        = 250 * time.Millisecond // no new attempts at an upstream that failed, doubled with each failure
	maxEjection        = 8 * time.Second
)

// Limits of requests, retries and responses.
const (
	maxTries            = 8 // attempts of a request
	immediateTries      = 2 // attempts that are retried without a backoff
	minRetryBackoff     = 50 * time.Millisecond
	maxRetryBackoff     = time.Second
	retriesPerSuccess   = 0.2                    // added to the retry budget by a complete response
	maxRetryBudget      = 50                     // retries
	responseWindowBytes = 256 << 10              // unacknowledged bytes of a response
	maxBufferedBytes    = 16 << 20               // of a response that is sent only when complete
	deadlineSlack       = 100 * time.Millisecond // taken from an attempt's time budget, so that a refusal reaches the caller in time
)

// Limits and timing of agents.
const (
	maxQueued              = 2000 // attempts that wait for a slot, and as many for a model
	enginePollInterval     = 250 * time.Millisecond
	balanceInterval        = 100 * time.Millisecond // between two decisions on loads and unloads
	maxAdapterLoads        = 4                      // at once at one runner
	minLoadBackoff         = 300 * time.Millisecond // delay of load orders after the first failure
	maxLoadBackoff         = 5 * time.Second
	residentsTTL           = 2 * time.Second         // how long another runner's residents are relied on
	claimTimeout           = 2 * time.Second         // an attempt whose claim is not in the log by then is refused
	claimRetryInterval     = 1200 * time.Millisecond // between two appends of a claim
	appendsPerSecond       = 300.0                   // of claims, over all agents
	appendBurst            = 4.0                     // appends of claims by one agent
	maxCachedBytes         = 64 << 20                // responses kept for repeated idempotency keys
	maxCachedResponseBytes = 1 << 20                 // larger responses are not kept
)

// leaseRenewDivisor divides a lease's duration: the lease is renewed after a third of
// it.
const leaseRenewDivisor = 3
