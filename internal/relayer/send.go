package relayer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/verifier"
)

// Limits of sends.
const (
	maxOtherResponses = 2                      // responses to other requests that are skipped on one connection
	maxSyncWrite      = 4 << 10                // bytes of a request that is written without a goroutine, as it fits into the socket buffer
	responseGrace     = 150 * time.Millisecond // after Send.Timeout, so that a response that the upstream sends at the deadline can arrive
)

// callerRequest is a caller's request that has been read.
type callerRequest struct {
	info      RequestInfo
	method    string
	target    string // path and query of the request line, as the caller sent them
	host      string
	caller    string      // IP address
	header    http.Header // end-to-end headers
	body      []byte
	carriers  []*upstreamConn      // connections that have carried an earlier send of the request
	reserved  int                  // bytes of the account for the request
	withKey   bool                 // there are workspaces, so that headers may carry a key
	workspace *registrar.Workspace // of the caller when the request was read, nil without one
}

// traits returns what other requests may have in common with this one.
func (in *callerRequest) traits() []isolator.Trait {
	content := isolator.Content{Method: in.method, Host: hostOf(in.host), Target: in.target, Caller: in.caller, Body: in.body}
	return isolator.TraitsOf(content, in.info.SharedParts)
}

// upstreamResponse is an upstream's response whose headers have been read.
type upstreamResponse struct {
	conn        *upstreamConn
	response    *http.Response
	info        ResponseInfo
	writeResult <-chan error // receives the result of writing the request
	taken       *intake
	deadline    time.Time // of the send
}

var (
	errOtherResponses   = errors.New("response belongs to another request")
	errNoAttempt        = errors.New("response names no attempt, on a connection that was used before")
	errAmbiguous        = errors.New("response names several attempts")
	errNoSeal           = errors.New("response lacks the seal of the upstream's application")
	errProtocolSwitched = errors.New("upstream switched protocols unasked")
	errNotRunStatus     = errors.New("response says that the request did not run, but is no refusal")
	errEncodedBody      = errors.New("response has a Content-Encoding")
)

// write writes a request with the given headers to c. The returned channel gets
// the result, possibly after write has returned, since an upstream may respond
// before it has read the whole body.
func (in *callerRequest) write(c *upstreamConn, header http.Header) <-chan error {
	var b bytes.Buffer
	small := len(in.body) <= maxSyncWrite
	if small {
		b.Grow(1024 + len(in.body))
	}
	b.WriteString(in.method + " " + in.target + " HTTP/1.1\r\nHost: " + in.host + "\r\n")
	for name, values := range header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(in.body) > 0 || in.method == http.MethodPost || in.method == http.MethodPut || in.method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(in.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if small {
		b.Write(in.body)
	}
	done := make(chan error, 1)
	if small && b.Len() <= maxSyncWrite {
		_, err := c.Write(b.Bytes())
		done <- err
		return done
	}
	body := in.body
	go func() {
		_, err := c.Write(b.Bytes())
		if err == nil && !small {
			_, err = c.Write(body)
		}
		done <- err
	}()
	return done
}

// requestWritten reports whether the request has been written completely. Only the
// first call can return true.
func (up *upstreamResponse) requestWritten() bool {
	select {
	case err := <-up.writeResult:
		return err == nil
	default:
		return false
	}
}

// release returns the connection to the pool, or resets it if it can't be used for
// another request. An intake that is ended for others would reset it later.
func (up *upstreamResponse) release(p *Pool) {
	if !up.taken.protect() || !up.requestWritten() || !up.conn.updateKeepAlive(up.response) || up.conn.reader.Buffered() > 0 {
		up.conn.abort()
		return
	}
	if err := up.conn.SetDeadline(time.Time{}); err != nil {
		up.conn.abort()
		return
	}
	p.Put(up.conn)
}

// readResponse reads the headers of the response to a request. It skips responses
// to other requests that come before, up to maxOtherResponses. Only the first response on a
// connection may omit the attempt, since a later one may belong to an earlier request.
func (g *Gateway) readResponse(c *upstreamConn, in *callerRequest, e dispatcher.Send, taken *intake) (*http.Response, ResponseInfo, error) {
	for range maxOtherResponses + 1 {
		resp, err := readResponseHeader(c, in.method, taken)
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		info := g.cfg.HeaderCodec.ParseResponse(resp.Header)
		first := !c.answered
		c.answered = true
		if info.Ambiguous {
			return nil, ResponseInfo{}, errAmbiguous
		}
		matches := info.AttemptID == in.info.AttemptID || info.AttemptID == "" && first
		g.reportNotice(resp.StatusCode, info, e, matches)
		if matches {
			return resp, info, nil
		}
		if info.AttemptID == "" {
			return nil, ResponseInfo{}, errNoAttempt
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ResponseInfo{}, errOtherResponses
		}
		if err := discardBody(resp.Body); err != nil {
			return nil, ResponseInfo{}, err
		}
	}
	return nil, ResponseInfo{}, errOtherResponses
}

// reportNotice tells the dispatcher what a response says about new requests to its
// upstream, as soon as its headers have been read. Only a response that matches the
// request can end a limit.
func (g *Gateway) reportNotice(status int, info ResponseInfo, e dispatcher.Send, matches bool) {
	notice := dispatcher.UpstreamNotice{
		Request: e.ID, Upstream: e.Upstream, Incarnation: e.Incarnation, Address: e.Address, Leaving: info.Leaving,
		Limit: info.RequestLimit, Unlimited: matches && info.HasSeal && info.RequestLimit == 0,
	}
	if status == http.StatusServiceUnavailable {
		notice.Pause = info.RetryAfter
	}
	if !notice.Leaving && notice.Pause <= 0 && notice.Limit == 0 && !notice.Unlimited {
		return
	}
	if info.Upstream != "" && info.Upstream != e.Upstream {
		notice.Upstream, notice.Other = info.Upstream, true
	}
	g.cfg.Dispatcher.Reduce(notice)
}

// readResponseHeader reads the headers of the next response that is not
// informational (1xx). It believes nothing of a response unless all of these are valid.
func readResponseHeader(c *upstreamConn, method string, taken *intake) (*http.Response, error) {
	begin, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.source.limit(taken, begin)
	defer c.source.unlimit()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if broken := c.source.head.Err(); broken != nil {
			return nil, broken
		}
		if err != nil {
			return nil, taken.cause(err)
		}
		if resp.StatusCode >= http.StatusOK {
			verifier.CheckTrailer(resp)
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitched
		}
	}
}

// send forwards a request to an upstream and the response to the caller. It returns
// the outcome and the cause for the log.
func (g *Gateway) send(ctx context.Context, e dispatcher.Send, in *callerRequest, out *callerResponse, mailbox *Mailbox) (dispatcher.Outcome, string) {
	if ctx.Err() != nil {
		return dispatcher.CallerClosed, "caller left"
	}
	conn, err := g.pool.Get(ctx, e.Address, in.carriers)
	if err != nil {
		if ctx.Err() != nil {
			return dispatcher.CallerClosed, "caller left"
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return dispatcher.ConnectionRefused, err.Error()
		}
		return dispatcher.Unsent, err.Error()
	}
	e.Timeout -= g.cfg.Dispatcher.Now() - e.At
	if e.Timeout <= 0 || !g.cfg.Dispatcher.Sendable(e.ID, e.Try) {
		conn.abort()
		return dispatcher.Withheld, "upstream takes no new requests"
	}
	if out.conn.left() {
		conn.abort()
		return dispatcher.CallerClosed, "caller left"
	}
	stop := context.AfterFunc(ctx, conn.abort)
	defer stop()
	clearCancel := mailbox.OnCancel(conn.abort)
	defer clearCancel()
	caller, taken := out.conn, g.account.newIntake(budgeter.Incoming, sender(e.Upstream), conn.abort)
	defer taken.close()
	stall := newStallTimer(e, func() {
		if !caller.waiting() && !taken.waiting.Load() {
			g.cfg.Dispatcher.Reduce(dispatcher.SendStalled{ID: e.ID, Try: e.Try})
		}
	})
	defer func() {
		stall.stop()
		out.longestPause = stall.pause()
	}()
	deadline := time.Now().Add(e.Timeout + responseGrace)
	if err := conn.SetDeadline(deadline); err != nil {
		conn.abort()
		return dispatcher.Unsent, err.Error()
	}
	in.carriers = append(in.carriers, conn)
	lastEventID := in.info.LastEventID
	if out.lastEventID > lastEventID {
		lastEventID = out.lastEventID
	}
	header := g.forwardHeader(in, ForwardInfo{Timeout: e.Timeout, Upstream: e.Upstream, Priority: e.Priority, LastEventID: lastEventID})
	writeResult := in.write(conn, header)
	resp, info, err := g.readResponse(conn, in, e, taken)
	if err != nil {
		conn.abort()
		return connFailureOutcome(ctx, out), err.Error()
	}
	up := &upstreamResponse{conn: conn, response: resp, info: info, writeResult: writeResult, taken: taken, deadline: deadline}
	return g.handleResponse(ctx, up, in, out, e, stall)
}

// connFailureOutcome returns the outcome of a send that failed after it had begun
// to write the request.
func connFailureOutcome(ctx context.Context, out *callerResponse) dispatcher.Outcome {
	switch {
	case ctx.Err() != nil:
		return dispatcher.CallerClosed
	case out.headerWritten:
		return dispatcher.Interrupted
	}
	return dispatcher.Unknown
}

// handleResponse forwards a usable response to the caller and keeps a 5xx response
// for later. It returns the outcome of the send and the cause for the log.
func (g *Gateway) handleResponse(ctx context.Context, up *upstreamResponse, in *callerRequest, out *callerResponse, e dispatcher.Send, stall *stallTimer) (dispatcher.Outcome, string) {
	resp := up.response
	status := resp.StatusCode
	if up.info.NotRun && !isRefusal(status) {
		up.conn.abort()
		return connFailureOutcome(ctx, out), errNotRunStatus.Error() + " (status " + strconv.Itoa(status) + ")"
	}
	if up.info.NotRun || status == http.StatusMisdirectedRequest {
		return g.handleNotRun(ctx, up, out, e)
	}
	if !up.info.HasSeal || resp.Header.Get("Content-Encoding") != "" {
		up.conn.abort()
		if up.info.HasSeal {
			return connFailureOutcome(ctx, out), errEncodedBody.Error()
		}
		return connFailureOutcome(ctx, out), errNoSeal.Error() + " (status " + strconv.Itoa(status) + ")"
	}
	if isEventStream(resp.Header) && (status == http.StatusOK || status < http.StatusMultipleChoices && !out.headerWritten) {
		return g.relayEvents(ctx, up, out, e, stall)
	}
	body, err := readBody(up.taken, resp.Body)
	if err == nil && !up.taken.settle() {
		err = errResponseMemory
	}
	if err != nil {
		up.conn.abort()
		return connFailureOutcome(ctx, out), err.Error()
	}
	resp.Trailer = nil
	up.release(g.pool)
	if status >= 500 {
		out.keepFailure(resp, body, up.taken.hand())
		return dispatcher.Failed, "status " + strconv.Itoa(status)
	}
	if out.headerWritten {
		return dispatcher.Interrupted, "status " + strconv.Itoa(status)
	}
	g.releaseBody(in)
	if err := out.writeResponse(resp.StatusCode, resp.Header, body); err != nil {
		return dispatcher.CallerClosed, err.Error()
	}
	return dispatcher.Completed, ""
}

// isRefusal reports whether an upstream that has not run a request may answer with the status.
// Others are the outcome of a run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout, http.StatusBadRequest:
		return true
	}
	return false
}

// handleNotRun handles a response that says that the request did not run, which counts only if
// it is whole.
func (g *Gateway) handleNotRun(ctx context.Context, up *upstreamResponse, out *callerResponse, e dispatcher.Send) (dispatcher.Outcome, string) {
	cause := "status " + strconv.Itoa(up.response.StatusCode)
	if err := discardBody(up.response.Body); err != nil {
		up.conn.abort()
		return connFailureOutcome(ctx, out), cause + ": " + err.Error()
	}
	up.release(g.pool)
	switch {
	case up.response.StatusCode != http.StatusMisdirectedRequest:
		return dispatcher.NotRun, cause
	case up.info.Upstream != "" && up.info.Upstream != e.Upstream:
		return dispatcher.WrongInstance, cause + " from " + string(up.info.Upstream)
	}
	return dispatcher.ModelMissing, cause
}

// isTimeout reports whether err is due to a timeout or a passed deadline.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
