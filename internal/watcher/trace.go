package watcher

import "context"

// Trace is told what comes of the response to a call.
type Trace struct {
	OnProgress func()          // with each part; may be nil
	OnPending  func(end int64) // with each part of a response that has records which were not read before, before end; may be nil
}

// Progress is called by a Store with what has come of the body after each part.
func (t *Trace) Progress([]byte) {
	if t.OnProgress != nil {
		t.OnProgress()
	}
}

// Pending is called by a Store when the response has records from the requested offset on; end
// is the end of the topic.
func (t *Trace) Pending(end int64) {
	if t.OnPending != nil {
		t.OnPending(end)
	}
}

type traceKey struct{}

// WithTrace returns a context whose calls of a Store tell t.
func WithTrace(ctx context.Context, t *Trace) context.Context {
	return context.WithValue(ctx, traceKey{}, t)
}

// TraceOf returns the trace of a context, or one that ignores everything.
func TraceOf(ctx context.Context) *Trace {
	if t, ok := ctx.Value(traceKey{}).(*Trace); ok {
		return t
	}
	return &Trace{}
}
