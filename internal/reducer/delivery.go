package reducer

import (
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
)

// responseMessage is one numbered part of an answer: a head, a chunk or an end.
type responseMessage struct {
	seq   uint64
	head  *linkpb.Head
	chunk *linkpb.Chunk
	end   *linkpb.End
}

// endAttempt adds the last message of an attempt.
func (a *Agent) endAttempt(t *attempt, end *linkpb.End) {
	t.state = stateDone
	a.queue.Remove(string(t.id))
	a.deliver(t, responseMessage{end: end})
}

// deliver numbers a message, keeps it until it is acknowledged and sends it.
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

// handleResponseFinished handles the end of the upstream's answer.
func (a *Agent) handleResponseFinished(ev ResponseFinished) {
	t := a.attempts[ev.Attempt]
	if t == nil || t.state != stateForwarded {
		return
	}
	a.active--
	a.engine.addRunning(t, -1)
	a.updateServiceTime(a.now - t.startedAt)
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

// handleAck drops the messages below next.
func (a *Agent) handleAck(id AttemptID, next uint64) {
	t := a.attempts[id]
	if t == nil || next <= t.ackedBelow || next > t.nextSeq {
		return
	}
	t.ackedBelow = next
	freed := 0
	for len(t.unacked) > 0 && t.unacked[0].seq < next {
		if t.unacked[0].chunk != nil {
			freed += len(t.unacked[0].chunk.Data)
		}
		t.unacked = t.unacked[1:]
	}
	if t.state == stateDone && len(t.unacked) == 0 {
		a.removeAttempt(t)
		return
	}
	if freed > 0 && t.state == stateForwarded {
		a.emit(Credit{id, freed})
	}
}

// handleResume sends the messages from next on over a new connection. An attempt
// that never arrived can't arrive later: its connection is not listened to.
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

// ranOfUnknownAttempt tells whether an unknown attempt may have run: it has when its answer
// was partly delivered, and may have when the entry was out of reach for so
// long that its attempts were forgotten.
func (l *entryLink) ranOfUnknownAttempt(next uint64) classifier.Ran {
	if next > 0 || l.attemptsDropped {
		return classifier.RanUnknown
	}
	return classifier.RanNo
}
