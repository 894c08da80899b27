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
	notBefore     time.Duration // earliest time of the next retry, while the request waits
	backoff       time.Duration // upper bound of the last pause
	tries         int           // attempts that count towards maxTries
	attemptSerial int           // serial number of the last attempt
	closed        bool          // answered, or the caller has disconnected

	attemptID     AttemptID                 // of the current attempt, empty without one
	peer          *peer                     // of the current attempt
	pendingPeer   *peer                     // to be submitted to it once it is connected
	nextSeq       uint64                    // number of the attempt's next message
	mayHaveRun    bool                      // an earlier attempt may have run
	avoidUpstream configurator.UpstreamName // where the last attempt failed
	claimHolder   configurator.UpstreamName // send the next attempt there: it holds the claim of the key
	sentToHolder  bool                      // redirected to the claim holder once
	recalling     bool                      // asked the agent to give the attempt back if it is still queued
	lastRefusal   classifier.Kind           // why the last attempt was not run

	headerSent   bool
	chunksSent   uint64 // body parts sent to the caller
	chunkBase    uint64 // chunksSent when the current attempt began
	tokensSent   uint32 // tokens sent to the caller
	textSent     []byte // generated text sent to the caller; a new attempt continues it
	bufferedHead *linkpb.Head
	bufferedBody []byte
}

// buffersResponse reports whether the response is buffered until it is complete, so
// that the request can be retried when its upstream is lost.
func (r *request) buffersResponse() bool {
	return r.Repeatable && r.Model != "" && !r.Stream
}

// handleRequest admits or refuses a new request.
func (e *Entry) handleRequest(req Request) {
	e.Counters.Arrived++
	r := &request{Request: req, deadline: e.now + req.Class.Timeout.Duration()}
	if kind := e.refusalKind(r); kind != classifier.None {
		resp := classifier.ResponseOf(kind)
		e.Counters.NotRun++
		e.emit(EndResponse{req.ID, kind, classifier.RanNo, resp.RetryAfter})
		return
	}
	e.requests[req.ID] = r
	e.openByCaller[req.Caller]++
	e.dispatch(r)
}

// refusalKind returns why a new request can't be admitted, and None if it can.
func (e *Entry) refusalKind(r *request) classifier.Kind {
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
		if e.currency.MayLag(e.now) {
			return classifier.Stale
		}
		return classifier.Missing
	}
	return classifier.None
}

// dispatch submits a request to an upstream, at once or when its connection is up.
// Without a usable upstream the request backs off. A FailFast request fails as Busy
// after maxTries attempts.
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

// backOff delays the next attempt, twice as long each time, with jitter.
func (e *Entry) backOff(r *request) {
	r.backoff = min(max(2*r.backoff, minRetryBackoff), maxRetryBackoff)
	r.notBefore = e.now + e.router.Jitter(r.backoff)
	e.waiting = append(e.waiting, r)
}

// submit starts an attempt of r at the connected peer p.
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

// detach separates a request from its current attempt, or from the peer that it
// waits for.
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

// abandon detaches a request and cancels its attempt, which may still run, at once
// or when the agent is connected again.
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

// handleCallerGone cancels the request of a caller that has disconnected.
func (e *Entry) handleCallerGone(id RequestID) {
	r := e.requests[id]
	if r == nil {
		return
	}
	e.abandon(r)
	e.removeRequest(r)
}

// removeRequest closes a request and frees its place in the caller's limit.
func (e *Entry) removeRequest(r *request) {
	r.closed = true
	delete(e.requests, r.ID)
	e.openByCaller[r.Caller]--
	if e.openByCaller[r.Caller] == 0 {
		delete(e.openByCaller, r.Caller)
	}
}

// complete ends a response successfully, after sending what was buffered, and adds
// to the retry budget.
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

// fail ends a request with an error. It reports RanNo only if no attempt of the
// request can have run.
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
	resp := classifier.ResponseOf(kind)
	e.emit(EndResponse{r.ID, kind, ran, resp.RetryAfter})
	e.logEvent(LogEvent{Name: "request failed", Request: r.ID, Kind: kind, Text: "ran=" + string(ran)})
}

// expire fails a request whose deadline has passed. Without a current attempt the
// kind is the last refusal if that was Busy or Loading, and Late otherwise.
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

// handleLostAttempt retries or fails a request whose agent can't be reached or has
// restarted.
func (e *Entry) handleLostAttempt(r *request, kind classifier.Kind) {
	repeatable := r.Repeatable || e.cfg.Hooks.RetryNonRepeatable
	if r.peer != nil {
		r.avoidUpstream = r.peer.upstream.Name
	}
	r.mayHaveRun = true
	if !repeatable || !e.resumable(r) {
		e.fail(r, r.failureKind(kind), classifier.RanUnknown)
		return
	}
	e.abandon(r)
	e.retry(r, kind)
}

// failureKind returns Broken if the caller has received the headers, and kind
// otherwise.
func (r *request) failureKind(kind classifier.Kind) classifier.Kind {
	if r.headerSent {
		return classifier.Broken
	}
	return kind
}

// resumable reports whether another attempt can complete the response: nothing was
// sent, or it is a stream of tokens that the new attempt can continue.
func (e *Entry) resumable(r *request) bool {
	return !r.headerSent || r.Stream && r.Model != ""
}

// retry starts another attempt, with a backoff after the first immediateTries, and
// fails the request if the retry budget or the number of tries is used up.
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
