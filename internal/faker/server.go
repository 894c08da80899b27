package faker

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
)

// Server is a stand-in that listens on a TCP port.
type Server struct {
	listener net.Listener
	server   *http.Server
	bytes    atomic.Int64
}

// meter counts the bytes of the connections that it accepts.
type meter struct {
	net.Listener
	bytes *atomic.Int64
}

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept returns the next connection.
func (m meter) Accept() (net.Conn, error) {
	conn, err := m.Listener.Accept()
	return meteredConn{conn, m.bytes}, err
}

// Read counts what it reads.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Serve starts a stand-in.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "listen on %s", address)
	}
	s := &Server{listener: listener, server: &http.Server{Handler: handler}}
	go func() { _ = s.server.Serve(meter{listener, &s.bytes}) }()
	return s, nil
}

// Address returns where the stand-in listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Bytes returns what its connections have carried, both ways.
func (s *Server) Bytes() int64 {
	return s.bytes.Load()
}

// Close stops the stand-in and cuts its connections.
func (s *Server) Close() {
	_ = s.server.Close()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// pause waits unless the request ends first.
func pause(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
