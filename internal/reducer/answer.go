package reducer

import (
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// handleEnd handles the End message of the current attempt.
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
		r.tries--
		e.dispatch(r)
		return
	}
	r.lastRefusal = kind
	r.avoid = p.upstream.Name
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
		e.dispatch(r) // another copy may be in time
	default:
		e.fail(r, kind, classifier.RanNo)
	}
}

func (e *Entry) handleAmbiguousEnd(r *request, kind classifier.Kind) {
	if kind == classifier.Lost || kind == classifier.Broken {
		r.peer.eject(e.now)
		r.avoid = r.peer.upstream.Name
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

// handleBodyConsumed lets the agent send more once the caller has taken chunks.
func (e *Entry) handleBodyConsumed(ev BodyConsumed) {
	r := e.requests[ev.ID]
	if r == nil || r.attemptID == "" || ev.Next <= r.chunkBase || r.buffersResponse() {
		return
	}
	e.ack(r, ev.Next-r.chunkBase+1)
}

func (e *Entry) ack(r *request, next uint64) {
	if r.peer == nil || r.peer.state != linkUp {
		return
	}
	e.emit(SendToAgent{r.peer.upstream.Name, r.peer.epoch, &linkpb.Up{Kind: &linkpb.Up_Ack{Ack: &linkpb.Ack{Attempt: string(r.attemptID), Next: next}}}})
}
