package puller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowServer is the transport to a server that sends a body in parts.
type slowServer struct {
	headerDelay, pause time.Duration
	part, parts        int // bytes of a part and their number
	length             int64
}

func (s slowServer) RoundTrip(req *http.Request) (*http.Response, error) {
	if err := wait(req.Context(), s.headerDelay); err != nil {
		return nil, err
	}
	body := &slowBody{ctx: req.Context(), s: s, left: s.parts}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, ContentLength: s.length}, nil
}

type slowBody struct {
	ctx  context.Context
	s    slowServer
	left int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if err := wait(b.ctx, b.s.pause); err != nil {
		return 0, err
	}
	b.left--
	return copy(p, bytes.Repeat([]byte{'x'}, b.s.part)), nil
}

func (*slowBody) Close() error { return nil }

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestPull(t *testing.T) {
	const limit = time.Second
	for name, tc := range map[string]struct {
		server  slowServer
		hold    time.Duration
		bytes   int           // of the body, of which none is read if it is zero
		stalls  time.Duration // until the call is given up
		tooLong bool
	}{
		"at once":                    {server: slowServer{part: 10, parts: 1}, bytes: 10},
		"longer than any limit":      {server: slowServer{pause: 900 * time.Millisecond, part: 32 << 10, parts: 50, length: -1}, bytes: 50 * 32 << 10},
		"of known length":            {server: slowServer{pause: 900 * time.Millisecond, part: 32 << 10, parts: 50, length: 50 * 32 << 10}, bytes: 50 * 32 << 10},
		"long poll":                  {server: slowServer{headerDelay: 5900 * time.Millisecond, part: 10, parts: 1}, hold: 5 * time.Second, bytes: 10},
		"no header":                  {server: slowServer{headerDelay: time.Hour}, hold: 5 * time.Second, stalls: 6 * time.Second},
		"silent in the body":         {server: slowServer{pause: 2 * time.Second, part: 10, parts: 1}, stalls: limit},
		"trickles":                   {server: slowServer{pause: 900 * time.Millisecond, part: 1 << 10, parts: 1000, length: -1}, stalls: 1031250 * time.Microsecond},
		"too large":                  {server: slowServer{part: 32 << 10, parts: 100, length: -1}, tooLong: true},
		"too large by its length":    {server: slowServer{length: 3 << 20}, tooLong: true},
		"empty":                      {server: slowServer{}, bytes: 0},
		"as large as may be":         {server: slowServer{part: 32 << 10, parts: 64, length: -1}, bytes: 2 << 20},
		"as large as may be, length": {server: slowServer{part: 32 << 10, parts: 64, length: 2 << 20}, bytes: 2 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New(Config{Client: &http.Client{Transport: tc.server}, Timeout: limit, MaxBytes: 2 << 20})
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", nil)
				require.NoError(t, err)
				seen, startedAt := -1, time.Now()
				resp, err := p.Pull(req, Options{Wait: tc.hold, Progress: func(part Response) { seen = len(part.Body) }})
				switch {
				case tc.stalls > 0:
					var stall *StallError
					require.ErrorAs(t, err, &stall)
					require.ErrorIs(t, err, context.DeadlineExceeded)
					require.Equal(t, tc.stalls, time.Since(startedAt))
				case tc.tooLong:
					require.ErrorIs(t, err, ErrTooLarge)
				default:
					require.NoError(t, err)
					require.Len(t, resp.Body, tc.bytes)
					require.Equal(t, tc.bytes, seen)
				}
			})
		})
	}
}

func TestCancelledCallHasNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://server/", nil)
		require.NoError(t, err)
		time.AfterFunc(time.Second, func() { cancel(errors.New("no longer wanted")) })
		_, err = New(Config{Client: &http.Client{Transport: slowServer{headerDelay: time.Hour}}, Timeout: time.Minute}).Pull(req, Options{})
		var stall *StallError
		require.False(t, errors.As(err, &stall))
		require.ErrorIs(t, err, context.Canceled)
	})
}

// A peer that announced a long body made a process hold its size before a byte came.
func TestAnnouncedLengthIsNotAllocated(t *testing.T) {
	const announced = 15 << 20
	synctest.Test(t, func(t *testing.T) {
		server := slowServer{length: announced}
		p := New(Config{Client: &http.Client{Transport: server}, Timeout: time.Second, MaxBytes: 16 << 20})
		req, err := http.NewRequest(http.MethodGet, "http://store/", nil)
		require.NoError(t, err)
		resp, err := p.Pull(req, Options{})
		require.NoError(t, err)
		require.LessOrEqual(t, cap(resp.Body), maxFirstBuffer)
	})
}

// countingAccount is an account that fails beyond a limit.
type countingAccount struct {
	limit, held, most int
	abort             func()
}

func (a *countingAccount) Begin(_ string, abort func()) Hold {
	a.abort = abort
	return a
}

func (a *countingAccount) Take(n int) error {
	if a.held+n > a.limit {
		return errors.New("no room")
	}
	a.held += n
	a.most = max(a.most, a.held)
	return nil
}

func (a *countingAccount) Close() { a.held = 0 }

// What a peer made a process hold of a body was not counted, and was up to three times its bound.
func TestBodyStandsOnTheAccount(t *testing.T) {
	const limit = 4 << 20
	for name, c := range map[string]struct {
		length int64 // that the peer announces
		room   int
		most   int
		err    string
	}{
		"known length":      {3 << 20, 16 << 20, 3<<20 + 1, ""},
		"unknown length":    {-1, 16 << 20, 4<<20 + partBytes, ""},
		"without room":      {-1, 2 << 20, 2 << 20, "no room"},
		"no room for parts": {-1, 1, 0, "no room"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &countingAccount{limit: c.room}
				server := slowServer{part: partBytes, parts: 3 << 20 / partBytes, length: c.length}
				p := New(Config{Client: &http.Client{Transport: server}, Timeout: time.Second, MaxBytes: limit})
				req, err := http.NewRequestWithContext(WithAccount(t.Context(), a), http.MethodGet, "http://store/", nil)
				require.NoError(t, err)
				_, err = p.Pull(req, Options{})
				if c.err == "" {
					require.NoError(t, err)
				} else {
					require.ErrorContains(t, err, c.err)
				}
				require.LessOrEqual(t, a.most, c.most)
				require.Zero(t, a.held)
			})
		})
	}
}

func TestBodyIsGivenUpForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &countingAccount{limit: 16 << 20}
		server := slowServer{part: partBytes, parts: 1000, pause: 100 * time.Millisecond, length: -1}
		p := New(Config{Client: &http.Client{Transport: server}, Timeout: time.Second, MaxBytes: 64 << 20})
		req, err := http.NewRequestWithContext(WithAccount(t.Context(), a), http.MethodGet, "http://store/", nil)
		require.NoError(t, err)
		time.AfterFunc(time.Second, func() { a.abort() })
		_, err = p.Pull(req, Options{})
		require.ErrorIs(t, err, errGivenUp)
		require.Zero(t, a.held)
	})
}
