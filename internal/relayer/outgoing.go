package relayer

import (
	"net/http"
	"time"
)

// writeTimeout bounds the time that a caller may take to accept a part of its
// answer; callers give up a stream after a gap of about that length.
const writeTimeout = 5 * time.Second

// outgoing is the answer to a caller.
type outgoing struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool  // the status line has been written
	last    int64 // id of the newest event passed on, negative before the first
	failure *failure
	closing func() bool // whether the connection ends with this answer
}

// failure is an upstream's answer that is kept in case no better one comes.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// hopByHop lists the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

func (o *outgoing) copyHeader(h http.Header) {
	to := o.w.Header()
	for name, values := range h {
		if !hopByHop[name] {
			to[name] = values
		}
	}
	o.finishHeader()
}

// finishHeader sets what concerns the caller's connection.
func (o *outgoing) finishHeader() {
	to := o.w.Header()
	if _, ok := to["Date"]; !ok {
		to["Date"] = nil
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
	if o.closing() {
		to.Set("Connection", "close")
	}
}

func (o *outgoing) deadline() {
	// Not all writers have deadlines; those of tests don't.
	_ = o.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// whole writes a complete answer.
func (o *outgoing) whole(status int, h http.Header, body []byte) error {
	o.deadline()
	o.copyHeader(h)
	o.w.Header().Del("Content-Length")
	o.started = true
	o.w.WriteHeader(status)
	_, err := o.w.Write(body)
	return err
}

// push writes a part of a stream and sends it at once.
func (o *outgoing) push(resp *http.Response, events []byte) error {
	o.deadline()
	if !o.started {
		o.copyHeader(resp.Header)
		o.w.Header().Del("Content-Length")
		o.started = true
		o.w.WriteHeader(resp.StatusCode)
	}
	if _, err := o.w.Write(events); err != nil {
		return err
	}
	return o.control.Flush()
}

// keep holds an upstream's failure back in case another try does better.
func (o *outgoing) keep(resp *http.Response, body []byte) {
	o.failure = &failure{resp.StatusCode, resp.Header, body}
}

// abandon closes the connection so that the answer doesn't look complete.
func (o *outgoing) abandon() {
	panic(http.ErrAbortHandler)
}
