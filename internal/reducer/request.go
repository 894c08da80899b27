package reducer

import (
	"fmt"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/router"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// request is an open request of a caller at an entry.
type request struct {
	Request
	deadline  time.Duration
	notBefore time.Duration // while waiting without an attempt
	pause     time.Duration
	tries     int // attempts that count towards the limit
	serial    int // attempts, for their ids
	closed    bool

	attempt   AttemptID // the current attempt, empty without one
	peer      *peer     // where the current attempt runs
	target    *peer     // waits for a connection to it
	next      uint64    // number of the next message of the attempt
	ambiguous bool      // an earlier attempt may have run
	avoid     configurator.UpstreamName
	ask       configurator.UpstreamName // holder of the key's claim
	asked     bool
	moving    bool            // called back from a queue
	lastKind  classifier.Kind // why the last attempt did not run

	replied bool
	pushed  uint64 // parts given to the caller
	base    uint64 // pushed when the current attempt began
	tokens  uint32 // tokens given to the caller
	text    []byte // text given to the caller
	head    *linkpb.Head
	held    []byte // answer of a request that is given as a whole
}

// wholesale tells whether the answer is kept back until it is whole, so that
// the request can be repeated when its upstream is lost.
func (r *request) wholesale() bool {
	return r.Repeatable && r.Model != "" && !r.Stream
}

func (e *Entry) arrive(req Request) {
	e.Counters.Arrived++
	r := &request{Request: req, deadline: e.now + req.Class.Whole.Duration()}
	if kind := e.refusal(r); kind != classifier.None {
		a := classifier.AnswerOf(kind)
		e.Counters.NotRun++
		e.emit(Close{req.ID, kind, classifier.RanNo, a.RetryAfter})
		return
	}
	e.requests[req.ID] = r
	e.callers[req.Caller]++
	e.dispatch(r)
}

func (e *Entry) refusal(r *request) classifier.Kind {
	if e.draining {
		return classifier.Leaving
	}
	if e.follower.State().Version == 0 {
		return classifier.Loading
	}
	if e.requests[r.ID] != nil {
		return classifier.Conflict
	}
	if e.callers[r.Caller] >= e.limits[r.Caller] {
		return classifier.Limited
	}
	if r.Model != "" && e.bases[r.Model] == "" || r.Model == "" && len(e.groups[r.Service]) == 0 {
		return classifier.Missing
	}
	return classifier.None
}

// dispatch starts an attempt or lets the request wait for a usable upstream.
func (e *Entry) dispatch(r *request) {
	if r.closed {
		return
	}
	if e.now >= r.deadline-deadlineSlack {
		e.expire(r)
		return
	}
	if r.tries >= maxTries && r.Early {
		e.fail(r, classifier.Busy, classifier.RanNo)
		return
	}
	p := e.choose(r)
	if p == nil {
		e.hold(r)
		return
	}
	if r.Model != "" {
		e.demand(r, p)
	}
	if p.state == linkUp {
		e.submit(r, p)
		return
	}
	r.target = p
	p.pending = append(p.pending, r)
	if p.state == linkDown && e.now >= p.dialAt {
		e.dial(p)
	}
}

// hold lets a request wait for a growing pause.
func (e *Entry) hold(r *request) {
	r.pause = min(max(2*r.pause, retryPause), retryLimit)
	r.notBefore = e.now + e.router.Jitter(r.pause)
	e.waiting = append(e.waiting, r)
}

// choose returns the agent for the next attempt, and nil when none can take it.
func (e *Entry) choose(r *request) *peer {
	if r.ask != "" {
		p := e.peers[r.ask]
		r.ask = ""
		return p
	}
	if r.Key != "" {
		return e.home(r)
	}
	if r.Model == "" {
		return e.best(r, e.named(e.groups[r.Service]))
	}
	base := e.bases[r.Model]
	for _, model := range []configurator.ModelName{r.Model, base} {
		if p := e.best(r, e.holding(model, base)); p != nil {
			return p
		}
	}
	return e.first(r, placer.Rank(string(base), e.runners))
}

// holding lists the runners that hold a model, and its homes that have not said
// yet what they hold.
func (e *Entry) holding(model, base configurator.ModelName) []*peer {
	e.likely = append(e.likely[:0], e.holders[model]...)
	for _, name := range e.homes[base] {
		if p := e.peers[name]; !p.told {
			e.likely = append(e.likely, p)
		}
	}
	return e.likely
}

// home returns the first usable agent in the rendezvous order of a key.
func (e *Entry) home(r *request) *peer {
	group := e.groups[r.Service]
	if r.Model != "" {
		group = e.homes[e.bases[r.Model]]
		if len(group) == 0 {
			group = e.runners
		}
	}
	return e.first(r, placer.Rank(r.Key, group))
}

// first returns the first usable peer, and the first one that can be tried
// when the list shows none of them as live.
func (e *Entry) first(r *request, names []configurator.UpstreamName) *peer {
	var fallback *peer
	for _, name := range names {
		p := e.peers[name]
		if r.Key == "" && name == r.avoid || !p.reachable(e.now) {
			continue
		}
		if p.usable(e.now, e.roster.listed(name)) {
			return p
		}
		if fallback == nil {
			fallback = p
		}
	}
	return fallback
}

func (e *Entry) named(names []configurator.UpstreamName) []*peer {
	peers := make([]*peer, 0, len(names))
	for _, name := range names {
		peers = append(peers, e.peers[name])
	}
	return peers
}

// best picks among usable peers and avoids the one that failed last when there
// is another.
func (e *Entry) best(r *request, peers []*peer) *peer {
	usable := func(p *peer) bool { return p.usable(e.now, e.roster.listed(p.upstream.Name)) }
	reachable := func(p *peer) bool { return p.reachable(e.now) }
	other := func(p *peer) bool { return usable(p) && p.upstream.Name != r.avoid }
	for _, allowed := range []func(*peer) bool{other, usable, reachable} {
		if p := e.pick(peers, allowed); p != nil {
			return p
		}
	}
	return nil
}

func (e *Entry) pick(peers []*peer, allowed func(*peer) bool) *peer {
	e.candidates, e.picked = e.candidates[:0], e.picked[:0]
	for _, p := range peers {
		if !allowed(p) {
			continue
		}
		e.picked = append(e.picked, p)
		e.candidates = append(e.candidates, router.Candidate{
			Outstanding: len(p.open) + len(p.pending), Others: p.others, Age: e.now - p.loadAt,
			Slots: p.upstream.Slots, Near: p.upstream.Domain == e.cfg.Domain,
		})
	}
	i := e.router.Pick(e.candidates)
	if i < 0 {
		return nil
	}
	return e.picked[i]
}

func (e *Entry) submit(r *request, p *peer) {
	r.tries++
	r.serial++
	r.moving = false
	r.target = nil
	r.peer = p
	r.next = 0
	r.base = r.pushed
	r.attempt = AttemptID(fmt.Sprintf("%s.%d", r.ID, r.serial))
	if len(p.open) == 0 {
		p.busyAt = e.now
	}
	p.open[r.attempt] = r
	p.used = e.now
	e.emit(SendUp{p.upstream.Name, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Submit{Submit: &linkpb.Submit{
		Attempt: string(r.attempt), Request: string(r.ID), Caller: string(r.Caller), Model: string(r.Model), Class: string(r.Class.Name),
		BudgetMs: (r.deadline - e.now - deadlineSlack).Milliseconds(), Key: r.Key, Digest: r.digest(), Repeatable: r.Repeatable,
		Stream: r.Stream, Urgent: r.Early, Method: r.Method, Path: r.Path, Headers: r.Headers, Body: r.Body,
		Prefix: string(r.text), Tokens: r.tokens, Length: uint32(r.Length), Version: uint64(e.follower.State().Version),
	}}}})
}

// detach ends the current attempt's claim on its peer.
func (e *Entry) detach(r *request) {
	if r.peer != nil {
		delete(r.peer.open, r.attempt)
		r.peer.used = e.now
	}
	if r.target != nil {
		r.target.pending = slices.DeleteFunc(r.target.pending, func(o *request) bool { return o == r })
	}
	r.peer, r.target, r.attempt = nil, nil, ""
	r.head, r.held = nil, nil
}

// abandon detaches an attempt that may still run and has it cancelled.
func (e *Entry) abandon(r *request) {
	if r.peer == nil {
		e.detach(r)
		return
	}
	p, attempt := r.peer, r.attempt
	e.detach(r)
	if p.state == linkUp {
		e.cancel(p, attempt)
		return
	}
	p.orphans = append(p.orphans, attempt)
}

func (e *Entry) cancel(p *peer, attempt AttemptID) {
	e.emit(SendUp{p.upstream.Name, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Cancel{Cancel: &linkpb.Cancel{Attempt: string(attempt)}}}})
}

func (e *Entry) gone(id RequestID) {
	r := e.requests[id]
	if r == nil {
		return
	}
	e.abandon(r)
	e.forget(r)
}

func (e *Entry) forget(r *request) {
	r.closed = true
	delete(e.requests, r.ID)
	e.callers[r.Caller]--
	if e.callers[r.Caller] == 0 {
		delete(e.callers, r.Caller)
	}
}

// finish gives the caller its whole answer.
func (e *Entry) finish(r *request) {
	if r.wholesale() {
		e.reply(r, r.head)
		e.push(r, r.held)
	}
	r.peer.failures = 0
	e.detach(r)
	e.forget(r)
	e.Counters.Whole++
	e.budget = min(e.budget+retryShare, retryReserve)
	e.emit(Close{r.ID, classifier.None, classifier.RanYes, 0})
}

// fail gives the caller its final refusal or error at once.
func (e *Entry) fail(r *request, kind classifier.Kind, ran classifier.Ran) {
	if r.ambiguous && ran == classifier.RanNo {
		ran = classifier.RanUnknown
	}
	if e.cfg.Hooks.DenyUnknown {
		ran = classifier.RanNo
	}
	e.abandon(r)
	e.forget(r)
	if ran == classifier.RanNo {
		e.Counters.NotRun++
	} else {
		e.Counters.Unknown++
	}
	a := classifier.AnswerOf(kind)
	e.emit(Close{r.ID, kind, ran, a.RetryAfter})
	e.note(Note{Name: "request failed", Request: r.ID, Kind: kind, Text: "ran=" + string(ran)})
}

func (e *Entry) expire(r *request) {
	if r.attempt == "" {
		kind := classifier.Late
		if r.lastKind == classifier.Busy || r.lastKind == classifier.Loading {
			kind = r.lastKind
		}
		e.fail(r, kind, classifier.RanNo)
		return
	}
	e.fail(r, classifier.Expired, classifier.RanUnknown)
}

// lose handles an attempt whose agent or upstream is out of reach.
func (e *Entry) lose(r *request, kind classifier.Kind) {
	repeatable := r.Repeatable || e.cfg.Hooks.RepeatAlways
	if r.peer != nil {
		r.avoid = r.peer.upstream.Name
	}
	r.ambiguous = true
	if !repeatable || !e.resumable(r) {
		e.fail(r, r.unfinished(kind), classifier.RanUnknown)
		return
	}
	e.abandon(r)
	e.retry(r, kind)
}

// unfinished returns the kind of a failure after the answer may have begun.
func (r *request) unfinished(kind classifier.Kind) classifier.Kind {
	if r.replied {
		return classifier.Broken
	}
	return kind
}

// resumable tells whether another attempt can complete the caller's answer.
func (e *Entry) resumable(r *request) bool {
	return !r.replied || r.Stream && r.Model != ""
}

// retry starts another attempt as far as the retry budget allows.
func (e *Entry) retry(r *request, kind classifier.Kind) {
	ran := classifier.RanNo
	if r.ambiguous {
		ran = classifier.RanUnknown
	}
	if e.budget < 1 || r.tries >= maxTries {
		e.fail(r, kind, ran)
		return
	}
	e.budget--
	e.Counters.Retried++
	if r.tries > quickTries {
		e.hold(r)
		return
	}
	e.dispatch(r)
}

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
