package faker

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
)

// Server serves a stand-in over HTTP and counts the bytes of its connections.
type Server struct {
	listener net.Listener
	server   *http.Server
	bytes    atomic.Int64
}

// countingListener adds the bytes of the connections that it accepts to a counter.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// countingConn adds the bytes that it reads and writes to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Serve starts an HTTP server for a stand-in on address, a host:port.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen on %s", address)
	}
	s := &Server{listener: listener, server: &http.Server{Handler: handler}}
	go func() { _ = s.server.Serve(countingListener{listener, &s.bytes}) }()
	return s, nil
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Bytes returns the number of bytes read and written on all connections.
func (s *Server) Bytes() int64 {
	return s.bytes.Load()
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.server.Close()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// sleepUnlessCancelled waits for d, or until the request is cancelled.
func sleepUnlessCancelled(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
