package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

// eventBound is the most bytes that one event may have.
const eventBound = 1 << 20

var eventEnd = []byte("\n\n")

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relayEvents passes the whole events of a stream on as they come.
func (g *Gateway) relayEvents(ctx context.Context, a *answer, out *outgoing, e dispatcher.Send, stall *stall) (dispatcher.Outcome, string) {
	buf := make([]byte, 0, readBuffer)
	chunk := make([]byte, readBuffer)
	for {
		n, err := a.response.Body.Read(chunk)
		if n > 0 {
			stall.progress()
		}
		buf = append(buf, chunk[:n]...)
		if end := bytes.LastIndex(buf, eventEnd); n > 0 && end >= 0 {
			end += len(eventEnd)
			fresh, serr := out.sift(buf[:end])
			if serr != nil {
				a.conn.abort()
				return outcomeOf(ctx, out), serr.Error()
			}
			if len(fresh) > 0 {
				first := !out.started
				if werr := out.push(a.response, fresh); werr != nil {
					a.conn.abort()
					return dispatcher.CallerClosed, werr.Error()
				}
				if first {
					g.cfg.Dispatcher.Reduce(dispatcher.AnswerBegan{ID: e.ID, Try: e.Try})
				}
			}
			buf = append(buf[:0], buf[end:]...)
		}
		if errors.Is(err, io.EOF) {
			return g.endEvents(ctx, a, out, buf)
		}
		if err == nil && len(buf) > eventBound {
			err = errors.New("an event is too long")
		}
		if err != nil {
			a.conn.abort()
			return outcomeOf(ctx, out), err.Error()
		}
	}
}

// endEvents completes a stream whose upstream has ended it.
func (g *Gateway) endEvents(ctx context.Context, a *answer, out *outgoing, rest []byte) (dispatcher.Outcome, string) {
	if len(rest) > 0 {
		a.conn.abort()
		return outcomeOf(ctx, out), "the stream ended amid an event"
	}
	a.release(g.pool)
	if !out.started {
		if err := out.whole(a.response.StatusCode, a.response.Header, nil); err != nil {
			return dispatcher.CallerClosed, err.Error()
		}
	}
	return dispatcher.Completed, ""
}

// sift drops events that the caller has already and returns the others. It
// fails when an event is missing between.
func (o *outgoing) sift(events []byte) ([]byte, error) {
	fresh := events[:0:0]
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		event := events[:end]
		events = events[end:]
		id, ok := eventID(event)
		if !ok {
			fresh = append(fresh, event...)
			continue
		}
		if id <= o.last {
			continue
		}
		if o.last >= 0 && id != o.last+1 {
			return nil, errors.New("event " + strconv.FormatInt(id, 10) + " follows " + strconv.FormatInt(o.last, 10))
		}
		o.last = id
		fresh = append(fresh, event...)
	}
	return fresh, nil
}

// eventID reads the id field of an event.
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
