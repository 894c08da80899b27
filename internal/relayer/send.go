package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

// Limits of answers.
const (
	answerBound  = 16 << 20               // bytes of an answer that is kept until it is whole
	maxDiscarded = 2                      // answers of other requests that are skipped on one connection
	writeAlone   = 4 << 10                // bytes of a request that is written without a goroutine; a socket buffer takes it
	answerSlack  = 150 * time.Millisecond // after the budget, in which an upstream's own final answer may still come
)

// incoming is a caller's request that has been read.
type incoming struct {
	call   RequestInfo
	method string
	target string // request line's path and query, as the caller sent them
	host   string
	header http.Header // end-to-end headers
	body   []byte
}

// answer is an upstream's answer of which the header has been read.
type answer struct {
	conn     *upstreamConn
	response *http.Response
	reply    ResponseInfo
	written  <-chan error // the end of writing the request
}

var (
	errForeign = errors.New("answers of other requests came first")
	errShape   = errors.New("the answer lacks its receipt")
	errCoded   = errors.New("the answer's body is encoded")
)

// write puts a request on the connection. What it returns tells when the whole
// request has been written: an upstream may answer before it has read a body.
func (in *incoming) write(c *upstreamConn, header http.Header) <-chan error {
	var b bytes.Buffer
	b.Grow(1024 + len(in.body))
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
	b.Write(in.body)
	done := make(chan error, 1)
	if b.Len() <= writeAlone {
		_, err := c.Write(b.Bytes())
		done <- err
		return done
	}
	go func() {
		_, err := c.Write(b.Bytes())
		done <- err
	}()
	return done
}

// finished tells whether the request has been written whole.
func (a *answer) finished() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// release keeps the connection for the next request if nothing speaks against it.
func (a *answer) release(p *Pool) {
	if !a.finished() || !a.conn.remember(a.response) || a.conn.reader.Buffered() > 0 {
		a.conn.abort()
		return
	}
	if err := a.conn.SetDeadline(time.Time{}); err != nil {
		a.conn.abort()
		return
	}
	p.Put(a.conn)
}

// receive reads the header of the answer to the request. Answers of other
// requests that come before it are dropped.
func (g *Gateway) receive(c *upstreamConn, in *incoming) (*http.Response, ResponseInfo, error) {
	for range maxDiscarded + 1 {
		resp, err := readHeader(c, in.method)
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		reply := g.cfg.HeaderCodec.ParseResponse(resp.Header)
		if reply.AttemptID == in.call.AttemptID || reply.AttemptID == "" {
			return resp, reply, nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ResponseInfo{}, errForeign
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, answerBound)); err != nil {
			return nil, ResponseInfo{}, err
		}
	}
	return nil, ResponseInfo{}, errForeign
}

func readHeader(c *upstreamConn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// send runs one try at an upstream until its end.
func (g *Gateway) send(ctx context.Context, e dispatcher.Send, in *incoming, out *outgoing, box *Mailbox) (dispatcher.Outcome, string) {
	if ctx.Err() != nil {
		return dispatcher.CallerClosed, "caller left"
	}
	conn, err := g.pool.Get(ctx, e.Address)
	if err != nil {
		if ctx.Err() != nil {
			return dispatcher.CallerClosed, "caller left"
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return dispatcher.ConnectionRefused, err.Error()
		}
		return dispatcher.Unsent, err.Error()
	}
	stop := context.AfterFunc(ctx, conn.abort)
	defer stop()
	unguard := box.OnCancel(conn.abort)
	defer unguard()
	stall := newStall(e, func() { g.cfg.Dispatcher.Reduce(dispatcher.SendStalled{ID: e.ID, Try: e.Try}) })
	defer stall.stop()
	if err := conn.SetDeadline(time.Now().Add(e.Timeout + answerSlack)); err != nil {
		conn.abort()
		return dispatcher.Unsent, err.Error()
	}
	header := in.header.Clone()
	after := in.call.LastEventID
	if out.last > after {
		after = out.last
	}
	g.cfg.HeaderCodec.SetForwardHeaders(header, ForwardInfo{Timeout: e.Timeout, Upstream: e.Upstream, Priority: e.Priority, LastEventID: after})
	written := in.write(conn, header)
	resp, reply, err := g.receive(conn, in)
	if err != nil {
		conn.abort()
		return outcomeOf(ctx, out), err.Error()
	}
	a := &answer{conn: conn, response: resp, reply: reply, written: written}
	return g.take(ctx, a, out, e, stall)
}

// outcomeOf is the outcome of a send whose connection failed.
func outcomeOf(ctx context.Context, out *outgoing) dispatcher.Outcome {
	switch {
	case ctx.Err() != nil:
		return dispatcher.CallerClosed
	case out.started:
		return dispatcher.Interrupted
	}
	return dispatcher.Unknown
}

// take passes an answer on, or tells why it can't be.
func (g *Gateway) take(ctx context.Context, a *answer, out *outgoing, e dispatcher.Send, stall *stall) (dispatcher.Outcome, string) {
	resp := a.response
	status := resp.StatusCode
	if a.reply.NotRun || status == http.StatusMisdirectedRequest {
		return g.notRun(a, e)
	}
	if !a.reply.FromApplication || resp.Header.Get("Content-Encoding") != "" {
		a.conn.abort()
		if a.reply.FromApplication {
			return outcomeOf(ctx, out), errCoded.Error()
		}
		return outcomeOf(ctx, out), errShape.Error() + " (status " + strconv.Itoa(status) + ")"
	}
	if status < 300 && isEventStream(resp.Header) {
		return g.relayEvents(ctx, a, out, e, stall)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerBound))
	if err != nil {
		a.conn.abort()
		return outcomeOf(ctx, out), err.Error()
	}
	a.release(g.pool)
	if status >= 500 {
		out.keep(resp, body)
		return dispatcher.Failed, "status " + strconv.Itoa(status)
	}
	if out.started {
		return dispatcher.Interrupted, "status " + strconv.Itoa(status)
	}
	if err := out.whole(resp.StatusCode, resp.Header, body); err != nil {
		return dispatcher.CallerClosed, err.Error()
	}
	return dispatcher.Completed, ""
}

// notRun handles an answer that says that the request did not run.
func (g *Gateway) notRun(a *answer, e dispatcher.Send) (dispatcher.Outcome, string) {
	cause := "status " + strconv.Itoa(a.response.StatusCode)
	if _, err := io.Copy(io.Discard, io.LimitReader(a.response.Body, answerBound)); err != nil {
		a.conn.abort()
	} else {
		a.release(g.pool)
	}
	switch {
	case a.response.StatusCode != http.StatusMisdirectedRequest:
		return dispatcher.NotRun, cause
	case a.reply.Upstream != "" && a.reply.Upstream != e.Upstream:
		return dispatcher.WrongInstance, cause + " from " + string(a.reply.Upstream)
	}
	return dispatcher.ModelMissing, cause
}

// isTimeout tells whether err is a passed deadline.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
