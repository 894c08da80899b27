package dispatcher

import "time"

// TickPeriod is the time between two Tick events.
const TickPeriod = 20 * time.Millisecond

// Timing of decisions.
const (
	reportLife    = 2 * time.Second        // an older report says nothing of the load; several lost datagrams
	silentReports = 800 * time.Millisecond // without reports an upstream's instance may be gone; five lost ones
	stallFloor    = 700 * time.Millisecond // shortest silence for which a stream is moved
	wantPeriod    = 60 * time.Millisecond  // an adapter is asked for again, a lost datagram and its answer
	avoidFirst    = 200 * time.Millisecond // after a failed send, doubled with each further one
	avoidLimit    = 3 * time.Second        // longest avoidance, a crashed upstream's restart
	fullPause     = 40 * time.Millisecond  // after an upstream said that it is full, about one work unit
	timeoutSlack  = 20 * time.Millisecond  // the caller's answer leaves this much before its limit
	retryFloor    = 200 * time.Millisecond // shortest Retry-After
	errorLife     = 4 * time.Second        // over which an error rate is forgotten
	flowLife      = time.Second            // over which sends are averaged
	queueLife     = 300 * time.Millisecond // over which queues are averaged, two reports
)

// Callers give up a stream that is silent for the longest of these.
const (
	silence       = 2 * time.Second
	silentTargets = 4 // targets of the route
	silentPauses  = 8 // longest pauses of the route
)

// Limits of decisions.
const (
	coldPatience    = 0.5  // share of the time left that a request may wait for a model that nobody loads
	waitingBound    = 400  // requests that may wait at one gateway; their bodies bound its memory
	stallTargets    = 2    // targets of the route without a beginning before a stream is moved
	stallPauses     = 4    // longest pauses of the route without an event before a stream is moved
	idleFill        = 0.7  // of a batch below which a request that was sent should have begun
	idleWaiting     = 2.0  // requests that wait at such an upstream
	unsentTries     = 8    // sends that reached no upstream, for one request
	refusalTries    = 3    // sends that upstreams refused, for one request
	burst           = 3    // sends to one runner between two reports that need no regard for other gateways
	minOpen         = 3    // sends that one gateway may always have open at an upstream
	lineShare       = 1.5  // work units that the gateways together may have open for each slot of a plain service
	startShare      = 0.12 // of the target, which an upstream takes to begin an answer
	waitingCost     = 4.0  // requests of load that each of them weighs: it delays all later ones
	waitingFree     = 3    // requests that may wait here whatever the flow
	tardyFree       = 1    // requests that can't be on time that may wait whatever the flow
	leastFlow       = 0.5  // sends a second; a slower flow says nothing
	farCost         = 0.6  // requests of load that an upstream in another failure domain may have less
	latePriority    = 7    // of requests that missed their target, admitted after all others
	assumedGateways = 8    // until a steward says how many there are; more than the users run today
	priorityRange   = 5    // routes' priorities above it count as it
	errorCost       = 60.0 // requests of load that an upstream may have less for each unit of its error rate, a full batch for one that always fails
	errorShare      = 0.2  // weight of the last send in the error rate
)

// Shares of the retry budget that gateways use.
const (
	ratioShare = 0.75 // of the repeats for each request, the rest covers requests counted elsewhere
	slackShare = 0.6  // of the slack, since gateways may count each other late
)
