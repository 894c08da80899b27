package verifier

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an http.RoundTripper that fails for broken responses. Their connections are
// closed.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses t, which must speak HTTP/1.1 without TLS and must
// not be used otherwise.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: NewConn(c)}, nil
	}
	return &Transport{t}
}

// NewClient returns a client with a Transport that uses t. It does not follow redirects, since
// a server may not answer for another one.
func NewClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     NewTransport(t),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// expectation tells a connection that it is about to carry a request.
var expectation = &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*headConn); ok {
		c.expect()
	}
}}

// RoundTrip makes a request.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), expectation)))
	if err != nil {
		return nil, err
	}
	CheckTrailer(resp)
	return resp, nil
}

// headConn is a Conn that fails reads of a head that is not valid.
type headConn struct {
	*Conn

	mu   sync.Mutex
	head Head // of the response to the last request
}

// expect begins to check the response to the next request.
func (c *headConn) expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = Head{}
}

// Read reads from the server. What comes with bytes that are not valid is dropped.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Observe(p[:n])
	if broken := c.head.Err(); broken != nil {
		return 0, broken
	}
	return n, err
}
