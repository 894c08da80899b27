package relayer

import (
	"errors"
	"net/http"
	"time"
)

// callerResponse is the response to a caller.
type callerResponse struct {
	w             http.ResponseWriter
	conn          *callerConn // nil in tests without connections
	controller    *http.ResponseController
	headerWritten bool             // the status line and the headers have been written
	longestPause  time.Duration    // between two parts of the last send's response
	continuing    bool             // a resumed stream has not come to an event with an id
	lastEventID   int64            // id of the last event that the caller has received, negative before the first
	failure       *failureResponse // the last 5xx response of an upstream, nil without one
	closeAfter    func() bool      // whether to close the connection after the response
}

// failureResponse is a 5xx response of an upstream. The caller gets it if no other
// try at the request succeeds.
type failureResponse struct {
	status int
	header http.Header
	body   []byte
	taken  *intake
}

// hopByHopHeaders lists the headers that are valid for one connection only and are
// not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeader sets the end-to-end headers of an upstream's response.
func (out *callerResponse) copyHeader(h http.Header) {
	dst := out.w.Header()
	for name, values := range h {
		if !hopByHopHeaders[name] {
			dst[name] = values
		}
	}
	out.finishHeader()
}

// finishHeader keeps net/http from adding a Date or Content-Type header and sets
// the Connection header if the connection is to be closed.
func (out *callerResponse) finishHeader() {
	dst := out.w.Header()
	if _, ok := dst["Date"]; !ok {
		dst["Date"] = nil
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil
	}
	if out.closeAfter() {
		dst.Set("Connection", "close")
	}
}

// hold allows events to be held for the caller until flush.
func (out *callerResponse) hold() {
	if out.conn != nil {
		out.conn.writer.hold()
	}
}

// flush waits until the caller has got the events that are held for it.
func (out *callerResponse) flush() error {
	if out.conn == nil {
		return nil
	}
	return out.conn.writer.flush()
}

// stoppedReading reports whether the caller was ended since it read nothing.
func (out *callerResponse) stoppedReading() bool {
	return out.conn != nil && errors.Is(out.conn.writer.failure(), errStoppedReading)
}

// writeResponse writes a complete response.
func (out *callerResponse) writeResponse(status int, h http.Header, body []byte) error {
	out.copyHeader(h)
	out.w.Header().Del("Content-Length")
	out.headerWritten = true
	out.w.WriteHeader(status)
	_, err := out.w.Write(body)
	return err
}

// writeEvents writes complete events of a stream and flushes them. Before the
// first it writes the headers of resp.
func (out *callerResponse) writeEvents(resp *http.Response, events []byte) error {
	if !out.headerWritten {
		out.copyHeader(resp.Header)
		out.w.Header().Del("Content-Length")
		out.headerWritten = true
		out.w.WriteHeader(resp.StatusCode)
	}
	if _, err := out.w.Write(events); err != nil {
		return err
	}
	return out.controller.Flush()
}

// keepFailure keeps a 5xx response of an upstream for dispatcher.RelayFailure, and drops the
// one that was kept before.
func (out *callerResponse) keepFailure(resp *http.Response, body []byte, taken *intake) {
	out.dropFailure()
	out.failure = &failureResponse{resp.StatusCode, resp.Header, body, taken}
}

// dropFailure drops the kept 5xx response, if any.
func (out *callerResponse) dropFailure() {
	if out.failure != nil {
		out.failure.taken.close()
		out.failure = nil
	}
}

// abort ends the handler with a panic that makes net/http close the connection,
// so that a partial response doesn't look complete.
func (out *callerResponse) abort() {
	panic(http.ErrAbortHandler)
}
