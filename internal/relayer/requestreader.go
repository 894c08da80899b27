package relayer

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
)

// minRequestBody is the size of the first buffer for a body of unknown length, in bytes.
const minRequestBody = 4 << 10

var errRequestMemory = errors.New("no memory for a further request")

// readHeader reads the headers of a caller's request and removes hop-by-hop and reserved
// ones. The returned kind is None if they are valid.
func (g *Gateway) readHeader(r *http.Request) (*callerRequest, classifier.Kind) {
	in := &callerRequest{method: r.Method, target: r.RequestURI, host: r.Host, caller: hostOf(r.RemoteAddr), header: http.Header{}}
	info, err := g.cfg.HeaderCodec.ParseRequest(r.Header)
	in.info = info
	if err != nil || !strings.HasPrefix(r.RequestURI, "/") {
		g.cfg.Logger.Warn().Str("request", info.AttemptID).Str("path", r.RequestURI).AnErr("cause", err).Msg("request is malformed")
		return in, classifier.Invalid
	}
	for name, values := range r.Header {
		if !hopByHopHeaders[name] && !g.cfg.HeaderCodec.Reserved(name) {
			in.header[name] = values
		}
	}
	for _, name := range strings.Split(strings.Join(r.Header.Values("Connection"), ","), ",") {
		in.header.Del(strings.TrimSpace(name))
	}
	in.header.Del("Content-Length")
	return in, classifier.None
}

// readBody reads the body of a caller's request. The returned kind is None if it is valid.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, in *callerRequest, out *callerResponse) classifier.Kind {
	limit := int64(g.limits().BodyLimit)
	if r.ContentLength > limit {
		return g.sizeRefusal(limit)
	}
	// The response writers of tests support no deadlines.
	if r.ContentLength != 0 {
		_ = out.controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	if !g.reserve(in, r) {
		return classifier.Busy
	}
	if r.ContentLength == 0 {
		return classifier.None
	}
	var err error
	taken := g.account.newIntake(budgeter.Request, sender(in.caller), func() { _ = out.controller.SetReadDeadline(time.Now()) })
	taken.count(in.reserved)
	in.body, err = g.readRequestBody(in, http.MaxBytesReader(w, r.Body, limit), r.ContentLength, taken)
	_ = out.controller.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch givenUp := taken.release(); {
	case givenUp:
		out.w.Header().Set("Connection", "close")
		return classifier.Busy
	case errors.Is(err, errRequestMemory):
		return classifier.Busy
	case errors.As(err, &large):
		return g.sizeRefusal(limit)
	case isTimeout(err):
		return classifier.Stalled
	case err != nil:
		return classifier.Invalid
	}
	return classifier.None
}

// sizeRefusal returns why a body over a limit is refused: not for good if a newer configuration
// may allow it.
func (g *Gateway) sizeRefusal(limit int64) classifier.Kind {
	if g.cfg.Dispatcher.MayLag() || int64(g.limits().BodyLimit) > limit {
		return classifier.Stale
	}
	return classifier.Large
}

// readRequestBody reads a body of the given length, negative if it is unknown. For an
// unknown length, it reserves the bytes as they come.
func (g *Gateway) readRequestBody(in *callerRequest, r io.Reader, length int64, taken *intake) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		n, err := io.ReadFull(r, body)
		return body[:n], err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(minRequestBody, 2*cap(body))
			if !g.account.take(budgeter.Request, size-cap(body)) {
				return nil, errRequestMemory
			}
			in.reserved += size - cap(body)
			taken.count(size - cap(body))
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// releaseRequest gives back what the account holds for a request and its response.
func (g *Gateway) releaseRequest(in *callerRequest, out *callerResponse) {
	g.account.release(budgeter.Request, in.reserved)
	out.dropFailure()
	in.body, in.reserved = nil, 0
}

// releaseBody drops the body of a request that no upstream needs any more.
func (g *Gateway) releaseBody(in *callerRequest) {
	size := in.reserved - int(budgeter.RequestSize)
	g.account.release(budgeter.Request, size)
	in.body, in.reserved = nil, in.reserved-size
}

// priorityOf returns the priority of a request whose body has not been read, 0 being the
// most urgent.
func (g *Gateway) priorityOf(in *callerRequest) int {
	cfg := g.cfg.Dispatcher.Configuration()
	if cfg == nil {
		return 0
	}
	path, _, _ := strings.Cut(in.target, "?")
	route, ok := cfg.Route(registrar.HostName(hostOf(in.host)), path)
	if !ok {
		return 0
	}
	if w, ok := cfg.Workspace(in.info.Key); ok && w.Priority != nil {
		return *w.Priority
	}
	return route.Priority
}

// reserve reserves the bytes of a request of the given length, negative if it is unknown,
// and reports whether there is room.
func (g *Gateway) reserve(in *callerRequest, r *http.Request) bool {
	size := int(budgeter.RequestSize + budgeter.Bytes(max(0, r.ContentLength)))
	if !g.account.admit(size, func() int { return g.priorityOf(in) }) {
		return false
	}
	in.reserved = size
	return true
}
