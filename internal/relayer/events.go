package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

// maxEventSize is the size limit of an event of an upstream, in bytes.
const maxEventSize = 1 << 20

var (
	eventTerminator = []byte("\n\n")
	errNotContinued = errors.New("stream is continued by an event without an id")
	errEventSize    = errors.New("event exceeds the size limit")
)

// isEventStream reports whether h belongs to a stream of server-sent events.
func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// relayEvents forwards the events of a stream as soon as each is complete. It
// returns the outcome of the send and the cause for the log.
func (g *Gateway) relayEvents(ctx context.Context, up *upstreamResponse, out *callerResponse, e dispatcher.Send, stall *stallTimer) (dispatcher.Outcome, string) {
	out.hold()
	small := make([]byte, 0, readBufferSize) // part of the size of a request; larger buffers are taken
	buf := small
	began, resumed := false, out.headerWritten
	out.continuing = resumed
	for {
		if len(buf) == cap(buf) {
			var err error
			if buf, err = up.growEvents(buf); err != nil {
				up.conn.abort()
				return connFailureOutcome(ctx, out), err.Error()
			}
		}
		n, err := up.response.Body.Read(buf[len(buf):cap(buf)])
		searched := max(0, len(buf)-len(eventTerminator)+1) // no event ends before
		buf = buf[:len(buf)+n]
		if end := bytes.LastIndex(buf[searched:], eventTerminator); n > 0 && end >= 0 {
			end += searched + len(eventTerminator)
			undelivered, gapErr := out.dropDelivered(buf[:end])
			if gapErr != nil {
				up.conn.abort()
				return connFailureOutcome(ctx, out), gapErr.Error()
			}
			if len(undelivered) > 0 {
				if writeErr := up.taken.deliver(func() error { return out.writeEvents(up.response, undelivered) }); writeErr != nil {
					up.conn.abort()
					return dispatcher.CallerClosed, writeErr.Error()
				}
				stall.reset()
				if !began {
					began = true
					g.cfg.Dispatcher.Reduce(dispatcher.AnswerBegan{ID: e.ID, Try: e.Try, Resumed: resumed})
				}
			}
			if rest := buf[end:]; cap(buf) > readBufferSize && len(rest) < readBufferSize {
				taken := cap(buf)
				buf = append(small[:0], rest...)
				up.taken.give(taken)
			} else {
				buf = append(buf[:0], rest...)
			}
		}
		if errors.Is(err, io.EOF) {
			return g.finishEvents(ctx, up, out, buf)
		}
		if err == nil && len(buf) > maxEventSize {
			err = errEventSize
		}
		if err != nil {
			up.conn.abort()
			return connFailureOutcome(ctx, out), up.taken.cause(err).Error()
		}
	}
}

// growEvents returns a larger buffer for an event. The first one is not taken. Without room, the
// stream waits at its upstream.
func (up *upstreamResponse) growEvents(buf []byte) ([]byte, error) {
	take := func(n int) error {
		return up.taken.takeWhile(n, func() bool { return !up.conn.closed.Load() && time.Now().Before(up.deadline) })
	}
	size := min(2*cap(buf), maxEventSize+readBufferSize)
	if cap(buf) > readBufferSize {
		return up.taken.grow(buf, size, take)
	}
	if err := take(size); err != nil {
		return buf, err
	}
	return append(make([]byte, 0, size), buf...), nil
}

// finishEvents handles the end of an upstream's stream; partial is what follows
// the last complete event.
func (g *Gateway) finishEvents(ctx context.Context, up *upstreamResponse, out *callerResponse, partial []byte) (dispatcher.Outcome, string) {
	if len(partial) > 0 {
		up.conn.abort()
		return connFailureOutcome(ctx, out), "stream ended within an event"
	}
	up.release(g.pool)
	if !out.headerWritten {
		if err := out.writeResponse(up.response.StatusCode, up.response.Header, nil); err != nil {
			return dispatcher.CallerClosed, err.Error()
		}
	}
	return dispatcher.Completed, ""
}

// dropDelivered returns the events without those that the caller has received
// already, in the same memory. It returns an error if the ids skip an event, or if a stream is continued by
// an event without an id. Later ones without an id are always returned.
func (out *callerResponse) dropDelivered(events []byte) ([]byte, error) {
	undelivered := events[:0]
	for len(events) > 0 {
		end := bytes.Index(events, eventTerminator) + len(eventTerminator)
		event := events[:end]
		events = events[end:]
		id, ok := eventID(event)
		if !ok && out.continuing {
			if isComment(event) {
				continue
			}
			return nil, errNotContinued
		}
		if !ok {
			undelivered = append(undelivered, event...)
			continue
		}
		out.continuing = false
		if id <= out.lastEventID {
			continue
		}
		if out.lastEventID >= 0 && id != out.lastEventID+1 {
			return nil, errors.New("gap in event ids: " + strconv.FormatInt(id, 10) + " follows " + strconv.FormatInt(out.lastEventID, 10))
		}
		out.lastEventID = id
		undelivered = append(undelivered, event...)
	}
	return undelivered, nil
}

// isComment reports whether all lines of an event are comments.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(bytes.TrimSuffix(event, eventTerminator), []byte("\n")) {
		if !bytes.HasPrefix(line, []byte(":")) {
			return false
		}
	}
	return true
}

// eventID returns the id field of an event, and false if the event has none or it is
// not a number.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
