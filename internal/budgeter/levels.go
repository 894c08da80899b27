package budgeter

import (
	"math"
	"time"
)

// Limits of what levels remember and conclude.
const (
	levelWindow     = 2 * time.Second // that one generation covers; bursts that fill upstreams take as long
	levelsPerOctave = 16
	levelCount      = 16 * levelsPerOctave
	answersPerCrash = 10 // under as many bytes, above which a crash has another cause
)

// levels counts the answers and crashes of upstreams by the bytes that they held, over two
// generations.
type levels struct {
	current, previous *generation
}

// generation holds counts by level.
type generation struct {
	since            time.Duration
	answers, crashes [levelCount]int
}

// levelOf returns the level of a number of bytes; it is zero up to MinSuspectBytes.
func levelOf(held Bytes) int {
	octaves := math.Log2(float64(max(held, MinSuspectBytes)) / float64(MinSuspectBytes))
	return min(int(octaves*levelsPerOctave), levelCount-1)
}

func (l *levels) answer(now time.Duration, held Bytes) {
	l.advance(now)
	l.current.answers[levelOf(held)]++
}

func (l *levels) crash(now time.Duration, held Bytes) {
	l.advance(now)
	l.current.crashes[levelOf(held)]++
}

// usual reports whether upstreams that held as many bytes have answered so often lately that
// these are not what crashed one.
func (l *levels) usual(now time.Duration, held Bytes) bool {
	l.advance(now)
	answers, crashes := 0, 0
	for _, g := range []*generation{l.current, l.previous} {
		for i := levelOf(held); g != nil && i < levelCount; i++ {
			answers += g.answers[i]
			crashes += g.crashes[i]
		}
	}
	return answers >= answersPerCrash*max(1, crashes)
}

// advance begins a new generation when the current one is over.
func (l *levels) advance(now time.Duration) {
	switch {
	case l.current == nil || now-l.current.since >= 2*levelWindow:
		l.current, l.previous = &generation{since: now}, nil
	case now-l.current.since >= levelWindow:
		l.current, l.previous = &generation{since: l.current.since + levelWindow}, l.current
	}
}
