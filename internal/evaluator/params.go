// Package evaluator simulates policies for routing requests and placing models on
// a virtual clock. It measures how many requests meet their latency targets per
// accelerator, the loads and unloads, and how long models are unavailable, under
// changing demand and failures.
//
// Usage:
//
//	s := evaluator.Scenarios()[0]
//	trace := evaluator.NewTrace(cfg, s, seed)
//	result := evaluator.Run(evaluator.Egretwall, cfg, s, trace, seed)
//
// The policy Egretwall runs the reducers of entries and agents as they are used in
// production. The same trace and seed give the same result, bit for bit.
package evaluator

import "time"

// Costs of the simulated engines, weight store, network and log. They describe an
// ordinary engine and are the same for all policies.
const (
	decodeStepBase        = 14 * time.Millisecond  // fixed time of a step of an engine
	decodeStepPerSequence = 300 * time.Microsecond // added for each sequence that decodes a token in the step
	prefillPerToken       = 40 * time.Microsecond  // added for each prompt token prefilled in the step
	prefillTokensPerStep  = 1024                   // maximum in one step, for all sequences together
	weightBytesPerSecond  = 10e9                   // of one model load without contention
	adapterLoadTime       = 5 * time.Millisecond   // without contention
	modelLoadBurst        = 4                      // model loads that may start at once after an idle period
	networkDelay          = 500 * time.Microsecond // between two processes, one way
	logLatency            = 5 * time.Millisecond   // from an append to its acknowledgement
	instanceListDelay     = 30 * time.Second       // until the list of instances shows a failure or a restart
	tokensPerChunk        = 4                      // tokens in one chunk of a response, except the first and the last
	entryCount            = 3                      // processes that accept requests of callers
	restartDelay          = 60 * time.Second       // until a failed runner is back, with no models resident
	warmUpTime            = 5 * time.Second        // simulated time before the first request
	drainTime             = 40 * time.Second       // simulated time after the last request
)
