package driver

import "runtime/debug"

// heapFraction is the fraction of a process's memory that the soft limit of the garbage
// collector allows; the rest is left for stacks, sockets and peaks.
const heapFraction = 0.6

// setMemoryLimit sets the soft memory limit for a process that may use so many MiB. The
// platform kills a process that exceeds its memory, so the garbage collector has to run
// more often before that.
func setMemoryLimit(megabytes float64) {
	debug.SetMemoryLimit(int64(megabytes * heapFraction * (1 << 20)))
}
