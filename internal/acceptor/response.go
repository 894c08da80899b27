package acceptor

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/reducer"
)

const (
	disconnectPollPeriod = 250 * time.Millisecond // of the check whether a waiting caller has disconnected
	ackBytes             = 32 << 10               // response bytes after which BodyConsumed is posted
)

// ErrorBody is the body of an error response in the format of the OpenAI API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`  // invalid_request_error or server_error
	Param   *string `json:"param"` // always null
	Code    string  `json:"code"`  // the classifier.Kind
}

// exchange is one request and its response.
type exchange struct {
	acceptor *Acceptor
	id       reducer.RequestID
	conn     net.Conn
	mailbox  *mailbox
	stream   bool
}

// serve posts a request to the reducer and writes the response that the reducer's
// effects describe.
func (a *Acceptor) serve(ctx *fasthttp.RequestCtx, req reducer.Request) {
	req.ID = a.cfg.NewID()
	ex := &exchange{acceptor: a, id: req.ID, conn: ctx.Conn(), mailbox: a.addMailbox(req.ID), stream: req.Stream}
	a.cfg.Post(reducer.RequestArrived{Request: req})
	effects, ok := ex.nextEffects()
	if !ok {
		a.removeMailbox(ex.id)
		ctx.Response.Header.SetConnectionClose()
		a.writeError(ctx, ex.id, classifier.Cancelled, "")
		return
	}
	switch first := effects[0].(type) {
	case reducer.EndResponse:
		a.removeMailbox(ex.id)
		ex.writeFailure(ctx, first)
	case reducer.WriteHeader:
		ex.writeResponse(ctx, first, effects[1:])
	}
}

// nextEffects waits for effects of the request. It returns false if the caller has
// closed the connection, and reports that to the reducer.
func (ex *exchange) nextEffects() ([]reducer.Effect, bool) {
	ticker := time.NewTicker(disconnectPollPeriod)
	defer ticker.Stop()
	for {
		if effects := ex.mailbox.take(); len(effects) > 0 {
			return effects, true
		}
		select {
		case <-ex.mailbox.signal:
		case <-ticker.C:
			if closedByPeer(ex.conn) {
				ex.acceptor.cfg.Post(reducer.CallerGone{ID: ex.id})
				return nil, false
			}
		}
	}
}

// closedByPeer reports whether the peer has closed the connection. It peeks at the
// socket, because fasthttp doesn't read from a connection while its handler runs.
func closedByPeer(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return closed || err != nil
}

// writeFailure writes the error response of a request that the reducer ended before
// its response began.
func (ex *exchange) writeFailure(ctx *fasthttp.RequestCtx, end reducer.EndResponse) {
	resp := classifier.ResponseOf(end.Kind)
	ctx.Response.Header.Set(requestIDHeader, string(ex.id))
	ctx.Response.Header.Set(ranHeader, string(end.Ran))
	if end.RetryAfter > 0 && end.Ran == classifier.RanNo {
		seconds := int(math.Ceil(end.RetryAfter.Seconds()))
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(ctx, resp.Status, errorBody(end.Kind, ""))
}

// writeError writes an error response that no effect of the reducer asks for. An empty
// id is replaced by a new one, an empty text by the message of kind.
func (a *Acceptor) writeError(ctx *fasthttp.RequestCtx, id reducer.RequestID, kind classifier.Kind, text string) {
	if id == "" {
		id = a.cfg.NewID()
	}
	resp := classifier.ResponseOf(kind)
	ctx.Response.Header.Set(requestIDHeader, string(id))
	ctx.Response.Header.Set(ranHeader, string(resp.Ran))
	if resp.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(resp.RetryAfter.Seconds())))
	}
	writeJSON(ctx, resp.Status, errorBody(kind, text))
}

// reject writes the error response for a request that can't be served because of err.
func (a *Acceptor) reject(ctx *fasthttp.RequestCtx, err error) {
	a.writeError(ctx, "", classifier.KindOf(err), err.Error())
}

func errorBody(kind classifier.Kind, text string) ErrorBody {
	resp := classifier.ResponseOf(kind)
	if text == "" {
		text = resp.Message
	}
	errorType := "server_error"
	if resp.Status < 500 {
		errorType = "invalid_request_error"
	}
	return ErrorBody{ErrorDetail{Message: text, Type: errorType, Code: string(kind)}}
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error("encode answer", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

// writeResponse writes the status and headers of a response, and its body as the parts
// arrive.
func (ex *exchange) writeResponse(ctx *fasthttp.RequestCtx, header reducer.WriteHeader, rest []reducer.Effect) {
	ctx.SetStatusCode(header.Status)
	for _, h := range header.Headers {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	ctx.Response.Header.Set(requestIDHeader, string(ex.id))
	if body, complete := completeBody(rest); complete {
		ex.acceptor.removeMailbox(ex.id)
		ctx.SetBody(body)
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer ex.acceptor.removeMailbox(ex.id)
		ex.streamBody(w, rest)
	})
}

// completeBody returns the body of a response that has already ended without an error,
// and false for any other.
func completeBody(effects []reducer.Effect) ([]byte, bool) {
	var body []byte
	for _, effect := range effects {
		switch e := effect.(type) {
		case reducer.WriteBody:
			body = append(body, e.Data...)
		case reducer.EndResponse:
			return body, e.Kind == classifier.None
		}
	}
	return nil, false
}

// streamBody writes and flushes the parts of a body until the response ends or the
// caller disconnects.
func (ex *exchange) streamBody(w *bufio.Writer, effects []reducer.Effect) {
	defer func() { _ = ex.conn.SetWriteDeadline(time.Time{}) }()
	unacked := 0
	for {
		var next uint64
		for _, effect := range effects {
			switch e := effect.(type) {
			case reducer.WriteBody:
				if _, err := w.Write(e.Data); err != nil {
					ex.acceptor.cfg.Post(reducer.CallerGone{ID: ex.id})
					return
				}
				next = e.Next
				unacked += len(e.Data)
			case reducer.EndResponse:
				ex.finish(w, e)
				return
			}
		}
		_ = ex.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := w.Flush(); err != nil {
			ex.acceptor.cfg.Post(reducer.CallerGone{ID: ex.id})
			return
		}
		if unacked >= ackBytes {
			ex.acceptor.cfg.Post(reducer.BodyConsumed{ID: ex.id, Next: next})
			unacked = 0
		}
		var ok bool
		if effects, ok = ex.nextEffects(); !ok {
			return
		}
	}
}

// finish ends a response. If the response failed, a stream ends with an error event; for
// any other body the connection is closed, so that it doesn't look complete.
func (ex *exchange) finish(w *bufio.Writer, end reducer.EndResponse) {
	if end.Kind == classifier.None {
		_ = w.Flush()
		return
	}
	if !ex.stream {
		_ = w.Flush()
		_ = ex.conn.Close()
		return
	}
	data, err := json.Marshal(errorBody(end.Kind, ""))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
	_ = w.Flush()
}
