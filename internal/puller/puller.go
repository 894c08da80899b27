// Package puller reads whole HTTP responses over links of any speed. A call is given up when
// nothing comes, and not because its answer is long.
//
// Usage:
//
//	p := puller.New(puller.Config{Client: client, Timeout: time.Second, MaxBytes: 16 << 20})
//	resp, err := p.Pull(req, puller.Options{Wait: 5 * time.Second})
//
// Timeout bounds the time to the header of the response, beyond the Wait of a long poll, and
// each pause in its body. The body must also come at minRate or more, so that a peer that
// trickles is given up in the end.
package puller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// minRate is the least bytes per second of a body as a whole, beyond the first Timeout.
const minRate = 32 << 10

// partBytes is the size of the parts in which a body is read.
const partBytes = 32 << 10

// maxFirstBuffer bounds what is allocated for a body before it comes.
const maxFirstBuffer = 1 << 20

// errGivenUp is the error of a call whose body the account has given up.
var errGivenUp = errors.New("given up for want of memory")

// ErrTooLarge is wrapped by the error for a body of more than MaxBytes.
var ErrTooLarge = errors.New("response is too large")

// StallError says that a call was given up, since nothing came for too long. It counts as
// context.DeadlineExceeded.
type StallError struct {
	Bytes int           // of the body that had come
	Took  time.Duration // since the start of the call
}

// Error returns the message.
func (e *StallError) Error() string {
	return fmt.Sprintf("no progress after %d bytes in %s", e.Bytes, e.Took.Round(time.Millisecond))
}

// Is reports whether target is context.DeadlineExceeded.
func (e *StallError) Is(target error) bool { return target == context.DeadlineExceeded }

// Config configures a Puller.
type Config struct {
	Client   *http.Client
	Timeout  time.Duration
	MaxBytes int // of a body
}

// Options are the options of a call.
type Options struct {
	Wait time.Duration // longest time for which the server holds a long poll
	// Progress is called with what has come of the response after each part of its body, and
	// once when the header has come. It may be nil.
	Progress func(part Response)
}

// Response is a response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Puller makes calls. It is safe for concurrent use.
type Puller struct {
	cfg Config
}

// New returns a puller.
func New(cfg Config) *Puller {
	return &Puller{cfg: cfg}
}

// Pull makes a call and returns the whole response, whatever its status.
func (p *Puller) Pull(req *http.Request, o Options) (*Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	startedAt, body := time.Now(), []byte(nil)
	fail := func(err error) error {
		switch cause := context.Cause(ctx); {
		case req.Context().Err() != nil:
		case errors.Is(cause, context.DeadlineExceeded):
			return &StallError{Bytes: len(body), Took: time.Since(startedAt)}
		case errors.Is(cause, errGivenUp):
			return errGivenUp
		}
		return err
	}
	timer := time.AfterFunc(o.Wait+p.cfg.Timeout, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	resp, err := p.cfg.Client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, fail(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength > int64(p.cfg.MaxBytes) {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, resp.ContentLength)
	}
	hold := accountOf(ctx).Begin(req.URL.Host, func() { cancel(errGivenUp) })
	defer hold.Close()
	headerAt := time.Now()
	first := max(partBytes, min(int(resp.ContentLength)+1, maxFirstBuffer)) // one more for the read that returns EOF
	if err := hold.Take(first); err != nil {
		return nil, err
	}
	body = make([]byte, 0, first)
	for {
		if o.Progress != nil {
			o.Progress(Response{resp.StatusCode, resp.Header, body})
		}
		left := p.cfg.Timeout + time.Duration(len(body))*time.Second/minRate - time.Since(headerAt)
		timer.Reset(min(p.cfg.Timeout, left))
		if len(body) == cap(body) {
			if body, err = grow(body, p.nextSize(body, resp.ContentLength), hold); err != nil {
				return nil, err
			}
		}
		n, err := resp.Body.Read(body[len(body):min(cap(body), len(body)+partBytes)])
		body = body[:len(body)+n]
		switch {
		case len(body) > p.cfg.MaxBytes:
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, p.cfg.MaxBytes)
		case errors.Is(err, io.EOF):
			return &Response{resp.StatusCode, resp.Header, body}, nil
		case err != nil:
			return nil, fail(err)
		}
	}
}

// nextSize returns the size of the next buffer for a body of the given length, negative if it is
// unknown.
func (p *Puller) nextSize(body []byte, length int64) int {
	most := p.cfg.MaxBytes + partBytes
	if length >= int64(cap(body)) {
		most = int(length) + 1
	}
	return min(2*cap(body), most)
}

// grow returns a copy of a buffer with another capacity.
func grow(buf []byte, size int, hold Hold) ([]byte, error) {
	if err := hold.Take(size - cap(buf)); err != nil {
		return buf, err
	}
	return append(make([]byte, 0, size), buf...), nil
}
