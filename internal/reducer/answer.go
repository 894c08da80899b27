package reducer

import (
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// handleEnd acknowledges the End message of the current attempt and completes,
// redirects, retries or fails its request.
func (e *Entry) handleEnd(r *request, end *linkpb.End) {
	p := r.peer
	e.ack(r, end.Seq+1)
	kind := classifier.Kind(end.Error)
	if kind == classifier.None {
		e.complete(r)
		return
	}
	if end.Holder != "" && !r.sentToHolder {
		r.sentToHolder = true
		r.claimHolder = configurator.UpstreamName(end.Holder)
		e.detach(r)
		e.dispatch(r)
		return
	}
	if classifier.Ran(end.Ran) != classifier.RanNo {
		e.handleAmbiguousEnd(r, kind)
		return
	}
	e.detach(r)
	if kind == classifier.Cancelled && r.recalling {
		r.tries-- // recalled by this entry, so it does not count towards the limit
		e.dispatch(r)
		return
	}
	r.lastRefusal = kind
	r.avoidUpstream = p.upstream.Name
	switch kind {
	case classifier.Leaving:
		p.leaving = true
		r.tries--
		e.dispatch(r)
	case classifier.Lost:
		p.eject(e.now)
		e.retry(r, kind)
	case classifier.Busy, classifier.Loading, classifier.Missing:
		if r.FailFast && kind != classifier.Missing && r.tries > 1 {
			e.fail(r, kind, classifier.RanNo)
			return
		}
		e.backOff(r)
	case classifier.Late:
		if r.tries > 1 || e.now >= r.deadline-deadlineSlack {
			e.fail(r, kind, classifier.RanNo)
			return
		}
		e.dispatch(r) // another runner may meet the deadline
	default:
		e.fail(r, kind, classifier.RanNo)
	}
}

// handleAmbiguousEnd handles the end of an attempt that may have run. The request
// is retried only if it is repeatable, the upstream or its response was lost, and
// another attempt can complete what the caller has received.
func (e *Entry) handleAmbiguousEnd(r *request, kind classifier.Kind) {
	if kind == classifier.Lost || kind == classifier.Broken {
		r.peer.eject(e.now)
		r.avoidUpstream = r.peer.upstream.Name
		e.detach(r)
		r.mayHaveRun = true
		if (r.Repeatable || e.cfg.Hooks.RetryNonRepeatable) && e.resumable(r) {
			e.retry(r, kind)
			return
		}
		kind = r.failureKind(kind)
	}
	e.fail(r, kind, classifier.RanUnknown)
}

func (e *Entry) writeHeader(r *request, head *linkpb.Head) {
	r.headerSent = true
	e.emit(WriteHeader{r.ID, int(head.Status), head.Headers})
}

func (e *Entry) writeBody(r *request, data []byte) {
	r.chunksSent++
	e.emit(WriteBody{r.ID, r.chunksSent, data})
}

// handleHead passes the status and headers on, or keeps them while the response
// is buffered. The caller has its headers already when an attempt continues a
// stream; an error status then ends the response.
func (e *Entry) handleHead(r *request, head *linkpb.Head) {
	r.nextSeq = 1
	if r.buffersResponse() {
		r.bufferedHead = head
		return
	}
	if !r.headerSent {
		e.writeHeader(r, head)
		return
	}
	if head.Status >= 300 {
		e.fail(r, classifier.Broken, classifier.RanUnknown)
	}
}

// handleChunk passes a chunk on, or buffers and acknowledges it.
func (e *Entry) handleChunk(r *request, c *linkpb.Chunk) {
	r.nextSeq++
	if r.buffersResponse() {
		r.bufferedBody = append(r.bufferedBody, c.Data...)
		if len(r.bufferedBody) > maxBufferedBytes {
			e.fail(r, classifier.Broken, classifier.RanUnknown)
			return
		}
		e.ack(r, r.nextSeq)
		return
	}
	r.tokensSent += c.Tokens
	if c.Text != "" {
		r.textSent = append(r.textSent, c.Text...)
	}
	e.writeBody(r, c.Data)
}

// handleBodyConsumed acknowledges the chunks that the caller has taken, so that
// the agent can send more. The head is message 0 of an attempt and the first
// chunk message 1.
func (e *Entry) handleBodyConsumed(ev BodyConsumed) {
	r := e.requests[ev.ID]
	if r == nil || r.attemptID == "" || ev.Next <= r.chunkBase || r.buffersResponse() {
		return
	}
	e.ack(r, ev.Next-r.chunkBase+1)
}

// ack acknowledges the messages below next of the current attempt. Nothing is
// sent while the connection is down.
func (e *Entry) ack(r *request, next uint64) {
	if r.peer == nil || r.peer.state != linkUp {
		return
	}
	e.emit(SendToAgent{r.peer.upstream.Name, r.peer.epoch, &linkpb.Up{Kind: &linkpb.Up_Ack{Ack: &linkpb.Ack{Attempt: string(r.attemptID), Next: next}}}})
}
