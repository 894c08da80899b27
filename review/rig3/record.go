package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{w: bufio.NewWriter(f), file: f, start: time.Now()}, nil
}

// now returns the time since the start.
func (r *record) now() time.Duration { return time.Since(r.start) }

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%9.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.w, format+"\n", args...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

// nth returns the n-th of some times in their order, from 1 on.
func nth(times []time.Duration, n int) time.Duration {
	return slices.Sorted(slices.Values(times))[n-1]
}
