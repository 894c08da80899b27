package reducer

import (
	"fmt"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/linkpb"
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
	if r.Model != "" && e.catalog.bases[r.Model] == "" || r.Model == "" && len(e.groups[r.Service]) == 0 {
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
