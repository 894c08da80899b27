package reducer

import (
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// ended handles the End message of the current attempt.
func (e *Entry) ended(r *request, end *linkpb.End) {
	p := r.peer
	e.ack(r, end.Seq+1)
	kind := classifier.Kind(end.Error)
	if kind == classifier.None {
		e.finish(r)
		return
	}
	if end.Holder != "" && !r.asked {
		r.asked = true
		r.ask = configurator.UpstreamName(end.Holder)
		e.detach(r)
		e.dispatch(r)
		return
	}
	if classifier.Ran(end.Ran) != classifier.RanNo {
		e.endedUnknown(r, kind)
		return
	}
	e.detach(r)
	if kind == classifier.Cancelled && r.moving {
		r.tries--
		e.dispatch(r)
		return
	}
	r.lastKind = kind
	r.avoid = p.upstream.Name
	switch kind {
	case classifier.Leaving:
		p.leaving = true
		r.tries--
		e.dispatch(r)
	case classifier.Lost:
		p.fail(e.now)
		e.retry(r, kind)
	case classifier.Busy, classifier.Loading, classifier.Missing:
		if r.Early && kind != classifier.Missing && r.tries > 1 {
			e.fail(r, kind, classifier.RanNo)
			return
		}
		e.hold(r)
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

func (e *Entry) endedUnknown(r *request, kind classifier.Kind) {
	if kind == classifier.Lost || kind == classifier.Broken {
		r.peer.fail(e.now)
		r.avoid = r.peer.upstream.Name
		e.detach(r)
		r.ambiguous = true
		if (r.Repeatable || e.cfg.Hooks.RepeatAlways) && e.resumable(r) {
			e.retry(r, kind)
			return
		}
		kind = r.unfinished(kind)
	}
	e.fail(r, kind, classifier.RanUnknown)
}

func (e *Entry) reply(r *request, head *linkpb.Head) {
	r.replied = true
	e.emit(Reply{r.ID, int(head.Status), head.Headers})
}

func (e *Entry) push(r *request, data []byte) {
	r.pushed++
	e.emit(Push{r.ID, r.pushed, data})
}

func (e *Entry) headed(r *request, head *linkpb.Head) {
	r.next = 1
	if r.wholesale() {
		r.head = head
		return
	}
	if !r.replied {
		e.reply(r, head)
		return
	}
	if head.Status >= 300 {
		e.fail(r, classifier.Broken, classifier.RanUnknown)
	}
}

func (e *Entry) chunked(r *request, c *linkpb.Chunk) {
	r.next++
	if r.wholesale() {
		r.held = append(r.held, c.Data...)
		if len(r.held) > heldBound {
			e.fail(r, classifier.Broken, classifier.RanUnknown)
			return
		}
		e.ack(r, r.next)
		return
	}
	r.tokens += c.Tokens
	if c.Text != "" {
		r.text = append(r.text, c.Text...)
	}
	e.push(r, c.Data)
}

// consumed lets the agent send more once the caller has taken chunks.
func (e *Entry) consumed(ev Consumed) {
	r := e.requests[ev.ID]
	if r == nil || r.attempt == "" || ev.Next <= r.base || r.wholesale() {
		return
	}
	e.ack(r, ev.Next-r.base+1)
}

func (e *Entry) ack(r *request, next uint64) {
	if r.peer == nil || r.peer.state != linkUp {
		return
	}
	e.emit(SendUp{r.peer.upstream.Name, r.peer.epoch, &linkpb.Up{Kind: &linkpb.Up_Ack{Ack: &linkpb.Ack{Attempt: string(r.attempt), Next: next}}}})
}
