package reducer

import (
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
)

// message is one numbered part of an answer: a head, a chunk or an end.
type message struct {
	seq  uint64
	head *linkpb.Head
	body *linkpb.Chunk
	end  *linkpb.End
}

// end adds the last message of an attempt.
func (a *Agent) end(t *attempt, end *linkpb.End) {
	t.state = stateDone
	a.queue.Remove(string(t.id))
	a.add(t, message{end: end})
}

// add numbers a message, keeps it until it is acknowledged and sends it.
func (a *Agent) add(t *attempt, m message) {
	m.seq = t.next
	t.next++
	t.tail = append(t.tail, m)
	if t.link != nil {
		a.sendMessage(t, t.link, m)
	}
}

func (a *Agent) sendMessage(t *attempt, l *entryLink, m message) {
	l.sent = a.now
	switch {
	case m.head != nil:
		a.send(t.entry, l, &linkpb.Down{Kind: &linkpb.Down_Head{Head: &linkpb.Head{
			Attempt: string(t.id), Status: m.head.Status, Headers: m.head.Headers, Load: a.work(),
		}}})
	case m.body != nil:
		a.send(t.entry, l, &linkpb.Down{Kind: &linkpb.Down_Chunk{Chunk: &linkpb.Chunk{
			Attempt: string(t.id), Seq: m.seq, Data: m.body.Data, Text: m.body.Text, Tokens: m.body.Tokens,
		}}})
	default:
		a.send(t.entry, l, &linkpb.Down{Kind: &linkpb.Down_End{End: &linkpb.End{
			Attempt: string(t.id), Seq: m.seq, Error: m.end.Error, Ran: m.end.Ran, RetryMs: m.end.RetryMs, Holder: m.end.Holder, Load: a.work(),
		}}})
	}
}

func (a *Agent) began(ev Began) {
	t := a.attempts[ev.Attempt]
	if t == nil || t.state != statePassed {
		return
	}
	m := message{head: &linkpb.Head{Status: int32(ev.Status), Headers: ev.Headers}}
	a.record(t, m)
	a.add(t, m)
}

func (a *Agent) piece(ev Piece) {
	t := a.attempts[ev.Attempt]
	if t == nil || t.state != statePassed {
		return
	}
	m := message{body: &linkpb.Chunk{Data: ev.Data, Text: ev.Text, Tokens: uint32(ev.Tokens)}}
	a.record(t, m)
	a.add(t, m)
}

// finished handles the end of the upstream's answer.
func (a *Agent) finished(ev Finished) {
	t := a.attempts[ev.Attempt]
	if t == nil || t.state != statePassed {
		return
	}
	a.active--
	a.balance.pin(t, -1)
	a.smooth(a.now - t.started)
	end := &linkpb.End{Error: string(ev.Kind), Ran: string(ev.Ran)}
	switch {
	case ev.Kind == classifier.None:
		a.Counters.Whole++
	case ev.Ran == classifier.RanNo:
		a.Counters.NotRun++
	default:
		a.Counters.Unknown++
	}
	a.finishRun(t, end, ev)
	a.end(t, end)
	if t.link == nil {
		a.forget(t)
	}
	a.pump()
}

// acked drops the messages below next.
func (a *Agent) acked(id AttemptID, next uint64) {
	t := a.attempts[id]
	if t == nil || next <= t.acked || next > t.next {
		return
	}
	t.acked = next
	freed := 0
	for len(t.tail) > 0 && t.tail[0].seq < next {
		if t.tail[0].body != nil {
			freed += len(t.tail[0].body.Data)
		}
		t.tail = t.tail[1:]
	}
	if t.state == stateDone && len(t.tail) == 0 {
		a.forget(t)
		return
	}
	if freed > 0 && t.state == statePassed {
		a.emit(Credit{id, freed})
	}
}

// resume sends the messages from next on over a new connection. An attempt
// that never arrived can't arrive later: its connection is not listened to.
func (a *Agent) resume(entry EntryID, l *entryLink, id AttemptID, next uint64) {
	t := a.attempts[id]
	if t == nil {
		a.send(entry, l, &linkpb.Down{Kind: &linkpb.Down_End{End: &linkpb.End{
			Attempt: string(id), Seq: next, Error: string(classifier.Lost), Ran: string(l.unseen(next)),
		}}})
		return
	}
	for _, m := range t.tail {
		if m.seq >= next {
			a.sendMessage(t, l, m)
		}
	}
}

// unseen tells whether an unknown attempt may have run: it has when its answer
// was partly delivered, and may have when the entry was out of reach for so
// long that its attempts were forgotten.
func (l *entryLink) unseen(next uint64) classifier.Ran {
	if next > 0 || l.swept {
		return classifier.RanUnknown
	}
	return classifier.RanNo
}
