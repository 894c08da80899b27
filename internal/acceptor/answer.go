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
	watchPeriod  = 250 * time.Millisecond // how often a waiting caller's connection is looked at
	consumeBytes = 32 << 10               // acknowledges an answer in steps of this size
)

// ErrorBody is the OpenAI shape of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells what went wrong.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// conversation is one request with its answer.
type conversation struct {
	a      *Acceptor
	id     reducer.RequestID
	conn   net.Conn
	box    *mailbox
	stream bool
}

// serve posts a request and writes its answer.
func (a *Acceptor) serve(ctx *fasthttp.RequestCtx, req reducer.Request) {
	req.ID = a.cfg.NewID()
	c := &conversation{a: a, id: req.ID, conn: ctx.Conn(), box: a.open(req.ID), stream: req.Stream}
	a.cfg.Post(reducer.RequestArrived{Request: req})
	items, ok := c.wait()
	if !ok {
		a.close(c.id)
		ctx.Response.Header.SetConnectionClose()
		a.refuse(ctx, c.id, classifier.Cancelled, "")
		return
	}
	switch first := items[0].(type) {
	case reducer.EndResponse:
		a.close(c.id)
		c.refuse(ctx, first)
	case reducer.WriteHeader:
		c.reply(ctx, first, items[1:])
	}
}

// wait returns the next effects, and false once the caller has closed the
// connection.
func (c *conversation) wait() ([]reducer.Effect, bool) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		if items := c.box.take(); len(items) > 0 {
			return items, true
		}
		select {
		case <-c.box.signal:
		case <-ticker.C:
			if closed(c.conn) {
				c.a.cfg.Post(reducer.CallerGone{ID: c.id})
				return nil, false
			}
		}
	}
}

// closed tells whether the other end has closed the connection. fasthttp does
// not read while a handler runs, so the socket is peeked at.
func closed(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return ended || err != nil
}

// refuse answers a request that ended before its answer began.
func (c *conversation) refuse(ctx *fasthttp.RequestCtx, end reducer.EndResponse) {
	answer := classifier.ResponseOf(end.Kind)
	ctx.Response.Header.Set(idHeader, string(c.id))
	ctx.Response.Header.Set(ranHeader, string(end.Ran))
	if end.RetryAfter > 0 && end.Ran == classifier.RanNo {
		seconds := int(math.Ceil(end.RetryAfter.Seconds()))
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(ctx, answer.Status, errorBody(end.Kind, ""))
}

// refuse answers a request that never reached the reducer.
func (a *Acceptor) refuse(ctx *fasthttp.RequestCtx, id reducer.RequestID, kind classifier.Kind, text string) {
	if id == "" {
		id = a.cfg.NewID()
	}
	answer := classifier.ResponseOf(kind)
	ctx.Response.Header.Set(idHeader, string(id))
	ctx.Response.Header.Set(ranHeader, string(answer.Ran))
	if answer.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(answer.RetryAfter.Seconds())))
	}
	writeJSON(ctx, answer.Status, errorBody(kind, text))
}

func (a *Acceptor) refuseError(ctx *fasthttp.RequestCtx, err error) {
	a.refuse(ctx, "", classifier.KindOf(err), err.Error())
}

func errorBody(kind classifier.Kind, text string) ErrorBody {
	answer := classifier.ResponseOf(kind)
	if text == "" {
		text = answer.Message
	}
	class := "server_error"
	if answer.Status < 500 {
		class = "invalid_request_error"
	}
	return ErrorBody{ErrorDetail{Message: text, Type: class, Code: string(kind)}}
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

// reply writes the head of an answer and then its parts as they come.
func (c *conversation) reply(ctx *fasthttp.RequestCtx, head reducer.WriteHeader, rest []reducer.Effect) {
	ctx.SetStatusCode(head.Status)
	for _, h := range head.Headers {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	ctx.Response.Header.Set(idHeader, string(c.id))
	if body, whole := wholeBody(rest); whole {
		c.a.close(c.id)
		ctx.SetBody(body)
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer c.a.close(c.id)
		c.write(w, rest)
	})
}

// wholeBody returns the body of an answer that has already ended well.
func wholeBody(items []reducer.Effect) ([]byte, bool) {
	var body []byte
	for _, item := range items {
		switch e := item.(type) {
		case reducer.WriteBody:
			body = append(body, e.Data...)
		case reducer.EndResponse:
			return body, e.Kind == classifier.None
		}
	}
	return nil, false
}

// write streams the parts of an answer until it ends.
func (c *conversation) write(w *bufio.Writer, items []reducer.Effect) {
	defer func() { _ = c.conn.SetWriteDeadline(time.Time{}) }()
	unreported := 0
	for {
		var next uint64
		for _, item := range items {
			switch e := item.(type) {
			case reducer.WriteBody:
				if _, err := w.Write(e.Data); err != nil {
					c.a.cfg.Post(reducer.CallerGone{ID: c.id})
					return
				}
				next = e.Next
				unreported += len(e.Data)
			case reducer.EndResponse:
				c.finish(w, e)
				return
			}
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := w.Flush(); err != nil {
			c.a.cfg.Post(reducer.CallerGone{ID: c.id})
			return
		}
		if unreported >= consumeBytes {
			c.a.cfg.Post(reducer.BodyConsumed{ID: c.id, Next: next})
			unreported = 0
		}
		var ok bool
		if items, ok = c.wait(); !ok {
			return
		}
	}
}

// finish ends an answer. One that can't be completed ends in an error event,
// or in a broken connection where the body has no place for one.
func (c *conversation) finish(w *bufio.Writer, end reducer.EndResponse) {
	if end.Kind == classifier.None {
		_ = w.Flush()
		return
	}
	if !c.stream {
		_ = w.Flush()
		_ = c.conn.Close()
		return
	}
	data, err := json.Marshal(errorBody(end.Kind, ""))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
	_ = w.Flush()
}
