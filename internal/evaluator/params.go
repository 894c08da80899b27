// Package evaluator measures policies on a virtual clock: attainment per
// accelerator, and moves, under changing demand and failures.
//
// Usage:
//
//	s := evaluator.Scenarios()[0]
//	trace := evaluator.NewTrace(cfg, s, seed)
//	result := evaluator.Run(evaluator.Egretwall, cfg, s, trace, seed)
//
// Egretwall's column runs the real reducers of entries and agents. The same
// trace and seed give the same result, bit for bit.
package evaluator

import "time"

// Costs of the stand-ins. They describe an ordinary engine and are the same
// for all policies.
const (
	stepBase     = 14 * time.Millisecond  // one decoding step of an engine
	stepSequence = 300 * time.Microsecond // added for each running sequence
	stepPrefill  = 40 * time.Microsecond  // added for each prompt token in the step
	prefillChunk = 1024                   // prompt tokens in one step
	weightSpeed  = 10e9                   // bytes a second of one model load at full speed
	adapterLoad  = 5 * time.Millisecond   // adapter load at full speed
	storeBurst   = 4                      // model loads that may start at once after a pause
	network      = 500 * time.Microsecond // between two processes, one way
	logDelay     = 5 * time.Millisecond   // append and read
	listLag      = 30 * time.Second       // until the list shows a death
	tokensPart   = 4                      // tokens in one part of a stream
	entries      = 3                      // processes that callers connect to
	restartAfter = 60 * time.Second       // a dead runner comes back, empty
	warmUp       = 5 * time.Second        // before the first request
	drain        = 40 * time.Second       // after the last request
)
