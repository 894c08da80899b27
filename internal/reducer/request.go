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
	deadline      time.Duration
	notBefore     time.Duration // while waiting without an attempt
	backoff       time.Duration
	tries         int // attempts that count towards the limit
	attemptSerial int // attempts, for their ids
	closed        bool

	attemptID    AttemptID // the current attempt, empty without one
	peer         *peer     // where the current attempt runs
	pendingPeer  *peer     // waits for a connection to it
	nextSeq      uint64    // number of the next message of the attempt
	mayHaveRun   bool      // an earlier attempt may have run
	avoid        configurator.UpstreamName
	claimHolder  configurator.UpstreamName // holder of the key's claim
	sentToHolder bool
	recalling    bool            // called back from a queue
	lastRefusal  classifier.Kind // why the last attempt did not run

	headerSent   bool
	chunksSent   uint64 // parts given to the caller
	chunkBase    uint64 // pushed when the current attempt began
	tokensSent   uint32 // tokens given to the caller
	textSent     []byte // text given to the caller
	bufferedHead *linkpb.Head
	bufferedBody []byte // answer of a request that is given as a whole
}

// buffersResponse tells whether the answer is kept back until it is whole, so that
// the request can be repeated when its upstream is lost.
func (r *request) buffersResponse() bool {
	return r.Repeatable && r.Model != "" && !r.Stream
}

func (e *Entry) handleRequest(req Request) {
	e.Counters.Arrived++
	r := &request{Request: req, deadline: e.now + req.Class.Whole.Duration()}
	if kind := e.refusal(r); kind != classifier.None {
		a := classifier.ResponseOf(kind)
		e.Counters.NotRun++
		e.emit(EndResponse{req.ID, kind, classifier.RanNo, a.RetryAfter})
		return
	}
	e.requests[req.ID] = r
	e.openByCaller[req.Caller]++
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
	if e.openByCaller[r.Caller] >= e.callerLimits[r.Caller] {
		return classifier.Limited
	}
	if r.Model != "" && e.catalog.baseOf[r.Model] == "" || r.Model == "" && len(e.serviceUpstreams[r.Service]) == 0 {
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
	if r.tries >= maxTries && r.FailFast {
		e.fail(r, classifier.Busy, classifier.RanNo)
		return
	}
	p := e.choosePeer(r)
	if p == nil {
		e.backOff(r)
		return
	}
	if r.Model != "" {
		e.requestCopy(r, p)
	}
	if p.state == linkUp {
		e.submit(r, p)
		return
	}
	r.pendingPeer = p
	p.pendingRequests = append(p.pendingRequests, r)
	if p.state == linkDown && e.now >= p.nextDial {
		e.dial(p)
	}
}

// backOff lets a request wait for a growing pause.
func (e *Entry) backOff(r *request) {
	r.backoff = min(max(2*r.backoff, minRetryBackoff), maxRetryBackoff)
	r.notBefore = e.now + e.router.Jitter(r.backoff)
	e.waiting = append(e.waiting, r)
}

func (e *Entry) submit(r *request, p *peer) {
	r.tries++
	r.attemptSerial++
	r.recalling = false
	r.pendingPeer = nil
	r.peer = p
	r.nextSeq = 0
	r.chunkBase = r.chunksSent
	r.attemptID = AttemptID(fmt.Sprintf("%s.%d", r.ID, r.attemptSerial))
	if len(p.openAttempts) == 0 {
		p.busySince = e.now
	}
	p.openAttempts[r.attemptID] = r
	p.lastUsed = e.now
	e.emit(SendToAgent{p.upstream.Name, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Submit{Submit: &linkpb.Submit{
		Attempt: string(r.attemptID), Request: string(r.ID), Caller: string(r.Caller), Model: string(r.Model), Class: string(r.Class.Name),
		BudgetMs: (r.deadline - e.now - deadlineSlack).Milliseconds(), Key: r.Key, Digest: r.digest(), Repeatable: r.Repeatable,
		Stream: r.Stream, Urgent: r.FailFast, Method: r.Method, Path: r.Path, Headers: r.Headers, Body: r.Body,
		Prefix: string(r.textSent), Tokens: r.tokensSent, Length: uint32(r.PromptTokens), Version: uint64(e.follower.State().Version),
	}}}})
}

// detach ends the current attempt's claim on its peer.
func (e *Entry) detach(r *request) {
	if r.peer != nil {
		delete(r.peer.openAttempts, r.attemptID)
		r.peer.lastUsed = e.now
	}
	if r.pendingPeer != nil {
		r.pendingPeer.pendingRequests = slices.DeleteFunc(r.pendingPeer.pendingRequests, func(o *request) bool { return o == r })
	}
	r.peer, r.pendingPeer, r.attemptID = nil, nil, ""
	r.bufferedHead, r.bufferedBody = nil, nil
}

// abandon detaches an attempt that may still run and has it cancelled.
func (e *Entry) abandon(r *request) {
	if r.peer == nil {
		e.detach(r)
		return
	}
	p, attempt := r.peer, r.attemptID
	e.detach(r)
	if p.state == linkUp {
		e.sendCancel(p, attempt)
		return
	}
	p.pendingCancels = append(p.pendingCancels, attempt)
}

func (e *Entry) sendCancel(p *peer, attempt AttemptID) {
	e.emit(SendToAgent{p.upstream.Name, p.epoch, &linkpb.Up{Kind: &linkpb.Up_Cancel{Cancel: &linkpb.Cancel{Attempt: string(attempt)}}}})
}

func (e *Entry) handleCallerGone(id RequestID) {
	r := e.requests[id]
	if r == nil {
		return
	}
	e.abandon(r)
	e.removeRequest(r)
}

func (e *Entry) removeRequest(r *request) {
	r.closed = true
	delete(e.requests, r.ID)
	e.openByCaller[r.Caller]--
	if e.openByCaller[r.Caller] == 0 {
		delete(e.openByCaller, r.Caller)
	}
}

// complete gives the caller its whole answer.
func (e *Entry) complete(r *request) {
	if r.buffersResponse() {
		e.writeHeader(r, r.bufferedHead)
		e.writeBody(r, r.bufferedBody)
	}
	r.peer.consecutiveFailures = 0
	e.detach(r)
	e.removeRequest(r)
	e.Counters.Completed++
	e.retryBudget = min(e.retryBudget+retriesPerSuccess, maxRetryBudget)
	e.emit(EndResponse{r.ID, classifier.None, classifier.RanYes, 0})
}

// fail gives the caller its final refusal or error at once.
func (e *Entry) fail(r *request, kind classifier.Kind, ran classifier.Ran) {
	if r.mayHaveRun && ran == classifier.RanNo {
		ran = classifier.RanUnknown
	}
	if e.cfg.Hooks.ReportUnknownAsNotRun {
		ran = classifier.RanNo
	}
	e.abandon(r)
	e.removeRequest(r)
	if ran == classifier.RanNo {
		e.Counters.NotRun++
	} else {
		e.Counters.Unknown++
	}
	a := classifier.ResponseOf(kind)
	e.emit(EndResponse{r.ID, kind, ran, a.RetryAfter})
	e.logEvent(LogEvent{Name: "request failed", Request: r.ID, Kind: kind, Text: "ran=" + string(ran)})
}

func (e *Entry) expire(r *request) {
	if r.attemptID == "" {
		kind := classifier.Late
		if r.lastRefusal == classifier.Busy || r.lastRefusal == classifier.Loading {
			kind = r.lastRefusal
		}
		e.fail(r, kind, classifier.RanNo)
		return
	}
	e.fail(r, classifier.Expired, classifier.RanUnknown)
}

// handleLostAttempt handles an attempt whose agent or upstream is out of reach.
func (e *Entry) handleLostAttempt(r *request, kind classifier.Kind) {
	repeatable := r.Repeatable || e.cfg.Hooks.RetryNonRepeatable
	if r.peer != nil {
		r.avoid = r.peer.upstream.Name
	}
	r.mayHaveRun = true
	if !repeatable || !e.resumable(r) {
		e.fail(r, r.failureKind(kind), classifier.RanUnknown)
		return
	}
	e.abandon(r)
	e.retry(r, kind)
}

// failureKind returns the kind of a failure after the answer may have begun.
func (r *request) failureKind(kind classifier.Kind) classifier.Kind {
	if r.headerSent {
		return classifier.Broken
	}
	return kind
}

// resumable tells whether another attempt can complete the caller's answer.
func (e *Entry) resumable(r *request) bool {
	return !r.headerSent || r.Stream && r.Model != ""
}

// retry starts another attempt as far as the retry budget allows.
func (e *Entry) retry(r *request, kind classifier.Kind) {
	ran := classifier.RanNo
	if r.mayHaveRun {
		ran = classifier.RanUnknown
	}
	if e.retryBudget < 1 || r.tries >= maxTries {
		e.fail(r, kind, ran)
		return
	}
	e.retryBudget--
	e.Counters.Retried++
	if r.tries > immediateTries {
		e.backOff(r)
		return
	}
	e.dispatch(r)
}
