package reducer

import (
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
)

// responseMessage is one part of a response. Exactly one of head, chunk and end is
// set.
type responseMessage struct {
	seq   uint64 // position in the response of an attempt, from 0
	head  *linkpb.Head
	chunk *linkpb.Chunk
	end   *linkpb.End
}

// endAttempt finishes an attempt and delivers the last message of its response.
func (a *Agent) endAttempt(t *attempt, end *linkpb.End) {
	t.state = stateDone
	a.queue.Remove(string(t.id))
	a.deliver(t, responseMessage{end: end})
}

// deliver numbers a message, keeps it until the entry acknowledges it, and sends it
// if the entry has not been given up.
func (a *Agent) deliver(t *attempt, m responseMessage) {
	m.seq = t.nextSeq
	t.nextSeq++
	t.unacked = append(t.unacked, m)
	if t.link != nil {
		a.sendMessage(t, t.link, m)
	}
}

func (a *Agent) sendMessage(t *attempt, l *entryLink, m responseMessage) {
	l.lastSent = a.now
	switch {
	case m.head != nil:
		a.sendToEntry(t.entry, l, &linkpb.Down{Kind: &linkpb.Down_Head{Head: &linkpb.Head{
			Attempt: string(t.id), Status: m.head.Status, Headers: m.head.Headers, Load: a.loadSummary(),
		}}})
	case m.chunk != nil:
		a.sendToEntry(t.entry, l, &linkpb.Down{Kind: &linkpb.Down_Chunk{Chunk: &linkpb.Chunk{
			Attempt: string(t.id), Seq: m.seq, Data: m.chunk.Data, Text: m.chunk.Text, Tokens: m.chunk.Tokens,
		}}})
	default:
		a.sendToEntry(t.entry, l, &linkpb.Down{Kind: &linkpb.Down_End{End: &linkpb.End{
			Attempt: string(t.id), Seq: m.seq, Error: m.end.Error, Ran: m.end.Ran, RetryMs: m.end.RetryMs, Holder: m.end.Holder, Load: a.loadSummary(),
		}}})
	}
}

func (a *Agent) handleResponseStarted(ev ResponseStarted) {
	t := a.attempts[ev.Attempt]
	if t == nil || t.state != stateForwarded {
		return
	}
	m := responseMessage{head: &linkpb.Head{Status: int32(ev.Status), Headers: ev.Headers}}
	a.cacheMessage(t, m)
	a.deliver(t, m)
}

func (a *Agent) handleResponseChunk(ev ResponseChunk) {
	t := a.attempts[ev.Attempt]
	if t == nil || t.state != stateForwarded {
		return
	}
	m := responseMessage{chunk: &linkpb.Chunk{Data: ev.Data, Text: ev.Text, Tokens: uint32(ev.Tokens)}}
	a.cacheMessage(t, m)
	a.deliver(t, m)
}

// handleResponseFinished frees the attempt's slot, delivers the end of the response
// and forwards waiting attempts.
func (a *Agent) handleResponseFinished(ev ResponseFinished) {
	t := a.attempts[ev.Attempt]
	if t == nil || t.state != stateForwarded {
		return
	}
	a.active--
	a.engine.addRunning(t, -1)
	a.updateServiceTime(a.now - t.forwardedAt)
	end := &linkpb.End{Error: string(ev.Kind), Ran: string(ev.Ran)}
	switch {
	case ev.Kind == classifier.None:
		a.Counters.Completed++
	case ev.Ran == classifier.RanNo:
		a.Counters.NotRun++
	default:
		a.Counters.Unknown++
	}
	a.finishRun(t, end, ev)
	a.endAttempt(t, end)
	if t.link == nil {
		a.removeAttempt(t)
	}
	a.forwardQueued()
}

// handleAck drops the messages below next and lets the upstream send as many body
// bytes as they had.
func (a *Agent) handleAck(id AttemptID, next uint64) {
	t := a.attempts[id]
	if t == nil || next <= t.ackedBelow || next > t.nextSeq {
		return
	}
	t.ackedBelow = next
	freedBytes := 0
	for len(t.unacked) > 0 && t.unacked[0].seq < next {
		if t.unacked[0].chunk != nil {
			freedBytes += len(t.unacked[0].chunk.Data)
		}
		t.unacked = t.unacked[1:]
	}
	if t.state == stateDone && len(t.unacked) == 0 {
		a.removeAttempt(t)
		return
	}
	if freedBytes > 0 && t.state == stateForwarded {
		a.emit(Credit{id, freedBytes})
	}
}

// handleResume sends the messages from next on over a new connection. An unknown
// attempt is answered as lost: it can't arrive later, because messages of the
// entry's older connections are ignored.
func (a *Agent) handleResume(entry EntryID, l *entryLink, id AttemptID, next uint64) {
	t := a.attempts[id]
	if t == nil {
		a.sendToEntry(entry, l, &linkpb.Down{Kind: &linkpb.Down_End{End: &linkpb.End{
			Attempt: string(id), Seq: next, Error: string(classifier.Lost), Ran: string(l.ranOfUnknownAttempt(next)),
		}}})
		return
	}
	for _, m := range t.unacked {
		if m.seq >= next {
			a.sendMessage(t, l, m)
		}
	}
}

// ranOfUnknownAttempt returns whether an attempt that the agent does not know may
// have run. It may have if the entry has received a part of the response, or if
// attempts of the entry were dropped while it was unreachable.
func (l *entryLink) ranOfUnknownAttempt(next uint64) classifier.Ran {
	if next > 0 || l.attemptsDropped {
		return classifier.RanUnknown
	}
	return classifier.RanNo
}
