package driver

import "runtime/debug"

// heapShare is the part of a process's memory that the garbage collector keeps
// to; the rest is for stacks, sockets and peaks.
const heapShare = 0.6

// limitMemory makes the garbage collector work harder near the limit of the
// process, beyond which the platform kills it.
func limitMemory(megabytes float64) {
	debug.SetMemoryLimit(int64(megabytes * heapShare * (1 << 20)))
}
