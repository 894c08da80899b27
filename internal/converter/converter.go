// Package converter turns numbers that other processes send into values that one can calculate
// with. What Go makes of a number beyond the range of its type depends on the processor.
//
// Usage:
//
//	wait := converter.Seconds(tokens / rate)
package converter

import (
	"math"
	"time"
)

// MaxTime is the longest time that Seconds returns; sums of a few don't overflow.
const MaxTime = 1 << 60 * time.Nanosecond

// Seconds returns a number of seconds as a time between -MaxTime and MaxTime, and MaxTime if it
// is not a number.
func Seconds(s float64) time.Duration {
	ns := s * float64(time.Second)
	switch {
	case ns <= -float64(MaxTime):
		return -MaxTime
	case ns < float64(MaxTime):
		return time.Duration(ns)
	}
	return MaxTime
}

// Amount reports whether x is a finite number that is not negative.
func Amount(x float64) bool {
	return x >= 0 && !math.IsInf(x, 1)
}
