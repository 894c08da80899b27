package dispatcher

import "time"

// TickPeriod is the time between two Tick events.
const TickPeriod = 20 * time.Millisecond

// Times and time constants of decisions.
const (
	reportLifetime          = 2 * time.Second        // older reports don't describe the load; tolerates several lost datagrams
	reportTimeout           = 800 * time.Millisecond // without a report for so long an instance may be gone; about five lost reports
	minStallTimeout         = 700 * time.Millisecond // shortest FirstTimeout and GapTimeout of a Send
	adapterRetryPeriod      = 60 * time.Millisecond  // before an adapter is requested again, in case the datagram or its answer was lost
	initialAvoidTime        = 200 * time.Millisecond // after a failed send; doubles with each consecutive one
	maxAvoidTime            = 3 * time.Second        // a crashed upstream restarts within it
	countPeriod             = 100 * time.Millisecond // between counts of gateways
	reportDelay             = 200 * time.Millisecond // from a request's send until a report counts it
	maxStartSpacing         = time.Second            // longest pause between sends to a runner whose answers begin late
	fullBackoff             = 40 * time.Millisecond  // after an upstream refused a request; a short request frees its slot within it
	answerMargin            = 20 * time.Millisecond  // before a deadline, for the error answer to reach the caller in time
	minRetryAfter           = 200 * time.Millisecond // shortest Retry-After of a refusal
	failureRateTimeConstant = 4 * time.Second        // over which a failure rate decays
	sendRateTimeConstant    = time.Second            // over which send rates are averaged
	patientSlack            = 2 * time.Second        // that a patient request has left at least
	sharePeriod             = 100 * time.Millisecond // between computations of workspaces' shares
	classTimeConstant       = 8 * time.Second        // over which the share of a service's requests that are served is averaged
	queueTimeConstant       = 300 * time.Millisecond // over which queue lengths are averaged; two report periods
	returnsSweepPeriod      = time.Second            // between searches for refused requests that need not be remembered
)

// Callers give up a stream that is silent for the longest of these times.
const (
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4 // times the route's TargetLatency
	callerTimeoutGaps    = 8 // times the route's TargetGap
)

// Limits and weights of decisions.
const (
	coldWaitShare       = 0.5   // share of its time left that a request may wait for an upstream, or for a model that no runner holds or loads
	maxWaiting          = 400   // requests that may wait at one gateway; bounds the memory for their bodies
	stallTargets        = 2     // FirstTimeout of a Send, times the route's TargetLatency
	stallGaps           = 4     // GapTimeout of a Send, times the route's TargetGap
	overdueLoadShare    = 0.7   // share of slots in use below which an upstream should begin a request at once
	overdueMaxWaiting   = 2.0   // requests that may wait at such an upstream
	maxUnsent           = 8     // sends of one request that did not reach their upstream
	maxRefusals         = 3     // sends of one request that upstreams received and did not run
	minQuotaLimit       = 3     // requests that one gateway may send to a runner between two reports, however many gateways there are
	minInFlight         = 3     // sends that one gateway may always have under way at an upstream without a fresh report
	inFlightPerSlot     = 1.5   // sends per slot that all gateways together may have under way at such an upstream
	maxStartShare       = 0.5   // share of the target latency that answers may take to begin after their sends
	initialStartWindow  = 8.0   // sends of one gateway to a runner whose answers have not begun, until their delays are known
	minStartWindow      = 0.05  // the least of these
	startWindowGrowth   = 1.25  // largest factor of the window for an answer that begins in time
	maxStartWindow      = 64.0  // the most of these; as many as a runner runs in one batch
	startWindowShrink   = 0.7   // factor of the window when answers begin too late
	startDelaySamples   = 8     // answers over which their delay is averaged
	startTimeShare      = 0.12  // share of the target latency that an upstream takes to begin an answer
	waitingCost         = 4.0   // cost of a request that waits at an upstream, in requests of load; it delays all later ones
	queueAllowance      = 3     // requests of a model that may wait whatever its send rate
	lateQueueAllowance  = 1     // the same for requests that can no longer meet their target
	minSendRate         = 0.5   // sends per second; a lower rate is no basis for an estimate
	remoteDomainCost    = 0.6   // cost of an upstream in another failure domain, in requests of load
	latePriority        = 7     // of requests that can no longer meet their target; upstreams admit them after all others
	defaultGatewayCount = 8     // assumed until a report gives the number; deployments have fewer
	maxOnTimePriority   = 5     // larger priority numbers of routes are sent as this one
	failureCost         = 60.0  // cost of an upstream that always fails, in requests of load; about a full batch
	promoteWaitShare    = 0.5   // share of its target latency that a request waits before it may be promoted
	earlyReturnShare    = 0.5   // share of its Retry-After before which a refused request returns too early
	maxReturns          = 4096  // refused requests that are remembered
	minShareWork        = 100.0 // work of a request that names less, such as those for plain services
	minShareWeight      = 0.05  // of a workspace, relative to the mean of those with a quota
	lastSendWeight      = 0.2   // weight of the last send in the failure rate
)

// Shares of the retry budget that gateways use.
const (
	ratioShare = 0.75 // of the ratio; the rest is a margin for retries whose requests are counted elsewhere, such as in an earlier window
	slackShare = 0.6  // of the slack; gateways may learn late of a change of their number
)
